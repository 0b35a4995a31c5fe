"""Owns the known hosts and peers, and whether this process is the acting scheduler."""

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
    RunnersChanged,
    SendToPeer,
    Tick,
    WorkersChanged,
)
from knapweedshed.decisions.acting import Candidate, should_act
from knapweedshed.decisions.membership import HostRegistry
from knapweedshed.decisions.pauses import PauseDetector
from knapweedshed.models.wire import AskConfiguration, Heartbeat

PEER_TIMEOUT_MS = 3_500
INITIAL_ELECTION_DELAY_MS = 2_000
REMOTE_HEARTBEAT_PERIOD_TICKS = 4
SCHEDULER_ROLE = "scheduler"
ENTRY_ROLE = "entry"


class ConnectMembership(NamedTuple):
    """Gives the membership controller the actors that it sends messages to."""

    worker_receivers: tuple = ()
    runner_receivers: tuple = ()
    acting_receivers: tuple = ()


class SetLeaving(NamedTuple):
    """Sent when this process begins its planned stop."""


class SetReady(NamedTuple):
    """Sent when this scheduler has recovered the jobs of its data centre."""


class CheckHandover(NamedTuple):
    """Set `reply` to whether a peer is acting, or no peer is left to take over."""

    reply: Any


class _ReceivedHeartbeat(NamedTuple):
    """A peer's latest heartbeat."""

    heartbeat: Heartbeat
    received_ms: int


class MembershipController(Controller):
    """Sends heartbeats on every connection and takes part in electing who acts.

    `worker_receivers`, `runner_receivers` and `acting_receivers` are sent
    `WorkersChanged`, `RunnersChanged` and `ActingChanged`.
    """

    def __init__(self, context, role, expects_peers):
        super().__init__(context)
        self._role = role
        self._worker_receivers = ()
        self._runner_receivers = ()
        self._acting_receivers = ()
        self._expects_peers = expects_peers
        self._incarnation = context.new_id()
        self._hosts = HostRegistry()
        self._connections = set()
        self._remote_connections = set()
        self._tick_count = 0
        self._heartbeats = {}
        self._acting = False
        self._ready = False
        self._leaving = False
        self._sent_workers = None
        self._sent_runners = None
        self._started_ms = context.clock.now_ms()
        self._pause_detector = PauseDetector()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def connect(self, message: ConnectMembership):
        """Set the actors that this controller sends messages to."""
        self._worker_receivers = message.worker_receivers
        self._runner_receivers = message.runner_receivers
        self._acting_receivers = message.acting_receivers

    @receive.register
    def update_hosts(self, message: HostsListed):
        """Update the known hosts from the platform's list."""
        self._hosts.update_listing(message.hosts)
        self._publish_workers()
        self._publish_runners()

    @receive.register
    def add_connection(self, message: PeerConnected):
        """Send a heartbeat to a new peer, and ask for its configuration."""
        self._connections.add(message.connection)
        tell(message.connection, SendToPeer(self._heartbeat()))
        tell(message.connection, SendToPeer(AskConfiguration()))

    @receive.register
    def remove_connection(self, message: PeerLost):
        """Drop a connection; whether its peer is alive is decided by its heartbeats."""
        self._connections.discard(message.connection)
        self._remote_connections.discard(message.connection)

    @receive.register
    def record_heartbeat(self, message: PeerReceived):
        """Record a peer's heartbeat."""
        heartbeat = message.message
        if not isinstance(heartbeat, Heartbeat):
            return
        now_ms = self._context.clock.now_ms()
        self._heartbeats[heartbeat.process_id] = _ReceivedHeartbeat(heartbeat, now_ms)
        if heartbeat.data_centre != self._context.settings.data_centre:
            self._remote_connections.add(message.connection)
        if heartbeat.leaving:
            self._hosts.mark_leaving(heartbeat.process_id, heartbeat.incarnation)
        self._elect_acting()

    @receive.register
    def tick(self, message: Tick):
        """Elect the acting scheduler and send heartbeats.

        After a pause of this process its knowledge of peers is stale: it stops acting,
        and waits for heartbeats of peers as after a start.
        """
        now_ms = self._context.clock.now_ms()
        if self._pause_detector.detect_pause(now_ms):
            self._started_ms = now_ms
            self._set_acting(False)
        self._elect_acting()
        self._send_heartbeats()

    @receive.register
    def set_leaving(self, message: SetLeaving):
        """Tell every peer at once that this process is leaving."""
        self._leaving = True
        self._tick_count = 0
        self.tick(Tick())

    @receive.register
    def set_ready(self, message: SetReady):
        """Report in heartbeats that this scheduler has finished recovery."""
        self._ready = True

    @receive.register
    def check_handover(self, message: CheckHandover):
        """Answer whether a peer is acting, or no peer is left to take over."""
        staying = [peer for peer in self._live_peers() if not peer.leaving]
        message.reply.set(not staying or any(peer.acting for peer in staying))

    def dump(self):
        """Return this process's state, and the processes and workers that it knows."""
        return {
            "acting": self._acting,
            "ready": self._ready,
            "leaving": self._leaving,
            "connections": len(self._connections),
            "heard": sorted(self._heartbeats),
            "workers": len(self._sent_workers.hosts) if self._sent_workers else 0,
        }

    def _send_heartbeats(self):
        """Send heartbeats, less often on connections to other data centres."""
        heartbeat = SendToPeer(self._heartbeat())
        include_remote = self._tick_count % REMOTE_HEARTBEAT_PERIOD_TICKS == 0
        self._tick_count += 1
        for connection in self._connections:
            if include_remote or connection not in self._remote_connections:
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

    def _publish_workers(self):
        """Tell the receivers if the data centre's workers changed."""
        known = self._hosts.hosts_of_role("worker", self._context.settings.data_centre)
        hosts = tuple(item.host for item in known)
        leaving = frozenset(item.host.name for item in known if item.leaving)
        message = WorkersChanged(hosts, leaving)
        if message == self._sent_workers:
            return
        self._sent_workers = message
        for receiver in self._worker_receivers:
            tell(receiver, message)

    def _publish_runners(self):
        """Tell the receivers if the runners that accept new work changed."""
        known = self._hosts.hosts_of_role("runner", self._context.settings.data_centre)
        message = RunnersChanged(tuple(item.host for item in known if not item.leaving))
        if message == self._sent_runners:
            return
        self._sent_runners = message
        for receiver in self._runner_receivers:
            tell(receiver, message)

    def _live_peers(self):
        """Return the other schedulers of the data centre heard within the timeout."""
        now_ms = self._context.clock.now_ms()
        return [
            Candidate(
                peer.heartbeat.process_id, peer.heartbeat.acting, peer.heartbeat.leaving
            )
            for peer in self._heartbeats.values()
            if peer.heartbeat.role == SCHEDULER_ROLE
            and peer.heartbeat.data_centre == self._context.settings.data_centre
            and peer.heartbeat.process_id != self._context.process_id
            and now_ms - peer.received_ms <= PEER_TIMEOUT_MS
        ]

    def _elect_acting(self):
        """Decide whether this scheduler acts.

        While no expected peer has been heard, it waits for the initial delay. A leaving
        scheduler keeps acting until a peer acts.
        """
        if self._role != SCHEDULER_ROLE:
            return
        now_ms = self._context.clock.now_ms()
        peers = self._live_peers()
        if (
            not peers
            and self._expects_peers
            and now_ms - self._started_ms < INITIAL_ELECTION_DELAY_MS
        ):
            return
        own = Candidate(self._context.process_id, self._acting, self._leaving)
        acting = should_act(own.process_id, [own, *peers])
        if self._leaving and self._acting and not any(c.acting for c in peers):
            acting = True
        self._set_acting(acting)

    def _set_acting(self, acting):
        if acting == self._acting:
            return
        self._acting = acting
        self._ready = False
        self._context.metrics.gauge("acting", int(acting))
        self._context.logger.info("acting changed", extra={"acting": acting})
        for receiver in self._acting_receivers:
            tell(receiver, ActingChanged(acting))
