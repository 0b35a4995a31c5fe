"""Owns who is there: hosts of the list, peers heard of, and whether we act."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    ActingChanged,
    HostsListed,
    PeerConnected,
    PeerLost,
    PeerReceived,
    RunnersKnown,
    SendToPeer,
    Tick,
    WorkersKnown,
)
from knapweedshed.decisions.acting import Candidate, should_act
from knapweedshed.decisions.membership import HostRegistry
from knapweedshed.decisions.pauses import PauseDetector
from knapweedshed.models.wire import AskConfiguration, Heartbeat

PEER_LIMIT_MS = 3_500
SETTLE_MS = 2_000
FAR_EVERY_TICKS = 4
SCHEDULER = "scheduler"
ENTRY = "entry"


class ConnectMembership(NamedTuple):
    """Who is told which hosts there are, and whether we act."""

    worker_receivers: tuple = ()
    runner_receivers: tuple = ()
    acting_receivers: tuple = ()


class SetLeaving(NamedTuple):
    """This process begins its planned stop."""


class SetReady(NamedTuple):
    """This scheduler knows what runs in its data centre."""


class AskHandedOver(NamedTuple):
    """Put into `reply` whether a peer acts now, or none is there to take over."""

    reply: Any


class _Heard(NamedTuple):
    heartbeat: Heartbeat
    at_ms: int


class MembershipController(Controller):
    """Sends heartbeats on every connection and settles the acting scheduler.

    `worker_receivers`, `runner_receivers` and `acting_receivers` are told
    `WorkersKnown`, `RunnersKnown` and `ActingChanged`.
    """

    def __init__(self, context, role, expects_peers):
        super().__init__(context)
        self._role = role
        self._worker_receivers = ()
        self._runner_receivers = ()
        self._acting_receivers = ()
        self._expects_peers = expects_peers
        self._incarnation = context.new_id()
        self._members = HostRegistry()
        self._connections = set()
        self._far = set()
        self._ticks = 0
        self._heard = {}
        self._acting = False
        self._ready = False
        self._leaving = False
        self._known = None
        self._known_runners = None
        self._started_ms = context.clock.now_ms()
        self._pauses = PauseDetector()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def connect(self, message: ConnectMembership):
        """Learn who is told what."""
        self._worker_receivers = message.worker_receivers
        self._runner_receivers = message.runner_receivers
        self._acting_receivers = message.acting_receivers

    @receive.register
    def listed(self, message: HostsListed):
        """Take in the platform's list."""
        self._members.update_listing(message.hosts)
        self._tell_workers()
        self._tell_runners()

    @receive.register
    def connected(self, message: PeerConnected):
        """Greet a new connection."""
        self._connections.add(message.connection)
        tell(message.connection, SendToPeer(self._heartbeat()))
        tell(message.connection, SendToPeer(AskConfiguration()))

    @receive.register
    def lost(self, message: PeerLost):
        """Forget a connection; the peer itself is judged by its heartbeats."""
        self._connections.discard(message.connection)
        self._far.discard(message.connection)

    @receive.register
    def received(self, message: PeerReceived):
        """Take in heartbeats."""
        heartbeat = message.message
        if not isinstance(heartbeat, Heartbeat):
            return
        now_ms = self._context.clock.now_ms()
        self._heard[heartbeat.process_id] = _Heard(heartbeat, now_ms)
        if heartbeat.data_centre != self._context.settings.data_centre:
            self._far.add(message.connection)
        if heartbeat.leaving:
            self._members.mark_leaving(heartbeat.process_id, heartbeat.incarnation)
        self._settle_acting()

    @receive.register
    def tick(self, message: Tick):
        """Send heartbeats and settle who acts."""
        now_ms = self._context.clock.now_ms()
        if self._pauses.detect_pause(now_ms):
            self._started_ms = now_ms
            self._change_acting(False)
        self._settle_acting()
        self._send_heartbeats()

    @receive.register
    def set_leaving(self, message: SetLeaving):
        """Say at once on every connection that this process leaves."""
        self._leaving = True
        self._ticks = 0
        self.tick(Tick())

    @receive.register
    def set_ready(self, message: SetReady):
        """Say that this scheduler has recovered."""
        self._ready = True

    @receive.register
    def handed_over(self, message: AskHandedOver):
        """Say whether a peer acts now, or none is there to take over."""
        staying = [peer for peer in self._peers() if not peer.leaving]
        message.reply.set(not staying or any(peer.acting for peer in staying))

    def dump(self):
        """Return who is known."""
        return {
            "acting": self._acting,
            "ready": self._ready,
            "leaving": self._leaving,
            "connections": len(self._connections),
            "heard": sorted(self._heard),
            "workers": len(self._known.hosts) if self._known else 0,
        }

    def _send_heartbeats(self):
        """Speak on every connection, on those to other data centres less often."""
        heartbeat = SendToPeer(self._heartbeat())
        far_turn = self._ticks % FAR_EVERY_TICKS == 0
        self._ticks += 1
        for connection in self._connections:
            if far_turn or connection not in self._far:
                tell(connection, heartbeat)

    def _heartbeat(self):
        settings = self._context.settings
        return Heartbeat(
            self._context.process_id,
            self._incarnation,
            self._role,
            settings.data_centre,
            settings.listen,
            self._acting,
            self._ready,
            self._leaving,
            0,
        )

    def _tell_workers(self):
        known = self._members.hosts_of_role(
            "worker", self._context.settings.data_centre
        )
        hosts = tuple(item.host for item in known)
        leaving = frozenset(item.host.name for item in known if item.leaving)
        message = WorkersKnown(hosts, leaving)
        if message == self._known:
            return
        self._known = message
        for receiver in self._worker_receivers:
            tell(receiver, message)

    def _tell_runners(self):
        known = self._members.hosts_of_role(
            "runner", self._context.settings.data_centre
        )
        message = RunnersKnown(tuple(k.host for k in known if not k.leaving))
        if message == self._known_runners:
            return
        self._known_runners = message
        for receiver in self._runner_receivers:
            tell(receiver, message)

    def _peers(self):
        now_ms = self._context.clock.now_ms()
        return [
            Candidate(h.heartbeat.process_id, h.heartbeat.acting, h.heartbeat.leaving)
            for h in self._heard.values()
            if h.heartbeat.role == SCHEDULER
            and h.heartbeat.data_centre == self._context.settings.data_centre
            and h.heartbeat.process_id != self._context.process_id
            and now_ms - h.at_ms <= PEER_LIMIT_MS
        ]

    def _settle_acting(self):
        if self._role != SCHEDULER:
            return
        now_ms = self._context.clock.now_ms()
        peers = self._peers()
        if not peers and self._expects_peers and now_ms - self._started_ms < SETTLE_MS:
            return
        own = Candidate(self._context.process_id, self._acting, self._leaving)
        acting = should_act(own.process_id, [own, *peers])
        if self._leaving and self._acting and not any(c.acting for c in peers):
            acting = True
        self._change_acting(acting)

    def _change_acting(self, acting):
        if acting == self._acting:
            return
        self._acting = acting
        self._ready = False
        self._context.metrics.gauge("acting", int(acting))
        self._context.logger.info("acting changed", extra={"acting": acting})
        for receiver in self._acting_receivers:
            tell(receiver, ActingChanged(acting))
