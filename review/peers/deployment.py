"""A small deployment: store, runners, hosts as processes, a client and the record."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from review.peers.runner import Runner
from review.peers.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOLDS, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST_NAME = "n.example"
# Each queue has its priority and its service.
ROUTES = {
    "plans": (1, "planner"),
    "urgent": (0, "planner"),
    "sweeps": (2, "planner"),
    "prints": (1, "press"),
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": name,
            "host": HOST_NAME,
            "path_prefix": f"/{name}/",
            "service": service,
            "priority": priority,
            "max_attempts": 3,
            "slo_factor": 3.0,
            "slo_ms": 1_000,
        }
        for name, (priority, service) in ROUTES.items()
    ],
    "services": [
        {"name": name, "admission_control": False} for name in ("planner", "press")
    ],
    "tenants": [{"name": "sahel", "api_keys": ["k1"], "guaranteed": {"gpu": 0}}],
    "limits": {"max_body_bytes": 262_144},
}


class CouldNotRunError(Exception):
    """The case can't be judged, as a step before the disruption failed."""


class Record:
    """What was sent, answered and run, with seconds since the script began."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def __call__(self, text):
        """Write a line."""
        with self._lock:
            passed_s = time.monotonic() - self._started_s
            self._file.write(f"{passed_s:8.3f}  {text}\n")
            self._file.flush()

    def at(self, monotonic_s):
        """Return a monotonic time as seconds since the script began."""
        return monotonic_s - self._started_s


class Host:
    """A process of `knapweedshed.programs.host`, with the deploy file's command."""

    def __init__(self, deployment, name, **settings):
        self.name = name
        self._deployment = deployment
        self.front, self.ready = _free_port(), _free_port()
        self.log_path = os.path.join(deployment.folder, f"{name}.log")
        self._log = open(self.log_path, "ab")
        path = os.path.join(deployment.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self._settings(settings), file)
        self.process = subprocess.Popen(
            [
                *("python3", "-m", "knapweedshed.programs.host"),
                *("--metrics-port", str(_free_port())),
            ],
            cwd=ROOT,
            env={
                **{
                    k: os.environ[k]
                    for k in ("PATH", "HOME", "LANG")
                    if k in os.environ
                },
                "PYTHONPATH": "target/deps",
                "KNAPWEEDSHED_CONFIG": path,
            },
            stdout=self._log,
            stderr=self._log,
        )
        deployment.record(f"{name}: started as process {self.process.pid}")

    def _settings(self, changes):
        """Return the settings; a file of JSON is a file of YAML."""
        settings = {
            "node": self.name,
            "zone": "tunis",
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
            },
            "limits": {"cpu_share": 0.537, "cores": 2, "link_mbps": 1000.0},
            "bounds": {
                "grace_s": 6,
                "hold_max_ms": self._deployment.hold_max_ms,
                "early_ms": 250,
            },
            "platform": {
                "addr": self._deployment.store.address,
                "keep_s": 300,
                "record_bytes": 262_144,
                "call_bytes": 2_097_152,
            },
        }
        settings["platform"].update(changes)
        return settings

    def call(self, method, path, body=None, timeout_s=4.0, record=True):
        """Send a client's call; return (status, body), (0, None) without an answer."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.front, timeout=timeout_s
        )
        headers = {
            "Host": HOST_NAME,
            "Authorization": "Token k1",
            "X-Knapweedshed-Deadline-Ms": "3000",
        }
        text = None if body is None else json.dumps(body)
        try:
            connection.request(method, path, text, headers)
            response = connection.getresponse()
            status, value = response.status, json.loads(response.read() or b"null")
        except (OSError, http.client.HTTPException, ValueError):
            status, value = 0, None
        finally:
            connection.close()
        if record:
            sent = f"client: {method} {path} at {self.name}"
            self._deployment.record(f"{sent} -> {status or 'no answer'} {value}")
        return status, value

    def is_ready(self):
        """Return whether the host reports itself ready."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=2)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def acts(self):
        """Return whether the last word in the host's log is that it acts."""
        acting = False
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            for line in file:
                if '"message": "acting"' in line:
                    acting = True
                elif '"message": "not acting any more"' in line:
                    acting = False
        return acting and self.process.poll() is None

    def send(self, signal_number):
        """Send a signal to the process."""
        name = signal.Signals(signal_number).name
        self._deployment.record(f"{self.name}: {name}")
        self.process.send_signal(signal_number)

    def close(self):
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


class Deployment:
    """Everything that a case starts, and what it needs to judge."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store(record)
        self._configuration = CONFIGURATION
        self.store.put("keyed.op", "config", CONFIGURATION)
        self.hold_max_ms = 6_000
        self.runners = []
        self.hosts = []

    def add_runner(self, name, work_of, **fields):
        """Start a runner and return it."""
        runner = Runner(self.store, self.record, name, work_of, **fields)
        self.runners.append(runner)
        return runner

    def add_host(self, name, **settings):
        """Start a host, and return it once it is ready."""
        host = Host(self, name, **settings)
        self.hosts.append(host)
        require(wait_until(host.is_ready, 20), f"{name} did not become ready")
        return host

    def acting_host(self, timeout_s=10):
        """Return the host that acts."""
        require(
            wait_until(lambda: any(host.acts() for host in self.hosts), timeout_s),
            "no host acts",
        )
        return next(host for host in self.hosts if host.acts())

    def guarantee(self, tenant, gpus):
        """Publish a configuration in which a tenant is guaranteed so many GPUs."""
        tenants = [{**self._configuration["tenants"][0], "guaranteed": {"gpu": gpus}}]
        self._publish(f"{tenant} is guaranteed {gpus} GPUs", tenants=tenants)

    def route(self, name, service):
        """Publish a configuration in which a queue goes to another service."""
        routes = [
            {**route, "service": service} if route["name"] == name else route
            for route in self._configuration["routes"]
        ]
        self._publish(f"the queue {name} goes to {service}", routes=routes)

    def _publish(self, text, **changes):
        version = self._configuration["version"] + 1
        self._configuration = {**self._configuration, **changes, "version": version}
        self.store.put("keyed.op", "config", self._configuration)
        self.record(f"operator: version {version}: {text}")

    def intervals(self):
        """Return all runs of all runners by their start."""
        found = [interval for runner in self.runners for interval in runner.intervals]
        return sorted(found, key=lambda interval: interval.started_s)

    def close(self):
        """End all processes that were started, then the stand-ins."""
        for host in self.hosts:
            host.close()
        for runner in self.runners:
            runner.close()
        self.store.close()


def find_overlaps(intervals, now_s):
    """Return (first, second) pairs of runs of one task that ran at the same time."""
    return [
        (first, second)
        for index, first in enumerate(intervals)
        for second in intervals[index + 1 :]
        if first.task == second.task
        and (first.ended_s or now_s) > second.started_s
        and (second.ended_s or now_s) > first.started_s
    ]


def wait_until(condition, timeout_s):
    """Poll `condition` for up to `timeout_s`; return whether it became true."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(0.02)
    return bool(condition())


def require(condition, reason):
    """Raise CouldNotRunError unless a step that the case needs has succeeded."""
    if not condition:
        raise CouldNotRunError(reason)


def run_case(case, folder):
    """Run `case(deployment)` -> broken reasons; return the exit status of a script."""
    record = Record(os.path.join(folder, "record.txt"))
    with tempfile.TemporaryDirectory() as temporary:
        deployment = Deployment(temporary, record)
        with contextlib.closing(deployment):
            try:
                broken = case(deployment)
            except CouldNotRunError as error:
                record(f"could not run: {error}")
                print(f"could not run: {error}", file=sys.stderr)
                return COULD_NOT_RUN
    for reason in broken:
        record(f"BROKEN: {reason}")
        print(f"BROKEN: {reason}")
    record("result: " + ("broken" if broken else "held"))
    print("broken" if broken else "held")
    return BROKEN if broken else HOLDS


def _free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
