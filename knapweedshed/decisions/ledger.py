"""The fold over a data centre's job stream: what is open, won, refuted and ended.

First by offset wins, in every reader alike; a second copy of a record changes nothing.
"""

from collections import deque
from typing import NamedTuple

from knapweedshed.decisions.homes import key_of
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

SNAPSHOT_PART = 200
KEPT_ENDED = 20_000


class JobOpened(NamedTuple):
    """A job is ours from here on."""

    open_job: OpenJob


class IntentWon(NamedTuple):
    """The first intent for a job's attempt."""

    intent: IntentRecorded


class JobChanged(NamedTuple):
    """An open job has a refuted attempt, a checkpoint or a cancellation."""

    open_job: OpenJob


class JobClosed(NamedTuple):
    """A job has ended."""

    ended: JobEnded
    organisation: str = ""
    service: str = ""


class Ledger:
    """The folded stream."""

    def __init__(self):
        self.through = -1
        self.open = {}
        self.closed = {}
        self._keys = {}
        self._closed_order = deque()

    def apply(self, offset, record):
        """Take in one record; return the facts that it brought."""
        if offset <= self.through:
            return ()
        self.through = offset
        rule = _RULES.get(type(record))
        return rule(self, record) if rule else ()

    def take_direct(self, job):
        """Take a job that came without the log; return the facts."""
        return self._accept(JobAccepted(job))

    def adopt(self, parts):
        """Take in a whole snapshot, given as all of its parts; return the facts."""
        if not parts or parts[0].through <= self.through:
            return ()
        facts = []
        for part in parts:
            for ended in part.closed:
                self._remember(ended)
            for opened in part.open_jobs:
                facts.extend(self._adopt_open(opened))
        self.through = parts[0].through
        return tuple(facts)

    def snapshot(self):
        """Return the `LedgerSnapshot` parts that stand for this fold."""
        opened = list(self.open.values())
        closed = [self.closed[i] for i in self._closed_order]
        count = -(-max(len(opened), len(closed), 1) // SNAPSHOT_PART)
        parts = []
        for index in range(count):
            span = slice(index * SNAPSHOT_PART, (index + 1) * SNAPSHOT_PART)
            parts.append(
                LedgerSnapshot(
                    self.through,
                    index,
                    count,
                    tuple(opened[span]),
                    tuple(closed[span]),
                )
            )
        return tuple(parts)

    def _adopt_open(self, opened):
        job_id = opened.job.job_id
        if job_id in self.closed:
            return ()
        self._keys.setdefault(key_of(job_id), job_id)
        known = job_id in self.open
        self.open[job_id] = opened
        return (JobChanged(opened),) if known else (JobOpened(opened),)

    def _accept(self, record):
        job = record.job
        if job.job_id in self.open or job.job_id in self.closed:
            return ()
        first = self._keys.setdefault(key_of(job.job_id), job.job_id)
        if first != job.job_id:
            reason = f"the key belongs to another submission, {first}"
            return self._close(JobEnded(job.job_id, ResultCode.KEY_CONFLICT, reason))
        opened = OpenJob(job)
        self.open[job.job_id] = opened
        return (JobOpened(opened),)

    def _intent(self, record):
        opened = self.open.get(record.job_id)
        if opened is None or opened.intent is not None:
            return ()
        if record.attempt != opened.attempt:
            return ()
        self.open[record.job_id] = opened._replace(intent=record)
        return (IntentWon(record),)

    def _refute(self, record):
        opened = self.open.get(record.job_id)
        if opened is None or opened.intent is None:
            return ()
        if record.intent_id != opened.intent.intent_id:
            return ()
        changed = opened._replace(refuted=record.attempt, intent=None)
        return self._change(changed)

    def _checkpoint(self, record):
        opened = self.open.get(record.job_id)
        if opened is None or record.attempt != opened.attempt:
            return ()
        changed = opened._replace(
            refuted=record.attempt, intent=None, tokens=record.tokens
        )
        return self._change(changed)

    def _cancel(self, record):
        opened = self.open.get(record.job_id)
        if opened is None or opened.cancelled:
            return ()
        return self._change(opened._replace(cancelled=True))

    def _end(self, record):
        if record.job_id in self.closed:
            return ()
        return self._close(record)

    def _change(self, changed):
        self.open[changed.job.job_id] = changed
        return (JobChanged(changed),)

    def _close(self, record):
        opened = self.open.pop(record.job_id, None)
        self._remember(record)
        if opened is None:
            return (JobClosed(record),)
        return (JobClosed(record, opened.job.organisation, opened.job.service),)

    def _remember(self, ended):
        self._keys.setdefault(key_of(ended.job_id), ended.job_id)
        if ended.job_id not in self.closed:
            self._closed_order.append(ended.job_id)
        self.closed[ended.job_id] = ended
        if len(self._closed_order) > KEPT_ENDED:
            oldest = self._closed_order.popleft()
            del self.closed[oldest]
            self._keys.pop(key_of(oldest), None)


_RULES = {
    JobAccepted: Ledger._accept,
    IntentRecorded: Ledger._intent,
    AttemptRefuted: Ledger._refute,
    Checkpointed: Ledger._checkpoint,
    CancelAsked: Ledger._cancel,
    JobEnded: Ledger._end,
    LedgerSnapshot: lambda ledger, record: (),
}
