"""State of a data centre's jobs, folded from the records of its job stream.

Where records conflict, the one with the lowest offset wins, so all readers agree. A
duplicate of a record has no effect.
"""

from collections import deque
from typing import NamedTuple

from knapweedshed.decisions.homes import home_and_key_of
from knapweedshed.models.ledger import (
    AttemptRefuted,
    CancelAsked,
    Checkpointed,
    IntentRecorded,
    JobAccepted,
    JobEnded,
    LedgerSnapshot,
    OpenJob,
)
from knapweedshed.results import ResultCode

MAX_JOBS_PER_SNAPSHOT_PART = 200
MAX_ENDED_JOBS = 20_000


class JobOpened(NamedTuple):
    """A job was accepted into this data centre."""

    open_job: OpenJob


class IntentWon(NamedTuple):
    """An intent was accepted: the first in the log for its attempt."""

    intent: IntentRecorded


class JobChanged(NamedTuple):
    """An open job has a refuted attempt, a checkpoint or a cancellation.

    A snapshot also reports each job that was already open.
    """

    open_job: OpenJob


class JobClosed(NamedTuple):
    """A job ended; `organisation` and `service` are empty if it was not open."""

    ended: JobEnded
    organisation: str = ""
    service: str = ""


class Ledger:
    """Open and ended jobs as of offset `through`.

    `open` maps job ids to `OpenJob`, `closed` maps the ids of ended jobs to `JobEnded`.
    Changes are returned as `JobOpened`, `IntentWon`, `JobChanged` and `JobClosed`.
    """

    def __init__(self):
        self.through = -1
        self.open = {}
        self.closed = {}
        self._job_id_by_key = {}
        self._closed_order = deque()

    def apply(self, offset, record):
        """Apply one record; return the resulting changes.

        Records at or before `through` are ignored.
        """
        if offset <= self.through:
            return ()
        self.through = offset
        handler = _HANDLERS.get(type(record))
        return handler(self, record) if handler else ()

    def accept_direct(self, job):
        """Accept a job that was submitted without the log; return the changes."""
        return self._apply_accepted(JobAccepted(job))

    def adopt_snapshot(self, parts):
        """Apply a complete snapshot, given as all its parts; return the changes.

        A snapshot that is no newer than `through` is ignored.
        """
        if not parts or parts[0].through <= self.through:
            return ()
        changes = []
        for part in parts:
            for ended in part.closed:
                self._record_ended(ended)
            for open_job in part.open_jobs:
                changes.extend(self._adopt_open_job(open_job))
        self.through = parts[0].through
        return tuple(changes)

    def snapshot(self):
        """Return the state as a tuple of `LedgerSnapshot` parts."""
        open_jobs = list(self.open.values())
        closed = [self.closed[i] for i in self._closed_order]
        count = -(-max(len(open_jobs), len(closed), 1) // MAX_JOBS_PER_SNAPSHOT_PART)
        parts = []
        for index in range(count):
            part_slice = slice(
                index * MAX_JOBS_PER_SNAPSHOT_PART,
                (index + 1) * MAX_JOBS_PER_SNAPSHOT_PART,
            )
            parts.append(
                LedgerSnapshot(
                    self.through,
                    index,
                    count,
                    tuple(open_jobs[part_slice]),
                    tuple(closed[part_slice]),
                )
            )
        return tuple(parts)

    def _adopt_open_job(self, open_job):
        job_id = open_job.job.job_id
        if job_id in self.closed:
            return ()
        self._job_id_by_key.setdefault(home_and_key_of(job_id), job_id)
        was_open = job_id in self.open
        self.open[job_id] = open_job
        return (JobChanged(open_job),) if was_open else (JobOpened(open_job),)

    def _apply_accepted(self, record):
        job = record.job
        if job.job_id in self.open or job.job_id in self.closed:
            return ()
        accepted_id = self._job_id_by_key.setdefault(
            home_and_key_of(job.job_id), job.job_id
        )
        if accepted_id != job.job_id:
            reason = f"the key belongs to another submission, {accepted_id}"
            return self._close_job(
                JobEnded(job.job_id, ResultCode.KEY_CONFLICT, reason)
            )
        open_job = OpenJob(job)
        self.open[job.job_id] = open_job
        return (JobOpened(open_job),)

    def _apply_intent(self, record):
        open_job = self.open.get(record.job_id)
        if open_job is None or open_job.intent is not None:
            return ()
        if record.attempt != open_job.attempt:
            return ()
        self.open[record.job_id] = open_job._replace(intent=record)
        return (IntentWon(record),)

    def _apply_refuted(self, record):
        open_job = self.open.get(record.job_id)
        if open_job is None or open_job.intent is None:
            return ()
        if record.intent_id != open_job.intent.intent_id:
            return ()
        changed = open_job._replace(refuted=record.attempt, intent=None)
        return self._update_open_job(changed)

    def _apply_checkpoint(self, record):
        open_job = self.open.get(record.job_id)
        if open_job is None or record.attempt != open_job.attempt:
            return ()
        changed = open_job._replace(
            refuted=record.attempt, intent=None, tokens=record.tokens
        )
        return self._update_open_job(changed)

    def _apply_cancel(self, record):
        open_job = self.open.get(record.job_id)
        if open_job is None or open_job.cancelled:
            return ()
        return self._update_open_job(open_job._replace(cancelled=True))

    def _apply_ended(self, record):
        if record.job_id in self.closed:
            return ()
        return self._close_job(record)

    def _update_open_job(self, changed):
        self.open[changed.job.job_id] = changed
        return (JobChanged(changed),)

    def _close_job(self, record):
        open_job = self.open.pop(record.job_id, None)
        self._record_ended(record)
        if open_job is None:
            return (JobClosed(record),)
        return (JobClosed(record, open_job.job.organisation, open_job.job.service),)

    def _record_ended(self, ended):
        self._job_id_by_key.setdefault(home_and_key_of(ended.job_id), ended.job_id)
        if ended.job_id not in self.closed:
            self._closed_order.append(ended.job_id)
        self.closed[ended.job_id] = ended
        if len(self._closed_order) > MAX_ENDED_JOBS:
            oldest = self._closed_order.popleft()
            del self.closed[oldest]
            self._job_id_by_key.pop(home_and_key_of(oldest), None)


_HANDLERS = {
    JobAccepted: Ledger._apply_accepted,
    IntentRecorded: Ledger._apply_intent,
    AttemptRefuted: Ledger._apply_refuted,
    Checkpointed: Ledger._apply_checkpoint,
    CancelAsked: Ledger._apply_cancel,
    JobEnded: Ledger._apply_ended,
    LedgerSnapshot: lambda ledger, record: (),
}
