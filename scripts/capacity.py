"""`make capacity`: measures each role's slopes and works out docs/CAPACITY.md."""

import json
import os
import sys
import tempfile
import threading
import time
import tracemalloc
from pathlib import Path

import numpy

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from examples.cluster import Cluster  # noqa: E402
from examples.run import publish  # noqa: E402
from knapweedshed.clock import create_clock  # noqa: E402
from knapweedshed.codecs import cbor, json_text  # noqa: E402
from knapweedshed.codecs.catalogue import register_all  # noqa: E402
from knapweedshed.decisions import configuration as folds  # noqa: E402
from knapweedshed.decisions.cells import full_mask  # noqa: E402
from knapweedshed.decisions.ledger import Ledger  # noqa: E402
from knapweedshed.decisions.planner_factory import create_planner  # noqa: E402
from knapweedshed.links.entry_client import EntryClient, JobSubmission  # noqa: E402
from knapweedshed.models.configuration import Organisation, Urgency  # noqa: E402
from knapweedshed.models.jobs import InputReference, Job  # noqa: E402
from knapweedshed.models.ledger import JobAccepted, JobEnded  # noqa: E402
from knapweedshed.models.planning import (  # noqa: E402
    PlanningInput,
    RunningView,
    WaitingView,
    WorkerView,
)
from knapweedshed.models.shapes import Placement, Shape  # noqa: E402
from knapweedshed.models.wire import Heartbeat  # noqa: E402
from knapweedshed.models.workers import (  # noqa: E402
    Host,
    Labels,
    Lease,
    LeaseState,
    WorkerReport,
)
from knapweedshed.results import ResultCode  # noqa: E402
from scripts.capacity_hosts import MARK as HOSTS_MARK  # noqa: E402
from scripts.capacity_page import render  # noqa: E402

PORT = 29_000
IDLE_SECONDS = 12
LOAD_SECONDS = 8
FOLDER = Path(__file__).resolve().parent.parent / "docs"
TICKS = os.sysconf("SC_CLK_TCK")


def cpu_ms(pid):
    """Return a process's processor time so far, in milliseconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1_000 / TICKS


def memory_mb(pid):
    """Return a process's resident memory in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1_024
    return 0.0


def fit(points):
    """Return (slope, constant, r squared) of the line through (x, y) points."""
    xs, ys = (numpy.array(values, float) for values in zip(*points, strict=True))
    slope, constant = numpy.polyfit(xs, ys, 1)
    rest = ((ys - slope * xs - constant) ** 2).sum()
    spread = ((ys - ys.mean()) ** 2).sum()
    return float(slope), float(constant), float(1 - rest / spread) if spread else 1.0


def cost_us(function, seconds=0.4):
    """Return the processor time of one call in microseconds."""
    function()
    count = 0
    began = time.process_time()
    while time.process_time() - began < seconds:
        function()
        count += 1
    return (time.process_time() - began) / count * 1_000_000


def idle(workers, entries):
    """Return the idle cost of one data centre's acting scheduler and of an entry."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            PORT,
            folder,
            ("one",),
            entries,
            1,
            {"workers": workers, "runners": 4, "rack_size": 8, "threads": workers + 80},
        )
        cluster.start()
        try:
            time.sleep(4)
            pids = [cluster.schedulers[0].pid, cluster.entries[0].pid]
            before = [cpu_ms(pid) for pid in pids]
            time.sleep(IDLE_SECONDS)
            spent = [cpu_ms(pid) - b for pid, b in zip(pids, before, strict=True)]
            return {
                "scheduler %": spent[0] / IDLE_SECONDS / 10,
                "entry %": spent[1] / IDLE_SECONDS / 10,
                "scheduler MB": memory_mb(pids[0]),
                "entry MB": memory_mb(pids[1]),
            }
        finally:
            cluster.close()


def loaded(rates):
    """Return [(short requests a second, entry's processor %)] for the rates."""
    points = []
    with tempfile.TemporaryDirectory() as folder:
        standin = {"workers": 2, "runners": 8, "threads": 120}
        cluster = Cluster(PORT, folder, ("tunis", "monastir"), 1, 1, standin)
        cluster.start()
        try:
            publish(cluster, folder)
            for rate in rates:
                points.append(_load_once(cluster, rate))
        finally:
            cluster.close()
    return points


def _load_once(cluster, rate):
    stop = threading.Event()
    sent = []

    def call():
        client = EntryClient(create_clock(), cluster.entry_addresses[:1])
        while not stop.wait(1):
            work = JobSubmission(
                "chariot-planning", "cart-check", "", b"#run_ms=20\na,1,1\n"
            )
            sent.append(client.run(work, 5_000).code)
        client.close()

    callers = [threading.Thread(target=call) for _ in range(rate)]
    for caller in callers:
        caller.start()
    time.sleep(1.5)
    pid = cluster.entries[0].pid
    before, count = cpu_ms(pid), len(sent)
    time.sleep(LOAD_SECONDS)
    spent, done = cpu_ms(pid) - before, len(sent) - count
    stop.set()
    for caller in callers:
        caller.join()
    return done / LOAD_SECONDS, spent / LOAD_SECONDS / 10


def report_cost(leases):
    """Return (decoding microseconds, bytes) of a worker's report."""
    labels = Labels("north.k.c", 1, 0, 1, "acme", False, True, True, "normal", 0)
    rows = tuple(
        Lease(f"worker-17~incarnation~{i}", labels, (i,), LeaseState.RUNNING, 9_000)
        for i in range(leases)
    )
    report = WorkerReport("worker-17", "incarnation", 8, 1.0, 3, rows)
    data = json_text.dumps(report)
    return cost_us(lambda: json_text.loads_message(data)), len(data)


def hosts_cost(count):
    """Return (decoding microseconds, bytes) of the host list."""
    host = Host("worker-1000", "worker", "north", "rack-100", "10.0.0.1:20000")
    data = json.dumps({"hosts": [host._asdict()] * count})
    decode = cost_us(lambda: [Host(**row) for row in json_text.loads(data)["hosts"]])
    return decode, len(data)


def ledger_cost(jobs):
    """Return (microseconds a record, bytes of memory an open job, an ended job)."""
    made = [_job(i) for i in range(jobs)]
    tracemalloc.start()
    ledger = Ledger()
    before = tracemalloc.get_traced_memory()[0]
    began = time.process_time()
    for offset, job in enumerate(made):
        ledger.apply(offset, JobAccepted(job))
    spent = time.process_time() - began
    for offset, job in enumerate(made, start=jobs):
        ledger.apply(offset, JobEnded(job.job_id, ResultCode.OK))
    ended = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return (
        spent / jobs * 1_000_000,
        len(json_text.dumps(JobAccepted(made[0]))),
        ended / jobs,
    )


def _job(number):
    name = f"north.{number:020d}.abcdefabcdef"
    reference = InputReference(100, "0" * 64, inline=b"x" * 100)
    return Job(
        name,
        "organisation",
        "service",
        f"1796000000-{number}",
        "program",
        "north",
        Shape(1, 2),
        Urgency.NORMAL,
        True,
        True,
        60_000,
        0,
        10**13,
        reference,
    )


def configuration_cost(count):
    """Return (microseconds to fold one entry, snapshot's bytes) at `count` teams."""
    services = [
        {"name": f"s{i}", "program": "p", "shape": {"accelerators": 2}}
        for i in range(4)
    ]
    fold = folds.ConfigurationFold()
    for number in range(count):
        plain = _entry(f"team{number}", -1, services)
        fold = folds.apply_record(fold, number, plain)
    plain = _entry("team0", 0, services)
    micros = cost_us(lambda: folds.apply_record(fold, count, plain))
    return micros, len(json_text.dumps(fold.configuration)), len(json_text.dumps(plain))


def _entry(name, base, services):
    part = {"data_centres": ["north"], "services": services}
    return {
        "schema": 1,
        "id": f"{name}{base}",
        "base": {name: base},
        "parts": {name: part},
    }


def plan_cost(workers, tasks, gang, accelerators):
    """Return the median milliseconds of one planning step with a gang waiting."""
    free = {f"w{number}": full_mask(8) for number in range(workers)}
    names = list(free)
    running = []
    for number in range(tasks):
        name = names[number * 7 % workers]
        index = free[name].bit_length() - 1
        free[name] &= ~(1 << index)
        place = Placement(name, (index,))
        running.append(
            RunningView(f"r{number}", "team1", Shape(), (place,), 0, 10**6, True, 10)
        )
    rows = [
        WorkerView(name, f"rack{number // 20}", 8, 1.0, free[name])
        for number, name in enumerate(names)
    ]
    waiting = WaitingView(
        "gang", "team0", Shape(gang, accelerators), Urgency.NORMAL, 0, 10**6, True
    )
    teams = tuple(
        Organisation(f"team{i}", ("north",), (("north", Shape(1, 1), 2),))
        for i in range(35)
    )
    known = tuple((row.rack, row.accelerators) for row in rows)
    situation = PlanningInput(
        0, "north", tuple(rows), tuple(running), (waiting,), teams, (), known
    )
    planner = create_planner()
    times = []
    for _ in range(15):
        began = time.perf_counter()
        plan = planner.plan(situation)
        times.append((time.perf_counter() - began) * 1_000)
    said = "placed" if plan.launches else "refused" if plan.refusals else "waits"
    return float(numpy.median(times)), said, len(running)


def measure():
    """Return all slopes with the points that they were fitted to."""
    register_all()
    sizes = (6, 24, 48, 96)
    by_workers = [(n, idle(n, 1)) for n in sizes]
    by_entries = [(n, idle(6, n)) for n in (1, 3, 5, 8)]
    heartbeat = Heartbeat(
        "scheduler@10.0.0.1:20000",
        "i" * 32,
        "scheduler",
        "north",
        "",
        True,
        True,
        False,
        9,
    )
    encoded = cbor.encode(heartbeat)
    return {
        "by_workers": by_workers,
        "by_entries": by_entries,
        "load": loaded((5, 15, 30, 45)),
        "report": [(n, *report_cost(n)) for n in (0, 2, 4, 8, 16)],
        "hosts": [(n, *hosts_cost(n)) for n in (50, 200, 600, 1_200)],
        "ledger": [(n, *ledger_cost(n)) for n in (500, 1_000, 2_000, 4_500)],
        "configuration": [(n, *configuration_cost(n)) for n in (4, 10, 20, 35)],
        "plan": [
            (*case, *plan_cost(*case))
            for case in (
                (50, 175, 32, 2),
                (100, 350, 64, 2),
                (200, 700, 128, 2),
                (200, 700, 128, 8),
                (200, 700, 400, 8),
                (600, 2_100, 128, 2),
                (1_200, 4_200, 128, 2),
            )
        ],
        "heartbeat": (
            len(encoded),
            cost_us(lambda: cbor.encode(heartbeat)),
            cost_us(lambda: cbor.decode(encoded)),
        ),
    }


def main():
    """Measure, and write the page."""
    slopes = measure()
    (FOLDER / "measurements" / "capacity.json").write_text(json.dumps(slopes, indent=1))
    page = render(slopes, fit)
    path = FOLDER / "CAPACITY.md"
    _, mark, hosts = path.read_text().partition(HOSTS_MARK)
    path.write_text(page + mark + hosts)
    print(page)


if __name__ == "__main__":
    main()
