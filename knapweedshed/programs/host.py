"""`knapweedshed-host`: serves job requests, and schedules while it is acting scheduler.

Every host serves requests. The log decides which host is the acting scheduler.
"""

import signal
import sys
import threading

import pykka

from knapweedshed import platform as fleet_platform  # noqa: F401 - registers the adapter
from knapweedshed.actors import stop_all, tell
from knapweedshed.clock import MS_PER_SECOND, create_clock
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_context
from knapweedshed.controllers.calls import CallsController
from knapweedshed.controllers.jobs import JobsController
from knapweedshed.controllers.messages import Tick
from knapweedshed.controllers.scheduling import (
    STANDBY_READ_PAUSE_MS,
    TICK_PERIOD_MS,
    SchedulingController,
)
from knapweedshed.controllers.work_messages import (
    ResignRole,
    UseCallsController,
    UseLogTail,
    UseWorkerFeed,
)
from knapweedshed.decisions.overload.connection_limits import (
    ListenerLimits,
    derive_host_limits,
)
from knapweedshed.links.fanout import Fanout
from knapweedshed.links.feeds import (
    ConfigurationFeedLink,
    WorkerFeedLink,
    configuration_wait_ms,
)
from knapweedshed.links.log import LogAppender, LogTail
from knapweedshed.links.service import create_service_platform
from knapweedshed.links.work_front import JobApiServer, MetricsServer
from knapweedshed.logs import create_logger
from knapweedshed.metrics import PrometheusMetrics, create_metrics
from knapweedshed.models.work_records import WORK_STREAM
from knapweedshed.programs.daemon import Daemon, run_daemon
from knapweedshed.programs.listener_settings import (
    create_listener_limits,
    listener_settings,
)
from knapweedshed.programs.state_dump import collect_state
from knapweedshed.settings import Setting, SettingsError
from knapweedshed.timers import Timer

# Longest wait of a read at the log; short, to detect a silent connection soon.
STREAM_READ_WAIT_MS = 600
# The load balancer drops a host after 2 missed health checks, 1 s apart; the third
# second is a margin of one more check.
DEREGISTRATION_DELAY_MS = 3_000
RESIGN_TIMEOUT_MS = 1_000
JOBS_TICK_PERIOD_MS = 50

SETTINGS = (
    Setting("platform", "text", "fleet", "platform adapter, by registry name"),
    Setting("metrics_port", "count", 0, "port that serves metrics; 0: none"),
    Setting(
        "overload_policies",
        "overload_policies",
        "",
        "policies for overload, separated by commas; empty: none",
    ),
    *listener_settings(ListenerLimits().max_body_bytes, 0),
    Setting("statsd", "optional_address", "", "ip:port of statsd; empty: none"),
    Setting("log_level", "level", "info", "debug, info, warning or error"),
)


class Host(Daemon):
    """The actors and HTTP servers of one host process."""

    def __init__(self, context, platform, settings):
        self._context = context
        self._settings = settings
        self._timer = Timer(context.clock)
        timer = self._timer
        self._appender = LogAppender.start(
            context, platform.work_log(), settings.log_append_bytes
        )
        self._jobs = JobsController.start(
            context,
            self._appender,
            settings.log_record_bytes,
            context.settings.overload_policies,
        )
        self._calls = CallsController.start(context, self._jobs)
        tell(self._jobs, UseCallsController(self._calls))
        self._scheduling = SchedulingController.start(
            context,
            timer,
            platform,
            self._appender,
            settings,
            context.settings.overload_policies,
        )
        self._platform = platform
        callers_limits, side_limits = derive_host_limits(
            create_listener_limits(context.settings),
            settings.memory_bytes,
            settings.max_descriptors,
        )
        self._job_api_server = JobApiServer(
            context,
            platform.caller_codec(),
            self._calls,
            self._jobs,
            (settings.call_address, settings.readiness_address),
            (callers_limits, side_limits),
        )
        self._metrics_server = None
        if context.settings.metrics_port:
            call_host, _, _ = settings.call_address.rpartition(":")
            port = context.settings.metrics_port
            self._metrics_server = MetricsServer(
                context, f"{call_host}:{port}", side_limits
            )
        self._links = ()

    def start(self):
        """Start reading the log and the feeds, ticking and serving."""
        context, timer, platform = self._context, self._timer, self._platform
        timer.start()
        fanout = Fanout.start(context, (self._jobs, self._scheduling))
        log_tail = LogTail.start(
            context,
            platform.work_log(),
            timer,
            WORK_STREAM,
            fanout,
            max_wait_ms=STREAM_READ_WAIT_MS,
            pause_ms=STANDBY_READ_PAUSE_MS,
        )
        for tail_reader in (self._jobs, self._scheduling):
            tell(tail_reader, UseLogTail(log_tail))
        configuration = ConfigurationFeedLink.start(
            context,
            platform.configuration_feed(),
            timer,
            (
                self._job_api_server.configuration_receiver,
                self._calls,
                self._jobs,
                self._scheduling,
            ),
            self._scheduling if self._settings.evacuation_ms else None,
            configuration_wait_ms(self._settings.evacuation_ms),
        )
        worker_feed = WorkerFeedLink.start(
            context, platform.worker_feed(), timer, self._scheduling
        )
        tell(self._scheduling, UseWorkerFeed(worker_feed))
        self._links = (log_tail, configuration, worker_feed, fanout)
        timer.every(TICK_PERIOD_MS, self._scheduling, Tick())
        timer.every(JOBS_TICK_PERIOD_MS, self._jobs, Tick())
        self._job_api_server.start()
        if self._metrics_server is not None:
            self._metrics_server.start()

    def close(self):
        """Leave the load balancer, resign the scheduler role, then stop.

        Requests that arrive before the load balancer drops the host are answered.
        """
        self._job_api_server.set_not_ready()
        resigned = pykka.ThreadingFuture()
        tell(self._scheduling, ResignRole(resigned))
        delay_event = threading.Event()
        deregistration_delay_ms = min(
            DEREGISTRATION_DELAY_MS, self._settings.grace_ms // 2
        )
        delay_event.wait(deregistration_delay_ms / MS_PER_SECOND)
        self._job_api_server.close()
        try:
            resigned.get(timeout=RESIGN_TIMEOUT_MS / MS_PER_SECOND)
        except pykka.Timeout:
            self._context.logger.warning("scheduler role not handed over in time")
        if self._metrics_server is not None:
            self._metrics_server.close()
        for actor in self._links:
            actor.stop(block=False)
        self._timer.close()
        stop_all((self._calls, self._jobs, self._scheduling, self._appender))

    def dump(self):
        """Return the state of every controller."""
        return collect_state(
            self._context,
            {
                "calls": self._calls,
                "jobs": self._jobs,
                "scheduling": self._scheduling,
            },
        )


def create_host(program, settings):
    """Return (host, logger), configured by the platform; raises SettingsError."""
    register_all()
    clock = create_clock()
    logger = create_logger(program, program, level=settings.log_level)
    try:
        platform = create_service_platform(settings.platform, clock, logger)
        host_settings = platform.settings()
    except ValueError as error:
        raise SettingsError([str(error)]) from error
    logger = create_logger(
        program, host_settings.name, host_settings.data_centre, settings.log_level
    )
    metrics = PrometheusMetrics(create_metrics(settings.statsd, program))
    context = create_context(settings, logger, metrics, "")
    context = context._replace(process_id=context.new_id()[:8])
    try:
        return Host(context, platform, host_settings), logger
    except OSError as error:
        raise SettingsError([f"{host_settings.call_address}: {error}"]) from error


def main():
    """Run a host process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    sys.exit(
        run_daemon(
            "knapweedshed-host",
            "serves job requests, and schedules while it holds the scheduler role",
            SETTINGS,
            create_host,
        )
    )


if __name__ == "__main__":
    main()
