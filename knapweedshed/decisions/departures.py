"""Moves units off workers that are about to leave, before their runs end there.

A run that ends because its worker is gone can't be told from one that goes on out of
reach: its unit would wait until the worker's lease has expired. A run that is stopped
before is listed as ended, and its unit starts again at once.
"""

import math
from typing import NamedTuple

from knapweedshed.decisions.tracked_workers import COMPLETE_PERCENT, RunPhase
from knapweedshed.models.dispatch_actions import UnitMoved
from knapweedshed.models.work import unit_of_task, units_of_step

# For an order that waits for others, the answer that lists the end, and its record in
# the log, 100 ms each.
EXCHANGE_MS = 300
REVIEW_PERIOD_MS = 200  # moves are decided on each tick
# Estimates are off by up to 0.9 of their size; startups are short and vary less.
STARTUP_SAFETY_FACTOR = 1.25


class DepartingUnit(NamedTuple):
    """A unit with a run of which some tasks are on draining workers.

    `workers` are those `TrackedWorker`s; `leaves_at_ms` is the earliest time at which
    one of them may be gone, infinity if none has told.
    """

    unit: object
    step: object
    unit_run: object
    workers: tuple
    leaves_at_ms: float


def find_moves(ledger, workers, unit_runs, limits, now_ms):
    """Return a `UnitMoved` for each unit whose run is to be stopped now."""
    departing = _departing_units(ledger, workers, unit_runs)
    if not departing:
        return []
    departing.sort(key=lambda item: (item.leaves_at_ms, item.unit))
    return _lasting_moves(departing, workers, unit_runs, limits, now_ms)


def is_last_moment(leaves_at_ms, limits, now_ms):
    """Return whether a stop that is decided later may not end before the worker."""
    stop_ms = limits.stop_ms + EXCHANGE_MS
    return now_ms + REVIEW_PERIOD_MS + stop_ms > leaves_at_ms


def _departing_units(ledger, workers, unit_runs):
    """Return a `DepartingUnit` for each unit with a run on draining workers."""
    workers_by_unit = {}
    for worker in workers.values():
        if not worker.is_draining:
            continue
        for task, run in worker.assigned_runs:
            if not ledger.has_task(task):
                continue
            step = ledger.jobs[task.job_id].job.steps[task.step]
            unit = unit_of_task(task, step)
            unit_run = unit_runs.get(unit)
            if unit_run is None or unit_run.run != run:
                continue
            if unit_run.launched and not unit_run.ending:
                workers_by_unit.setdefault(unit, {})[worker.worker_id] = worker
    departing = []
    for unit, unit_workers in workers_by_unit.items():
        known = [
            worker.leaves_at_ms
            for worker in unit_workers.values()
            if worker.leaves_at_ms is not None
        ]
        step = ledger.jobs[unit.job_id].job.steps[unit.step]
        departing.append(
            DepartingUnit(
                unit,
                step,
                unit_runs[unit],
                tuple(unit_workers.values()),
                min(known, default=math.inf),
            )
        )
    return departing


def _lasting_moves(departing, workers, unit_runs, limits, now_ms):
    """Return the moves of long-running units, as many at a time as may be missed.

    Those that would otherwise end with their worker move in any case.
    """
    moves = []
    missing = {}
    for item in departing:
        step, key = item.step, item.unit[:3]
        if not step.lasting:
            continue
        if step.may_miss:
            if key not in missing:
                missing[key] = _count_missing(key, step, workers, unit_runs, now_ms)
            total = missing[key] + len(item.unit_run.workers_by_task)
            exceeds = missing[key] and total > step.may_miss
            if exceeds and not is_last_moment(item.leaves_at_ms, limits, now_ms):
                continue
            missing[key] = total
        moves.append(describe_move(item, workers, None, now_ms))
    return moves


def describe_move(item, workers, work_left_ms, now_ms):
    """Return the `UnitMoved` of a `DepartingUnit`."""
    unit_run = item.unit_run
    percents, answered_ms = [], []
    for task, worker_id in unit_run.workers_by_task.items():
        worker = workers[worker_id]
        assigned_run = worker.assigned_runs.get((task, unit_run.run))
        percents.append(assigned_run.percent if assigned_run else 0.0)
        answered_ms.append(worker.last_answer_ms)
    time_left_ms = None
    if item.leaves_at_ms < math.inf:
        time_left_ms = item.leaves_at_ms - now_ms
    return UnitMoved(
        item.unit,
        unit_run.run,
        tuple(worker.worker_id for worker in item.workers),
        time_left_ms,
        work_left_ms,
        min(percents),
        now_ms - min(answered_ms),
    )


def _count_missing(key, step, workers, unit_runs, now_ms):
    """Return how many tasks of a long-running step are not at work."""
    tasks_per_unit = step.count if step.gang else 1
    return tasks_per_unit * sum(
        not _is_at_work(unit_runs.get(unit), step, workers, now_ms)
        for unit in units_of_step(*key, step)
    )


def _is_at_work(unit_run, step, workers, now_ms):
    """Return whether all tasks of a long-running unit are past their startup.

    Workers list progress only every 2 s; until then the estimate of the startup counts.
    """
    if unit_run is None or unit_run.ending or not unit_run.launched:
        return False
    startup_ms = STARTUP_SAFETY_FACTOR * step.estimate_ms
    for task, worker_id in unit_run.workers_by_task.items():
        assigned_run = workers[worker_id].assigned_runs.get((task, unit_run.run))
        if assigned_run is None or assigned_run.phase == RunPhase.STOPPING:
            return False
        answered_ms = assigned_run.order_answered_ms
        if assigned_run.percent >= COMPLETE_PERCENT:
            continue
        if answered_ms < 0 or now_ms - answered_ms < startup_ms:
            return False
    return True
