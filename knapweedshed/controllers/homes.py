"""Owns the entry's connections to all schedulers, and the jobs watched there."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.entry_messages import (
    CancelJob,
    DirectSubmission,
    DirectSubmissionEnded,
    FetchListing,
    JobReported,
    ReachableDataCentresChanged,
    WatchJob,
)
from knapweedshed.controllers.messages import (
    PeerConnected,
    PeerLost,
    PeerReceived,
    SendToPeer,
    Tick,
)
from knapweedshed.decisions.homes import home_of
from knapweedshed.models.wire import (
    AskListing,
    Cancel,
    DirectAnswer,
    Heartbeat,
    JobReport,
    Listing,
    SubmitDirect,
    Watch,
)
from knapweedshed.results import is_final

LOCAL_PEER_TIMEOUT_MS = 3_500
# Schedulers send only every fourth heartbeat to other data centres.
REMOTE_PEER_TIMEOUT_MS = 14_000
LISTING_TIMEOUT_MS = 1_500
WATCH_RESEND_PERIOD_TICKS = 25


class SetConnectionDataCentres(NamedTuple):
    """Sets the data centre of each connection, as (connection, data centre) pairs."""

    connection_data_centres: tuple


class _Peer(NamedTuple):
    """A connected scheduler; `heartbeat` is its latest one."""

    data_centre: str
    heartbeat: Heartbeat | None
    last_heard_ms: int


class _PendingListing(NamedTuple):
    """A listing whose rows are complete once no connection is pending."""

    reply: Any
    requested_ms: int
    pending_connections: set
    rows: list


class HomesController(Controller):
    """Watches jobs at the acting schedulers of their home data centres.

    Watches, cancellations and direct submissions are sent again when a connection is
    established or lost, when a scheduler begins to act or becomes ready, and
    periodically.
    """

    def __init__(self, context, requests):
        super().__init__(context)
        self._requests = requests
        self._data_centre_by_connection = {}
        self._peers = {}
        self._watched = {}
        self._cancelled = set()
        self._direct_submissions = {}
        self._pending_listings = {}
        self._reachable = None
        self._tick_count = 0

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def set_connection_data_centres(self, message: SetConnectionDataCentres):
        """Set the data centre of each connection."""
        self._data_centre_by_connection = dict(message.connection_data_centres)
        for connection, peer in self._peers.items():
            data_centre = self._data_centre_by_connection.get(
                connection, peer.data_centre
            )
            self._peers[connection] = peer._replace(data_centre=data_centre)

    @receive.register
    def add_connection(self, message: PeerConnected):
        """Add a connection, and resend the watches of its data centre."""
        data_centre = self._data_centre_by_connection.get(message.connection, "")
        now_ms = self._context.clock.now_ms()
        self._peers[message.connection] = _Peer(data_centre, None, now_ms)
        self._resend_watches(data_centre)

    @receive.register
    def remove_connection(self, message: PeerLost):
        """Drop a connection, and resend its data centre's watches on another."""
        peer = self._peers.pop(message.connection, None)
        if peer is not None:
            self._resend_watches(peer.data_centre)
        self._publish_reachable()

    @receive.register
    def handle_peer_message(self, message: PeerReceived):
        """Handle heartbeats, job reports, direct submissions' answers and listings."""
        peer = self._peers.get(message.connection)
        if peer is None:
            return
        now_ms = self._context.clock.now_ms()
        content = message.message
        self._peers[message.connection] = peer._replace(last_heard_ms=now_ms)
        if isinstance(content, Heartbeat):
            self._handle_heartbeat(message.connection, peer, content, now_ms)
        elif isinstance(content, JobReport):
            self._handle_job_report(content.status)
        elif isinstance(content, DirectAnswer):
            self._handle_direct_answer(content)
        elif isinstance(content, Listing):
            self._handle_listing(message.connection, content)

    @receive.register
    def watch_job(self, message: WatchJob):
        """Watch a job until its final report."""
        self._watched[message.job_id] = None
        self._send_watch(message.job_id)

    @receive.register
    def cancel_job(self, message: CancelJob):
        """Send a cancellation, and resend it with the watch until the job has ended."""
        self._cancelled.add(message.job_id)
        self._watched.setdefault(message.job_id, None)
        self._send_watch(message.job_id)

    @receive.register
    def submit_directly(self, message: DirectSubmission):
        """Send a job to its home's acting scheduler; resend it until it has ended."""
        self._direct_submissions[message.job.job_id] = message
        connection = self._connection_to(message.job.home)
        if connection is None:
            reason = "its home can't be reached"
            tell(
                message.receiver,
                DirectSubmissionEnded(message.job.job_id, False, reason),
            )
            return
        tell(connection, SendToPeer(SubmitDirect(message.job)))

    @receive.register
    def fetch_listing(self, message: FetchListing):
        """Request a listing from one scheduler of each reachable data centre."""
        ask_id = self._context.new_id()
        connections = {
            self._connection_to(data_centre)
            for data_centre in set(self._data_centre_by_connection.values())
        } - {None}
        now_ms = self._context.clock.now_ms()
        pending = _PendingListing(message.reply, now_ms, connections, [])
        self._pending_listings[ask_id] = pending
        for connection in connections:
            tell(connection, SendToPeer(AskListing(ask_id, message.kind)))
        self._answer_if_complete(ask_id, pending)

    @receive.register
    def tick(self, message: Tick):
        """Check for silent peers, end overdue listings, and resend messages."""
        self._publish_reachable()
        now_ms = self._context.clock.now_ms()
        for ask_id, pending in list(self._pending_listings.items()):
            if now_ms - pending.requested_ms > LISTING_TIMEOUT_MS:
                pending.pending_connections.clear()
                self._answer_if_complete(ask_id, pending)
        self._tick_count += 1
        if self._tick_count % WATCH_RESEND_PERIOD_TICKS == 0:
            for job_id in self._watched:
                self._send_watch(job_id)
            for message in list(self._direct_submissions.values()):
                self.submit_directly(message)

    def dump(self):
        """Return the connections, the count of watched jobs, and direct submissions."""
        return {
            "connections": sorted(peer.data_centre for peer in self._peers.values()),
            "watched": len(self._watched),
            "direct": list(self._direct_submissions),
        }

    def _handle_heartbeat(self, connection, peer, heartbeat, now_ms):
        """Resend watches if the scheduler has begun to act or has become ready."""
        previous = peer.heartbeat
        self._peers[connection] = peer._replace(
            heartbeat=heartbeat, last_heard_ms=now_ms
        )
        self._publish_reachable()
        began_acting = heartbeat.acting and (previous is None or not previous.acting)
        became_ready = heartbeat.ready and (previous is None or not previous.ready)
        if began_acting or became_ready:
            self._resend_watches(peer.data_centre)

    def _resend_watches(self, data_centre):
        """Resend the watches, cancellations and direct submissions of a data centre."""
        for job_id in self._watched:
            if home_of(job_id) == data_centre:
                self._send_watch(job_id)
        for message in list(self._direct_submissions.values()):
            if message.job.home == data_centre:
                self.submit_directly(message)

    def _send_watch(self, job_id):
        connection = self._connection_to(home_of(job_id))
        if connection is None:
            return
        tell(connection, SendToPeer(Watch(job_id)))
        if job_id in self._cancelled:
            tell(connection, SendToPeer(Cancel(job_id)))

    def _connection_to(self, data_centre):
        """Return the acting scheduler's connection, else any live one, or None."""
        now_ms = self._context.clock.now_ms()
        fallback = None
        for connection, peer in self._peers.items():
            if peer.data_centre != data_centre or not self._is_alive(peer, now_ms):
                continue
            if peer.heartbeat is not None and peer.heartbeat.acting:
                return connection
            fallback = connection
        return fallback

    def _is_alive(self, peer, now_ms):
        is_local = peer.data_centre == self._context.settings.data_centre
        timeout_ms = LOCAL_PEER_TIMEOUT_MS if is_local else REMOTE_PEER_TIMEOUT_MS
        return now_ms - peer.last_heard_ms <= timeout_ms

    def _handle_job_report(self, status):
        if is_final(status.code):
            self._watched.pop(status.job_id, None)
            self._cancelled.discard(status.job_id)
            self._direct_submissions.pop(status.job_id, None)
        tell(self._requests, JobReported(status))

    def _handle_direct_answer(self, answer):
        message = self._direct_submissions.get(answer.job_id)
        if message is not None:
            ended = DirectSubmissionEnded(answer.job_id, answer.taken, answer.reason)
            tell(message.receiver, ended)

    def _handle_listing(self, connection, listing):
        pending = self._pending_listings.get(listing.ask_id)
        if pending is None:
            return
        pending.pending_connections.discard(connection)
        pending.rows.extend(listing.rows)
        self._answer_if_complete(listing.ask_id, pending)

    def _answer_if_complete(self, ask_id, pending):
        """Answer a listing once no connection is pending."""
        if not pending.pending_connections:
            pending.reply.set(tuple(pending.rows))
            del self._pending_listings[ask_id]

    def _publish_reachable(self):
        """Tell the requests controller if the set of reachable data centres changed."""
        now_ms = self._context.clock.now_ms()
        reachable = frozenset(
            peer.data_centre
            for peer in self._peers.values()
            if self._is_alive(peer, now_ms)
        )
        if reachable != self._reachable:
            self._reachable = reachable
            tell(self._requests, ReachableDataCentresChanged(reachable))
