"""`knapweedshed-scheduler`: schedules and monitors the jobs of one data centre."""

import sys
import threading

from knapweedshed.actors import stop_all, tell
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.controllers.attempts import AttemptsController, ConnectAttempts
from knapweedshed.controllers.configuration import (
    CONFIGURATION_STREAM,
    ConfigurationController,
)
from knapweedshed.controllers.ledger import LedgerController, job_stream_name
from knapweedshed.controllers.membership import (
    SCHEDULER_ROLE,
    CheckHandover,
    ConnectMembership,
    MembershipController,
    SetLeaving,
)
from knapweedshed.controllers.messages import Drain, Tick, UseAppender
from knapweedshed.controllers.peer_message_router import PeerMessageRouter
from knapweedshed.controllers.queue import ConnectQueue, QueueController
from knapweedshed.controllers.watches import WatchesController
from knapweedshed.controllers.workers import LeasePeriods, WorkersController
from knapweedshed.links import http_platform  # noqa: F401 - registers the adapter
from knapweedshed.links.hosts import HOST_LIST_PERIOD_MS, HostsLink
from knapweedshed.links.inputs import InputsLink
from knapweedshed.links.log import LogAppender, LogTail
from knapweedshed.links.peers import DEFAULT_PEER_COUNT, PeerLink, PeerServer
from knapweedshed.links.platform import create_platform
from knapweedshed.models import wire
from knapweedshed.programs.daemon import Daemon, daemon_factory, run_daemon
from knapweedshed.programs.state_dump import ask_actor, collect_state
from knapweedshed.settings import COMMON_SETTINGS, Setting
from knapweedshed.timers import Timer

TICK_PERIOD_MS = 500
HEARTBEAT_PERIOD_MS = 1_000
SNAPSHOT_TICK_PERIOD_MS = 10_000
HANDOVER_POLL_PERIOD_MS = 100

SETTINGS = (
    *COMMON_SETTINGS,
    Setting("lease_ms", "milliseconds", 15_000, "minimum lease term"),
    Setting("renew_ms", "milliseconds", 4_000, "minimum renewal period"),
    Setting("max_peers", "count", DEFAULT_PEER_COUNT, "connections of peers"),
)


class Scheduler(Daemon):
    """The actors of one scheduler process."""

    def __init__(self, context):
        self._context = context
        settings = context.settings
        platform = create_platform(settings.platform, context.clock)
        self._platform = platform
        self._timer = Timer(context.clock)
        timer = self._timer
        peers = self._peer_addresses()
        periods = LeasePeriods(settings.lease_ms, settings.renew_ms)
        self._membership = MembershipController.start(
            context, SCHEDULER_ROLE, bool(peers)
        )
        self._watches = WatchesController.start(context)
        self._queue = QueueController.start(context, timer)
        self._attempts = AttemptsController.start(context, periods)
        self._workers = WorkersController.start(
            context, timer, platform, periods, (self._attempts, self._queue)
        )
        self._ledger = LedgerController.start(
            context, timer, (self._attempts, self._queue, self._watches)
        )
        self._configuration = ConfigurationController.start(context, (self._queue,))
        self._appender = LogAppender.start(context, self._log_service())
        self._inputs = InputsLink.start(context, self._log_service())
        self._hosts = HostsLink.start(
            context, platform.host_list(settings.hosts), "worker", self._membership
        )
        self._peer_router = self._create_peer_router()
        try:
            self._server = PeerServer(
                context, settings.listen, self._peer_router, settings.max_peers
            )
        except OSError:
            stop_all(self._actors())
            raise
        self._log_tails = ()
        self._peer_links = ()
        self._connect_actors(peers)

    def start(self):
        """Start reading the log, connecting to peers, ticking and listening."""
        self._timer.start()
        context, timer = self._context, self._timer
        job_stream = job_stream_name(context.settings.data_centre)
        self._log_tails = (
            LogTail.start(
                context,
                self._log_service(),
                timer,
                CONFIGURATION_STREAM,
                self._configuration,
            ),
            LogTail.start(
                context, self._log_service(), timer, job_stream, self._ledger
            ),
        )
        self._peer_links = tuple(
            PeerLink.start(context, timer, address, self._peer_router)
            for address in self._peer_addresses()
        )
        timer.every(HOST_LIST_PERIOD_MS, self._hosts, Tick())
        tell(self._hosts, Tick())
        timer.every(HEARTBEAT_PERIOD_MS, self._membership, Tick())
        timer.every(TICK_PERIOD_MS, self._attempts, Tick())
        timer.every(TICK_PERIOD_MS, self._queue, Tick())
        timer.every(SNAPSHOT_TICK_PERIOD_MS, self._configuration, Tick())
        timer.every(SNAPSHOT_TICK_PERIOD_MS, self._ledger, Tick())
        self._server.start()

    def close(self):
        """Finish attempts that are starting, hand over to a peer, then stop."""
        timeout_ms = self._context.settings.drain_ms
        tell(self._queue, SetLeaving())
        ask_actor(self._attempts, Drain, timeout_ms)
        tell(self._membership, SetLeaving())
        if self._peer_addresses():
            self._await_handover(timeout_ms)
        self._server.close()
        for actor in (*self._log_tails, *self._peer_links):
            actor.stop(block=False)
        stop_all(self._actors())
        self._timer.close()

    def dump(self):
        """Return the state of every controller."""
        return collect_state(
            self._context,
            {
                "configuration": self._configuration,
                "membership": self._membership,
                "ledger": self._ledger,
                "queue": self._queue,
                "attempts": self._attempts,
                "workers": self._workers,
                "watches": self._watches,
            },
        )

    def _log_service(self):
        return self._platform.log_service(self._context.settings.log)

    def _peer_addresses(self):
        settings = self._context.settings
        return [
            address
            for data_centre, address in settings.schedulers
            if data_centre == settings.data_centre
            and address not in (settings.listen, settings.advertise)
        ]

    def _create_peer_router(self):
        routes = {
            wire.Heartbeat: (self._membership,),
            wire.AskConfiguration: (self._configuration,),
            wire.ConfigurationHeld: (self._configuration,),
            wire.Watch: (self._watches,),
            wire.AskStatus: (self._watches,),
            wire.AskListing: (self._watches, self._queue),
            wire.Cancel: (self._queue,),
            wire.SubmitDirect: (self._queue,),
        }
        connection_receivers = (self._membership, self._watches)
        return PeerMessageRouter.start(self._context, routes, connection_receivers)

    def _connect_actors(self, peers):
        for actor in (self._configuration, self._ledger):
            tell(actor, UseAppender(self._appender))
        tell(
            self._attempts,
            ConnectAttempts(self._workers, self._queue, self._ledger, self._inputs),
        )
        tell(
            self._queue,
            ConnectQueue(
                self._attempts,
                self._ledger,
                self._watches,
                self._workers,
                self._membership,
            ),
        )
        tell(
            self._membership,
            ConnectMembership(
                worker_receivers=(self._workers, self._queue),
                acting_receivers=(
                    self._attempts,
                    self._queue,
                    self._workers,
                    self._ledger,
                    self._configuration,
                ),
            ),
        )

    def _await_handover(self, timeout_ms):
        """Wait until a peer is acting, so that lease renewals have no gap."""
        clock = self._context.clock
        end_ms = clock.now_ms() + timeout_ms
        poll_event = threading.Event()
        while clock.now_ms() < end_ms:
            if ask_actor(self._membership, CheckHandover):
                return
            poll_event.wait(HANDOVER_POLL_PERIOD_MS / MS_PER_SECOND)

    def _actors(self):
        return [
            self._peer_router,
            self._hosts,
            self._membership,
            self._queue,
            self._attempts,
            self._workers,
            self._inputs,
            self._configuration,
            self._ledger,
            self._watches,
            self._appender,
        ]


def main():
    """Run a scheduler process."""
    sys.exit(
        run_daemon(
            "knapweedshed-scheduler",
            "schedules and monitors the jobs of one data centre",
            SETTINGS,
            daemon_factory(Scheduler),
        )
    )


if __name__ == "__main__":
    main()
