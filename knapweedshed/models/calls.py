"""A caller's call about whole jobs, on its way through the filter chain."""

from enum import StrEnum
from typing import NamedTuple

from knapweedshed.models.service import Queue
from knapweedshed.models.work import Step, WorkState
from knapweedshed.results import OK, Result


class CallKind(StrEnum):
    """What the caller wants."""

    SUBMIT = "submit"
    STATE = "state"
    CANCEL = "cancel"
    COUNT = "count"


class JobDraft(NamedTuple):
    """A job as its caller describes it."""

    specification: str
    steps: tuple[Step, ...]
    first_wall_ms: int = 0
    period_ms: int = 0
    repeats: int = 0


class WorkCall(NamedTuple):
    """One call; filters add what they find out.

    `deadline_ms` is on the process's monotonic clock. `fault` says why the body could
    not be read.
    """

    call_id: str
    kind: CallKind
    host: str
    path: str
    key: str
    received_ms: int
    deadline_ms: int
    draft: JobDraft | None = None
    fault: str = ""
    body_bytes: int = 0
    queue: Queue | None = None
    organisation: str = ""
    job_id: str = ""


class WorkReply(NamedTuple):
    """What the caller is told."""

    result: Result = OK
    state: WorkState | None = None
    waiting: int = -1
    retry_after_ms: int = 0
