"""Decides what the outcome of an append means for the caller that submitted a job."""

from enum import StrEnum
from typing import NamedTuple

APPEND_RETRY_DELAY_MS = 150  # before an append with an unknown outcome is repeated
RETRY_AFTER_INITIAL_MS = 1_000  # short: another host may accept the retry
RETRY_AFTER_OUTAGE_MS = 2_000  # a caller's few retries must outlast a longer outage
# A caller's longest deadline and the time for which a request may be carried out late.
UNKNOWN_OUTCOME_MEMORY_MS = 15_000


class AppendVerdict(StrEnum):
    """What to do with a submission after an append."""

    ACCEPTED = "accepted"
    REFUSE = "refuse"
    REPEAT = "repeat"
    UNKNOWN = "unknown"


class AppendState(NamedTuple):
    """State of the appends of one submission.

    `deadline_ms` is when the caller must have its answer. `maybe_written` means that an
    append may have been written, or may still be, so that a refusal could be false.
    """

    deadline_ms: int
    maybe_written: bool = False


class UnknownOutcomes:
    """Jobs whose callers were told that the outcome is unknown.

    A later submission of such a job must not be rejected as not accepted, because the
    record of the earlier one may be in the log.
    """

    def __init__(self):
        self._until_ms_by_job_id = {}

    def add(self, job_id, now_ms):
        """Remember a job for `UNKNOWN_OUTCOME_MEMORY_MS`."""
        self._until_ms_by_job_id = {
            known_id: until_ms
            for known_id, until_ms in self._until_ms_by_job_id.items()
            if until_ms > now_ms
        }
        self._until_ms_by_job_id[job_id] = now_ms + UNKNOWN_OUTCOME_MEMORY_MS

    def holds(self, job_id, now_ms):
        """Return whether a record of the job may have been written."""
        return self._until_ms_by_job_id.get(job_id, now_ms) > now_ms


def after_failure(state, outcome_unknown, now_ms):
    """Return (new state, verdict) after an append that was not acknowledged.

    A record that may be written is appended again, to learn its outcome. Once the log
    refuses that too or can't be reached, the caller is told at once: it may still have
    the time to ask another host.
    """
    was_maybe_written = state.maybe_written
    state = state._replace(maybe_written=was_maybe_written or outcome_unknown)
    if not state.maybe_written:
        return state, AppendVerdict.REFUSE
    if not outcome_unknown or now_ms + APPEND_RETRY_DELAY_MS >= state.deadline_ms:
        return state, AppendVerdict.UNKNOWN
    return state, AppendVerdict.REPEAT


def retry_after_ms(unreachable_ms):
    """Return the Retry-After delay in milliseconds, longer during a long outage.

    `unreachable_ms` is the time since the log last answered.
    """
    if unreachable_ms < RETRY_AFTER_INITIAL_MS:
        return RETRY_AFTER_INITIAL_MS
    return RETRY_AFTER_OUTAGE_MS
