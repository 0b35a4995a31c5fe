"""`make capacity-hosts`: costs of a host that schedules jobs, for docs/CAPACITY.md.

Measures decisions and codecs without I/O: the cost of a hold request, a plan, a log
record and the list of workers by number of workers, and their CPU share at the design
size. A hold request is a long poll that renews a worker's lease and returns its runs.
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
from knapweedshed.platform.workers import decode_hold_answer, encode_task  # noqa: E402

WORKER_COUNTS = (24, 176, 600, 1_200)
TASKS_PER_WORKER = 3.5  # 4,200 tasks on 1,200 workers
DESIGN_WORKERS = 1_200
DESIGN_JOBS_PER_DAY = 4_500
SECONDS_PER_DAY = 86_400
HOLDS_PER_SECOND_PER_WORKER = 1.0  # from MIN_HOLD_WAIT_MS in links/worker_links.py
LIST_UPDATES_PER_SECOND = 1 / 0.3  # from WORKER_LIST_PERIOD_MS in links/feeds.py
SPEED_UPDATES_PER_SECOND = 2.0  # from SPEED_UPDATE_PERIOD_MS in decisions/dispatch.py
TICKS_PER_SECOND = 5.0  # from TICK_PERIOD_MS in controllers/scheduling.py
REPETITION_COUNT = 9
CPU_BUDGET_PERCENT = 1.5
HOSTS_SECTION_HEADING = "\n## Hosts of whole jobs\n"
DOCS_FOLDER = Path(__file__).resolve().parent.parent / "docs"
TASK_NEED = Resources(8_000, 10_000, 1)
WORKER_CAPACITY = Resources(64_000, 131_072, 8)


def build_dispatcher(count):
    """Return (ledger, dispatcher, worker entries, hold answers by worker id).

    Each of the `count` workers runs TASKS_PER_WORKER tasks of one accelerator, nearly
    half of its accelerators.
    """
    ledger = WorkLedger()
    ledger.apply(0, ActingClaimed(1, "host"))
    entries = tuple(
        WorkerEntry(
            f"i-{n:010x}",
            "service",
            "",
            "place",
            False,
            WORKER_CAPACITY,
            ("a", f"r1-{n // 6}"),
            1,
        )
        for n in range(count)
    )
    runs_by_worker = {entry.worker_id: [] for entry in entries}
    for number in range(int(count * TASKS_PER_WORKER)):
        job_id = f"{number:016x}"
        step = Step(1, TASK_NEED, 7_200_000)
        job = WorkJob(
            job_id, "q", "service", "o1", 1, 3, 3.0, 1_000, "text", (step,), 0
        )
        ledger.apply(1, WorkAccepted(job))
        entry = entries[number % count]
        unit = Unit(job_id, 0, 0, 0)
        launched = Launched(unit, 1, ((entry.worker_id, 1),))
        ledger.apply(2, RunsLaunched(1, (launched,)))
        runs_by_worker[entry.worker_id].append(TaskRun(Task(*unit), 1, "", 10.0))
    dispatcher = Dispatcher(ledger, TimeLimits(), create_ordering_policy(), 0)
    organisations = tuple(
        ConfiguredOrganisation(f"o{n}", (f"k{n}",), 20) for n in range(35)
    )
    dispatcher.configure(ServiceConfiguration(1, (), organisations))
    dispatcher.update_workers(entries, 0)
    hold_answers = {
        worker_id: HoldAnswer(0, 1, tuple(runs), (), True)
        for worker_id, runs in runs_by_worker.items()
    }
    for worker_id, hold_answer in hold_answers.items():
        dispatcher.handle_hold_answer(worker_id, hold_answer, 0, 0)
    return ledger, dispatcher, entries, hold_answers


def median_time_us(call):
    """Return the median wall-clock time of a call in microseconds."""
    times_us = []
    for _ in range(REPETITION_COUNT):
        started = time.perf_counter()
        call()
        times_us.append((time.perf_counter() - started) * 1e6)
    return median(times_us)


def measure_costs(count):
    """Return the cost of each operation in microseconds, with `count` workers."""
    ledger, dispatcher, entries, hold_answers = build_dispatcher(count)
    worker_id, hold_answer = next(iter(hold_answers.items()))
    body = json.dumps(
        {
            "clock_ms": 1,
            "born": 1,
            "running": [
                [encode_task(run.task), run.run, run.saved, 10]
                for run in hold_answer.running
            ],
            "ended": [],
        }
    )
    job = next(iter(ledger.jobs.values())).job
    record = json_text.dumps(WorkAccepted(job))
    waiting = job._replace(
        job_id="f" * 16, steps=(Step(8, TASK_NEED, 7_200_000, gang=True),)
    )
    hold_us = median_time_us(
        lambda: dispatcher.handle_hold_answer(
            worker_id, decode_hold_answer(json_text.loads(body)), 1, 2
        )
    )
    for name, runs in hold_answers.items():
        for run in runs.running:
            key = (run.task, run.run)
            job_id = run.task.job_id
            dispatcher._speeds.observe(key, job_id, name, 10.0, 5_000, 7_200_000, 1)
    tick_us = median_time_us(lambda: dispatcher.tick(3))
    learn_us = median_time_us(lambda: dispatcher._speeds.recompute(4))
    list_us = median_time_us(lambda: dispatcher.update_workers(entries, 5))
    fold_us = median_time_us(lambda: ledger.apply(9, json_text.loads_message(record)))
    ledger.apply(10, WorkAccepted(waiting))
    plan_us = median_time_us(lambda: _plan_and_discard(dispatcher))
    return {
        "hold": hold_us,
        "tick": tick_us,
        "learn": learn_us,
        "list": list_us,
        "fold": fold_us,
        "plan": plan_us,
    }


def _plan_and_discard(dispatcher):
    for action in dispatcher.plan(6, 6):
        dispatcher.discard_launches(getattr(action, "launches", ()))


def render_section(points):
    """Return the section of docs/CAPACITY.md for (worker count, costs) points."""
    design_costs = dict(points)[DESIGN_WORKERS]
    jobs_per_second = DESIGN_JOBS_PER_DAY / SECONDS_PER_DAY
    rates_per_second = {
        "hold": DESIGN_WORKERS * HOLDS_PER_SECOND_PER_WORKER,
        "tick": TICKS_PER_SECOND,
        "learn": SPEED_UPDATES_PER_SECOND,
        "list": LIST_UPDATES_PER_SECOND,
        "fold": 4 * jobs_per_second + 3,
        "plan": 3 * jobs_per_second + TICKS_PER_SECOND,
    }
    labels = {
        "hold": "a worker's answer to a hold, decoded and applied",
        "tick": "a tick over all workers",
        "learn": "recomputing worker speeds",
        "list": "the list of workers, applied",
        "fold": "a record of the stream, decoded and applied",
        "plan": "a plan with one gang of 8 waiting",
    }
    column_heads = " | ".join(f"{count} workers" for count, _ in points)
    rows = []
    total_percent = 0.0
    for key, label in labels.items():
        cpu_percent = rates_per_second[key] * design_costs[key] / 1e4
        total_percent += cpu_percent
        cells = " | ".join(f"{costs_us[key]:.0f}" for _, costs_us in points)
        rows.append(
            f"| {label} | {cells} | {rates_per_second[key]:.3g} | {cpu_percent:.2f} |"
        )
    return "\n".join(
        [
            HOSTS_SECTION_HEADING.strip(),
            "",
            "Written by `make capacity-hosts`: the acting host's decisions and codecs,"
            " 3.5 tasks per worker, 35 organisations, median of"
            f" {REPETITION_COUNT}, microseconds; no sockets, no threads.",
            "",
            f"| what | {column_heads} | a second at {DESIGN_WORKERS} | % of a core |",
            "|---|" + "---|" * (len(points) + 2),
            *rows,
            "",
            f"In total {total_percent:.1f}% of a core at {DESIGN_WORKERS} workers,"
            f" without sockets, against a budget of {CPU_BUDGET_PERCENT}%. Planned, not"
            " built: holds of 2 s, the platform's longest, by a process in each data"
            " centre that forwards changes only; plans that read only workers that"
            " changed.",
            "",
        ]
    )


def main():
    """Measure, and replace the section of the page."""
    register_all()
    points = [(count, measure_costs(count)) for count in WORKER_COUNTS]
    path = DOCS_FOLDER / "measurements" / "hosts.json"
    path.write_text(json.dumps(dict(points), indent=1) + "\n")
    page = DOCS_FOLDER / "CAPACITY.md"
    other_sections = page.read_text().split(HOSTS_SECTION_HEADING)[0].rstrip()
    page.write_text(f"{other_sections}\n\n{render_section(points)}")
    print(render_section(points))


if __name__ == "__main__":
    main()
