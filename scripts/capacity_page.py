"""Works the measured slopes out to the size in the letter, as docs/CAPACITY.md."""

PLACES = 6
WORKERS = 200
TASKS = 700
ENTRIES = 9
JOBS_A_DAY = 4_500
CHANGES_A_DAY = 1_400
SHORT_A_SECOND = 20
SECONDS_A_DAY = 86_400
TEAMS = 35
HTTP_HEADER_BYTES = 420
FRAME_BYTES = 60
RENEW_MS_PER_WORKER = 75
BUDGET_PERCENT = 1.5
BUDGET_MB = 256
BUDGET_KB = 8
TAIL_PERIOD_S = 5
HOSTS_PERIOD_S = 2
RUNNERS = 24
FAR_EVERY = 4


def render(slopes, fit):
    """Return the page's text."""
    parts = [_head(), _slopes(slopes, fit), _roles(slopes, fit), _timing(slopes)]
    return "\n".join([*parts, _log(slopes), _plan(slopes), _gaps(slopes, fit)])


def _head():
    return f"""# Capacity

Written by `make capacity` from slopes measured on one machine with small stand-ins; the
points are in docs/measurements/capacity.json. The size: 1,200 workers, 1,500 accelerators,
4,200 tasks, {JOBS_A_DAY} jobs and {CHANGES_A_DAY} changes of configuration a day, 35 teams,
{PLACES} data centres. So a data centre has {WORKERS} workers, {TASKS} tasks, and up to
{ENTRIES} entries. The budget for control is {BUDGET_PERCENT}% of a core, {BUDGET_MB} MB and
{BUDGET_KB} KB a second for each daemon.
"""


def _line(points, fit, name):
    slope, constant, r2 = fit(points)
    shown = ", ".join(f"{x:g}: {y:.3g}" for x, y in points)
    return f"| {name} | {shown} | {slope:.4g} | {constant:.3g} | {r2:.3f} |"


def _slopes(slopes, fit):
    rows = [
        _line([(n, v["scheduler %"]) for n, v in slopes["by_workers"]], fit,
              "acting scheduler, idle, % of a core, by workers"),
        _line([(n, v["scheduler MB"]) for n, v in slopes["by_workers"]], fit,
              "acting scheduler, MB, by workers"),
        _line([(n, v["scheduler %"]) for n, v in slopes["by_entries"]], fit,
              "acting scheduler, idle, % of a core, by entries connected"),
        _line([(n, v["entry %"]) for n, v in slopes["by_workers"]], fit,
              "entry, idle, % of a core, by listed workers"),
        _line([(n, v["entry MB"]) for n, v in slopes["by_workers"]], fit,
              "entry, MB, by listed workers"),
        _line(slopes["load"], fit, "entry, % of a core, by short requests a second"),
        _line([(n, us) for n, us, _ in slopes["report"]], fit,
              "decoding a worker's report, us, by leases"),
        _line([(n, size) for n, _, size in slopes["report"]], fit,
              "a worker's report, bytes, by leases"),
        _line([(n, us) for n, us, _ in slopes["hosts"]], fit,
              "decoding the host list, us, by hosts"),
        _line([(n, size) for n, _, size in slopes["hosts"]], fit,
              "the host list, bytes, by hosts"),
        _line([(n, us) for n, us, _, _ in slopes["ledger"]], fit,
              "folding a ledger record, us, by jobs known"),
        _line([(n, size) for n, _, _, size in slopes["ledger"]], fit,
              "memory of an ended job, bytes, by jobs known"),
        _line([(n, us) for n, us, _, _ in slopes["configuration"]], fit,
              "folding a configuration entry, us, by teams"),
        _line([(n, size) for n, _, size, _ in slopes["configuration"]], fit,
              "configuration snapshot, bytes, by teams"),
    ]  # fmt: skip
    size, encode, decode = slopes["heartbeat"]
    return "\n".join(
        [
            "## Slopes",
            "",
            "| what | points | slope | constant | r squared |",
            "|---|---|---|---|---|",
            *rows,
            "",
            f"A heartbeat is {size} bytes of CBOR; {encode:.0f} us to encode, {decode:.0f}"
            " us to decode. An r squared near 0 means that the cost doesn't depend on"
            " the size: the constant is the figure.",
            "",
        ]
    )


def _figures(slopes, fit):
    """Return what a daemon of each role spends at the letter's size."""
    renew_s = max(4, WORKERS * RENEW_MS_PER_WORKER / 1_000)
    by_workers = [(n, v["scheduler %"]) for n, v in slopes["by_workers"]]
    per_worker, base, _ = fit(by_workers)
    per_sync = per_worker * 4 if per_worker > 0 else 0
    per_entry = max(0, fit([(n, v["scheduler %"]) for n, v in slopes["by_entries"]])[0])
    report_us, report_base_us, _ = fit([(n, us) for n, us, _ in slopes["report"]])
    report_bytes, report_base, _ = fit([(n, size) for n, _, size in slopes["report"]])
    hosts_us, _, _ = fit([(n, us) for n, us, _ in slopes["hosts"]])
    hosts_bytes, _, _ = fit([(n, size) for n, _, size in slopes["hosts"]])
    leases = TASKS / WORKERS
    syncs = WORKERS / renew_s
    connections = ENTRIES * PLACES + 2
    spoken = ENTRIES + 2 + ENTRIES * (PLACES - 1) / FAR_EVERY
    entry_spoken = 3 + 3 * (PLACES - 1) / FAR_EVERY
    heartbeat = slopes["heartbeat"][0] + FRAME_BYTES
    hosts = WORKERS
    hosts_kb = hosts * hosts_bytes / HOSTS_PERIOD_S / 1_000
    hosts_percent = hosts * hosts_us / HOSTS_PERIOD_S / 10_000
    sync_bytes = 2 * HTTP_HEADER_BYTES + report_base + leases * report_bytes
    scheduler_percent = (
        base
        + syncs * per_sync
        + syncs * leases * report_us / 10_000
        + spoken * per_entry
    )
    mb_slope, mb_base, _ = fit(
        [(n, v["scheduler MB"]) for n, v in slopes["by_workers"]]
    )
    ended_bytes = slopes["ledger"][-1][3]
    jobs_mb = JOBS_A_DAY * ended_bytes / 1e6
    entry_rate, entry_base, _ = fit(slopes["load"])
    idle_entry = sum(v["entry %"] for _, v in slopes["by_workers"]) / 4
    entry_mb = max(v["entry MB"] for _, v in slopes["by_workers"])
    return {
        "renew_s": renew_s,
        "lease_s": max(15, 3 * renew_s),
        "scheduler %": scheduler_percent,
        "scheduler hosts %": hosts_percent,
        "scheduler MB": mb_base + mb_slope * WORKERS + jobs_mb,
        "sync KB": syncs * sync_bytes / 1_000,
        "heartbeat KB": 2 * spoken * heartbeat / 1_000,
        "hosts KB": hosts_kb,
        "entry hosts KB": hosts_kb * RUNNERS / WORKERS,
        "entry %": idle_entry + entry_spoken * per_entry,
        "entry request %": entry_rate * SHORT_A_SECOND,
        "entry MB": entry_mb,
        "entry heartbeat KB": 2 * entry_spoken * heartbeat / 1_000,
        "connections": connections,
        "heartbeat %": spoken * per_entry,
        "spoken": spoken,
        "entry spoken": entry_spoken,
        "syncs": syncs,
    }


def _mark(value, budget):
    return f"{value:.2f}" if value <= budget else f"**{value:.2f}**, over {budget:g}"


def _roles(slopes, fit):
    f = _figures(slopes, fit)
    per_job = 3
    jobs_s = JOBS_A_DAY / SECONDS_A_DAY
    return f"""## Roles at that size

Control only; callers' bytes and requests are shown apart.

| role | state | messages a second | processor, % of a core | memory, MB | control, KB/s |
|---|---|---|---|---|---|
| acting scheduler | {WORKERS} workers' reports, {TASKS} attempts, a day's ledger of {JOBS_A_DAY // PLACES} jobs, 35 teams | {f["syncs"]:.1f} syncs, {2 * f["spoken"]:.0f} heartbeats on {f["connections"]:.0f} connections, {2 / TAIL_PERIOD_S:.1f} log reads, {1 / HOSTS_PERIOD_S:.1f} host lists | {_mark(f["scheduler %"] + f["scheduler hosts %"], BUDGET_PERCENT)} (of it host list {f["scheduler hosts %"]:.2f}) | {_mark(f["scheduler MB"], BUDGET_MB)} | {_mark(f["sync KB"] + f["heartbeat KB"] + f["hosts KB"], BUDGET_KB)} (syncs {f["sync KB"]:.1f}, heartbeats {f["heartbeat KB"]:.1f}, host list {f["hosts KB"]:.1f}) |
| standby scheduler | the same, without renewals | as above: it watches every worker too | as above, less renewals | as above | as above |
| entry | requests under way, watches, 35 teams, runners' loads | {2 * f["entry spoken"]:.0f} heartbeats on {3 * PLACES} connections, {1 / TAIL_PERIOD_S:.1f} log reads, {1 / HOSTS_PERIOD_S:.1f} host lists | {_mark(f["entry %"], BUDGET_PERCENT)}; callers' work on top: {f["entry request %"]:.1f} at {SHORT_A_SECOND} short requests a second | {_mark(f["entry MB"], BUDGET_MB)} | {_mark(f["entry heartbeat KB"] + f["entry hosts KB"], BUDGET_KB)} (heartbeats {f["entry heartbeat KB"]:.1f}, host list {f["entry hosts KB"]:.1f}) |
| platform's log | {CHANGES_A_DAY} entries and {per_job} to 5 records a job a day, chunks of large inputs, snapshots | {jobs_s * per_job + CHANGES_A_DAY / SECONDS_A_DAY:.2f} appends on the day's mean | the platform's | the platform's | the platform's |
| client | one request | one long poll a caller, renewed every 5 s | not a daemon: no budget | not a daemon: no budget | the answer's bytes |

What carries each: one exchange a worker renews all of its leases (not one a task); a
worker answers it when something changes, so its period can grow with the number of workers
({RENEW_MS_PER_WORKER} ms each) without making ends be noticed later; one acting scheduler
for each data centre, so cost is sharded by data centre; ledger and configuration are read
by long polls; tables are bounded (short requests waiting, ended jobs, cached inputs).
"""


def _timing(slopes):
    renew_s = max(4, WORKERS * RENEW_MS_PER_WORKER / 1_000)
    lease_s = max(15, 3 * renew_s)
    rows = []
    for count in (1, 2, 3):
        takeover = "until it is started again" if count == 1 else "3.5 s silence + 1 s"
        covered = "restart within the lease" if count == 1 else "a peer takes over"
        rows.append(
            f"| {count} | {renew_s:.0f} | {lease_s:.0f} | 6.1 (worker reachable),"
            f" {lease_s:.0f} (cut) | {takeover} | {covered} |"
        )
    restart = 140 / SECONDS_A_DAY
    burst = WORKERS * 3
    return f"""## Periods, leases and the reclaim bound together

Renewal is one exchange a worker each {renew_s:.0f} s at {WORKERS} workers, the lease three
of them. A reclaim doesn't wait for a period: the stop is a command, and its effect comes
back with the worker's next answer, at once. Only a worker that can't be reached costs a
lease.

| schedulers | renewal, s | lease, s | reclaim bound, s | takeover | planned or not |
|---|---|---|---|---|---|
{chr(10).join(rows)}

| event | what happens | load on what is left |
|---|---|---|
| ordinary hours | syncs and heartbeats as above | as above |
| the day's 140 restarts | {restart * 3600:.1f} an hour; each is a drain, one handover, one recovery | a recovery reads {WORKERS} reports and the ledger: {WORKERS} exchanges once |
| a rack of 20 workers | 20 leases' worth of members lapse after {lease_s:.0f} s; gangs with a member there stop whole | about {20 * TASKS / WORKERS:.0f} tasks to clear: as many commands |
| a data centre | its jobs wait in its stream; idempotent new work goes to the next home | its entries' callers go to others, by the balancer |
| a region link | each side goes on with its own homes; configuration from the log where it is reached | no added load: reconnects every 0.5 s a link |
| a whole data centre restarts | all workers are heard once, the ledger is read from its last snapshot | about {burst} exchanges in the first seconds |
"""


def _log(slopes):
    _, _, snapshot, entry = slopes["configuration"][-1]
    record = slopes["ledger"][-1][2]
    jobs = JOBS_A_DAY / PLACES
    return f"""## What the log sees

| stream | appends a day | bytes a record | kept | a joining process reads |
|---|---|---|---|---|
| configuration | {CHANGES_A_DAY} and a snapshot each 100 | {entry} | retention; the snapshot ({snapshot} bytes) is renewed every 10 min | from the last snapshot: at most 100 entries |
| jobs of a data centre | {jobs:.0f} jobs, 2 records each, 3 where not idempotent | {record} with a small input | retention; a snapshot each 5,000 records or 30 min | the last snapshot and what follows |
| inputs of a data centre | one record for each 512 KiB of inputs over 8 KiB | 700,000 | retention: must outlive a job's deadline | nothing |

The mean is {JOBS_A_DAY * 3 / SECONDS_A_DAY + CHANGES_A_DAY / SECONDS_A_DAY:.2f} appends a
second, against several hundred that the platform takes. A wave of 500 jobs within a second
at one entry goes in batches of up to 200 records: what arrives during one append goes with
the next, so a wave costs a few appends an entry and delays no record for longer than one
append. Non-idempotent work costs one record more, its intent, and waits for it once.
"""


def _plan(slopes):
    rows = [
        f"| {w} | {t} | {g} x {a} | {said} | {ms:.2f} |"
        for w, t, g, a, ms, said, _ in slopes["plan"]
    ]
    return "\n".join(
        [
            "## The placement decision",
            "",
            "One whole planning step, workers of 8 accelerators, 35 teams with"
            " guarantees, one gang waiting; median of 15. The targets: 128 placed or"
            " refused under 10 ms at 200 workers, under 50 ms at 1,200.",
            "",
            "| workers | tasks | gang | said | median, ms |",
            "|---|---|---|---|---|",
            *rows,
            "",
        ]
    )


def _gaps(slopes, fit):
    f = _figures(slopes, fit)
    return f"""## Where today's code exceeds the budget

- **The host list.** A scheduler reads its data centre's {WORKERS} workers every
  {HOSTS_PERIOD_S} s: {f["hosts KB"]:.0f} KB/s against {BUDGET_KB}, and
  {f["scheduler hosts %"]:.2f}% of a core (read whole, it would be {PLACES} times that). An
  entry reads its runners only: {RUNNERS} of them, {f["entry hosts KB"]:.1f} KB/s. What will
  carry the rest: asking for changes since a version; where the platform can't, one reader
  a data centre that passes changes on over the connections that stand.
- **Syncs.** {f["sync KB"]:.1f} KB/s: a full report each {f["renew_s"]:.0f} s. What will
  carry it: a digest of the report in place of the report where nothing changed, and the
  standby reading from the acting scheduler instead of from every worker.
- **Heartbeats.** {f["heartbeat KB"]:.1f} KB/s and {f["heartbeat %"]:.1f}% of a core at a
  scheduler, the largest part of its processor time, as each entry of each data
  centre connects to every scheduler. Both sides speak each second within a data centre
  and each {FAR_EVERY} s across, where nothing is decided by them; what will carry the
  rest: an entry needs the acting scheduler of each far data centre only.
- **Threads.** Two a worker at a scheduler: {2 * WORKERS} at {WORKERS} workers, and one for
  each of {f["connections"]:.0f} connections. They sleep, and cost memory only (in the slope
  above); beyond 500 workers a data centre would need links that share a thread.
- **Tasks without accelerators.** 4,200 tasks on 1,500 accelerators means that some need
  none; every task of ours takes at least one today.
- **Short work.** {f["entry request %"]:.1f}% of a core at {SHORT_A_SECOND} requests a second
  is callers' work, not control, and is what sizes the entry hosts.
"""
