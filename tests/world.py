"""The state of one scenario: processes, proxy, callers, and what came of their work."""

import signal
import tempfile
import threading
import time
import uuid
from typing import NamedTuple

from examples.cluster import (
    PROXY_PORT_OFFSET,
    SCHEDULER_PORT_OFFSET,
    Cluster,
    get_json,
    post_json,
)
from knapweedshed.clock import create_clock
from knapweedshed.codecs import json_text
from knapweedshed.links.entry_client import EntryClient, EntryResponse, JobSubmission
from knapweedshed.operators import (
    guarantee,
    organisation,
    runner_service,
    shape,
    worker_service,
)
from knapweedshed.programs.standin import RUNNER_PORT_OFFSET, WORKER_PORT_OFFSET
from knapweedshed.results import ResultCode
from knapweedshed.standins import tasks
from tests.proxy import Fault, Proxy

LIMIT_MS = 60_000
CALLERS_END_SECONDS = 5
PROGRAMS = {
    "check": "check-cart",
    "preview": "preview-shrink",
    "plan": "plan-loading",
    "proof": "make-proof",
    "sweep": "sweep-shelf-life",
    "mockup": "make-mockups",
    "gang": "sweep-shelf-life",
}


def services():
    """Return the services that every organisation of a scenario has."""
    return [
        runner_service("check", "check-cart"),
        runner_service("preview", "preview-shrink", urgency="normal"),
        worker_service(
            "plan", "plan-loading", shape(8), idempotent=False, can_checkpoint=True
        ),
        worker_service("proof", "make-proof", shape(2), idempotent=False),
        worker_service("sweep", "sweep-shelf-life", shape(2), urgency="batch"),
        worker_service(
            "mockup", "make-mockups", shape(4), urgency="batch", can_checkpoint=True
        ),
        worker_service("gang", "sweep-shelf-life", shape(8, members=3)),
    ]


class Outcome(NamedTuple):
    """One piece of work, its right answer, and what its caller got."""

    organisation: str
    service: str
    key: str
    expected: bytes
    answered: EntryResponse
    took_ms: int

    @property
    def right(self):
        """Whether the caller got its own whole answer."""
        return (
            self.answered.code == ResultCode.OK and self.answered.body == self.expected
        )


def body_for(service, number, run_ms, rows=20):
    """Return an input that differs from every other number's."""
    lines = {
        "check": [
            f"item-{number}-{n},{n},{n + (n == number % 7)}" for n in range(rows)
        ],
        "preview": [f"label-{number}-{n},40,{n + 1}" for n in range(rows)],
        "plan": [f"flight,F{number}-{n},30" for n in range(4)]
        + [f"cart,c{number}-{n},{1 + n % 5}" for n in range(rows)],
        "proof": [f"sleeve {number} line {n}" for n in range(rows)],
        "mockup": [f"mockup {number} {n}" for n in range(rows)],
    }
    sweep = [f"drawer-{number}-{n},item,{n % 9 - 2}" for n in range(rows)]
    return "\n".join([f"#run_ms={run_ms}", *lines.get(service, sweep), ""]).encode()


class World:
    """Everything that a scenario's steps act on."""

    def __init__(self, port):
        self.port = port
        self.cluster = None
        self.proxy = None
        self.outcomes = []
        self.started = []
        self.marks = {}
        self._threads = []
        self._number = 0
        self._stopping = threading.Event()
        self._folder = tempfile.TemporaryDirectory()

    def start(self, places, entries, schedulers, standin, flags):
        """Start the processes behind the proxy."""
        self.cluster = Cluster(
            self.port,
            self._folder.name,
            tuple(places),
            entries,
            schedulers,
            standin,
            flags,
            through_proxy=True,
        )
        self.proxy = Proxy()
        self.proxy.start()
        for number in range(standin["workers"]):
            self._forward(WORKER_PORT_OFFSET + number, PROXY_PORT_OFFSET)
        for number in range(standin["runners"]):
            self._forward(RUNNER_PORT_OFFSET + number, PROXY_PORT_OFFSET)
        for place in places:
            offset = self.cluster.proxy_offset(place)
            self._forward(0, offset)
            self._forward(1, offset)
            for index in range(len(places)):
                for scheduler in range(schedulers):
                    self._forward(SCHEDULER_PORT_OFFSET + index * 5 + scheduler, offset)
        self.cluster.start()

    def close(self):
        """Stop callers and processes."""
        self._stopping.set()
        end = time.monotonic() + CALLERS_END_SECONDS
        for thread in self._threads:
            thread.join(timeout=max(0, end - time.monotonic()))
        if self.cluster is not None:
            self.cluster.close()
        if self.proxy is not None:
            self.proxy.close()
        self._folder.cleanup()

    def publish(self, name, guaranteed, base=-1, entry=0, entry_id=None, share=1):
        """Publish an organisation; return (HTTP status or error, row)."""
        held = [
            guarantee(place, shape(accelerators), 1)
            for place in self.cluster.data_centres
            for accelerators in guaranteed
        ]
        _, part = organisation(
            name, self.cluster.data_centres, held, services(), share=share
        )
        plain = {
            "schema": 1,
            "id": entry_id or uuid.uuid4().hex,
            "author": "scenario",
            "base": {name: base},
            "parts": {name: part},
        }
        return self.publish_plain(plain, entry)

    def publish_plain(self, plain, entry=0):
        """Publish an entry as it is; return the decision's row."""
        address = self.cluster.entry_addresses[entry]
        client = EntryClient(create_clock(), [address])
        try:
            answer = client.request_json(
                "POST", "/v1/configuration", json_text.dumps(plain).encode()
            )
        finally:
            client.close()
        return answer[1] if isinstance(answer, tuple) else {"code": int(answer.code)}

    def submit(self, who, service, count=1, run_ms=50, rows=20, entry=None, key=None):
        """Submit work from its own callers, in the background."""
        for _ in range(count):
            self._number += 1
            body = body_for(service, self._number, run_ms, rows)
            self.submit_body(who, service, body, entry, key)

    def submit_body(self, who, service, body, entry=None, key=None, limit_ms=LIMIT_MS):
        """Submit one body in the background."""
        key = key or f"{int(time.time())}-{uuid.uuid4().hex}"
        arguments = (who, service, key, body, entry, limit_ms)
        thread = threading.Thread(target=self._call, args=arguments, daemon=True)
        self._threads.append(thread)
        self.started.append(key)
        thread.start()

    def load(self, who, service, run_ms, per_second):
        """Submit work at a steady rate until the scenario ends it."""
        stop = threading.Event()

        def run():
            while not stop.wait(1 / per_second) and not self._stopping.is_set():
                self.submit(who, service, 1, run_ms)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.marks["load"] = (stop, thread)

    def end_load(self):
        """End the steady load."""
        stop, thread = self.marks.pop("load")
        stop.set()
        thread.join()

    def wait_outcomes(self, seconds):
        """Wait until every caller has its outcome; return whether all have."""
        return self.wait(seconds, lambda: len(self.outcomes) == len(self.started))

    def wait(self, seconds, condition):
        """Wait for a condition; return whether it came true."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                if condition():
                    return True
            except (OSError, KeyError, TypeError):
                pass
            self._stopping.wait(0.05)
        return False

    def effects(self):
        """Return (rows, now) of what happened on the workers."""
        answer = get_json(f"http://127.0.0.1:{self.port + 1}/effects")
        return answer["rows"], answer["now_ms"]

    def running(self):
        """Return the (job, attempt, member, worker) that run now, by the workers."""
        now = set()
        for row in self.effects()[0]:
            key = (row["job_id"], row["attempt"], row["member"], row["worker"])
            if row["event"] == "started":
                now.add(key)
            else:
                now.discard(key)
        return now

    def acting(self, place):
        """Return the acting scheduler's process of a data centre, once there is one."""
        found = []

        def look():
            found[:] = [
                process
                for process in self.cluster.schedulers
                if process.flags["data_centre"] == place
                and process.alive
                and self.acting_word(process)
            ]
            return found

        if not self.wait(10, look):
            raise LookupError(f"no scheduler of {place} acts")
        return found[0]

    def acting_word(self, process):
        """Return whether a scheduler's log last said that it acts."""
        said = [
            line for line in process.output().splitlines() if '"acting changed"' in line
        ]
        return bool(said) and '"acting": true' in said[-1]

    def worker_ports(self, numbers):
        """Return the proxy's ports of workers."""
        offset = self.port + PROXY_PORT_OFFSET + WORKER_PORT_OFFSET
        return [offset + number for number in numbers]

    def runner_ports(self, numbers):
        """Return the proxy's ports of runners."""
        offset = self.port + PROXY_PORT_OFFSET + RUNNER_PORT_OFFSET
        return [offset + number for number in numbers]

    def log_ports(self, places=None):
        """Return the proxy's ports of the log."""
        places = places or self.cluster.data_centres
        return [self.port + self.cluster.proxy_offset(place) for place in places]

    def platform_ports(self, place):
        """Return the proxy's ports of log and host list for a data centre."""
        port = self.port + self.cluster.proxy_offset(place)
        return [port, port + 1]

    def region_ports(self, place):
        """Return the proxy's ports between a data centre and all others."""
        ports = []
        index = self.cluster.data_centres.index(place)
        for other_index, other in enumerate(self.cluster.data_centres):
            if other == place:
                continue
            for scheduler in range(5):
                near = (
                    self.port + self.cluster.proxy_offset(place) + SCHEDULER_PORT_OFFSET
                )
                far = (
                    self.port + self.cluster.proxy_offset(other) + SCHEDULER_PORT_OFFSET
                )
                ports.append(near + other_index * 5 + scheduler)
                ports.append(far + index * 5 + scheduler)
        return ports

    def scheduler_ports(self, place):
        """Return the proxy's ports by which a data centre reaches its schedulers."""
        index = self.cluster.data_centres.index(place)
        port = self.port + self.cluster.proxy_offset(place) + SCHEDULER_PORT_OFFSET
        return [port + index * 5 + scheduler for scheduler in range(5)]

    def set_host_state(self, name, state):
        """Change a host's state in the platform's list."""
        url = f"http://127.0.0.1:{self.port + 1}/hosts"
        post_json(url, {"name": name, "state": state})

    def set_worker_fault(self, number, fails):
        """Make a worker fail everything, or stop doing so."""
        port = self.port + WORKER_PORT_OFFSET + number
        post_json(f"http://127.0.0.1:{port}/fault", {"fail": fails})

    def set_runner_fault(self, number, fails):
        """Make a runner fail everything, or stop doing so."""
        port = self.port + RUNNER_PORT_OFFSET + number
        post_json(f"http://127.0.0.1:{port}/fault", {"fail": fails})

    def set_log_down(self, down):
        """Make the log refuse everything, or serve again."""
        post_json(f"http://127.0.0.1:{self.port}/fault", {"down": down})

    def drop_records(self, stream, offset):
        """Let retention drop a stream's records below an offset."""
        url = f"http://127.0.0.1:{self.port}/drop"
        post_json(url, {"stream": stream, "offset": offset})

    def pause(self, process, seconds):
        """Stop a process with SIGSTOP, and let it go on later."""
        process.signal(signal.SIGSTOP)
        timer = threading.Timer(seconds, process.signal, (signal.SIGCONT,))
        timer.daemon = True
        timer.start()

    def _forward(self, number, offset):
        self.proxy.forward(self.port + number + offset, self.port + number)

    def _call(self, who, service, key, body, entry, limit_ms):
        addresses = self.cluster.entry_addresses
        turn = entry if entry is not None else self._number % len(addresses)
        client = EntryClient(create_clock(), addresses[turn:] + addresses[:turn])
        began = time.monotonic()
        try:
            answered = client.run(JobSubmission(who, service, key, body), limit_ms)
        finally:
            client.close()
        took_ms = int((time.monotonic() - began) * 1_000)
        try:
            expected = tasks.run_program(PROGRAMS.get(service, ""), body)
        except tasks.TaskError:
            expected = b""
        self.outcomes.append(Outcome(who, service, key, expected, answered, took_ms))


__all__ = ["Fault", "Outcome", "World"]
