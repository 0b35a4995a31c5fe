"""Context of one scenario: its processes, proxy, callers, and their outcomes."""

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

CALL_TIMEOUT_MS = 60_000
CALLERS_STOP_TIMEOUT_S = 5
PROGRAM_BY_SERVICE = {
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
    """A submitted request, its expected answer, and the answer its caller got."""

    organisation: str
    service: str
    key: str
    expected: bytes
    answered: EntryResponse
    took_ms: int

    @property
    def correct(self):
        """Whether the caller got the complete answer to its own request."""
        return (
            self.answered.code == ResultCode.OK and self.answered.body == self.expected
        )


def body_for(service, number, run_ms, rows=20):
    """Return a request body for a service that is unique to `number`.

    `run_ms` is the run time in milliseconds; `rows` sets the size of the answer.
    """
    lines_by_service = {
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
    return "\n".join(
        [f"#run_ms={run_ms}", *lines_by_service.get(service, sweep), ""]
    ).encode()


class World:
    """Processes, proxy and callers that the steps of a scenario act on.

    `marks` holds values that one step records for a later one.
    """

    def __init__(self, port):
        self.port = port
        self.cluster = None
        self.proxy = None
        self.outcomes = []
        self.started = []
        self.marks = {}
        self._threads = []
        self._submitted_count = 0
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
        for data_centre in places:
            offset = self.cluster.proxy_offset(data_centre)
            self._forward(0, offset)
            self._forward(1, offset)
            for index in range(len(places)):
                for scheduler in range(schedulers):
                    self._forward(SCHEDULER_PORT_OFFSET + index * 5 + scheduler, offset)
        self.cluster.start()

    def close(self):
        """Stop callers and processes."""
        self._stopping.set()
        deadline_s = time.monotonic() + CALLERS_STOP_TIMEOUT_S
        for thread in self._threads:
            thread.join(timeout=max(0, deadline_s - time.monotonic()))
        if self.cluster is not None:
            self.cluster.close()
        if self.proxy is not None:
            self.proxy.close()
        self._folder.cleanup()

    def publish(self, name, guaranteed, base=-1, entry=0, entry_id=None, share=1):
        """Publish an organisation; return the row of the decision."""
        guarantees = [
            guarantee(data_centre, shape(accelerators), 1)
            for data_centre in self.cluster.data_centres
            for accelerators in guaranteed
        ]
        _, part = organisation(
            name, self.cluster.data_centres, guarantees, services(), share=share
        )
        document = {
            "schema": 1,
            "id": entry_id or uuid.uuid4().hex,
            "author": "scenario",
            "base": {name: base},
            "parts": {name: part},
        }
        return self.publish_entry(document, entry)

    def publish_entry(self, document, entry=0):
        """Publish a configuration entry unchanged; return the row of the decision.

        Without a valid answer, the row has only the `code` of the error.
        """
        address = self.cluster.entry_addresses[entry]
        client = EntryClient(create_clock(), [address])
        try:
            answer = client.request_json(
                "POST", "/v1/configuration", json_text.dumps(document).encode()
            )
        finally:
            client.close()
        return answer[1] if isinstance(answer, tuple) else {"code": int(answer.code)}

    def submit(
        self,
        organisation_name,
        service,
        count=1,
        run_ms=50,
        rows=20,
        entry=None,
        key=None,
    ):
        """Submit `count` requests in the background, each from its own caller."""
        for _ in range(count):
            self._submitted_count += 1
            body = body_for(service, self._submitted_count, run_ms, rows)
            self.submit_body(organisation_name, service, body, entry, key)

    def submit_body(
        self,
        organisation_name,
        service,
        body,
        entry=None,
        key=None,
        limit_ms=CALL_TIMEOUT_MS,
    ):
        """Submit one body in the background; `limit_ms` is the caller's time limit."""
        key = key or f"{int(time.time())}-{uuid.uuid4().hex}"
        arguments = (organisation_name, service, key, body, entry, limit_ms)
        thread = threading.Thread(
            target=self._run_submission, args=arguments, daemon=True
        )
        self._threads.append(thread)
        self.started.append(key)
        thread.start()

    def start_load(self, organisation_name, service, run_ms, per_second):
        """Submit work at a steady rate until `end_load` or the end of the scenario."""
        stop = threading.Event()

        def run():
            while not stop.wait(1 / per_second) and not self._stopping.is_set():
                self.submit(organisation_name, service, 1, run_ms)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.marks["load"] = (stop, thread)

    def end_load(self):
        """End the steady load."""
        stop, thread = self.marks.pop("load")
        stop.set()
        thread.join()

    def wait_outcomes(self, seconds):
        """Wait up to `seconds`; return whether every caller has its outcome."""
        return self.wait(seconds, lambda: len(self.outcomes) == len(self.started))

    def wait(self, seconds, condition):
        """Poll a condition for up to `seconds`; return whether it became true.

        An OSError, KeyError or TypeError counts as false, since processes may be down.
        """
        deadline_s = time.monotonic() + seconds
        while time.monotonic() < deadline_s:
            try:
                if condition():
                    return True
            except (OSError, KeyError, TypeError):
                pass
            self._stopping.wait(0.05)
        return False

    def effects(self):
        """Return (rows of starts and ends on the workers, current time there in ms)."""
        answer = get_json(f"http://127.0.0.1:{self.port + 1}/effects")
        return answer["rows"], answer["now_ms"]

    def running(self):
        """Return the (job, attempt, member, worker) that run now, as workers report."""
        running = set()
        for row in self.effects()[0]:
            key = (row["job_id"], row["attempt"], row["member"], row["worker"])
            if row["event"] == "started":
                running.add(key)
            else:
                running.discard(key)
        return running

    def acting(self, data_centre):
        """Return the process of a data centre's acting scheduler; waits up to 10 s.

        Raises LookupError if none acts by then.
        """
        found = []

        def find_acting():
            found[:] = [
                process
                for process in self.cluster.schedulers
                if process.flags["data_centre"] == data_centre
                and process.alive
                and self.is_acting(process)
            ]
            return found

        if not self.wait(10, find_acting):
            raise LookupError(f"no acting scheduler in data centre {data_centre}")
        return found[0]

    def is_acting(self, process):
        """Return whether the last "acting changed" line of a log says that it acts."""
        changes = [
            line for line in process.output().splitlines() if '"acting changed"' in line
        ]
        return bool(changes) and '"acting": true' in changes[-1]

    def worker_ports(self, numbers):
        """Return the proxy's ports for workers."""
        offset = self.port + PROXY_PORT_OFFSET + WORKER_PORT_OFFSET
        return [offset + number for number in numbers]

    def runner_ports(self, numbers):
        """Return the proxy's ports for runners."""
        offset = self.port + PROXY_PORT_OFFSET + RUNNER_PORT_OFFSET
        return [offset + number for number in numbers]

    def log_ports(self, places=None):
        """Return the proxy's ports for the log, by default of all data centres."""
        places = places or self.cluster.data_centres
        return [
            self.port + self.cluster.proxy_offset(data_centre) for data_centre in places
        ]

    def platform_ports(self, data_centre):
        """Return the proxy's ports for the log and the host list of a data centre."""
        port = self.port + self.cluster.proxy_offset(data_centre)
        return [port, port + 1]

    def inter_data_centre_ports(self, data_centre):
        """Return the proxy's ports between a data centre and all others."""
        ports = []
        index = self.cluster.data_centres.index(data_centre)
        for other_index, other in enumerate(self.cluster.data_centres):
            if other == data_centre:
                continue
            for scheduler in range(5):
                near = (
                    self.port
                    + self.cluster.proxy_offset(data_centre)
                    + SCHEDULER_PORT_OFFSET
                )
                far = (
                    self.port + self.cluster.proxy_offset(other) + SCHEDULER_PORT_OFFSET
                )
                ports.append(near + other_index * 5 + scheduler)
                ports.append(far + index * 5 + scheduler)
        return ports

    def scheduler_ports(self, data_centre):
        """Return the proxy's ports by which a data centre reaches its schedulers."""
        index = self.cluster.data_centres.index(data_centre)
        port = (
            self.port + self.cluster.proxy_offset(data_centre) + SCHEDULER_PORT_OFFSET
        )
        return [port + index * 5 + scheduler for scheduler in range(5)]

    def set_host_state(self, name, state):
        """Change a host's state in the platform's list."""
        url = f"http://127.0.0.1:{self.port + 1}/hosts"
        post_json(url, {"name": name, "state": state})

    def set_worker_fault(self, number, fails):
        """Make a worker fail every task, or stop doing so."""
        port = self.port + WORKER_PORT_OFFSET + number
        post_json(f"http://127.0.0.1:{port}/fault", {"fail": fails})

    def set_runner_fault(self, number, fails):
        """Make a runner fail every call, or stop doing so."""
        port = self.port + RUNNER_PORT_OFFSET + number
        post_json(f"http://127.0.0.1:{port}/fault", {"fail": fails})

    def set_log_down(self, down):
        """Make the log refuse all requests, or serve again."""
        post_json(f"http://127.0.0.1:{self.port}/fault", {"down": down})

    def drop_records(self, stream, offset):
        """Drop a stream's records below an offset, as retention does."""
        url = f"http://127.0.0.1:{self.port}/drop"
        post_json(url, {"stream": stream, "offset": offset})

    def pause(self, process, seconds):
        """Stop a process with SIGSTOP, and continue it with SIGCONT after `seconds`."""
        process.signal(signal.SIGSTOP)
        timer = threading.Timer(seconds, process.signal, (signal.SIGCONT,))
        timer.daemon = True
        timer.start()

    def _forward(self, port_offset, proxy_offset):
        self.proxy.forward(
            self.port + port_offset + proxy_offset, self.port + port_offset
        )

    def _run_submission(self, organisation_name, service, key, body, entry, limit_ms):
        addresses = self.cluster.entry_addresses
        first_entry = (
            entry if entry is not None else self._submitted_count % len(addresses)
        )
        client = EntryClient(
            create_clock(), addresses[first_entry:] + addresses[:first_entry]
        )
        started_s = time.monotonic()
        try:
            answered = client.run(
                JobSubmission(organisation_name, service, key, body), limit_ms
            )
        finally:
            client.close()
        took_ms = int((time.monotonic() - started_s) * 1_000)
        try:
            expected = tasks.run_program(PROGRAM_BY_SERVICE.get(service, ""), body)
        except tasks.TaskError:
            expected = b""
        self.outcomes.append(
            Outcome(organisation_name, service, key, expected, answered, took_ms)
        )


__all__ = ["Fault", "Outcome", "World"]
