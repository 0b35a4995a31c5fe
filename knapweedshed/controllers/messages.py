"""Messages between the actors of one process."""

from typing import Any, NamedTuple

from knapweedshed.models.configuration import Configuration
from knapweedshed.models.jobs import Job, JobStatus
from knapweedshed.models.ledger import OpenJob
from knapweedshed.models.outcomes import StoredRecord
from knapweedshed.models.planning import Launch
from knapweedshed.models.workers import Host, WorkerReport


class Tick(NamedTuple):
    """Time has passed."""


class DumpAsked(NamedTuple):
    """Put the actor's state into `reply`."""

    reply: Any


class UseAppender(NamedTuple):
    """The actor that appends to the log."""

    appender: Any


class AppendRecord(NamedTuple):
    """Append one record; `receiver` is told `AppendDone` or `AppendFailed`."""

    stream: str
    record_id: str
    body: str
    receiver: Any


class AppendDone(NamedTuple):
    """The record stands in the log, at `offset` or within its batch."""

    record_id: str
    offset: int


class AppendFailed(NamedTuple):
    """The record was not appended, or (`unknown`) may have been."""

    record_id: str
    unknown: bool
    reason: str


class RecordsRead(NamedTuple):
    """Records of a stream, in order; `first_retained` is its lower bound.

    `asked_ms` is when they were asked for. The next read begins after `pause_ms`, or
    when `ReadNow` comes; 0: it has begun.
    """

    stream: str
    records: tuple[StoredRecord, ...]
    first_retained: int
    caught_up: bool
    asked_ms: int = 0
    pause_ms: int = 0


class PaceReads(NamedTuple):
    """How long the reader of a stream pauses after it has read something."""

    pause_ms: int


class ReadNow(NamedTuple):
    """Read the stream now, if the reader pauses."""


class LogUnreadable(NamedTuple):
    """The log could not be read."""

    stream: str
    reason: str


class HostsListed(NamedTuple):
    """The platform's host list."""

    hosts: tuple[Host, ...]


class ConfigurationInForce(NamedTuple):
    """A configuration is in force in this process from now on."""

    configuration: Configuration


class WorkersKnown(NamedTuple):
    """The data centre's workers, and which of them are leaving."""

    hosts: tuple[Host, ...]
    leaving: frozenset


class RunnersKnown(NamedTuple):
    """The data centre's runners that may be given new work."""

    hosts: tuple[Host, ...]


class ActingChanged(NamedTuple):
    """Whether this scheduler plans for its data centre."""

    acting: bool


class WorkerReported(NamedTuple):
    """A worker's report, or None when it could not be reached."""

    worker: str
    report: WorkerReport | None
    sent_ms: int
    renewed: tuple[str, ...]


class Renew(NamedTuple):
    """The leases that a worker's watch renews from now on."""

    lease_ids: tuple[str, ...]


class WorkerCommand(NamedTuple):
    """A command for a worker, about one lease."""

    verb: str
    lease_id: str
    job_id: str
    member: int
    labels: Any = None
    accelerators: tuple[int, ...] = ()
    term_ms: int = 0
    program: str = ""
    body: bytes = b""
    checkpoint: str = ""
    receiver: Any = None


class CommandAnswered(NamedTuple):
    """What a worker (or the link to it) says of a command."""

    command: WorkerCommand
    answer: Any


class StartAttempt(NamedTuple):
    """Run this job here, as attempt `number`."""

    opened: OpenJob
    number: int
    launch: Launch


class StopAttempt(NamedTuple):
    """Stop a job's attempt, after a checkpoint where it can."""

    job_id: str
    reason: str
    checkpoint: bool


class AttemptStarted(NamedTuple):
    """All members run."""

    job_id: str


class AttemptEnded(NamedTuple):
    """An attempt is over; `result` says how, in `decisions.attempts` terms."""

    attempt: Any


class AttemptAdopted(NamedTuple):
    """Found running at recovery, or being cleared."""

    attempt: Any
    started_wall_ms: int


class JobsFolded(NamedTuple):
    """Facts from the ledger, in order."""

    facts: tuple


class LedgerState(NamedTuple):
    """The ledger's open and closed jobs, for recovery."""

    open_jobs: dict
    closed: dict


class LedgerStateAsked(NamedTuple):
    """Ask the ledger for its state."""

    receiver: Any


class RecordFact(NamedTuple):
    """Append a ledger record until it stands."""

    record: Any


class TakeDirect(NamedTuple):
    """Take an idempotent job that came without the log."""

    job: Job
    connection: Any


class StatusChanged(NamedTuple):
    """How a job stands, for those who watch it."""

    status: JobStatus


class InputAsked(NamedTuple):
    """Fetch a job's input."""

    job: Job
    receiver: Any


class InputFetched(NamedTuple):
    """A job's input, or None with the reason."""

    job_id: str
    body: bytes | None
    reason: str = ""


class PeerConnected(NamedTuple):
    """A connection to or from another process stands."""

    connection: Any


class PeerReceived(NamedTuple):
    """A message came from another process."""

    connection: Any
    message: Any


class PeerLost(NamedTuple):
    """A connection to or from another process is gone."""

    connection: Any


class SendToPeer(NamedTuple):
    """Send a message on this connection."""

    message: Any


class Draining(NamedTuple):
    """Stop taking new work; `reply` is set when nothing is left in hand."""

    reply: Any
