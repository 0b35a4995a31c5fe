"""State of all jobs, derived from the work stream.

Every reader of the stream, entry or scheduler, derives the same state.
"""

from knapweedshed.decisions.done_units import DoneUnits
from knapweedshed.decisions.log_beginning import BeginningSearch
from knapweedshed.decisions.overload.load_figure import check_loads
from knapweedshed.decisions.overload.queue_sizes import QueueSizes
from knapweedshed.decisions.units import critical_path_ms, measure_work_left
from knapweedshed.models.work import EndKind, WorkState, unit_of_task
from knapweedshed.models.work_records import (
    ActingBeat,
    ActingClaimed,
    ActingResigned,
    Launched,
    LoadReported,
    RunsLaunched,
    SpeedsLearned,
    TasksEnded,
    WorkAccepted,
    WorkCancelled,
    WorkSnapshot,
)

MAX_ENDED_JOBS = 5_000  # more than users complete in a day; bounds memory
MAX_EARLY_CANCELS_COUNT = 5_000  # ids of jobs that were cancelled and never accepted
# A snapshot lists so many done units; more are ranges, which earlier releases ignore.
MAX_LISTED_DONE_COUNT = 500
# Jobs whose ends and launches are kept until a record describes them.
MAX_UNKNOWN_JOBS_COUNT = 5_000
UNKNOWN_HOST = "unknown"  # no host has this id, which has a slash
ACTIVE_STATES = (WorkState.PENDING, WorkState.RUNNING)


class JobProgress:
    """State of one job according to the log.

    `offset` is the stream offset of the first record with the job. `done` has the units
    that are done. By unit that isn't done, `saved` has (run, checkpoint), `failed_runs`
    the failed run numbers, and `launched` the latest `Launched`. `written_wall_ms` is
    when the log last got the whole job, in milliseconds on the wall clock.
    `critical_path_ms` is the estimated time of the longest chain of the job's steps.
    `was_described_again` tells that the log has a snapshot or another acceptance of the
    job, `is_end_written` that the last of these shows that the job is over.
    """

    def __init__(self, job, offset):
        self.job = job
        self.offset = offset
        self.state = WorkState.PENDING
        self.done = DoneUnits(job)
        self.failed_runs = {}
        self.saved = {}
        self.launched = {}
        self.written_wall_ms = job.accepted_wall_ms
        self.was_described_again = False
        self.is_end_written = False
        self._runs_of_done_count = 0
        self._has_failed_unit = False
        self._unit_count = _unit_count(job)
        self.critical_path_ms = critical_path_ms(job)
        self._work_left = {}  # by occurrence with ended steps; None for the others

    @property
    def active(self):
        """Whether the job is pending or running."""
        return self.state in ACTIVE_STATES

    @property
    def run_count(self):
        """The number of runs of all units that were launched."""
        open_runs = sum(launched.run for launched in self.launched.values())
        return self._runs_of_done_count + open_runs

    def step_done(self, occurrence, step_number):
        """Return whether all units of a step are done."""
        return self.done.has_step(occurrence, step_number)

    def work_left(self, occurrence):
        """Return the `WorkLeft` of an occurrence."""
        key = None if self.done.is_untouched(occurrence) else occurrence
        if key not in self._work_left:
            self._work_left[key] = measure_work_left(
                self.job, lambda number: self.step_done(occurrence, number)
            )
        return self._work_left[key]

    def record_end(self, end):
        """Record the end of a run; duplicates change nothing."""
        task = end.task
        if task.step >= len(self.job.steps):
            return
        step = self.job.steps[task.step]
        unit = unit_of_task(task, step)
        if end.saved:
            self._record_checkpoint(unit, end.run, end.saved)
        if step.lasting:
            return
        if end.kind == EndKind.DONE:
            self._add_done(unit)
        elif end.kind == EndKind.FAILED:
            self._add_failed(unit, end.run)
        self._update_state()

    def record_launch(self, launched):
        """Record the launch of a run, unless a later run is known already."""
        previous = self.launched.get(launched.unit)
        is_later = previous is None or previous.run < launched.run
        if is_later and launched.unit not in self.done:
            self.launched[launched.unit] = launched
        if self.state == WorkState.PENDING:
            self.state = WorkState.RUNNING

    def merge_snapshot(self, snapshot):
        """Add what a snapshot has beyond the known state; remove nothing."""
        self.written_wall_ms = max(self.written_wall_ms, snapshot.written_wall_ms)
        for unit in snapshot.done:
            self._add_done(unit)
        for done_range in snapshot.done_ranges:
            self.done.add_range(done_range)
        self._work_left = {}
        for unit, run in snapshot.failed:
            self._add_failed(unit, run)
        for unit, run, saved in snapshot.saved:
            self._record_checkpoint(unit, run, saved)
        for launched in snapshot.launched:
            self.record_launch(launched)
        for unit in [unit for unit in self.launched if unit in self.done]:
            self._forget_runs(unit)
        if self.state == WorkState.PENDING and (self.done or self.failed_runs):
            self.state = WorkState.RUNNING
        self._update_state()

    def snapshot(self, epoch, wall_ms):
        """Return the whole state of the job as one record of the given epoch."""
        is_short = len(self.done) <= MAX_LISTED_DONE_COUNT
        return WorkSnapshot(
            epoch,
            self.job,
            tuple(sorted(self.done)) if is_short else (),
            tuple(
                (unit, run)
                for unit, runs in self.failed_runs.items()
                for run in sorted(runs)
            ),
            tuple((unit, *saved) for unit, saved in self.saved.items()),
            tuple(self.launched.values()),
            wall_ms,
            () if is_short else self.done.to_ranges(),
        )

    def _add_done(self, unit):
        if self.done.add(unit):
            self._forget_runs(unit)
            if self.step_done(unit.occurrence, unit.step):
                self._work_left.pop(unit.occurrence, None)

    def _forget_runs(self, unit):
        """Forget the runs of a unit that is done."""
        launched = self.launched.pop(unit, None)
        if launched is not None:
            self._runs_of_done_count += launched.run
        self.failed_runs.pop(unit, None)
        self.saved.pop(unit, None)

    def _add_failed(self, unit, run):
        """Count a failed run; a unit that is done can't fail its job any more."""
        if unit in self.done:
            return
        runs = self.failed_runs.setdefault(unit, set())
        runs.add(run)
        self._has_failed_unit |= len(runs) >= self.job.max_failures

    def _record_checkpoint(self, unit, run, saved):
        last_run, _ = self.saved.get(unit, (0, ""))
        if run >= last_run and unit not in self.done:
            self.saved[unit] = (run, saved)

    def _update_state(self):
        """Set the state to completed or failed if the job has ended."""
        if not self.active:
            return
        if len(self.done) == self._unit_count:
            self.state = WorkState.COMPLETED
        elif self._has_failed_unit:
            self.state = WorkState.FAILED


class WorkLedger:
    """Jobs and the acting scheduler, after applying the records of the log in order.

    Ends, launches, speeds and snapshots of a replaced epoch change nothing. A job whose
    cancel is in the log before its acceptance is cancelled from the start.

    After `begin_at`, records are kept back until the epoch in force is known. Until the
    ledger `has_begun` it knows of no job, and the acting host is `UNKNOWN_HOST`.
    """

    def __init__(self):
        self._beginning_search = None
        self._clear()

    def _clear(self):
        self._jobs = {}
        self._open_jobs = {}
        self._ended_job_ids = {}
        self._early_cancels = {}
        self._unknown_jobs_parts = {}
        self._epoch = 0
        self._acting_host = ""
        self._claimed_offset = -1
        self._applied_offset = -1
        self._speeds = {}
        self._queue_sizes = QueueSizes()
        self._load_report = None

    @property
    def jobs(self):
        """Return {job id: `JobProgress`}."""
        return self._jobs

    @property
    def open_jobs(self):
        """Return {job id: `JobProgress`} of the jobs that are pending or running."""
        return self._open_jobs

    @property
    def speeds(self):
        """Return {worker id: (incarnation, percent)}, the latest speeds in the log."""
        return self._speeds

    @property
    def queue_sizes(self):
        """Return the `QueueSizes` of the recent jobs."""
        return self._queue_sizes

    @property
    def load_report(self):
        """Return the latest `LoadReported` of the epoch in force, or None."""
        return self._load_report

    @property
    def has_begun(self):
        """Whether the epoch in force is known, and all later records are applied."""
        return self._beginning_search is None

    @property
    def applied_offset(self):
        """Return the offset of the last record applied, or -1 before the first."""
        return self._applied_offset

    @property
    def epoch(self):
        """Return the epoch of the last valid claim; 0 before the first."""
        return self._epoch

    @property
    def next_epoch(self):
        """Return the epoch that a host may claim now."""
        if self._beginning_search is not None:
            return self._beginning_search.next_epoch
        return self._epoch + 1

    @property
    def acting_host(self):
        """Return the host of the acting scheduler, or "" if it resigned."""
        return self._acting_host

    @property
    def claimed_offset(self):
        """Return the stream offset of the valid claim, or -1 before the first."""
        return self._claimed_offset

    def has_task(self, task):
        """Return whether `task` belongs to a known job and exists in it."""
        progress = self._jobs.get(task.job_id)
        if progress is None or not 0 <= task.step < len(progress.job.steps):
            return False
        return 0 <= task.index < progress.job.steps[task.step].count

    def begin_at(self, first_offset):
        """Forget everything, as the log has dropped records before `first_offset`."""
        self._clear()
        self._acting_host = UNKNOWN_HOST
        self._beginning_search = BeginningSearch(first_offset)

    def note_caught_up(self):
        """Note that the log has been read to its end."""
        if self._beginning_search is not None:
            self._beginning_search.note_caught_up()

    def apply(self, offset, record):
        """Apply one record; return the ids of the jobs that it changed."""
        if self._beginning_search is None:
            return self._apply_known(offset, record)
        beginning = self._beginning_search.add(offset, record)
        if beginning is None:
            return []
        self._beginning_search = None
        self._epoch, self._acting_host = beginning.epoch, beginning.acting_host
        changed_ids = []
        for later_offset, later_record in beginning.records:
            changed_ids.extend(self._apply_known(later_offset, later_record))
        return changed_ids

    def _apply_known(self, offset, record):
        """Apply one record by the epoch in force."""
        self._applied_offset = offset
        changed_ids = self._apply(offset, record)
        for job_id in changed_ids:
            if self._jobs[job_id].active:
                self._open_jobs[job_id] = self._jobs[job_id]
            else:
                self._open_jobs.pop(job_id, None)
                self._retain_ended(job_id)
        return [job_id for job_id in changed_ids if job_id in self._jobs]

    def pending_count(self, queue):
        """Return how many accepted jobs of the named queue have not started."""
        return sum(
            progress.job.queue == queue and progress.state == WorkState.PENDING
            for progress in self._open_jobs.values()
        )

    def _apply(self, offset, record):
        if isinstance(record, WorkAccepted):
            return self._apply_acceptance(offset, record.job)
        if isinstance(record, WorkCancelled):
            return self._apply_cancellation(record.job_id)
        if isinstance(record, TasksEnded):
            return self._apply_ends(record)
        if isinstance(record, RunsLaunched):
            return self._apply_launches(record)
        if isinstance(record, WorkSnapshot):
            return self._apply_snapshot(offset, record)
        if isinstance(record, ActingClaimed):
            self._apply_claim(offset, record)
        elif isinstance(record, ActingBeat):
            self._apply_heartbeat(offset, record)
        elif isinstance(record, SpeedsLearned):
            self._apply_speeds(record)
        elif isinstance(record, LoadReported):
            check_loads(record.loads)
            if record.epoch == self._epoch:
                self._load_report = record
        elif isinstance(record, ActingResigned) and record.epoch == self._epoch:
            self._acting_host = ""
        return ()

    def _apply_speeds(self, record):
        if record.epoch == self._epoch:
            for worker_id, incarnation, percent in record.speeds:
                self._speeds[worker_id] = (incarnation, percent)

    def _retain_ended(self, job_id):
        """Keep the latest ended jobs, so that callers can ask for them."""
        self._ended_job_ids.setdefault(job_id)
        while len(self._ended_job_ids) > MAX_ENDED_JOBS:
            oldest = next(iter(self._ended_job_ids))
            del self._ended_job_ids[oldest]
            self._jobs.pop(oldest, None)

    def _apply_snapshot(self, offset, snapshot):
        """Merge a job, whose acceptance the log may no longer retain."""
        if snapshot.epoch < self._epoch:
            return ()
        job_id = snapshot.job.job_id
        progress = self._jobs.get(job_id)
        if progress is None:
            progress = self._add_job(snapshot.job, offset)
        progress.merge_snapshot(snapshot)
        progress.was_described_again = True
        progress.is_end_written = not progress.active and shows_end(snapshot)
        return (job_id,)

    def _apply_heartbeat(self, offset, heartbeat):
        """Take over the epoch of a heartbeat whose claim the log no longer retains.

        A reader of the whole stream never sees a heartbeat of a later epoch.
        """
        if heartbeat.epoch > self._epoch:
            self._apply_claim(offset, ActingClaimed(self._epoch + 1, heartbeat.host))
            self._epoch = heartbeat.epoch

    def _apply_acceptance(self, offset, job):
        known = self._jobs.get(job.job_id)
        if known is not None:
            known.was_described_again = True
            known.is_end_written = False
            return ()
        self._add_job(job, offset)
        return (job.job_id,)

    def _add_job(self, job, offset):
        progress = self._jobs[job.job_id] = JobProgress(job, offset)
        self._queue_sizes.note(job)
        for part in self._unknown_jobs_parts.pop(job.job_id, ()):
            _apply_to_job(progress, part)
        if self._early_cancels.pop(job.job_id, False):
            progress.state = WorkState.CANCELLED
        return progress

    def _apply_cancellation(self, job_id):
        progress = self._jobs.get(job_id)
        if progress is None:
            self._early_cancels[job_id] = True
            while len(self._early_cancels) > MAX_EARLY_CANCELS_COUNT:
                del self._early_cancels[next(iter(self._early_cancels))]
            return ()
        if not progress.active:
            return ()
        progress.state = WorkState.CANCELLED
        return (job_id,)

    def _apply_claim(self, offset, claim):
        if claim.epoch == self._epoch + 1:
            self._epoch = claim.epoch
            self._acting_host = claim.host
            self._load_report = None
            self._claimed_offset = offset

    def _apply_ends(self, record):
        if record.epoch != self._epoch:
            return ()
        return [
            end.task.job_id
            for end in record.ends
            if self._apply_part(end.task.job_id, end)
        ]

    def _apply_launches(self, record):
        if record.epoch != self._epoch:
            return ()
        return [
            launched.unit.job_id
            for launched in record.launches
            if self._apply_part(launched.unit.job_id, launched)
        ]

    def _apply_part(self, job_id, part):
        """Apply an end or a launch; return whether its job is known.

        Parts of an unknown job wait for its description: its snapshot may have been
        taken before they were read. Without them their tasks would run again.
        """
        progress = self._jobs.get(job_id)
        if progress is not None:
            _apply_to_job(progress, part)
            return True
        self._unknown_jobs_parts.setdefault(job_id, []).append(part)
        while len(self._unknown_jobs_parts) > MAX_UNKNOWN_JOBS_COUNT:
            del self._unknown_jobs_parts[next(iter(self._unknown_jobs_parts))]
        return False


def shows_end(description):
    """Return whether an acceptance or snapshot shows by itself that its job is over."""
    if not isinstance(description, WorkSnapshot):
        return False
    progress = JobProgress(description.job, 0)
    progress.merge_snapshot(description)
    return not progress.active


def _apply_to_job(progress, part):
    """Apply an end or a launch to the `JobProgress` that it belongs to."""
    if isinstance(part, Launched):
        progress.record_launch(part)
    else:
        progress.record_end(part)


def _unit_count(job):
    per_occurrence = sum(1 if step.gang else step.count for step in job.steps)
    return per_occurrence * max(1, job.repeats)
