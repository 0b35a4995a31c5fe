"""`make capacity-hosts`: slopes of a host of whole jobs, into docs/CAPACITY.md.

Pure decisions and codecs on this machine, no I/O: what a hold, a plan, a record and
the list of workers cost by the number of workers, and what that is at the design size.
"""

import json
import sys
import time
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from knapweedshed.codecs import json_text  # noqa: E402
from knapweedshed.codecs.catalogue import register_all  # noqa: E402
from knapweedshed.decisions.dispatch import Dispatcher  # noqa: E402
from knapweedshed.decisions.unit_runs import TimeLimits  # noqa: E402
from knapweedshed.decisions.work_ledger import WorkLedger  # noqa: E402
from knapweedshed.decisions.work_order import create_ordering_policy  # noqa: E402
from knapweedshed.models.service_configuration import (  # noqa: E402
    ConfiguredOrganisation,
    ServiceConfiguration,
)
from knapweedshed.models.work import (  # noqa: E402
    HoldAnswer,
    Resources,
    Step,
    Task,
    TaskRun,
    Unit,
    WorkerEntry,
    WorkJob,
)
from knapweedshed.models.work_records import (  # noqa: E402
    ActingClaimed,
    Launched,
    RunsLaunched,
    WorkAccepted,
)
from knapweedshed.platform.workers import decode_lists, encode_task  # noqa: E402

SIZES = (24, 176, 600, 1_200)
TASKS_A_WORKER_RATIO = 3.5  # 4,200 tasks on 1,200 workers
DESIGN_WORKERS = 1_200
DESIGN_JOBS_A_DAY = 4_500
SECONDS_A_DAY = 86_400
HOLDS_A_SECOND = 1.0  # of a worker: HOLD_WAIT_MS of links/worker_links.py
LISTS_A_SECOND = 1 / 0.3  # WORKERS_PERIOD_MS of links/feeds.py
LEARNS_A_SECOND = 2.0  # SPEED_UPDATE_PERIOD_MS of decisions/dispatch.py
TICKS_A_SECOND = 5.0  # TICK_MS of controllers/scheduling.py
REPEATS_COUNT = 9
BUDGET_PERCENT = 1.5
MARK = "\n## Hosts of whole jobs\n"
FOLDER = Path(__file__).resolve().parent.parent / "docs"
NEED = Resources(8_000, 10_000, 1)
CAPACITY = Resources(64_000, 131_072, 8)


def build(count):
    """Return (dispatcher, entries, lists by worker) with all workers half full."""
    ledger = WorkLedger()
    ledger.apply(0, ActingClaimed(1, "host"))
    entries = tuple(
        WorkerEntry(
            f"i-{n:010x}",
            "service",
            "",
            "place",
            False,
            CAPACITY,
            ("a", f"r1-{n // 6}"),
            1,
        )
        for n in range(count)
    )
    running = {entry.worker_id: [] for entry in entries}
    for number in range(int(count * TASKS_A_WORKER_RATIO)):
        job_id = f"{number:016x}"
        step = Step(1, NEED, 7_200_000)
        job = WorkJob(
            job_id, "q", "service", "o1", 1, 3, 3.0, 1_000, "text", (step,), 0
        )
        ledger.apply(1, WorkAccepted(job))
        entry = entries[number % count]
        unit = Unit(job_id, 0, 0, 0)
        launched = Launched(unit, 1, ((entry.worker_id, 1),))
        ledger.apply(2, RunsLaunched(1, (launched,)))
        running[entry.worker_id].append(TaskRun(Task(*unit), 1, "", 10.0))
    dispatcher = Dispatcher(ledger, TimeLimits(), create_ordering_policy(), 0)
    organisations = tuple(
        ConfiguredOrganisation(f"o{n}", (f"k{n}",), 20) for n in range(35)
    )
    dispatcher.configure(ServiceConfiguration(1, (), organisations))
    dispatcher.update_workers(entries, 0)
    lists = {
        worker_id: HoldAnswer(0, 1, tuple(runs), ())
        for worker_id, runs in running.items()
    }
    for worker_id, item in lists.items():
        dispatcher.handle_hold_answer(worker_id, item, 0, 0)
    return ledger, dispatcher, entries, lists


def timed_us(call):
    """Return the median time of a call in microseconds."""
    took = []
    for _ in range(REPEATS_COUNT):
        began = time.perf_counter()
        call()
        took.append((time.perf_counter() - began) * 1e6)
    return median(took)


def measure(count):
    """Return the costs in microseconds at `count` workers."""
    ledger, dispatcher, entries, lists = build(count)
    worker_id, item = next(iter(lists.items()))
    body = json.dumps(
        {
            "clock_ms": 1,
            "born": 1,
            "running": [
                [encode_task(run.task), run.run, run.saved, 10] for run in item.running
            ],
            "ended": [],
        }
    )
    job = next(iter(ledger.jobs.values())).job
    record = json_text.dumps(WorkAccepted(job))
    waiting = job._replace(
        job_id="f" * 16, steps=(Step(8, NEED, 7_200_000, gang=True),)
    )
    hold = timed_us(
        lambda: dispatcher.handle_hold_answer(
            worker_id, decode_lists(json_text.loads(body)), 1, 2
        )
    )
    for name, runs in lists.items():
        for run in runs.running:
            key = (run.task, run.run)
            job_id = run.task.job_id
            dispatcher._speeds.observe(key, job_id, name, 10.0, 5_000, 7_200_000, 1)
    tick = timed_us(lambda: dispatcher.tick(3))
    learn = timed_us(lambda: dispatcher._speeds.recompute(4))
    listed = timed_us(lambda: dispatcher.update_workers(entries, 5))
    fold = timed_us(lambda: ledger.apply(9, json_text.loads_message(record)))
    ledger.apply(10, WorkAccepted(waiting))
    plan = timed_us(lambda: _plan_and_take_back(dispatcher))
    return {
        "hold": hold,
        "tick": tick,
        "learn": learn,
        "list": listed,
        "fold": fold,
        "plan": plan,
    }


def _plan_and_take_back(dispatcher):
    for action in dispatcher.plan(6, 6):
        dispatcher.discard_launches(getattr(action, "launches", ()))


def section(points):
    """Return the section of docs/CAPACITY.md."""
    last = dict(points)[DESIGN_WORKERS]
    jobs_a_second = DESIGN_JOBS_A_DAY / SECONDS_A_DAY
    rates = {
        "hold": DESIGN_WORKERS * HOLDS_A_SECOND,
        "tick": TICKS_A_SECOND,
        "learn": LEARNS_A_SECOND,
        "list": LISTS_A_SECOND,
        "fold": 4 * jobs_a_second + 3,
        "plan": 3 * jobs_a_second + TICKS_A_SECOND,
    }
    names = {
        "hold": "a worker's answer to a hold, decoded and taken",
        "tick": "a tick over all members",
        "learn": "working speeds out",
        "list": "the list of workers, taken",
        "fold": "a record of the stream, decoded and folded",
        "plan": "a plan with one gang of 8 waiting",
    }
    heads = " | ".join(f"{count} workers" for count, _ in points)
    rows = []
    total = 0.0
    for key, name in names.items():
        share = rates[key] * last[key] / 1e4
        total += share
        cells = " | ".join(f"{values[key]:.0f}" for _, values in points)
        rows.append(f"| {name} | {cells} | {rates[key]:.3g} | {share:.2f} |")
    return "\n".join(
        [
            MARK.strip(),
            "",
            "Written by `make capacity-hosts`: the acting host's decisions and codecs,"
            " 3.5 tasks a worker, 35 teams, median of"
            f" {REPEATS_COUNT}, microseconds; no sockets, no threads.",
            "",
            f"| what | {heads} | a second at {DESIGN_WORKERS} | % of a core |",
            "|---|" + "---|" * (len(points) + 2),
            *rows,
            "",
            f"In sum {total:.1f}% of a core at {DESIGN_WORKERS} workers, against"
            f" {BUDGET_PERCENT}%, and sockets on top. What will carry it: holds of 2 s,"
            " the platform's longest, by a process in each data centre that passes on"
            " only what changed; plans that look only at workers that changed. Neither"
            " is built.",
            "",
        ]
    )


def main():
    """Measure, and write the section."""
    register_all()
    points = [(count, measure(count)) for count in SIZES]
    path = FOLDER / "measurements" / "hosts.json"
    path.write_text(json.dumps(dict(points), indent=1) + "\n")
    page = FOLDER / "CAPACITY.md"
    written = page.read_text().split(MARK)[0].rstrip()
    page.write_text(f"{written}\n\n{section(points)}")
    print(section(points))


if __name__ == "__main__":
    main()
