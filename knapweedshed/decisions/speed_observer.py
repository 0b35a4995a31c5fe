"""Derives observations of worker speeds from the progress that workers report."""

from knapweedshed.decisions.free_capacity import rack_of
from knapweedshed.decisions.tracked_workers import COMPLETE_PERCENT, RunPhase
from knapweedshed.models.work import EndKind, unit_of_task


class SpeedObserver:
    """Passes progress on to `WorkerSpeeds` where it depends on the worker alone."""

    def __init__(self, ledger, workers, unit_runs, speeds):
        self._ledger = ledger
        self._workers = workers
        self._unit_runs = unit_runs
        self._speeds = speeds

    def observe_worker(self, worker, removed_runs, now_ms):
        """Observe the runs in progress at a worker, and its removed runs that are done.

        Runs at 100% are left out: gang members have work of different sizes, and wait
        at 100% for the others.
        """
        for assigned_run in worker.assigned_runs.values():
            if assigned_run.reported and assigned_run.phase == RunPhase.RUNNING:
                if assigned_run.percent < COMPLETE_PERCENT:
                    self._observe_run(
                        worker, assigned_run, assigned_run.percent, now_ms
                    )
        for removed_run in removed_runs:
            if removed_run.kind == EndKind.DONE:
                self._observe_run(
                    worker, removed_run.assigned_run, COMPLETE_PERCENT, now_ms
                )

    def _observe_run(self, worker, assigned_run, percent, now_ms):
        """Record a speed observation, unless something other than speed affects it."""
        progress = self._ledger.jobs.get(assigned_run.task.job_id)
        if progress is None or worker.entry is None:
            return
        step = progress.job.steps[assigned_run.task.step]
        unit = unit_of_task(assigned_run.task, step)
        unit_run = self._unit_runs.get(unit)
        if (
            unit_run is None
            or unit_run.run != assigned_run.run
            or progress.saved.get(unit)
        ):
            return
        if unit_run.adopted or self._may_be_slowed_by_racks(step, unit_run):
            return
        if unit_run.started_ms < worker.entry.cold_until_ms:
            return
        if step.gang and percent >= COMPLETE_PERCENT:
            return
        self._speeds.observe(
            (assigned_run.task, assigned_run.run),
            unit.job_id,
            worker.worker_id,
            percent,
            now_ms - unit_run.started_ms,
            step.estimate_ms,
            now_ms,
        )

    def _may_be_slowed_by_racks(self, step, unit_run):
        """Return whether a run misses its preferred racks, or its racks are unknown."""
        workers = [self._workers.get(worker_id) for worker_id in unit_run.workers]
        if any(worker is None or worker.entry is None for worker in workers):
            return True
        racks = {rack_of(worker.entry.labels) for worker in workers}
        if step.same_rack and len(racks) > 1:
            return True
        return bool(step.data_rack) and racks != {step.data_rack}
