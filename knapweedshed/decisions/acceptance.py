"""Decides what the outcome of an append means for the caller that submitted a job."""

from enum import StrEnum
from typing import NamedTuple

APPEND_RETRY_DELAY_MS = 150  # before an append with an unknown outcome is repeated
LOG_FAILURE_VALIDITY_MS = 600  # how long a failed append shows that the log is down
RETRY_AFTER_INITIAL_MS = 1_000  # short: another host may accept the retry
RETRY_AFTER_OUTAGE_MS = 2_000  # a caller's few retries must outlast a longer outage


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


def after_failure(state, outcome_unknown, now_ms):
    """Return (new state, verdict) after an append that was not acknowledged."""
    state = state._replace(maybe_written=state.maybe_written or outcome_unknown)
    if not state.maybe_written:
        return state, AppendVerdict.REFUSE
    if now_ms + APPEND_RETRY_DELAY_MS >= state.deadline_ms:
        return state, AppendVerdict.UNKNOWN
    return state, AppendVerdict.REPEAT


def log_is_down(failed_ms, succeeded_ms, now_ms):
    """Return whether the last failed append still shows that the log is down."""
    return failed_ms > succeeded_ms and now_ms - failed_ms < LOG_FAILURE_VALIDITY_MS


def retry_after_ms(succeeded_ms, now_ms):
    """Return the Retry-After delay in milliseconds, longer during a long outage."""
    if now_ms - succeeded_ms < RETRY_AFTER_INITIAL_MS:
        return RETRY_AFTER_INITIAL_MS
    return RETRY_AFTER_OUTAGE_MS
