"""Owns the statuses of this data centre's jobs, and the connections that watch them."""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    JobStatusChanged,
    LedgerUpdated,
    PeerConnected,
    PeerLost,
    PeerReceived,
    SendToPeer,
)
from knapweedshed.decisions.ledger import JobClosed, JobOpened
from knapweedshed.models.jobs import JobState, JobStatus
from knapweedshed.models.wire import AskListing, AskStatus, JobReport, Listing, Watch
from knapweedshed.results import ResultCode, is_final

MAX_STATUSES_COUNT = 20_000


class WatchesController(Controller):
    """Keeps each job's status, and reports it to watching connections when it ends."""

    def __init__(self, context):
        super().__init__(context)
        self._statuses = {}
        self._watchers = {}

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def handle_peer_message(self, message: PeerReceived):
        """Handle watches, status requests and listings of the latest 1,000 jobs."""
        request = message.message
        if isinstance(request, (Watch, AskStatus)):
            status = self._statuses.get(request.job_id)
            if status is not None:
                tell(message.connection, SendToPeer(JobReport(status)))
            ended = status is not None and is_final(status.code)
            if isinstance(request, Watch) and not ended:
                watchers = self._watchers.setdefault(request.job_id, set())
                watchers.add(message.connection)
        elif isinstance(request, AskListing) and request.kind == "jobs":
            rows = tuple(self._statuses.values())[-1_000:]
            tell(message.connection, SendToPeer(Listing(request.ask_id, rows)))

    @receive.register
    def ignore_connection(self, message: PeerConnected):
        """Do nothing: a new connection watches no job yet."""

    @receive.register
    def remove_connection(self, message: PeerLost):
        """Remove a connection's watches."""
        for watchers in self._watchers.values():
            watchers.discard(message.connection)

    @receive.register
    def apply_ledger_changes(self, message: LedgerUpdated):
        """Add opened jobs, and record how closed ones ended."""
        for change in message.changes:
            if isinstance(change, JobOpened):
                self._add_waiting_job(change.open_job.job)
            elif isinstance(change, JobClosed):
                self._update_status(_ended_status(change))

    @receive.register
    def update_job_status(self, message: JobStatusChanged):
        """Update a job's status."""
        self._update_status(message.status)

    def dump(self):
        """Return the number of known jobs and of watched jobs."""
        return {"jobs": len(self._statuses), "watched": len(self._watchers)}

    def _add_waiting_job(self, job):
        """Add a job as waiting, unless it is known."""
        self._statuses.setdefault(
            job.job_id,
            JobStatus(
                job.job_id,
                JobState.WAITING,
                ResultCode.PENDING,
                "",
                job.organisation,
                job.service,
            ),
        )

    def _update_status(self, status):
        """Set a status unless a final one is known; report it if it is final."""
        previous = self._statuses.get(status.job_id)
        if previous is not None and is_final(previous.code):
            return
        self._statuses[status.job_id] = status
        if len(self._statuses) > MAX_STATUSES_COUNT:
            self._forget_oldest_if_ended()
        if not is_final(status.code):
            return
        for connection in self._watchers.pop(status.job_id, ()):
            tell(connection, SendToPeer(JobReport(status)))

    def _forget_oldest_if_ended(self):
        """Remove the job that has been known longest, unless it is still open."""
        oldest = next(iter(self._statuses))
        if is_final(self._statuses[oldest].code):
            del self._statuses[oldest]


def _ended_status(change):
    ended = change.ended
    return JobStatus(
        ended.job_id,
        JobState.ENDED,
        ended.code,
        ended.reason,
        change.organisation,
        change.service,
        ended.answer,
        ended.wait_ms,
        ended.run_ms,
        ended.workers,
    )
