"""Messages between the actors of an entry."""

from typing import Any, NamedTuple

from knapweedshed.models.jobs import AnswerLocation, Job, JobStatus
from knapweedshed.models.requests import Request
from knapweedshed.results import Result


class Submit(NamedTuple):
    """A caller's request; `reply` gets a `Reply` at once, final or not."""

    request: Request
    reply: Any


class WaitFor(NamedTuple):
    """Put the job's `Reply` into `reply` once it has ended."""

    job_id: str
    reply: Any


class LookAt(NamedTuple):
    """Put the job's `Reply` of this moment into `reply`."""

    job_id: str
    reply: Any


class CancelJob(NamedTuple):
    """The caller wants the job no more."""

    job_id: str


class CancelShort(NamedTuple):
    """The caller wants a short request no more; one that runs is left to end."""

    request_id: str


class RunShort(NamedTuple):
    """Run a short request on a runner."""

    request: Request


class ShortEnded(NamedTuple):
    """What came of a try: `outcome` is a runner's answer, a failure or a `Result`."""

    request_id: str
    attempt: int
    runner: str
    outcome: Any
    run_ms: int = 0


class RunnerCall(NamedTuple):
    """Call a runner."""

    request: Request
    runner: str
    address: str
    limit_ms: int
    receiver: Any


class RunnerCalled(NamedTuple):
    """What came of a call, and which caller is free again."""

    call: RunnerCall
    outcome: Any
    took_ms: int
    caller: Any


class SubmitJob(NamedTuple):
    """Make a request a job of its home data centre."""

    request: Request


class JobSettled(NamedTuple):
    """Whether a submission was accepted."""

    job_id: str
    result: Result


class DirectSubmit(NamedTuple):
    """Give an idempotent job to its home's scheduler without the log."""

    job: Job
    receiver: Any


class DirectSettled(NamedTuple):
    """Whether a scheduler took a job without the log."""

    job_id: str
    taken: bool
    reason: str


class WatchJob(NamedTuple):
    """Follow a job at its home."""

    job_id: str


class JobReported(NamedTuple):
    """How a job stands, as its home says."""

    status: JobStatus


class PlacesReachable(NamedTuple):
    """The data centres with a scheduler that was heard lately."""

    places: frozenset


class AskRows(NamedTuple):
    """Put the rows of a listing, from all data centres in reach, into `reply`."""

    kind: str
    reply: Any


class FetchAnswer(NamedTuple):
    """Read an answer from its holder; `reply` gets bytes or a failure."""

    location: AnswerLocation
    reply: Any
