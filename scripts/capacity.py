"""`make capacity`: measures each role's costs and writes docs/CAPACITY.md.

Also writes the measured points to docs/measurements/capacity.json.
"""

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
from knapweedshed.decisions import configuration  # noqa: E402
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
from scripts.capacity_hosts import HOSTS_SECTION_HEADING  # noqa: E402
from scripts.capacity_page import render  # noqa: E402

BASE_PORT = 29_000
IDLE_WINDOW_S = 12
LOAD_WINDOW_S = 8
DOCS_FOLDER = Path(__file__).resolve().parent.parent / "docs"
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_ms(pid):
    """Return the CPU time that a process has used since its start, in milliseconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * 1_000 / CLOCK_TICKS_PER_SECOND


def memory_mb(pid):
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1_024
    return 0.0


def fit_line(points):
    """Return (slope, intercept, r squared) of the line fitted to (x, y) points."""
    x_values, y_values = (
        numpy.array(values, float) for values in zip(*points, strict=True)
    )
    slope, intercept = numpy.polyfit(x_values, y_values, 1)
    residual = ((y_values - slope * x_values - intercept) ** 2).sum()
    spread = ((y_values - y_values.mean()) ** 2).sum()
    return (
        float(slope),
        float(intercept),
        float(1 - residual / spread) if spread else 1.0,
    )


def cpu_time_us(function, seconds=0.4):
    """Return a call's mean CPU time in microseconds; measures for `seconds` of it."""
    function()
    count = 0
    started = time.process_time()
    while time.process_time() - started < seconds:
        function()
        count += 1
    return (time.process_time() - started) / count * 1_000_000


def measure_idle(workers, entries):
    """Return idle CPU (% of a core) and memory (MB): acting scheduler and one entry.

    The cluster has one data centre, with `workers` workers and `entries` entries.
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            BASE_PORT,
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
            time.sleep(IDLE_WINDOW_S)
            cpu_used_ms = [
                cpu_ms(pid) - start_ms
                for pid, start_ms in zip(pids, before, strict=True)
            ]
            return {
                "scheduler %": cpu_used_ms[0] / IDLE_WINDOW_S / 10,
                "entry %": cpu_used_ms[1] / IDLE_WINDOW_S / 10,
                "scheduler MB": memory_mb(pids[0]),
                "entry MB": memory_mb(pids[1]),
            }
        finally:
            cluster.close()


def measure_load(caller_counts):
    """Return [(short requests per second, CPU % of the entry)], one per caller count.

    Each caller sends about one request per second.
    """
    points = []
    with tempfile.TemporaryDirectory() as folder:
        standin = {"workers": 2, "runners": 8, "threads": 120}
        cluster = Cluster(BASE_PORT, folder, ("tunis", "monastir"), 1, 1, standin)
        cluster.start()
        try:
            publish(cluster, folder)
            for caller_count in caller_counts:
                points.append(_measure_load_at(cluster, caller_count))
        finally:
            cluster.close()
    return points


def _measure_load_at(cluster, caller_count):
    stop = threading.Event()
    result_codes = []

    def send_requests():
        client = EntryClient(create_clock(), cluster.entry_addresses[:1])
        while not stop.wait(1):
            submission = JobSubmission(
                "chariot-planning", "cart-check", "", b"#run_ms=20\na,1,1\n"
            )
            result_codes.append(client.run(submission, 5_000).code)
        client.close()

    callers = [threading.Thread(target=send_requests) for _ in range(caller_count)]
    for caller in callers:
        caller.start()
    time.sleep(1.5)
    pid = cluster.entries[0].pid
    before, count = cpu_ms(pid), len(result_codes)
    time.sleep(LOAD_WINDOW_S)
    cpu_used_ms, done = cpu_ms(pid) - before, len(result_codes) - count
    stop.set()
    for caller in callers:
        caller.join()
    return done / LOAD_WINDOW_S, cpu_used_ms / LOAD_WINDOW_S / 10


def measure_report(leases):
    """Return (decoding time in microseconds, size in bytes) of a worker's report."""
    labels = Labels("north.k.c", 1, 0, 1, "acme", False, True, True, "normal", 0)
    rows = tuple(
        Lease(f"worker-17~incarnation~{i}", labels, (i,), LeaseState.RUNNING, 9_000)
        for i in range(leases)
    )
    report = WorkerReport("worker-17", "incarnation", 8, 1.0, 3, rows)
    data = json_text.dumps(report)
    return cpu_time_us(lambda: json_text.loads_message(data)), len(data)


def measure_host_list(count):
    """Return (decoding time in microseconds, size in bytes) of a list of hosts."""
    host = Host("worker-1000", "worker", "north", "rack-100", "10.0.0.1:20000")
    data = json.dumps({"hosts": [host._asdict()] * count})
    decode = cpu_time_us(
        lambda: [Host(**row) for row in json_text.loads(data)["hosts"]]
    )
    return decode, len(data)


def measure_ledger(jobs):
    """Return (microseconds per record, bytes per encoded record, bytes per ended job).

    The first is the time to apply a record of an accepted job to a ledger that reaches
    `jobs` jobs; the last is the memory that the ledger keeps of a job after its end.
    """
    sample_jobs = [_sample_job(i) for i in range(jobs)]
    tracemalloc.start()
    ledger = Ledger()
    before = tracemalloc.get_traced_memory()[0]
    started = time.process_time()
    for offset, job in enumerate(sample_jobs):
        ledger.apply(offset, JobAccepted(job))
    cpu_s = time.process_time() - started
    for offset, job in enumerate(sample_jobs, start=jobs):
        ledger.apply(offset, JobEnded(job.job_id, ResultCode.OK))
    ended_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return (
        cpu_s / jobs * 1_000_000,
        len(json_text.dumps(JobAccepted(sample_jobs[0]))),
        ended_bytes / jobs,
    )


def _sample_job(number):
    job_id = f"north.{number:020d}.abcdefabcdef"
    reference = InputReference(100, "0" * 64, inline=b"x" * 100)
    return Job(
        job_id,
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


def measure_configuration(count):
    """Return (microseconds per entry, snapshot bytes, entry bytes).

    The first is the time to apply an entry to a configuration of `count` organisations.
    """
    services = [
        {"name": f"s{i}", "program": "p", "shape": {"accelerators": 2}}
        for i in range(4)
    ]
    fold = configuration.ConfigurationFold()
    for number in range(count):
        entry = _configuration_entry(f"team{number}", -1, services)
        fold = configuration.apply_entry(fold, number, entry)
    entry = _configuration_entry("team0", 0, services)
    apply_us = cpu_time_us(lambda: configuration.apply_entry(fold, count, entry))
    return (
        apply_us,
        len(json_text.dumps(fold.configuration)),
        len(json_text.dumps(entry)),
    )


def _configuration_entry(name, base, services):
    part = {"data_centres": ["north"], "services": services}
    return {
        "schema": 1,
        "id": f"{name}{base}",
        "base": {name: base},
        "parts": {name: part},
    }


def measure_plan(workers, tasks, gang, accelerators):
    """Return (median planning time in ms, outcome, running tasks) for a waiting gang.

    The gang has `gang` members with `accelerators` accelerators each.
    """
    free = {f"w{number}": full_mask(8) for number in range(workers)}
    names = list(free)
    running = []
    for number in range(tasks):
        name = names[number * 7 % workers]
        index = free[name].bit_length() - 1
        free[name] &= ~(1 << index)
        placement = Placement(name, (index,))
        running.append(
            RunningView(
                f"r{number}", "team1", Shape(), (placement,), 0, 10**6, True, 10
            )
        )
    rows = [
        WorkerView(name, f"rack{number // 20}", 8, 1.0, free[name])
        for number, name in enumerate(names)
    ]
    waiting = WaitingView(
        "gang", "team0", Shape(gang, accelerators), Urgency.NORMAL, 0, 10**6, True
    )
    organisations = tuple(
        Organisation(f"team{i}", ("north",), (("north", Shape(1, 1), 2),))
        for i in range(35)
    )
    worker_sizes = tuple((row.rack, row.accelerators) for row in rows)
    planning_input = PlanningInput(
        0,
        "north",
        tuple(rows),
        tuple(running),
        (waiting,),
        organisations,
        (),
        worker_sizes,
    )
    planner = create_planner()
    times_ms = []
    for _ in range(15):
        started = time.perf_counter()
        plan = planner.plan(planning_input)
        times_ms.append((time.perf_counter() - started) * 1_000)
    outcome = "placed" if plan.launches else "refused" if plan.refusals else "waits"
    return float(numpy.median(times_ms)), outcome, len(running)


def measure_all():
    """Return the points of all measurements by name, as stored in capacity.json."""
    register_all()
    worker_counts = (6, 24, 48, 96)
    by_workers = [(n, measure_idle(n, 1)) for n in worker_counts]
    by_entries = [(n, measure_idle(6, n)) for n in (1, 3, 5, 8)]
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
        "load": measure_load((5, 15, 30, 45)),
        "report": [(n, *measure_report(n)) for n in (0, 2, 4, 8, 16)],
        "hosts": [(n, *measure_host_list(n)) for n in (50, 200, 600, 1_200)],
        "ledger": [(n, *measure_ledger(n)) for n in (500, 1_000, 2_000, 4_500)],
        "configuration": [(n, *measure_configuration(n)) for n in (4, 10, 20, 35)],
        "plan": [
            (*case, *measure_plan(*case))
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
            cpu_time_us(lambda: cbor.encode(heartbeat)),
            cpu_time_us(lambda: cbor.decode(encoded)),
        ),
    }


def main():
    """Measure, and write the page; keeps the section of `make capacity-hosts`."""
    measurements = measure_all()
    (DOCS_FOLDER / "measurements" / "capacity.json").write_text(
        json.dumps(measurements, indent=1)
    )
    page = render(measurements, fit_line)
    path = DOCS_FOLDER / "CAPACITY.md"
    _, heading, hosts_section = path.read_text().partition(HOSTS_SECTION_HEADING)
    path.write_text(page + heading + hosts_section)
    print(page)


if __name__ == "__main__":
    main()
