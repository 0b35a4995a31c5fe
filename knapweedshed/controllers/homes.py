"""Owns the connections to all schedulers, and what is watched there."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.entry_messages import (
    AskRows,
    CancelJob,
    DirectSettled,
    DirectSubmit,
    JobReported,
    PlacesReachable,
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

NEAR_LIMIT_MS = 3_500
FAR_LIMIT_MS = 14_000
LISTING_LIMIT_MS = 1_500
REWATCH_TICKS = 25


class UseLinks(NamedTuple):
    """(link, data centre) pairs."""

    places: tuple


class _Peer(NamedTuple):
    place: str
    heartbeat: Heartbeat | None
    heard_ms: int


class _Question(NamedTuple):
    reply: Any
    asked_ms: int
    open: set
    rows: list


class HomesController(Controller):
    """Sends watches to a home's acting scheduler, and again after every change."""

    def __init__(self, context, requests):
        super().__init__(context)
        self._requests = requests
        self._places = {}
        self._peers = {}
        self._watched = {}
        self._cancelled = set()
        self._direct = {}
        self._questions = {}
        self._reachable = None
        self._ticks = 0

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def use_links(self, message: UseLinks):
        """Learn which link goes to which data centre."""
        self._places = dict(message.places)
        for connection, peer in self._peers.items():
            place = self._places.get(connection, peer.place)
            self._peers[connection] = peer._replace(place=place)

    @receive.register
    def connected(self, message: PeerConnected):
        """Watch at a new connection what was watched nowhere."""
        place = self._places.get(message.connection, "")
        now_ms = self._context.clock.now_ms()
        self._peers[message.connection] = _Peer(place, None, now_ms)
        self._rewatch(place)

    @receive.register
    def lost(self, message: PeerLost):
        """Watch elsewhere."""
        peer = self._peers.pop(message.connection, None)
        if peer is not None:
            self._rewatch(peer.place)
        self._tell_reachable()

    @receive.register
    def received(self, message: PeerReceived):
        """Take in heartbeats, reports and rows."""
        peer = self._peers.get(message.connection)
        if peer is None:
            return
        now_ms = self._context.clock.now_ms()
        content = message.message
        self._peers[message.connection] = peer._replace(heard_ms=now_ms)
        if isinstance(content, Heartbeat):
            self._heard(message.connection, peer, content, now_ms)
        elif isinstance(content, JobReport):
            self._reported(content.status)
        elif isinstance(content, DirectAnswer):
            self._direct_answered(content)
        elif isinstance(content, Listing):
            self._listed(message.connection, content)

    @receive.register
    def watch(self, message: WatchJob):
        """Watch a job."""
        self._watched[message.job_id] = None
        self._send_watch(message.job_id)

    @receive.register
    def cancel(self, message: CancelJob):
        """Pass a cancellation on; it is sent again until the job has ended."""
        self._cancelled.add(message.job_id)
        self._watched.setdefault(message.job_id, None)
        self._send_watch(message.job_id)

    @receive.register
    def direct_submit(self, message: DirectSubmit):
        """Give a job to its home's acting scheduler."""
        self._direct[message.job.job_id] = message
        connection = self._acting(message.job.home)
        if connection is None:
            reason = "its home can't be reached"
            tell(message.receiver, DirectSettled(message.job.job_id, False, reason))
            return
        tell(connection, SendToPeer(SubmitDirect(message.job)))

    @receive.register
    def rows(self, message: AskRows):
        """Ask one scheduler of each data centre in reach."""
        ask_id = self._context.new_id()
        connections = {self._acting(p) for p in set(self._places.values())} - {None}
        now_ms = self._context.clock.now_ms()
        question = _Question(message.reply, now_ms, connections, [])
        self._questions[ask_id] = question
        for connection in connections:
            tell(connection, SendToPeer(AskListing(ask_id, message.kind)))
        self._answer(ask_id, question)

    @receive.register
    def tick(self, message: Tick):
        """Look after silent peers, late questions and old watches."""
        self._tell_reachable()
        now_ms = self._context.clock.now_ms()
        for ask_id, question in list(self._questions.items()):
            if now_ms - question.asked_ms > LISTING_LIMIT_MS:
                question.open.clear()
                self._answer(ask_id, question)
        self._ticks += 1
        if self._ticks % REWATCH_TICKS == 0:
            for job_id in self._watched:
                self._send_watch(job_id)
            for message in list(self._direct.values()):
                self.direct_submit(message)

    def dump(self):
        """Return the connections and what is watched."""
        return {
            "connections": sorted(peer.place for peer in self._peers.values()),
            "watched": len(self._watched),
            "direct": list(self._direct),
        }

    def _heard(self, connection, peer, heartbeat, now_ms):
        before = peer.heartbeat
        self._peers[connection] = peer._replace(heartbeat=heartbeat, heard_ms=now_ms)
        self._tell_reachable()
        took_over = heartbeat.acting and (before is None or not before.acting)
        became_ready = heartbeat.ready and (before is None or not before.ready)
        if took_over or became_ready:
            self._rewatch(peer.place)

    def _rewatch(self, place):
        for job_id in self._watched:
            if home_of(job_id) == place:
                self._send_watch(job_id)
        for message in list(self._direct.values()):
            if message.job.home == place:
                self.direct_submit(message)

    def _send_watch(self, job_id):
        connection = self._acting(home_of(job_id))
        if connection is None:
            return
        tell(connection, SendToPeer(Watch(job_id)))
        if job_id in self._cancelled:
            tell(connection, SendToPeer(Cancel(job_id)))

    def _acting(self, place):
        """Return the acting scheduler's connection, else any of that data centre."""
        now_ms = self._context.clock.now_ms()
        found = None
        for connection, peer in self._peers.items():
            if peer.place != place or not self._is_heard(peer, now_ms):
                continue
            if peer.heartbeat is not None and peer.heartbeat.acting:
                return connection
            found = connection
        return found

    def _is_heard(self, peer, now_ms):
        near = peer.place == self._context.settings.data_centre
        limit_ms = NEAR_LIMIT_MS if near else FAR_LIMIT_MS
        return now_ms - peer.heard_ms <= limit_ms

    def _reported(self, status):
        if is_final(status.code):
            self._watched.pop(status.job_id, None)
            self._cancelled.discard(status.job_id)
            self._direct.pop(status.job_id, None)
        tell(self._requests, JobReported(status))

    def _direct_answered(self, answer):
        message = self._direct.get(answer.job_id)
        if message is not None:
            settled = DirectSettled(answer.job_id, answer.taken, answer.reason)
            tell(message.receiver, settled)

    def _listed(self, connection, listing):
        question = self._questions.get(listing.ask_id)
        if question is None:
            return
        question.open.discard(connection)
        question.rows.extend(listing.rows)
        self._answer(listing.ask_id, question)

    def _answer(self, ask_id, question):
        if not question.open:
            question.reply.set(tuple(question.rows))
            del self._questions[ask_id]

    def _tell_reachable(self):
        now_ms = self._context.clock.now_ms()
        places = frozenset(
            peer.place for peer in self._peers.values() if self._is_heard(peer, now_ms)
        )
        if places != self._reachable:
            self._reachable = places
            tell(self._requests, PlacesReachable(places))
