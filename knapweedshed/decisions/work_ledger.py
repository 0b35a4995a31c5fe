"""The fold over the work stream: the same in every reader, entry or scheduler."""

from knapweedshed.models.work import (
    GANG,
    EndKind,
    Unit,
    WorkState,
    unit_of,
    units_in,
)
from knapweedshed.models.work_records import (
    ActingBeat,
    ActingClaimed,
    ActingResigned,
    RunsLaunched,
    SpeedsLearned,
    TasksEnded,
    WorkAccepted,
    WorkCancelled,
    WorkSnapshot,
)

KEPT_ENDED_COUNT = 5_000  # more than the users end in a day; bounds memory
ACTIVE = (WorkState.PENDING, WorkState.RUNNING)


class JobProgress:
    """What the log says of one job."""

    def __init__(self, job, offset):
        self.job = job
        self.offset = offset
        self.state = WorkState.PENDING
        self.done = set()
        self.failed_runs = {}
        self.saved = {}
        self.launched = {}
        self.written_wall_ms = job.accepted_wall_ms
        self._unit_count = _unit_count(job)
        self._ready = {}

    @property
    def active(self):
        """Whether the job still has something to run."""
        return self.state in ACTIVE

    def step_done(self, occurrence, number):
        """Return whether all units of a step have ended as done."""
        head = (self.job.job_id, occurrence, number)
        step = self.job.steps[number]
        if step.gang:
            return Unit(*head, GANG) in self.done
        return all(Unit(*head, index) in self.done for index in range(step.count))

    def ready(self, occurrence):
        """Return the units of an occurrence that aren't done and wait for nothing."""
        if occurrence not in self._ready:
            self._ready[occurrence] = tuple(
                unit
                for number, step in enumerate(self.job.steps)
                if all(self.step_done(occurrence, before) for before in step.after)
                for unit in units_in(self.job.job_id, occurrence, number, step)
                if unit not in self.done
            )
        return self._ready[occurrence]

    def take(self, end):
        """Count one end of a run; later copies change nothing."""
        task = end.task
        if task.step >= len(self.job.steps):
            return
        step = self.job.steps[task.step]
        unit = unit_of(task, step)
        if end.saved:
            self._save(unit, end.run, end.saved)
        if step.lasting:
            return
        if end.kind == EndKind.DONE:
            self.done.add(unit)
            self._ready = {}
        elif end.kind == EndKind.FAILED:
            self.failed_runs.setdefault(unit, set()).add(end.run)
        self._judge()

    def launch(self, launched):
        """Take the launch of a run; an earlier run than the last changes nothing."""
        before = self.launched.get(launched.unit)
        if before is None or before.run < launched.run:
            self.launched[launched.unit] = launched
        if self.state == WorkState.PENDING:
            self.state = WorkState.RUNNING

    def merge(self, snapshot):
        """Take what a snapshot says beyond what is known; nothing is taken back."""
        self.written_wall_ms = max(self.written_wall_ms, snapshot.written_wall_ms)
        self.done.update(snapshot.done)
        self._ready = {}
        for unit, run in snapshot.failed:
            self.failed_runs.setdefault(unit, set()).add(run)
        for unit, run, saved in snapshot.saved:
            self._save(unit, run, saved)
        for launched in snapshot.launched:
            self.launch(launched)
        self._judge()

    def snapshot(self, epoch, wall_ms):
        """Return all of this as one record."""
        return WorkSnapshot(
            epoch,
            self.job,
            tuple(sorted(self.done)),
            tuple(
                (unit, run)
                for unit, runs in self.failed_runs.items()
                for run in sorted(runs)
            ),
            tuple((unit, *saved) for unit, saved in self.saved.items()),
            tuple(self.launched.values()),
            wall_ms,
        )

    def _save(self, unit, run, saved):
        last_run, _ = self.saved.get(unit, (0, ""))
        if run >= last_run:
            self.saved[unit] = (run, saved)

    def _judge(self):
        """Say whether the job has come to its end."""
        if not self.active:
            return
        if len(self.done) == self._unit_count:
            self.state = WorkState.COMPLETED
        elif any(
            len(runs) >= self.job.max_failures and unit not in self.done
            for unit, runs in self.failed_runs.items()
        ):
            self.state = WorkState.FAILED


class WorkLedger:
    """Jobs, and who acts as their scheduler, after folding records in order."""

    def __init__(self):
        self._jobs = {}
        self._open = {}
        self._ended = {}
        self._epoch = 0
        self._acting_host = ""
        self._claimed_offset = -1
        self._speeds = {}

    @property
    def jobs(self):
        """Return `JobProgress` by job id."""
        return self._jobs

    @property
    def open_jobs(self):
        """Return `JobProgress` by job id of jobs that have something to run."""
        return self._open

    @property
    def speeds(self):
        """Return {worker id: (incarnation, speed in percent)} as last learned."""
        return self._speeds

    @property
    def epoch(self):
        """Return the epoch of the last claim that counts; 0: none yet."""
        return self._epoch

    @property
    def acting_host(self):
        """Return the host that acts, or "" where the last one resigned."""
        return self._acting_host

    @property
    def claimed_offset(self):
        """Return where the claim in force stands in the stream."""
        return self._claimed_offset

    def fold(self, offset, record):
        """Take one record; return the ids of jobs that it changed."""
        changed = self._fold(offset, record)
        for job_id in changed:
            if self._jobs[job_id].active:
                self._open[job_id] = self._jobs[job_id]
            else:
                self._open.pop(job_id, None)
                self._remember_ended(job_id)
        return [job_id for job_id in changed if job_id in self._jobs]

    def waiting_in(self, queue):
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            progress.job.queue == queue and progress.state == WorkState.PENDING
            for progress in self._open.values()
        )

    def _fold(self, offset, record):
        if isinstance(record, WorkAccepted):
            return self._accept(offset, record.job)
        if isinstance(record, WorkCancelled):
            return self._cancel(record.job_id)
        if isinstance(record, TasksEnded):
            return self._end(record)
        if isinstance(record, RunsLaunched):
            return self._launch(record)
        if isinstance(record, WorkSnapshot):
            return self._take_snapshot(offset, record)
        if isinstance(record, ActingClaimed):
            self._claim(offset, record)
        elif isinstance(record, ActingBeat):
            self._beat(offset, record)
        elif isinstance(record, SpeedsLearned):
            self._learn(record)
        elif isinstance(record, ActingResigned) and record.epoch == self._epoch:
            self._acting_host = ""
        return ()

    def _learn(self, record):
        if record.epoch == self._epoch:
            for worker_id, incarnation, percent in record.speeds:
                self._speeds[worker_id] = (incarnation, percent)

    def _remember_ended(self, job_id):
        """Keep ended jobs for their callers, but not for ever."""
        self._ended.setdefault(job_id)
        while len(self._ended) > KEPT_ENDED_COUNT:
            oldest = next(iter(self._ended))
            del self._ended[oldest]
            self._jobs.pop(oldest, None)

    def _take_snapshot(self, offset, snapshot):
        """Take a job whose acceptance may be older than what the log still has."""
        if snapshot.epoch < self._epoch:
            return ()
        job_id = snapshot.job.job_id
        progress = self._jobs.get(job_id)
        if progress is None:
            progress = self._jobs[job_id] = JobProgress(snapshot.job, offset)
        progress.merge(snapshot)
        return (job_id,)

    def _beat(self, offset, beat):
        """Learn of an epoch whose claim is older than what the log still has.

        For a reader of the whole stream a beat never names a later epoch.
        """
        if beat.epoch > self._epoch:
            self._claim(offset, ActingClaimed(self._epoch + 1, beat.host))
            self._epoch = beat.epoch

    def _accept(self, offset, job):
        if job.job_id in self._jobs:
            return ()
        self._jobs[job.job_id] = JobProgress(job, offset)
        return (job.job_id,)

    def _cancel(self, job_id):
        progress = self._jobs.get(job_id)
        if progress is None or not progress.active:
            return ()
        progress.state = WorkState.CANCELLED
        return (job_id,)

    def _claim(self, offset, claim):
        if claim.epoch == self._epoch + 1:
            self._epoch = claim.epoch
            self._acting_host = claim.host
            self._claimed_offset = offset

    def _end(self, record):
        if record.epoch != self._epoch:
            return ()
        changed = []
        for end in record.ends:
            progress = self._jobs.get(end.task.job_id)
            if progress is not None:
                progress.take(end)
                changed.append(end.task.job_id)
        return changed

    def _launch(self, record):
        if record.epoch != self._epoch:
            return ()
        changed = []
        for launched in record.launches:
            progress = self._jobs.get(launched.unit.job_id)
            if progress is None:
                continue
            progress.launch(launched)
            changed.append(launched.unit.job_id)
        return changed


def _unit_count(job):
    once = sum(1 if step.gang else step.count for step in job.steps)
    return once * max(1, job.repeats)
