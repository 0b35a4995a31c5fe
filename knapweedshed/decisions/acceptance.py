"""How a job is accepted: what each outcome of its append means for the caller."""

from enum import StrEnum
from typing import NamedTuple

APPEND_AGAIN_MS = 150  # pause before an append of unknown outcome is repeated
LOG_DOWN_MS = 600  # how long a failed append speaks for the log
RETRY_FIRST_MS = 1_000  # another host may be served: come back soon
RETRY_LATER_MS = 2_000  # the log has been down for a while: few tries must outlast it


class Verdict(StrEnum):
    """What to do with a submission after an append."""

    ACCEPTED = "accepted"
    REFUSE = "refuse"
    REPEAT = "repeat"
    UNKNOWN = "unknown"


class AppendState(NamedTuple):
    """What is known of a submission's appends.

    `unknown` says that one of them may have been written, now or later, so that a
    refusal would not be true any more.
    """

    deadline_ms: int
    unknown: bool = False


def after_failure(state, outcome_unknown, now_ms):
    """Return (new state, verdict) after an append that was not acknowledged."""
    state = state._replace(unknown=state.unknown or outcome_unknown)
    if not state.unknown:
        return state, Verdict.REFUSE
    if now_ms + APPEND_AGAIN_MS >= state.deadline_ms:
        return state, Verdict.UNKNOWN
    return state, Verdict.REPEAT


def log_is_down(failed_ms, succeeded_ms, now_ms):
    """Return whether the last failed append still says that the log is down."""
    return failed_ms > succeeded_ms and now_ms - failed_ms < LOG_DOWN_MS


def retry_after_ms(succeeded_ms, now_ms):
    """Return when a refused caller should come back, by how long the log is down."""
    if now_ms - succeeded_ms < RETRY_FIRST_MS:
        return RETRY_FIRST_MS
    return RETRY_LATER_MS
