"""Adopts the runs that earlier acting schedulers may have started."""

from knapweedshed.decisions.tracked_workers import (
    MIN_CLOCK_RATE_RATIO,
    AssignedRun,
    RunPhase,
    TrackedWorker,
)
from knapweedshed.decisions.unit_runs import UnitRun
from knapweedshed.decisions.units import step_of
from knapweedshed.models.work import tasks_of_unit


def adopt_launches(ledger, workers, limits, now_ms):
    """Return {unit: `UnitRun`} of the launches in the log that are not done.

    Each task is also added to its worker in `workers`; missing workers are added. The
    lease of a worker that can't be reached expires once a predecessor has acted for as
    long as it may without reading the log, and one lease has passed after that.
    """
    unit_runs = {}
    lease_ms = int(limits.lease_ms / MIN_CLOCK_RATE_RATIO)
    lease_expiry_ms = now_ms + limits.max_acting_without_log_ms + lease_ms
    for progress in ledger.jobs.values():
        for unit, launched in progress.launched.items():
            if unit in progress.done:
                continue
            step = step_of(progress.job, unit)
            workers_by_task = {}
            tasks = tasks_of_unit(unit, step)
            for task, placement in zip(tasks, launched.workers, strict=True):
                worker = _worker_at(workers, placement, lease_expiry_ms, limits, now_ms)
                worker.assigned_runs[task, launched.run] = AssignedRun(
                    task, launched.run, step.need, RunPhase.RUNNING, now_ms, now_ms
                )
                workers_by_task[task] = worker.worker_id
            unit_runs[unit] = UnitRun(
                unit,
                launched.run,
                workers_by_task,
                not progress.active,
                now_ms,
                True,
                tuple(worker_id for worker_id, _ in launched.workers),
                True,
            )
    return unit_runs


def _worker_at(workers, placement, lease_expiry_ms, limits, now_ms):
    """Return the tracked worker at (worker id, incarnation), added if missing."""
    worker_id, incarnation = placement
    worker = workers.get(worker_id)
    if worker is None:
        worker = workers[worker_id] = TrackedWorker(
            worker_id, incarnation, lease_expiry_ms, limits.lease_ms
        )
    elif worker.incarnation < incarnation:
        worker.handle_restart(incarnation, now_ms)
    return worker
