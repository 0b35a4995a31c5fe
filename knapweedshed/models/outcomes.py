"""Results of requests to outside systems: answers, and kinds of failure."""

from typing import NamedTuple


class Refused(NamedTuple):
    """The other side rejected the request, which had no effect."""

    reason: str


class Rejected(NamedTuple):
    """The other side will never accept the request, which had no effect."""

    reason: str


class NotSent(NamedTuple):
    """No byte of the request left this process."""

    reason: str


class NoAnswer(NamedTuple):
    """The request may have taken effect; the outcome is unknown."""

    reason: str


FAILURE_TYPES = (Refused, Rejected, NotSent, NoAnswer)


class LogRecord(NamedTuple):
    """A record to append; copies from a repeated append share their `record_id`."""

    record_id: str
    body: str


class StoredRecord(NamedTuple):
    """A record as read from the log."""

    offset: int
    record_id: str
    body: str


class LogPage(NamedTuple):
    """Records from the requested offset on.

    `first_retained` is the lowest offset that the log still keeps. `end` is the offset
    after the last record of the stream, or -1 if the log did not report it.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    first_retained: int
    end: int = -1


class Granted(NamedTuple):
    """A worker granted the lease; each grant of the worker has a higher `fence`."""

    lease_id: str
    fence: int
    incarnation: str


class Freed(NamedTuple):
    """The worker freed the lease and will not grant it again.

    `state` is the state of the lease before that, or `never` if this incarnation of the
    worker had not granted it.
    """

    state: str
    incarnation: str


class Done(NamedTuple):
    """The command took effect; `detail` is the checkpoint token of a stop."""

    detail: str = ""


class RunnerAnswer(NamedTuple):
    """A runner's complete answer, and its load when it answered.

    `failed` means that the work ran and ended with an error, which `body` names.
    """

    body: bytes
    digest: str
    in_flight: int
    slots: int
    failed: bool = False


class AnswerPart(NamedTuple):
    """The bytes of an answer from some offset on."""

    body: bytes
