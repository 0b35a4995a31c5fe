"""Messages between our own processes; times travel as time left, never as clocks."""

from typing import NamedTuple

from knapweedshed.models.configuration import Configuration
from knapweedshed.models.jobs import Job, JobStatus


class Heartbeat(NamedTuple):
    """A process's word about itself, sent on every connection."""

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
    """Tell me when this job ends (a `JobReport`)."""

    job_id: str


class AskStatus(NamedTuple):
    """Tell me now how this job stands (a `JobReport`)."""

    job_id: str


class JobReport(NamedTuple):
    """How a job stands."""

    status: JobStatus


class SubmitDirect(NamedTuple):
    """Take a job without the log; only for idempotent work while it is down."""

    job: Job


class DirectAnswer(NamedTuple):
    """Whether a `SubmitDirect` was taken."""

    job_id: str
    taken: bool
    reason: str = ""


class Cancel(NamedTuple):
    """The caller wants this job no more."""

    job_id: str


class AskListing(NamedTuple):
    """Ask for a listing: `jobs` or `workers`."""

    ask_id: str
    kind: str


class Listing(NamedTuple):
    """Rows of plain values."""

    ask_id: str
    rows: tuple


class AskConfiguration(NamedTuple):
    """Ask a peer for the configuration that it has in force."""


class ConfigurationHeld(NamedTuple):
    """The configuration that a peer has in force."""

    configuration: Configuration


MESSAGES = (
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
