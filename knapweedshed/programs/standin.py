"""`knapweedshed-standin`: the platform's stand-in, one port for each host."""

import sys

from knapweedshed.links.http_server import HttpServer
from knapweedshed.models.workers import Host
from knapweedshed.programs.daemon import Daemon, build_from, run_daemon
from knapweedshed.settings import COMMON_SETTINGS, Setting, parse_address
from knapweedshed.standins.http import HostListFront, LogFront, RunnerFront, WorkerFront
from knapweedshed.standins.log import LogStandin
from knapweedshed.standins.runner import RunnerStandin
from knapweedshed.standins.worker import LapseTick, WorkerStandin
from knapweedshed.timers import Timer

WORKER_PORT_OFFSET = 100
RUNNER_PORT_OFFSET = 400
LAPSE_PERIOD_MS = 50
SPEEDS = (1.0, 1.5, 0.75)

_NAMES = ("process_id", "listen", "statsd", "log_level")
SETTINGS = (
    *(setting for setting in COMMON_SETTINGS if setting.name in _NAMES),
    Setting("data_centre", "text", "", "unused; stand-ins serve all"),
    Setting("data_centres", "names", "one,two", "names, separated by commas"),
    Setting("workers", "count", 12, "workers in all data centres"),
    Setting("accelerators", "count", 8, "accelerators of each worker"),
    Setting("rack_size", "count", 6, "workers in a rack"),
    Setting("runners", "count", 8, "runners in all data centres"),
    Setting("slots", "count", 8, "slots of each runner"),
    Setting("keep_records", "count", 100_000, "records that a stream keeps"),
    Setting("list_lag_ms", "count", 0, "how late the host list is"),
    Setting("threads", "count", 320, "threads that serve requests"),
    Setting("proxied_by", "count", 0, "add this to ports in the host list"),
)


class Standin(Daemon):
    """Log, host list, workers and runners in one process."""

    def __init__(self, context):
        settings = context.settings
        self._context = context
        self._timer = Timer(context.clock)
        self._effects = []
        host, port = parse_address(settings.listen)
        self._log = LogStandin.start(context, settings.keep_records)
        self._workers = []
        self._fronts = {port: LogFront(self._log)}
        hosts = list(self._build_hosts(host, port))
        lag_ms = settings.list_lag_ms
        self._fronts[port + 1] = HostListFront(
            context.clock, hosts, lag_ms, self._effects
        )
        addresses = [f"{host}:{number}" for number in self._fronts]
        self._server = HttpServer(
            addresses, self._handle, settings.threads, context.logger
        )

    def start(self):
        """Start serving."""
        self._timer.start()
        for ref in self._workers:
            self._timer.every(LAPSE_PERIOD_MS, ref, LapseTick())
        self._server.start()

    def close(self):
        """Stop serving."""
        self._server.close()
        self._timer.close()
        for ref in [*self._workers, self._log]:
            ref.stop()

    def dump(self):
        """Return the log's state and every effect on every worker."""
        return {
            "log": self._log.proxy().dump().get(timeout=5),
            "effects": list(self._effects),
        }

    def _handle(self, call):
        return self._fronts[call.port].handle(call)

    def _build_hosts(self, host, port):
        settings = self._context.settings
        places = settings.data_centres
        for index in range(settings.workers):
            rack_number = index // settings.rack_size
            place = places[rack_number % len(places)]
            name = f"worker-{index}"
            ref = WorkerStandin.start(
                self._context,
                name,
                settings.accelerators,
                SPEEDS[index % len(SPEEDS)],
                self._effects,
            )
            self._workers.append(ref)
            number = port + WORKER_PORT_OFFSET + index
            self._fronts[number] = WorkerFront(ref)
            yield self._host(name, "worker", place, f"rack-{rack_number}", host, number)
        for index in range(settings.runners):
            name = f"runner-{index}"
            runner = RunnerStandin(name, settings.slots, SPEEDS[index % len(SPEEDS)])
            number = port + RUNNER_PORT_OFFSET + index
            self._fronts[number] = RunnerFront(runner)
            place = places[index % len(places)]
            rack = f"rack-{index // settings.rack_size}"
            yield self._host(name, "runner", place, rack, host, number)

    def _host(self, name, role, place, rack, host, number):
        shown = number + self._context.settings.proxied_by
        slots = self._context.settings.slots if role == "runner" else 0
        address = f"{host}:{shown}"
        return Host(name, role, place, rack, address, slots=slots)


def main():
    """Run the stand-in."""
    sys.exit(
        run_daemon(
            "knapweedshed-standin",
            "small stand-in of the platform, for tests and trying out",
            SETTINGS,
            build_from(Standin),
        )
    )


if __name__ == "__main__":
    main()
