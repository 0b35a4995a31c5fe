"""Owns what callers' entries are told about jobs of this data centre."""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    JobsFolded,
    PeerConnected,
    PeerLost,
    PeerReceived,
    SendToPeer,
    StatusChanged,
)
from knapweedshed.decisions.ledger import JobClosed, JobOpened
from knapweedshed.models.jobs import JobState, JobStatus
from knapweedshed.models.wire import AskListing, AskStatus, JobReport, Listing, Watch
from knapweedshed.results import ResultCode, is_final

MOST_ENDED = 20_000


class WatchesController(Controller):
    """Keeps each job's status and tells those who watch when it ends."""

    def __init__(self, context):
        super().__init__(context)
        self._statuses = {}
        self._watchers = {}

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def from_peer(self, message: PeerReceived):
        """Serve watches, questions and the job listing."""
        asked = message.message
        if isinstance(asked, (Watch, AskStatus)):
            status = self._statuses.get(asked.job_id)
            if status is not None:
                tell(message.connection, SendToPeer(JobReport(status)))
            ended = status is not None and is_final(status.code)
            if isinstance(asked, Watch) and not ended:
                watchers = self._watchers.setdefault(asked.job_id, set())
                watchers.add(message.connection)
        elif isinstance(asked, AskListing) and asked.kind == "jobs":
            rows = tuple(self._statuses.values())[-1_000:]
            tell(message.connection, SendToPeer(Listing(asked.ask_id, rows)))

    @receive.register
    def connected(self, message: PeerConnected):
        """A new connection watches nothing yet."""

    @receive.register
    def lost(self, message: PeerLost):
        """Forget a connection's watches."""
        for watchers in self._watchers.values():
            watchers.discard(message.connection)

    @receive.register
    def folded(self, message: JobsFolded):
        """Take in the ledger's facts."""
        for fact in message.facts:
            if isinstance(fact, JobOpened):
                self._open(fact.open_job.job)
            elif isinstance(fact, JobClosed):
                self._set(_ended_status(fact))

    @receive.register
    def changed(self, message: StatusChanged):
        """Take in what the queue says."""
        self._set(message.status)

    def dump(self):
        """Return how many jobs are known and watched."""
        return {"jobs": len(self._statuses), "watched": len(self._watchers)}

    def _open(self, job):
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

    def _set(self, status):
        before = self._statuses.get(status.job_id)
        if before is not None and is_final(before.code):
            return
        self._statuses[status.job_id] = status
        if len(self._statuses) > MOST_ENDED:
            self._forget_one()
        if not is_final(status.code):
            return
        for connection in self._watchers.pop(status.job_id, ()):
            tell(connection, SendToPeer(JobReport(status)))

    def _forget_one(self):
        oldest = next(iter(self._statuses))
        if is_final(self._statuses[oldest].code):
            del self._statuses[oldest]


def _ended_status(fact):
    ended = fact.ended
    return JobStatus(
        ended.job_id,
        JobState.ENDED,
        ended.code,
        ended.reason,
        fact.organisation,
        fact.service,
        ended.answer,
        ended.wait_ms,
        ended.run_ms,
        ended.workers,
    )
