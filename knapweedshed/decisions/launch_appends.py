"""Decides what a failed append of launches means for the launches."""

from enum import StrEnum
from typing import Any, NamedTuple

# The log executes an append whose answer was lost up to 6 s late.
MAX_OPEN_LAUNCH_MS = 6_000


class LaunchVerdict(StrEnum):
    """What to do with launches whose append has failed."""

    NOT_WRITTEN = "not written"
    REJECTED = "rejected"
    REPEAT = "repeat"
    GIVE_UP = "give up"


class PendingAppend(NamedTuple):
    """A record that was sent to the log and is not read back yet.

    `sent_ms` is when it was first sent, on the monotonic clock. `maybe_written` means
    that a copy of it may be in the log, or may still get there.
    """

    record: Any
    sent_ms: int
    maybe_written: bool = False


def after_failure(pending, outcome_unknown, is_final, now_ms):
    """Return (new `PendingAppend`, `LaunchVerdict`) after an append that failed.

    `is_final` means that the log will never take this record. A refusal tells about
    one copy only: if an earlier one had no answer, the launches are repeated until one
    is read back. After `MAX_OPEN_LAUNCH_MS` they are given up, so that other work gets
    their workers.
    """
    maybe_written = pending.maybe_written or outcome_unknown
    pending = pending._replace(maybe_written=maybe_written)
    if not maybe_written:
        verdict = LaunchVerdict.REJECTED if is_final else LaunchVerdict.NOT_WRITTEN
        return pending, verdict
    if is_final or now_ms - pending.sent_ms >= MAX_OPEN_LAUNCH_MS:
        return pending, LaunchVerdict.GIVE_UP
    return pending, LaunchVerdict.REPEAT
