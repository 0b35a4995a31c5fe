"""`knapweedshed-standin`: stand-in for the platform, with one port per host."""

import sys

from knapweedshed.links.http_server import HttpServer
from knapweedshed.models.workers import Host
from knapweedshed.programs.daemon import Daemon, daemon_factory, run_daemon
from knapweedshed.settings import COMMON_SETTINGS, Setting, parse_address
from knapweedshed.standins.http import (
    HostListRequestHandler,
    LogRequestHandler,
    RunnerRequestHandler,
    WorkerRequestHandler,
)
from knapweedshed.standins.log import LogStandin
from knapweedshed.standins.runner import RunnerStandin
from knapweedshed.standins.worker import LapseCheckTick, WorkerStandin
from knapweedshed.timers import Timer

# Ports of the first worker and the first runner, counted from the port of --listen.
WORKER_PORT_OFFSET = 100
RUNNER_PORT_OFFSET = 400
LAPSE_CHECK_PERIOD_MS = 50
RELATIVE_SPEEDS = (1.0, 1.5, 0.75)  # assigned to hosts in turn

_COMMON_SETTING_NAMES = ("process_id", "listen", "statsd", "log_level")
SETTINGS = (
    *(setting for setting in COMMON_SETTINGS if setting.name in _COMMON_SETTING_NAMES),
    Setting("data_centre", "text", "", "unused; stand-ins serve all"),
    Setting("data_centres", "names", "one,two", "names, separated by commas"),
    Setting("workers", "count", 12, "number of workers in all data centres"),
    Setting("accelerators", "count", 8, "accelerators per worker"),
    Setting("rack_size", "count", 6, "workers per rack"),
    Setting("runners", "count", 8, "number of runners in all data centres"),
    Setting("slots", "count", 8, "slots per runner"),
    Setting("keep_records", "count", 100_000, "records retained per stream"),
    Setting(
        "list_lag_ms", "count", 0, "delay of changes in the host list, in milliseconds"
    ),
    Setting("threads", "count", 320, "threads that serve requests"),
    Setting("proxied_by", "count", 0, "offset added to ports in the host list"),
)


class Standin(Daemon):
    """The log, the host list, and all workers and runners, in one process."""

    def __init__(self, context):
        settings = context.settings
        self._context = context
        self._timer = Timer(context.clock)
        self._effects = []
        host, port = parse_address(settings.listen)
        self._log_actor = LogStandin.start(context, settings.keep_records)
        self._worker_actors = []
        self._request_handlers = {port: LogRequestHandler(self._log_actor)}
        hosts = list(self._create_hosts(host, port))
        lag_ms = settings.list_lag_ms
        self._request_handlers[port + 1] = HostListRequestHandler(
            context.clock, hosts, lag_ms, self._effects
        )
        addresses = [f"{host}:{host_port}" for host_port in self._request_handlers]
        self._server = HttpServer(
            addresses, self._handle, settings.threads, context.logger
        )

    def start(self):
        """Start the lapse checks and the server."""
        self._timer.start()
        for actor in self._worker_actors:
            self._timer.every(LAPSE_CHECK_PERIOD_MS, actor, LapseCheckTick())
        self._server.start()

    def close(self):
        """Stop the server and the actors."""
        self._server.close()
        self._timer.close()
        for actor in [*self._worker_actors, self._log_actor]:
            actor.stop()

    def dump(self):
        """Return the state of the log and the recorded effects of all workers."""
        return {
            "log": self._log_actor.proxy().dump().get(timeout=5),
            "effects": list(self._effects),
        }

    def _handle(self, request):
        return self._request_handlers[request.port].handle(request)

    def _create_hosts(self, host, port):
        settings = self._context.settings
        data_centre_names = settings.data_centres
        for index in range(settings.workers):
            rack_number = index // settings.rack_size
            data_centre = data_centre_names[rack_number % len(data_centre_names)]
            name = f"worker-{index}"
            actor = WorkerStandin.start(
                self._context,
                name,
                settings.accelerators,
                RELATIVE_SPEEDS[index % len(RELATIVE_SPEEDS)],
                self._effects,
            )
            self._worker_actors.append(actor)
            host_port = port + WORKER_PORT_OFFSET + index
            self._request_handlers[host_port] = WorkerRequestHandler(actor)
            yield self._host_entry(
                name, "worker", data_centre, f"rack-{rack_number}", host, host_port
            )
        for index in range(settings.runners):
            name = f"runner-{index}"
            runner = RunnerStandin(
                name, settings.slots, RELATIVE_SPEEDS[index % len(RELATIVE_SPEEDS)]
            )
            host_port = port + RUNNER_PORT_OFFSET + index
            self._request_handlers[host_port] = RunnerRequestHandler(runner)
            data_centre = data_centre_names[index % len(data_centre_names)]
            rack = f"rack-{index // settings.rack_size}"
            yield self._host_entry(name, "runner", data_centre, rack, host, host_port)

    def _host_entry(self, name, role, data_centre, rack, host, host_port):
        listed_port = host_port + self._context.settings.proxied_by
        slots = self._context.settings.slots if role == "runner" else 0
        address = f"{host}:{listed_port}"
        return Host(name, role, data_centre, rack, address, slots=slots)


def main():
    """Run the stand-in process."""
    sys.exit(
        run_daemon(
            "knapweedshed-standin",
            "small stand-in for the platform, for tests and local use",
            SETTINGS,
            daemon_factory(Standin),
        )
    )


if __name__ == "__main__":
    main()
