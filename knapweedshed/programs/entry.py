"""`knapweedshed-entry`: accepts requests of callers and operators on one host."""

import sys
from typing import Any, NamedTuple

from knapweedshed.actors import stop_all, tell
from knapweedshed.controllers.configuration import (
    CONFIGURATION_STREAM,
    ConfigurationController,
)
from knapweedshed.controllers.homes import HomesController, SetConnectionDataCentres
from knapweedshed.controllers.membership import (
    ENTRY_ROLE,
    ConnectMembership,
    MembershipController,
    SetLeaving,
)
from knapweedshed.controllers.messages import Drain, Tick, UseAppender
from knapweedshed.controllers.peer_message_router import PeerMessageRouter
from knapweedshed.controllers.requests import ConnectRequests, RequestsController
from knapweedshed.controllers.runners import RunnersController
from knapweedshed.controllers.submissions import SubmissionsController
from knapweedshed.decisions.overload.connection_limits import DEFAULT_CONNECTION_COUNT
from knapweedshed.links import http_platform  # noqa: F401 - registers the adapter
from knapweedshed.links.answers import AnswersLink
from knapweedshed.links.callers import EntryApi
from knapweedshed.links.connection_guard import Listener
from knapweedshed.links.hosts import HOST_LIST_PERIOD_MS, HostsLink
from knapweedshed.links.http_server import HttpServer
from knapweedshed.links.log import LogAppender, LogTail
from knapweedshed.links.peers import (
    LOCAL_IDLE_TIMEOUT_MS,
    REMOTE_IDLE_TIMEOUT_MS,
    PeerLink,
)
from knapweedshed.links.platform import create_platform
from knapweedshed.links.runners import RunnerLink
from knapweedshed.models import wire
from knapweedshed.programs.daemon import Daemon, daemon_factory, run_daemon
from knapweedshed.programs.listener_settings import (
    create_listener_limits,
    listener_settings,
)
from knapweedshed.programs.state_dump import ask_actor, collect_state
from knapweedshed.settings import COMMON_SETTINGS, Setting
from knapweedshed.timers import Timer

TICK_PERIOD_MS = 200
HEARTBEAT_PERIOD_MS = 1_000
ANSWER_LINK_COUNT = 4
MAX_BODY_BYTES = 128 * 1024 * 1024

SETTINGS = (
    *COMMON_SETTINGS,
    Setting("threads", "count", 64, "threads that serve requests"),
    Setting("waiting_threads", "count", 48, "of these, threads for requests that wait"),
    *listener_settings(MAX_BODY_BYTES, 4 * MAX_BODY_BYTES),
    Setting("runner_calls", "count", 64, "concurrent calls to runners"),
)


class EntryApiActors(NamedTuple):
    """The actors that `EntryApi` sends messages to."""

    requests: Any
    homes: Any
    configuration: Any
    answers: tuple


class EntryProgram(Daemon):
    """The actors of one entry process."""

    def __init__(self, context):
        self._context = context
        settings = context.settings
        if settings.waiting_threads >= settings.threads:
            raise ValueError("--waiting-threads must be fewer than --threads")
        platform = create_platform(settings.platform, context.clock)
        self._platform = platform
        self._timer = Timer(context.clock)
        data_centre_names = tuple(sorted({name for name, _ in settings.schedulers}))
        self._requests = RequestsController.start(context, data_centre_names)
        self._homes = HomesController.start(context, self._requests)
        self._appender = LogAppender.start(context, self._log_service())
        self._runner_links = tuple(
            RunnerLink.start(context, platform) for _ in range(settings.runner_calls)
        )
        self._runners = RunnersController.start(
            context, self._timer, self._requests, self._runner_links
        )
        self._submissions = SubmissionsController.start(
            context, self._requests, self._appender, self._homes
        )
        self._configuration = ConfigurationController.start(context, (self._requests,))
        self._membership = MembershipController.start(context, ENTRY_ROLE, False)
        self._hosts = HostsLink.start(
            context, platform.host_list(settings.hosts), "runner", self._membership
        )
        self._answer_links = tuple(
            AnswersLink.start(context, platform) for _ in range(ANSWER_LINK_COUNT)
        )
        self._peer_router = self._create_peer_router()
        entry_api = EntryApi(
            context,
            EntryApiActors(
                self._requests, self._homes, self._configuration, self._answer_links
            ),
            settings.waiting_threads,
            self.dump,
        )
        try:
            self._server = HttpServer(
                [settings.listen],
                entry_api.handle,
                settings.threads,
                context.logger,
                Listener(
                    "callers",
                    _create_limits(settings),
                    metrics=context.metrics,
                    clock=context.clock,
                ),
            )
        except OSError:
            stop_all(self._actors())
            raise
        self._log_tail = None
        self._peer_links = ()
        self._connect_actors()

    def start(self):
        """Start reading the log, connecting to schedulers, ticking and serving."""
        self._timer.start()
        context, timer = self._context, self._timer
        self._log_tail = LogTail.start(
            context,
            self._log_service(),
            timer,
            CONFIGURATION_STREAM,
            self._configuration,
        )
        data_centre_links = []
        for data_centre_name, address in context.settings.schedulers:
            is_local = data_centre_name == context.settings.data_centre
            idle_timeout_ms = (
                LOCAL_IDLE_TIMEOUT_MS if is_local else REMOTE_IDLE_TIMEOUT_MS
            )
            link = PeerLink.start(
                context, timer, address, self._peer_router, idle_timeout_ms
            )
            data_centre_links.append((link, data_centre_name))
        self._peer_links = tuple(link for link, _ in data_centre_links)
        tell(self._homes, SetConnectionDataCentres(tuple(data_centre_links)))
        tell(self._hosts, Tick())
        timer.every(HOST_LIST_PERIOD_MS, self._hosts, Tick())
        timer.every(HEARTBEAT_PERIOD_MS, self._membership, Tick())
        timer.every(HEARTBEAT_PERIOD_MS, self._configuration, Tick())
        for actor in (self._requests, self._runners, self._submissions, self._homes):
            timer.every(TICK_PERIOD_MS, actor, Tick())
        self._server.start()

    def close(self):
        """Refuse new requests, finish accepted ones within `drain_ms`, then stop."""
        tell(self._membership, SetLeaving())
        tell(self._requests, SetLeaving())
        ask_actor(self._requests, Drain, self._context.settings.drain_ms)
        self._server.close()
        for actor in (self._log_tail, *self._peer_links):
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
                "requests": self._requests,
                "runners": self._runners,
                "submissions": self._submissions,
                "homes": self._homes,
            },
        )

    def _log_service(self):
        return self._platform.log_service(self._context.settings.log)

    def _create_peer_router(self):
        routes = {
            wire.Heartbeat: (self._membership, self._homes),
            wire.AskConfiguration: (self._configuration,),
            wire.ConfigurationHeld: (self._configuration,),
            wire.JobReport: (self._homes,),
            wire.DirectAnswer: (self._homes,),
            wire.Listing: (self._homes,),
        }
        connection_receivers = (self._membership, self._homes)
        return PeerMessageRouter.start(self._context, routes, connection_receivers)

    def _connect_actors(self):
        tell(self._configuration, UseAppender(self._appender))
        tell(
            self._requests,
            ConnectRequests(self._runners, self._submissions, self._homes),
        )
        tell(self._membership, ConnectMembership(runner_receivers=(self._runners,)))

    def _actors(self):
        return [
            self._peer_router,
            self._hosts,
            self._membership,
            self._requests,
            self._homes,
            self._runners,
            self._submissions,
            self._configuration,
            self._appender,
            *self._answer_links,
            *self._runner_links,
        ]


def _create_limits(settings):
    """Return the `ListenerLimits` of an entry; nothing is known of its machine."""
    limits = create_listener_limits(settings)
    return limits._replace(
        max_connections=limits.max_connections or DEFAULT_CONNECTION_COUNT
    )


def main():
    """Run an entry process."""
    sys.exit(
        run_daemon(
            "knapweedshed-entry",
            "accepts requests of callers and operators on one host",
            SETTINGS,
            daemon_factory(EntryProgram),
        )
    )


if __name__ == "__main__":
    main()
