"""What exchanges with outside systems return: answers, and three ways to fail."""

from typing import NamedTuple


class Refused(NamedTuple):
    """The other side says that it did nothing, and why."""

    reason: str


class NotSent(NamedTuple):
    """No byte of the request left this process."""

    reason: str


class NoAnswer(NamedTuple):
    """The request may have taken effect; the outcome is unknown."""

    reason: str


FAILURES = (Refused, NotSent, NoAnswer)


class LogRecord(NamedTuple):
    """A record to append; `record_id` tells a second copy from a second record."""

    record_id: str
    body: str


class StoredRecord(NamedTuple):
    """A record as read back."""

    offset: int
    record_id: str
    body: str


class LogPage(NamedTuple):
    """Records from the asked offset on; `first_retained` moves up with retention.

    `end` is the offset after the last record of the stream, or -1 if it isn't told.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    first_retained: int
    end: int = -1


class Granted(NamedTuple):
    """A worker's word that the lease is ours; `fence` only grows at that worker."""

    lease_id: str
    fence: int
    incarnation: str


class Freed(NamedTuple):
    """The lease is over and barred; `state` is what it was before.

    `never` means that this incarnation of the worker had not granted it.
    """

    state: str
    incarnation: str


class Done(NamedTuple):
    """The command took effect; `detail` is the checkpoint token of a stop."""

    detail: str = ""


class RunnerAnswer(NamedTuple):
    """A runner's whole answer and its load at that moment.

    `failed` tells that the work ran and ended with an error, which `body` names.
    """

    body: bytes
    digest: str
    in_flight: int
    slots: int
    failed: bool = False


class AnswerPart(NamedTuple):
    """Bytes of an answer from an offset on."""

    body: bytes
