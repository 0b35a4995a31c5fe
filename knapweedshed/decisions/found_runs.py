"""Runs that workers list and that no launch record names."""

from knapweedshed.decisions.tracked_workers import (
    ORDER_IN_FLIGHT,
    AssignedRun,
    RunPhase,
)
from knapweedshed.models.work import Resources


class FoundRuns:
    """The runs found without a record, until they have certainly ended.

    Each is being stopped where it was found, and counts as an assigned run there.
    """

    def __init__(self):
        self._runs = set()
        self._new_runs = []

    def add(self, worker_id, task, run):
        """Add a run that a worker lists."""
        self._runs.add((worker_id, task, run))
        self._new_runs.append((worker_id, task, run))

    def take_new(self):
        """Return (worker id, task, run) of each run added since the last call."""
        new_runs, self._new_runs = self._new_runs, []
        return new_runs

    def tasks(self, workers):
        """Return the tasks of the runs that `workers` may still have; forget others."""
        self._runs = {
            (worker_id, task, run)
            for worker_id, task, run in self._runs
            if worker_id in workers and (task, run) in workers[worker_id].assigned_runs
        }
        return {task for _, task, _ in self._runs}


def stopping_run(listed, ledger, now_ms):
    """Return the `AssignedRun` of a `TaskRun` that a worker lists and has to stop."""
    progress = ledger.jobs.get(listed.task.job_id)
    need = Resources()
    if progress is not None and listed.task.step < len(progress.job.steps):
        need = progress.job.steps[listed.task.step].need
    return AssignedRun(
        listed.task,
        listed.run,
        need,
        RunPhase.STOPPING,
        ORDER_IN_FLIGHT,
        now_ms,
        ordered_ms=now_ms,
    )
