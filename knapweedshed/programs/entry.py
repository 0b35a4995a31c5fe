"""`knapweedshed-entry`: takes callers' requests at one entry host."""

import sys
from typing import Any, NamedTuple

from knapweedshed.actors import stop_all, tell
from knapweedshed.controllers.configuration import (
    CONFIGURATION_STREAM,
    ConfigurationController,
)
from knapweedshed.controllers.homes import ConnectLinks, HomesController
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
from knapweedshed.links import http_platform  # noqa: F401 - registers the adapter
from knapweedshed.links.answers import AnswersLink
from knapweedshed.links.callers import EntryApi
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
from knapweedshed.programs.daemon import Daemon, build_from, run_daemon
from knapweedshed.programs.state_dump import ask, collect
from knapweedshed.settings import COMMON_SETTINGS, Setting
from knapweedshed.timers import Timer

TICK_MS = 200
HEARTBEAT_MS = 1_000
ANSWER_LINKS = 4

SETTINGS = (
    *COMMON_SETTINGS,
    Setting("threads", "count", 64, "threads that serve callers"),
    Setting("waiting_threads", "count", 48, "of these, for callers that wait"),
    Setting("runner_calls", "count", 64, "calls to runners at the same time"),
)


class FrontActors(NamedTuple):
    """The actors that the front end talks to."""

    requests: Any
    homes: Any
    configuration: Any
    answers: tuple


class EntryProgram(Daemon):
    """The actors of one entry."""

    def __init__(self, context):
        self._context = context
        settings = context.settings
        if settings.waiting_threads >= settings.threads:
            raise ValueError("--waiting-threads must be fewer than --threads")
        platform = create_platform(settings.platform, context.clock)
        self._platform = platform
        self._timer = Timer(context.clock)
        places = tuple(sorted({place for place, _ in settings.schedulers}))
        self._requests = RequestsController.start(context, places)
        self._homes = HomesController.start(context, self._requests)
        self._appender = LogAppender.start(context, self._log())
        self._callers = tuple(
            RunnerLink.start(context, platform) for _ in range(settings.runner_calls)
        )
        self._runners = RunnersController.start(
            context, self._timer, self._requests, self._callers
        )
        self._submissions = SubmissionsController.start(
            context, self._requests, self._appender, self._homes
        )
        self._configuration = ConfigurationController.start(context, (self._requests,))
        self._membership = MembershipController.start(context, ENTRY_ROLE, False)
        self._hosts = HostsLink.start(
            context, platform.host_list(settings.hosts), "runner", self._membership
        )
        self._answers = tuple(
            AnswersLink.start(context, platform) for _ in range(ANSWER_LINKS)
        )
        self._peer_router = self._create_peer_router()
        front = EntryApi(
            context,
            FrontActors(
                self._requests, self._homes, self._configuration, self._answers
            ),
            settings.waiting_threads,
            self.dump,
        )
        try:
            self._server = HttpServer(
                [settings.listen], front.handle, settings.threads, context.logger
            )
        except OSError:
            stop_all(self._actors())
            raise
        self._tail = None
        self._links = ()
        self._connect()

    def start(self):
        """Start reading, serving and ticking."""
        self._timer.start()
        context, timer = self._context, self._timer
        self._tail = LogTail.start(
            context, self._log(), timer, CONFIGURATION_STREAM, self._configuration
        )
        places = []
        for place, address in context.settings.schedulers:
            near = place == context.settings.data_centre
            idle_timeout_ms = LOCAL_IDLE_TIMEOUT_MS if near else REMOTE_IDLE_TIMEOUT_MS
            link = PeerLink.start(
                context, timer, address, self._peer_router, idle_timeout_ms
            )
            places.append((link, place))
        self._links = tuple(link for link, _ in places)
        tell(self._homes, ConnectLinks(tuple(places)))
        tell(self._hosts, Tick())
        timer.every(HOST_LIST_PERIOD_MS, self._hosts, Tick())
        timer.every(HEARTBEAT_MS, self._membership, Tick())
        timer.every(HEARTBEAT_MS, self._configuration, Tick())
        for ref in (self._requests, self._runners, self._submissions, self._homes):
            timer.every(TICK_MS, ref, Tick())
        self._server.start()

    def close(self):
        """Refuse new work, finish what is in hand, then stop."""
        tell(self._membership, SetLeaving())
        tell(self._requests, SetLeaving())
        ask(self._requests, Drain, self._context.settings.drain_ms)
        self._server.close()
        for ref in (self._tail, *self._links):
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
                "requests": self._requests,
                "runners": self._runners,
                "submissions": self._submissions,
                "homes": self._homes,
            },
        )

    def _log(self):
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
        listeners = (self._membership, self._homes)
        return PeerMessageRouter.start(self._context, routes, listeners)

    def _connect(self):
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
            *self._answers,
            *self._callers,
        ]


def main():
    """Run an entry."""
    sys.exit(
        run_daemon(
            "knapweedshed-entry",
            "takes callers' requests at one entry host",
            SETTINGS,
            build_from(EntryProgram),
        )
    )


if __name__ == "__main__":
    main()
