"""`knapweedshed-scheduler`: places and follows the jobs of one data centre."""

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
from knapweedshed.links.peers import PeerLink, PeerServer
from knapweedshed.links.platform import create_platform
from knapweedshed.models import wire
from knapweedshed.programs.daemon import Daemon, build_from, run_daemon
from knapweedshed.programs.state_dump import ask, collect
from knapweedshed.settings import COMMON_SETTINGS, Setting
from knapweedshed.timers import Timer

TICK_MS = 500
HEARTBEAT_MS = 1_000
SNAPSHOT_TICK_MS = 10_000
HANDOVER_POLL_MS = 100

SETTINGS = (
    *COMMON_SETTINGS,
    Setting("lease_ms", "milliseconds", 15_000, "shortest lease term"),
    Setting("renew_ms", "milliseconds", 4_000, "shortest renewal period"),
)


class Scheduler(Daemon):
    """The actors of one scheduler."""

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
        self._appender = LogAppender.start(context, self._log())
        self._inputs = InputsLink.start(context, self._log())
        self._hosts = HostsLink.start(
            context, platform.host_list(settings.hosts), "worker", self._membership
        )
        self._peer_router = self._create_peer_router()
        try:
            self._server = PeerServer(context, settings.listen, self._peer_router)
        except OSError:
            stop_all(self._actors())
            raise
        self._tails = ()
        self._peer_links = ()
        self._connect(peers)

    def start(self):
        """Start reading, listening and ticking."""
        self._timer.start()
        context, timer = self._context, self._timer
        stream = job_stream_name(context.settings.data_centre)
        self._tails = (
            LogTail.start(
                context, self._log(), timer, CONFIGURATION_STREAM, self._configuration
            ),
            LogTail.start(context, self._log(), timer, stream, self._ledger),
        )
        self._peer_links = tuple(
            PeerLink.start(context, timer, address, self._peer_router)
            for address in self._peer_addresses()
        )
        timer.every(HOST_LIST_PERIOD_MS, self._hosts, Tick())
        tell(self._hosts, Tick())
        timer.every(HEARTBEAT_MS, self._membership, Tick())
        timer.every(TICK_MS, self._attempts, Tick())
        timer.every(TICK_MS, self._queue, Tick())
        timer.every(SNAPSHOT_TICK_MS, self._configuration, Tick())
        timer.every(SNAPSHOT_TICK_MS, self._ledger, Tick())
        self._server.start()

    def close(self):
        """Finish the starts in hand, hand over to a peer, then stop."""
        limit_ms = self._context.settings.drain_ms
        tell(self._queue, SetLeaving())
        ask(self._attempts, Drain, limit_ms)
        tell(self._membership, SetLeaving())
        if self._peer_addresses():
            self._await_handover(limit_ms)
        self._server.close()
        for ref in (*self._tails, *self._peer_links):
            ref.stop(block=False)
        stop_all(self._actors())
        self._timer.close()

    def dump(self):
        """Return the state of every controller."""
        return collect(
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

    def _log(self):
        return self._platform.log_service(self._context.settings.log)

    def _peer_addresses(self):
        settings = self._context.settings
        return [
            address
            for place, address in settings.schedulers
            if place == settings.data_centre
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
        listeners = (self._membership, self._watches)
        return PeerMessageRouter.start(self._context, routes, listeners)

    def _connect(self, peers):
        for ref in (self._configuration, self._ledger):
            tell(ref, UseAppender(self._appender))
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

    def _await_handover(self, limit_ms):
        """Wait until a peer acts, so that renewals never pause."""
        clock = self._context.clock
        end_ms = clock.now_ms() + limit_ms
        pause = threading.Event()
        while clock.now_ms() < end_ms:
            if ask(self._membership, CheckHandover):
                return
            pause.wait(HANDOVER_POLL_MS / MS_PER_SECOND)

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
    """Run a scheduler."""
    sys.exit(
        run_daemon(
            "knapweedshed-scheduler",
            "places and follows the jobs of one data centre",
            SETTINGS,
            build_from(Scheduler),
        )
    )


if __name__ == "__main__":
    main()
