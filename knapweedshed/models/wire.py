"""Messages between the scheduler's processes.

Durations are sent as time left, never as readings of the sender's clock.
"""

from typing import NamedTuple

from knapweedshed.models.configuration import Configuration
from knapweedshed.models.jobs import Job, JobStatus


class Heartbeat(NamedTuple):
    """The state of the sending process, sent on every connection.

    `acting` tells whether it is the data centre's acting scheduler, the one that sends
    commands to workers; `leaving` whether it has begun a graceful shutdown.
    """

    process_id: str
    incarnation: str
    role: str
    data_centre: str
    address: str
    acting: bool
    ready: bool
    leaving: bool
    configuration_offset: int


class Watch(NamedTuple):
    """Asks for a `JobReport` when this job ends."""

    job_id: str


class AskStatus(NamedTuple):
    """Asks for a `JobReport` on this job now."""

    job_id: str


class JobReport(NamedTuple):
    """The current status of a job."""

    status: JobStatus


class SubmitDirect(NamedTuple):
    """Submits a job without the log; only for idempotent work while the log is down."""

    job: Job


class DirectAnswer(NamedTuple):
    """Tells whether the job of a `SubmitDirect` was accepted."""

    job_id: str
    taken: bool
    reason: str = ""


class Cancel(NamedTuple):
    """Requests cancellation of a job."""

    job_id: str


class AskListing(NamedTuple):
    """Asks for a listing; `kind` is `jobs` or `workers`."""

    ask_id: str
    kind: str


class Listing(NamedTuple):
    """The answer to `AskListing`: rows of plain values."""

    ask_id: str
    rows: tuple


class AskConfiguration(NamedTuple):
    """Asks a peer for the configuration that it has in force."""


class ConfigurationHeld(NamedTuple):
    """The configuration that a peer has in force."""

    configuration: Configuration


MESSAGE_TYPES = (
    Heartbeat,
    Watch,
    AskStatus,
    JobReport,
    SubmitDirect,
    DirectAnswer,
    Cancel,
    AskListing,
    Listing,
    AskConfiguration,
    ConfigurationHeld,
)
