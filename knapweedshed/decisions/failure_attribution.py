"""Whether a failed run counts against its worker, or its unit is the likely cause.

A unit that fails wherever it runs would otherwise take every worker out of service, one
after the other, and with them the work of everybody else.
"""

from knapweedshed.decisions.overload.suspect_workers import SuspectWorkers
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES
from knapweedshed.models.work import unit_of_task

# A unit that has failed on this many different workers in a row is the likely cause.
WORKERS_TO_BLAME_UNIT_COUNT = 2
# Its earlier failures are withdrawn only once one more worker has failed it: two faulty
# workers would otherwise clear each other with every unit that they fail.
WORKERS_TO_CLEAR_COUNT = 3
# Long-running work may fail at any time. A run of four times the longest quarantine
# shows that neither the worker nor the unit fails it systematically.
STEADY_RUN_MS = 64_000
FAILED_WORKER_AVOIDANCE_MS = 3_000  # how long a unit avoids a worker that failed it
MIN_PRUNED_COUNT = 1_000  # units that avoid a worker, before any is forgotten


class FailureAttribution:
    """Counts failures against workers until their units are the likely cause.

    Also keeps which workers each unit avoids after a failure there, and until when.
    The memory lasts for the scheduler's epoch; a successor learns it again.
    """

    def __init__(self, ledger, workers, unit_runs, policies=NO_OVERLOAD_POLICIES):
        self._ledger = ledger
        self._workers = workers
        self._unit_runs = unit_runs
        self._failed_runs = {}  # by unit, {run: worker id} of its failures in a row
        self._avoided_workers = {}
        self._prune_at_count = MIN_PRUNED_COUNT
        self._suspects = SuspectWorkers(ledger, workers)
        self._avoids_suspects = policies.suspect_avoidance

    def avoided_workers(self, units, now_ms):
        """Return {unit: {worker id: until when it avoids the worker}}."""
        self._forget_avoided_workers(now_ms)
        if not self._avoids_suspects:
            return self._avoided_workers
        return self._suspects.extend(self._avoided_workers, units, now_ms)

    def avoid(self, task, worker_id, now_ms):
        """Run a unit elsewhere next, so that a faulty worker fails it only once."""
        if self._ledger.has_task(task):
            if len(self._avoided_workers) >= self._prune_at_count:
                self._forget_avoided_workers(now_ms)
            avoided_until_ms = self._avoided_workers.setdefault(self._unit_of(task), {})
            avoided_until_ms[worker_id] = now_ms + FAILED_WORKER_AVOIDANCE_MS

    def note_failure(self, worker, end, now_ms):
        """Take the failed end of a run at a `TrackedWorker`."""
        if not self._ledger.has_task(end.task):
            worker.record_failure(now_ms)
            return
        self.avoid(end.task, worker.worker_id, now_ms)
        unit = self._unit_of(end.task)
        step = self._ledger.jobs[unit.job_id].job.steps[unit.step]
        if step.lasting and self._ran_ms(unit, end.run, now_ms) >= STEADY_RUN_MS:
            self._failed_runs.pop(unit, None)
            return
        if unit not in self._failed_runs:
            self._forget_ended_jobs()
        failed_runs = self._failed_runs.setdefault(unit, {})
        # Members of a gang that fail in the same run are one failure of the unit.
        failed_runs.setdefault(end.run, worker.worker_id)
        failed_on = set(failed_runs.values())
        if len(failed_on) < WORKERS_TO_BLAME_UNIT_COUNT:
            worker.record_failure(now_ms, unit)
            self._suspects.note_failure(worker, now_ms)
        elif len(failed_on) >= WORKERS_TO_CLEAR_COUNT:
            for worker_id in failed_on & self._workers.keys():
                self._workers[worker_id].withdraw_failures(unit)
        self._limit_memory(unit)

    def note_done(self, worker, end):
        """Take the end of a run that is done."""
        worker.record_success()
        self._suspects.note_success(worker)
        if self._ledger.has_task(end.task):
            self._failed_runs.pop(self._unit_of(end.task), None)

    def _unit_of(self, task):
        progress = self._ledger.jobs[task.job_id]
        return unit_of_task(task, progress.job.steps[task.step])

    def _ran_ms(self, unit, run, now_ms):
        """Return for how long a run is known to have run; 0 if it is not known."""
        unit_run = self._unit_runs.get(unit)
        if unit_run is None or unit_run.run != run:
            return 0
        return now_ms - unit_run.started_ms

    def _limit_memory(self, unit):
        """Keep one run for each worker, and no more workers than decisions need."""
        by_worker = {
            worker_id: run for run, worker_id in self._failed_runs[unit].items()
        }
        latest = sorted((run, worker_id) for worker_id, run in by_worker.items())
        self._failed_runs[unit] = dict(latest[-WORKERS_TO_CLEAR_COUNT:])

    def _forget_avoided_workers(self, now_ms):
        """Forget the units that avoid no worker any more.

        Done again once twice as many units are left, so that many failures at a time
        don't cost a pass each.
        """
        self._avoided_workers = {
            unit: avoided_until_ms
            for unit, avoided_until_ms in self._avoided_workers.items()
            if max(avoided_until_ms.values()) > now_ms
        }
        self._prune_at_count = max(MIN_PRUNED_COUNT, 2 * len(self._avoided_workers))

    def _forget_ended_jobs(self):
        self._failed_runs = {
            unit: failed_runs
            for unit, failed_runs in self._failed_runs.items()
            if unit.job_id in self._ledger.open_jobs
        }
