"""Calls for multi-step jobs, as they pass through the filter chain."""

from enum import StrEnum
from typing import NamedTuple

from knapweedshed.models.service_configuration import Queue
from knapweedshed.models.work import Step, WorkState
from knapweedshed.results import OK, Result


class CallKind(StrEnum):
    """The operation that a caller requests; `COUNT` asks how many jobs wait."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    COUNT = "count"


class JobDraft(NamedTuple):
    """A job as its caller describes it.

    `first_wall_ms`, `period_ms` and `repeats` are those of `WorkJob`.
    """

    specification: str
    steps: tuple[Step, ...]
    first_wall_ms: int = 0
    period_ms: int = 0
    repeats: int = 0


class WorkCall(NamedTuple):
    """One call; filters add the fields after `body_bytes`.

    `received_ms` and `deadline_ms` are on the process's monotonic clock. `body_error`
    says why the body could not be decoded.
    """

    call_id: str
    kind: CallKind
    host: str
    path: str
    api_key: str
    received_ms: int
    deadline_ms: int
    draft: JobDraft | None = None
    body_error: str = ""
    body_bytes: int = 0
    queue: Queue | None = None
    organisation: str = ""
    job_id: str = ""


class LogState(NamedTuple):
    """How far a host had read the log when it answered a call.

    `offset` is that of the last record it has read. `age_ms` is the time since it had
    last read the log to its end, or -1 if it never has.
    """

    offset: int
    age_ms: int


class WorkReply(NamedTuple):
    """The reply to a call; `waiting` is a job count, or -1 if not asked for.

    `log_state` is what the reply rests on, if it rests on the log.
    """

    result: Result = OK
    state: WorkState | None = None
    waiting: int = -1
    retry_after_ms: int = 0
    log_state: LogState | None = None
