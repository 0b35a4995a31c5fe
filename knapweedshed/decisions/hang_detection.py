"""Detects workers on which no run progresses, and the runs to move away from them."""

from knapweedshed.decisions.tracked_workers import RunPhase
from knapweedshed.models.dispatch_actions import WorkerHung

MIN_STALL_MS = 1_800  # nearly two hold answers, 1 s apart, without progress
# The stall limit is longer by the time that a slow worker takes for this much progress.
STALL_PROGRESS_PERCENT = 3
SLOW_WORKER_SPEED_RATIO = 0.5
HANG_QUARANTINE_MS = 2_500  # a hanging worker is checked again after this


def find_hanging_workers(ledger, workers, now_ms):
    """Return [(worker, `WorkerHung`, keys of the assigned runs to move)].

    A run moves if that loses no more work than the time that it has been stalled.
    """
    hanging = []
    for worker in workers.values():
        if not worker.is_hanging(
            now_ms, lambda assigned_run: _stall_limit_ms(ledger, assigned_run)
        ):
            continue
        movable = [
            key
            for key, assigned_run in worker.assigned_runs.items()
            if assigned_run.phase == RunPhase.RUNNING
            and assigned_run.reported
            and _lost_work_ms(ledger, assigned_run)
            <= now_ms - assigned_run.progressed_ms
        ]
        hanging.append((worker, _describe_hang(worker, now_ms), movable))
    return hanging


def _stall_limit_ms(ledger, assigned_run):
    """Return how long a run may go without progress before it counts as stalled."""
    progress = ledger.jobs.get(assigned_run.task.job_id)
    if progress is None:
        return MIN_STALL_MS
    estimate_ms = progress.job.steps[assigned_run.task.step].estimate_ms
    return (
        MIN_STALL_MS
        + STALL_PROGRESS_PERCENT * estimate_ms / 100 / SLOW_WORKER_SPEED_RATIO
    )


def _lost_work_ms(ledger, assigned_run):
    """Return the estimated work that stopping a run loses; 0 with checkpoints."""
    progress = ledger.jobs.get(assigned_run.task.job_id)
    if progress is None:
        return 0
    step = progress.job.steps[assigned_run.task.step]
    if step.checkpoints:
        return 0
    return step.estimate_ms * assigned_run.percent / 100


def _describe_hang(worker, now_ms):
    """Return the `WorkerHung` of a worker, with its shortest stall."""
    assigned_runs = worker.assigned_runs.values()
    no_progress_ms = min(
        now_ms - assigned_run.progressed_ms for assigned_run in assigned_runs
    )
    progress_percents = tuple(assigned_run.percent for assigned_run in assigned_runs)
    return WorkerHung(worker.worker_id, no_progress_ms, progress_percents)
