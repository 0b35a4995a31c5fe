"""Renders docs/CAPACITY.md: measured costs, extrapolated to the design size.

The design size and the budgets are the users' requirements.
"""

DATA_CENTRES = 6
WORKERS_PER_DATA_CENTRE = 200
TASKS_PER_DATA_CENTRE = 700
ENTRIES_PER_DATA_CENTRE = 9
JOBS_PER_DAY = 4_500
CONFIGURATION_CHANGES_PER_DAY = 1_400
SHORT_REQUESTS_PER_SECOND = 20
SECONDS_PER_DAY = 86_400
ORGANISATIONS = 35
HTTP_HEADER_BYTES = 420  # of one request or response
HEARTBEAT_OVERHEAD_BYTES = 60  # of the frame around the CBOR of a heartbeat
RENEWAL_PERIOD_MS_PER_WORKER = 75
CPU_BUDGET_PERCENT = 1.5
MEMORY_BUDGET_MB = 256
TRAFFIC_BUDGET_KB_PER_S = 8
LOG_READ_PERIOD_S = 5
HOST_LIST_PERIOD_S = 2
RUNNERS_PER_DATA_CENTRE = 24
REMOTE_HEARTBEAT_PERIOD_S = 4


def render(measurements, fit_line):
    """Return the page's text.

    `measurements` are the values of capacity.json. `fit_line` returns the slope, the
    intercept and r squared of points.
    """
    parts = [
        _render_header(),
        _render_slopes(measurements, fit_line),
        _render_roles(measurements, fit_line),
        _render_timing(measurements),
    ]
    return "\n".join(
        [
            *parts,
            _render_log(measurements),
            _render_planning(measurements),
            _render_gaps(measurements, fit_line),
        ]
    )


def _render_header():
    return f"""# Capacity

Written by `make capacity` from slopes measured on one machine with small stand-ins; the
points are in docs/measurements/capacity.json. The design size: 1,200 workers,
1,500 accelerators, 4,200 tasks, {JOBS_PER_DAY} jobs and {CONFIGURATION_CHANGES_PER_DAY} changes of configuration
a day, 35 organisations, {DATA_CENTRES} data centres. So a data centre has {WORKERS_PER_DATA_CENTRE} workers, {TASKS_PER_DATA_CENTRE} tasks, and up to
{ENTRIES_PER_DATA_CENTRE} entries. The budget of the control plane is {CPU_BUDGET_PERCENT}% of a core, {MEMORY_BUDGET_MB} MB and
{TRAFFIC_BUDGET_KB_PER_S} KB a second for each daemon.
"""


def _slope_row(points, fit_line, name):
    slope, intercept, r_squared = fit_line(points)
    formatted_points = ", ".join(f"{x:g}: {y:.3g}" for x, y in points)
    return f"| {name} | {formatted_points} | {slope:.4g} | {intercept:.3g} | {r_squared:.3f} |"


def _render_slopes(measurements, fit_line):
    rows = [
        _slope_row([(n, values["scheduler %"]) for n, values in measurements["by_workers"]], fit_line,
              "acting scheduler, idle, % of a core, by workers"),
        _slope_row([(n, values["scheduler MB"]) for n, values in measurements["by_workers"]], fit_line,
              "acting scheduler, MB, by workers"),
        _slope_row([(n, values["scheduler %"]) for n, values in measurements["by_entries"]], fit_line,
              "acting scheduler, idle, % of a core, by entries connected"),
        _slope_row([(n, values["entry %"]) for n, values in measurements["by_workers"]], fit_line,
              "entry, idle, % of a core, by listed workers"),
        _slope_row([(n, values["entry MB"]) for n, values in measurements["by_workers"]], fit_line,
              "entry, MB, by listed workers"),
        _slope_row(measurements["load"], fit_line, "entry, % of a core, by short requests a second"),
        _slope_row([(n, us) for n, us, _ in measurements["report"]], fit_line,
              "decoding a worker's report, us, by leases"),
        _slope_row([(n, size) for n, _, size in measurements["report"]], fit_line,
              "a worker's report, bytes, by leases"),
        _slope_row([(n, us) for n, us, _ in measurements["hosts"]], fit_line,
              "decoding the host list, us, by hosts"),
        _slope_row([(n, size) for n, _, size in measurements["hosts"]], fit_line,
              "the host list, bytes, by hosts"),
        _slope_row([(n, us) for n, us, _, _ in measurements["ledger"]], fit_line,
              "applying a ledger record, us, by jobs known"),
        _slope_row([(n, size) for n, _, _, size in measurements["ledger"]], fit_line,
              "memory of an ended job, bytes, by jobs known"),
        _slope_row([(n, us) for n, us, _, _ in measurements["configuration"]], fit_line,
              "applying a configuration entry, us, by organisations"),
        _slope_row([(n, size) for n, _, size, _ in measurements["configuration"]], fit_line,
              "configuration snapshot, bytes, by organisations"),
    ]  # fmt: skip
    size, encode, decode = measurements["heartbeat"]
    return "\n".join(
        [
            "## Slopes",
            "",
            "| cost | points | slope | intercept | r squared |",
            "|---|---|---|---|---|",
            *rows,
            "",
            f"A heartbeat is {size} bytes of CBOR; {encode:.0f} us to encode, {decode:.0f}"
            " us to decode. An r squared near 0 means that the cost doesn't depend on"
            " the size: the intercept is the cost.",
            "",
        ]
    )


def _estimate_figures(measurements, fit_line):
    """Return the costs of each role's daemon at the design size, by name.

    Names end with the unit; % is of a core and KB is per second.
    """
    # A renewal period is at least 4 s and a lease at least 15 s, as are the scheduler's
    # settings; a data centre has 3 schedulers.
    renew_s = max(4, WORKERS_PER_DATA_CENTRE * RENEWAL_PERIOD_MS_PER_WORKER / 1_000)
    by_workers = [
        (n, values["scheduler %"]) for n, values in measurements["by_workers"]
    ]
    percent_per_worker, base_percent, _ = fit_line(by_workers)
    # Takes the points as measured with one sync per worker every 4 s.
    percent_per_sync = percent_per_worker * 4 if percent_per_worker > 0 else 0
    percent_per_entry = max(
        0,
        fit_line(
            [(n, values["scheduler %"]) for n, values in measurements["by_entries"]]
        )[0],
    )
    report_us, report_base_us, _ = fit_line(
        [(n, us) for n, us, _ in measurements["report"]]
    )
    report_bytes, report_base_bytes, _ = fit_line(
        [(n, size) for n, _, size in measurements["report"]]
    )
    hosts_us, _, _ = fit_line([(n, us) for n, us, _ in measurements["hosts"]])
    hosts_bytes, _, _ = fit_line([(n, size) for n, _, size in measurements["hosts"]])
    leases_per_worker = TASKS_PER_DATA_CENTRE / WORKERS_PER_DATA_CENTRE
    syncs_per_s = WORKERS_PER_DATA_CENTRE / renew_s
    connections = ENTRIES_PER_DATA_CENTRE * DATA_CENTRES + 2
    heartbeats_per_s = (
        ENTRIES_PER_DATA_CENTRE
        + 2
        + ENTRIES_PER_DATA_CENTRE * (DATA_CENTRES - 1) / REMOTE_HEARTBEAT_PERIOD_S
    )
    entry_heartbeats_per_s = 3 + 3 * (DATA_CENTRES - 1) / REMOTE_HEARTBEAT_PERIOD_S
    heartbeat = measurements["heartbeat"][0] + HEARTBEAT_OVERHEAD_BYTES
    host_count = WORKERS_PER_DATA_CENTRE
    hosts_kb = host_count * hosts_bytes / HOST_LIST_PERIOD_S / 1_000
    hosts_percent = host_count * hosts_us / HOST_LIST_PERIOD_S / 10_000
    sync_bytes = (
        2 * HTTP_HEADER_BYTES + report_base_bytes + leases_per_worker * report_bytes
    )
    scheduler_percent = (
        base_percent
        + syncs_per_s * percent_per_sync
        + syncs_per_s * leases_per_worker * report_us / 10_000
        + heartbeats_per_s * percent_per_entry
    )
    mb_slope, mb_base, _ = fit_line(
        [(n, values["scheduler MB"]) for n, values in measurements["by_workers"]]
    )
    ended_bytes = measurements["ledger"][-1][3]
    jobs_mb = JOBS_PER_DAY * ended_bytes / 1e6
    percent_per_request, entry_base, _ = fit_line(measurements["load"])
    entry_idle_percent = (
        sum(values["entry %"] for _, values in measurements["by_workers"]) / 4
    )
    entry_mb = max(values["entry MB"] for _, values in measurements["by_workers"])
    return {
        "renew_s": renew_s,
        "lease_s": max(15, 3 * renew_s),
        "scheduler %": scheduler_percent,
        "scheduler hosts %": hosts_percent,
        "scheduler MB": mb_base + mb_slope * WORKERS_PER_DATA_CENTRE + jobs_mb,
        "sync KB": syncs_per_s * sync_bytes / 1_000,
        "heartbeat KB": 2 * heartbeats_per_s * heartbeat / 1_000,
        "hosts KB": hosts_kb,
        "entry hosts KB": hosts_kb * RUNNERS_PER_DATA_CENTRE / WORKERS_PER_DATA_CENTRE,
        "entry %": entry_idle_percent + entry_heartbeats_per_s * percent_per_entry,
        "entry request %": percent_per_request * SHORT_REQUESTS_PER_SECOND,
        "entry MB": entry_mb,
        "entry heartbeat KB": 2 * entry_heartbeats_per_s * heartbeat / 1_000,
        "connections": connections,
        "heartbeat %": heartbeats_per_s * percent_per_entry,
        "heartbeats/s": heartbeats_per_s,
        "entry heartbeats/s": entry_heartbeats_per_s,
        "syncs": syncs_per_s,
    }


def _format_against_budget(value, budget):
    return f"{value:.2f}" if value <= budget else f"**{value:.2f}**, over {budget:g}"


def _render_roles(measurements, fit_line):
    figures = _estimate_figures(measurements, fit_line)
    records_per_job = 3
    jobs_per_s = JOBS_PER_DAY / SECONDS_PER_DAY
    return f"""## Roles at the design size

Control plane only; callers' bytes and requests are listed separately.

| role | state | messages a second | processor, % of a core | memory, MB | control, KB/s |
|---|---|---|---|---|---|
| acting scheduler | {WORKERS_PER_DATA_CENTRE} workers' reports, {TASKS_PER_DATA_CENTRE} attempts, a day's ledger of {JOBS_PER_DAY // DATA_CENTRES} jobs, 35 organisations | {figures["syncs"]:.1f} syncs, {2 * figures["heartbeats/s"]:.0f} heartbeats on {figures["connections"]:.0f} connections, {2 / LOG_READ_PERIOD_S:.1f} log reads, {1 / HOST_LIST_PERIOD_S:.1f} host lists | {_format_against_budget(figures["scheduler %"] + figures["scheduler hosts %"], CPU_BUDGET_PERCENT)} (of it host list {figures["scheduler hosts %"]:.2f}) | {_format_against_budget(figures["scheduler MB"], MEMORY_BUDGET_MB)} | {_format_against_budget(figures["sync KB"] + figures["heartbeat KB"] + figures["hosts KB"], TRAFFIC_BUDGET_KB_PER_S)} (syncs {figures["sync KB"]:.1f}, heartbeats {figures["heartbeat KB"]:.1f}, host list {figures["hosts KB"]:.1f}) |
| standby scheduler | the same, without renewals | as above: it watches every worker too | as above, less renewals | as above | as above |
| entry | requests in progress, watches, 35 organisations, runners' loads | {2 * figures["entry heartbeats/s"]:.0f} heartbeats on {3 * DATA_CENTRES} connections, {1 / LOG_READ_PERIOD_S:.1f} log reads, {1 / HOST_LIST_PERIOD_S:.1f} host lists | {_format_against_budget(figures["entry %"], CPU_BUDGET_PERCENT)}; callers' work on top: {figures["entry request %"]:.1f} at {SHORT_REQUESTS_PER_SECOND} short requests a second | {_format_against_budget(figures["entry MB"], MEMORY_BUDGET_MB)} | {_format_against_budget(figures["entry heartbeat KB"] + figures["entry hosts KB"], TRAFFIC_BUDGET_KB_PER_S)} (heartbeats {figures["entry heartbeat KB"]:.1f}, host list {figures["entry hosts KB"]:.1f}) |
| platform's log | {CONFIGURATION_CHANGES_PER_DAY} entries and {records_per_job} to 5 records a job a day, chunks of large inputs, snapshots | {jobs_per_s * records_per_job + CONFIGURATION_CHANGES_PER_DAY / SECONDS_PER_DAY:.2f} appends, mean of the day | the platform's | the platform's | the platform's |
| client | one request | one long poll a caller, renewed every 5 s | not a daemon: no budget | not a daemon: no budget | the answer's bytes |

What bounds the costs: one exchange per worker renews all of its leases (not one per task);
a worker answers it when something changes, so its period can grow with the number of workers
({RENEWAL_PERIOD_MS_PER_WORKER} ms each) without later notice of ended tasks; one acting scheduler
for each data centre, so cost is sharded by data centre; ledger and configuration are read
by long polls; tables are bounded (short requests waiting, ended jobs, cached inputs).
"""


def _render_timing(measurements):
    renew_s = max(4, WORKERS_PER_DATA_CENTRE * RENEWAL_PERIOD_MS_PER_WORKER / 1_000)
    lease_s = max(15, 3 * renew_s)
    rows = []
    for count in (1, 2, 3):
        takeover = "until it is started again" if count == 1 else "3.5 s silence + 1 s"
        failover = "restart within the lease" if count == 1 else "a peer takes over"
        rows.append(
            f"| {count} | {renew_s:.0f} | {lease_s:.0f} | 6.1 (worker reachable),"
            f" {lease_s:.0f} (unreachable) | {takeover} | {failover} |"
        )
    restarts_per_s = 140 / SECONDS_PER_DAY
    burst_exchanges = WORKERS_PER_DATA_CENTRE * 3
    return f"""## Periods, leases and the reclaim bound together

Renewal is one exchange per worker every {renew_s:.0f} s at {WORKERS_PER_DATA_CENTRE} workers; a lease lasts three
renewal periods. A reclaim doesn't wait for a period: the stop is a command, and the worker
reports its effect at once. Only for an unreachable worker must the lease lapse first.

| schedulers | renewal, s | lease, s | reclaim bound, s | takeover | outage, planned or not |
|---|---|---|---|---|---|
{chr(10).join(rows)}

| event | effect | load on the remaining hosts |
|---|---|---|
| normal operation | syncs and heartbeats as above | as above |
| the day's 140 restarts | {restarts_per_s * 3600:.1f} an hour; each is a drain, one handover, one recovery | a recovery reads {WORKERS_PER_DATA_CENTRE} reports and the ledger: {WORKERS_PER_DATA_CENTRE} exchanges once |
| a rack of 20 workers | 20 leases' worth of members lapse after {lease_s:.0f} s; gangs with a member there stop all members | about {20 * TASKS_PER_DATA_CENTRE / WORKERS_PER_DATA_CENTRE:.0f} tasks to clear: as many commands |
| a data centre | its jobs wait in its stream; idempotent new work goes to the next home | the load balancer sends its callers to other entries |
| a region link | each side continues with its own homes; configuration from the log where it is reachable | no added load: reconnects every 0.5 s a link |
| a whole data centre restarts | all workers report once, the ledger is read from its last snapshot | about {burst_exchanges} exchanges in the first seconds |
"""


def _render_log(measurements):
    _, _, snapshot, entry = measurements["configuration"][-1]
    record = measurements["ledger"][-1][2]
    jobs = JOBS_PER_DAY / DATA_CENTRES
    return f"""## Load on the log

| stream | appends a day | bytes a record | kept | a joining process reads |
|---|---|---|---|---|
| configuration | {CONFIGURATION_CHANGES_PER_DAY} and a snapshot each 100 | {entry} | retention; the snapshot ({snapshot} bytes) is renewed every 10 min | from the last snapshot: at most 100 entries |
| jobs of a data centre | {jobs:.0f} jobs, 2 records each, 3 where not idempotent | {record} with a small input | retention; a snapshot each 5,000 records or 30 min | the last snapshot and what follows |
| inputs of a data centre | one record for each 512 KiB of inputs over 8 KiB | 700,000 | retention: must outlive a job's deadline | nothing |

The mean is {JOBS_PER_DAY * 3 / SECONDS_PER_DAY + CONFIGURATION_CHANGES_PER_DAY / SECONDS_PER_DAY:.2f} appends a
second, against several hundred that the platform supports. A wave of 500 jobs within a second
at one entry is written in batches of up to 200 records: what arrives during one append is
written by the next, so a wave costs a few appends an entry and delays no record for longer
than one append. Non-idempotent work costs one more record, its intent, and waits for it once.
"""


def _render_planning(measurements):
    rows = [
        f"| {workers} | {tasks} | {members} x {accelerators} | {outcome} | {median_ms:.2f} |"
        for workers, tasks, members, accelerators, median_ms, outcome, _ in measurements[
            "plan"
        ]
    ]
    return "\n".join(
        [
            "## The placement decision",
            "",
            "One planning step, workers of 8 accelerators, 35 organisations with"
            " guarantees, one gang waiting; median of 15. The targets: 128 placed or"
            " refused under 10 ms at 200 workers, under 50 ms at 1,200.",
            "",
            "| workers | tasks | gang | outcome | median, ms |",
            "|---|---|---|---|---|",
            *rows,
            "",
        ]
    )


def _render_gaps(measurements, fit_line):
    figures = _estimate_figures(measurements, fit_line)
    return f"""## Where today's code exceeds the budget

- **The host list.** A scheduler reads its data centre's {WORKERS_PER_DATA_CENTRE} workers every
  {HOST_LIST_PERIOD_S} s: {figures["hosts KB"]:.0f} KB/s against {TRAFFIC_BUDGET_KB_PER_S}, and
  {figures["scheduler hosts %"]:.2f}% of a core (with all data centres' workers, it would be {DATA_CENTRES} times that). An
  entry reads its runners only: {RUNNERS_PER_DATA_CENTRE} of them, {figures["entry hosts KB"]:.1f} KB/s. Planned:
  asking for changes since a version; where the platform can't, one reader per data centre
  that forwards changes over existing connections.
- **Syncs.** {figures["sync KB"]:.1f} KB/s: a full report every {figures["renew_s"]:.0f} s. Planned:
  a digest in place of a report that didn't change, and the standby reading
  from the acting scheduler instead of from every worker.
- **Heartbeats.** {figures["heartbeat KB"]:.1f} KB/s and {figures["heartbeat %"]:.1f}% of a core at a
  scheduler, the largest part of its processor time, as each entry of each data
  centre connects to every scheduler. Both sides send one each second within a data centre
  and every {REMOTE_HEARTBEAT_PERIOD_S} s between data centres, where no decision depends on them. Planned:
  entries connect to only the acting scheduler of each remote data centre.
- **Threads.** Two per worker at a scheduler: {2 * WORKERS_PER_DATA_CENTRE} at {WORKERS_PER_DATA_CENTRE} workers, and one for
  each of {figures["connections"]:.0f} connections. They block while idle and cost only memory (part of
  the slope above); beyond 500 workers, a data centre would need links that share a thread.
- **Tasks without accelerators.** 4,200 tasks on 1,500 accelerators means that some need
  none; every task currently takes at least one.
- **Short work.** {figures["entry request %"]:.1f}% of a core at {SHORT_REQUESTS_PER_SECOND} requests a second
  is callers' work, not control plane, and determines the size of the entry hosts.
"""
