"""Describes ordered stops, so that work lost when capacity is short can be explained.

Every stop is described once, a gang as a whole. This decides nothing.
"""

from knapweedshed.models.dispatch_actions import RunStopped, StopCause
from knapweedshed.models.work import GANG_INDEX, Unit, WorkState


def cause_of_preemption(preempted):
    """Return why the units of a `Preempted` are stopped."""
    if preempted.guaranteed:
        return StopCause.PREEMPTED_FOR_GUARANTEED
    return StopCause.PREEMPTED_FOR_URGENT


def cause_of_broken_gang(worker):
    """Return why a gang is stopped that has lost its run on `worker`, if that is known.

    `worker` is a `TrackedWorker`, or None for a run that was not started.
    """
    if worker is not None and worker.life.leaving:
        return StopCause.WORKER_LEAVING
    return StopCause.GANG_MEMBER_FAILED


def cause_of_ended_job(progress):
    """Return why runs are stopped whose job is over, or has been forgotten (None)."""
    if progress is not None and progress.state == WorkState.CANCELLED:
        return StopCause.CANCELLED
    return StopCause.SUPERSEDED


def describe_unit_stop(unit_run, cause, ledger, workers, now_ms):
    """Return [`RunStopped`] for a `UnitRun` with the tasks that it still has."""
    assigned_runs = [
        workers[worker_id].assigned_runs.get((task, unit_run.run))
        for task, worker_id in unit_run.workers_by_task.items()
        if worker_id in workers
    ]
    assigned_runs = [assigned_run for assigned_run in assigned_runs if assigned_run]
    progress = ledger.jobs.get(unit_run.unit.job_id)
    was_saved = progress is not None and unit_run.unit in progress.saved
    return [
        RunStopped(
            unit_run.unit,
            unit_run.run,
            cause,
            min((assigned_run.percent for assigned_run in assigned_runs), default=0.0),
            now_ms - unit_run.started_ms,
            was_saved or any(assigned_run.saved for assigned_run in assigned_runs),
            tuple(unit_run.workers_by_task.values()),
        )
    ]


def describe_task_stop(worker, assigned_run, cause, ledger, now_ms):
    """Return [`RunStopped`] for one task's run that belongs to no unit's run."""
    task = assigned_run.task
    unit = Unit(*task)
    if ledger.has_task(task):
        if ledger.jobs[task.job_id].job.steps[task.step].gang:
            unit = unit._replace(index=GANG_INDEX)
    return [
        RunStopped(
            unit,
            assigned_run.run,
            cause,
            assigned_run.percent,
            now_ms - assigned_run.started_ms if assigned_run.started_ms else 0,
            bool(assigned_run.saved),
            (worker.worker_id,),
        )
    ]
