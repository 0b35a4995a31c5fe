"""Messages between the actors of an entry.

A `receiver` is an actor reference; a `reply` is a future that the addressee sets.
"""

from typing import Any, NamedTuple

from knapweedshed.models.jobs import AnswerLocation, Job, JobStatus
from knapweedshed.models.requests import Request
from knapweedshed.results import Result


class SubmitRequest(NamedTuple):
    """A caller's request; `reply` is set to a `Reply` at once, final or not."""

    request: Request
    reply: Any


class WaitForJob(NamedTuple):
    """Set `reply` to the job's `Reply` once the job has ended."""

    job_id: str
    reply: Any


class GetJob(NamedTuple):
    """Set `reply` to the job's current `Reply`."""

    job_id: str
    reply: Any


class CancelJob(NamedTuple):
    """Cancel a job or short request on behalf of its caller."""

    job_id: str


class CancelShortRequest(NamedTuple):
    """Cancel a short request that waits; one that is already running is not stopped."""

    request_id: str


class RunShortRequest(NamedTuple):
    """Run a short request on a runner."""

    request: Request


class ShortRequestEnded(NamedTuple):
    """The outcome of one attempt: a runner's answer, a failure or a `Result`.

    `runner` is empty if no runner ran the request. `run_ms` is how long its call took.
    """

    request_id: str
    attempt: int
    runner: str
    outcome: Any
    run_ms: int = 0


class RunnerCall(NamedTuple):
    """Call a runner; `receiver` is sent `RunnerCallEnded`."""

    request: Request
    runner: str
    address: str
    timeout_ms: int
    receiver: Any


class RunnerCallEnded(NamedTuple):
    """The outcome of a call; `caller` is the actor that made it and is idle again."""

    call: RunnerCall
    outcome: Any
    took_ms: int
    caller: Any


class SubmitJob(NamedTuple):
    """Submit a request as a job to its home data centre."""

    request: Request


class SubmissionEnded(NamedTuple):
    """The outcome of a submission: accepted, unknown or not accepted."""

    job_id: str
    result: Result


class DirectSubmission(NamedTuple):
    """Submit an idempotent job to its home's scheduler, not through the log."""

    job: Job
    receiver: Any


class DirectSubmissionEnded(NamedTuple):
    """Whether a scheduler accepted a direct submission; if not, `reason` says why."""

    job_id: str
    accepted: bool
    reason: str


class WatchJob(NamedTuple):
    """Watch a job at its home data centre."""

    job_id: str


class JobReported(NamedTuple):
    """A job's status, as reported by its home data centre."""

    status: JobStatus


class ReachableDataCentresChanged(NamedTuple):
    """The data centres with a scheduler that sent a message within the timeout."""

    data_centres: frozenset


class FetchListing(NamedTuple):
    """Set `reply` to the rows of a listing from all reachable data centres."""

    kind: str
    reply: Any


class FetchAnswer(NamedTuple):
    """Read an answer from the process that has it; `reply` gets bytes or a failure."""

    location: AnswerLocation
    reply: Any
