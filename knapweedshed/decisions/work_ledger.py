"""The fold over the work stream: the same in every reader, entry or scheduler."""

from knapweedshed.models.work import GANG, EndKind, Unit, WorkState, unit_of
from knapweedshed.models.work_records import (
    ActingClaimed,
    ActingResigned,
    RunsLaunched,
    TasksEnded,
    WorkAccepted,
    WorkCancelled,
)

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
        self._unit_count = _unit_count(job)

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

    def take(self, end):
        """Count one end of a run; later copies change nothing."""
        task = end.task
        if task.step >= len(self.job.steps):
            return
        step = self.job.steps[task.step]
        unit = unit_of(task, step)
        if end.saved:
            run, _ = self.saved.get(unit, (0, ""))
            if end.run >= run:
                self.saved[unit] = (end.run, end.saved)
        if end.kind == EndKind.DONE and not step.lasting:
            self.done.add(unit)
            if len(self.done) == self._unit_count and self.active:
                self.state = WorkState.COMPLETED
        elif end.kind == EndKind.FAILED and not step.lasting:
            runs = self.failed_runs.setdefault(unit, set())
            runs.add(end.run)
            if len(runs) >= self.job.max_failures and self.active:
                if unit not in self.done:
                    self.state = WorkState.FAILED


class WorkLedger:
    """Jobs, and who acts as their scheduler, after folding records in order."""

    def __init__(self):
        self._jobs = {}
        self._epoch = 0
        self._acting_host = ""
        self._claimed_offset = -1

    @property
    def jobs(self):
        """Return `JobProgress` by job id."""
        return self._jobs

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
        if isinstance(record, WorkAccepted):
            return self._accept(offset, record.job)
        if isinstance(record, WorkCancelled):
            return self._cancel(record.job_id)
        if isinstance(record, ActingClaimed):
            self._claim(offset, record)
        elif isinstance(record, TasksEnded):
            return self._end(record)
        elif isinstance(record, RunsLaunched):
            return self._launch(record)
        elif isinstance(record, ActingResigned) and record.epoch == self._epoch:
            self._acting_host = ""
        return ()

    def waiting_in(self, queue):
        """Return how many accepted jobs of a queue have not begun."""
        return sum(
            progress.job.queue == queue and progress.state == WorkState.PENDING
            for progress in self._jobs.values()
        )

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
            before = progress.launched.get(launched.unit)
            if before is not None and before.run >= launched.run:
                continue
            progress.launched[launched.unit] = launched
            if progress.state == WorkState.PENDING:
                progress.state = WorkState.RUNNING
            changed.append(launched.unit.job_id)
        return changed


def _unit_count(job):
    once = sum(1 if step.gang else step.count for step in job.steps)
    return once * max(1, job.repeats)
