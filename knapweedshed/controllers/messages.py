"""Messages between the actors of one process.

A `receiver` is an actor reference; a `reply` is a future that the addressee sets.
"""

from typing import Any, NamedTuple

from knapweedshed.models.configuration import Configuration
from knapweedshed.models.jobs import Job, JobStatus
from knapweedshed.models.ledger import OpenJob
from knapweedshed.models.outcomes import StoredRecord
from knapweedshed.models.planning import Launch
from knapweedshed.models.workers import Host, WorkerReport


class Tick(NamedTuple):
    """Sent periodically by the timer."""


class DumpState(NamedTuple):
    """Set `reply` to the actor's state dump."""

    reply: Any


class UseAppender(NamedTuple):
    """Use this actor to append to the log."""

    appender: Any


class AppendRecord(NamedTuple):
    """Append one record; `receiver` is sent `AppendDone` or `AppendFailed`."""

    stream: str
    record_id: str
    body: str
    receiver: Any


class AppendDone(NamedTuple):
    """The record is in the log, at `offset` or elsewhere in its batch."""

    record_id: str
    offset: int


class AppendFailed(NamedTuple):
    """The append failed; with `unknown` the record may be in the log even so.

    With `final` the log will never take the record.
    """

    record_id: str
    unknown: bool
    reason: str
    final: bool = False


class RecordsRead(NamedTuple):
    """A page of a stream's records, in order of their offsets.

    `first_retained` is the lowest offset that the log still has. With `is_gap` the log
    has dropped records that were not read yet; the next ones begin there.
    `requested_ms` is when the read was requested. The next read begins after `pause_ms`
    or on `ReadNow`; with 0 it has already begun.
    """

    stream: str
    records: tuple[StoredRecord, ...]
    first_retained: int
    caught_up: bool
    requested_ms: int = 0
    pause_ms: int = 0
    is_gap: bool = False


class SetReadPause(NamedTuple):
    """Set how long the reader of a stream pauses after a read that returned records.

    0 ends a pause in progress.
    """

    pause_ms: int


class ReadNow(NamedTuple):
    """Read the stream now if the reader is pausing."""


class LogUnreadable(NamedTuple):
    """A read of the stream failed."""

    stream: str
    reason: str


class HostsListed(NamedTuple):
    """The platform's current host list."""

    hosts: tuple[Host, ...]


class ConfigurationInForce(NamedTuple):
    """This configuration is in force in this process from now on."""

    configuration: Configuration


class WorkersChanged(NamedTuple):
    """The data centre's workers changed; `leaving` names those that are stopping."""

    hosts: tuple[Host, ...]
    leaving: frozenset


class RunnersChanged(NamedTuple):
    """The data centre's runners that accept new work changed."""

    hosts: tuple[Host, ...]


class ActingChanged(NamedTuple):
    """Whether this scheduler is now the acting one of its data centre."""

    acting: bool


class WorkerReported(NamedTuple):
    """A worker's report, or None if the worker could not be reached.

    `sent_ms` is when the request was sent; `renewed` are the lease ids it renewed.
    """

    worker: str
    report: WorkerReport | None
    sent_ms: int
    renewed: tuple[str, ...]


class RenewLeases(NamedTuple):
    """The leases that a worker's `WorkerSyncLink` renews from now on."""

    lease_ids: tuple[str, ...]


class WorkerCommand(NamedTuple):
    """A command to a worker about one lease; `receiver` is sent `CommandAnswered`."""

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
    """A worker's answer to a command, or the failure of the link to the worker."""

    command: WorkerCommand
    answer: Any


class StartAttempt(NamedTuple):
    """Run a job with this launch, as attempt `number`."""

    open_job: OpenJob
    number: int
    launch: Launch


class StopAttempt(NamedTuple):
    """Stop a job's attempt.

    With `checkpoint`, a job that can write a checkpoint writes one first.
    """

    job_id: str
    reason: str
    checkpoint: bool


class AttemptStarted(NamedTuple):
    """All members of the attempt are running."""

    job_id: str


class AttemptEnded(NamedTuple):
    """An attempt is over; `attempt` has its outcome and the reason."""

    attempt: Any


class AttemptAdopted(NamedTuple):
    """Recovery found an attempt that is running, or whose leases are being released."""

    attempt: Any
    started_wall_ms: int


class LedgerUpdated(NamedTuple):
    """Changes to the jobs in the ledger, in order."""

    changes: tuple


class LedgerState(NamedTuple):
    """The ledger's open and closed jobs by job id, for recovery."""

    open_jobs: dict
    closed: dict


class GetLedgerState(NamedTuple):
    """Send `LedgerState` to `receiver` once the job stream has been read."""

    receiver: Any


class AppendLedgerRecord(NamedTuple):
    """Append a record to the job stream, with retries until it is in the log."""

    record: Any


class AcceptDirectJob(NamedTuple):
    """Accept an idempotent job that was submitted directly, not through the log."""

    job: Job
    connection: Any


class JobStatusChanged(NamedTuple):
    """A job's new status, for the connections that watch the job."""

    status: JobStatus


class FetchInput(NamedTuple):
    """Fetch a job's input; `receiver` is sent `InputFetched`."""

    job: Job
    receiver: Any


class InputFetched(NamedTuple):
    """A job's input; `body` is None if it could not be read, for `reason`."""

    job_id: str
    body: bytes | None
    reason: str = ""


class PeerConnected(NamedTuple):
    """A connection to or from another process was established."""

    connection: Any


class PeerReceived(NamedTuple):
    """A message from another process arrived on this connection."""

    connection: Any
    message: Any


class PeerLost(NamedTuple):
    """A connection to or from another process was closed or failed."""

    connection: Any


class SendToPeer(NamedTuple):
    """Send a message on this connection."""

    message: Any


class Drain(NamedTuple):
    """Set `reply` to True once nothing is in progress that a stop would interrupt."""

    reply: Any
