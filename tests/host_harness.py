"""Host processes for tests, against fakes of the users' platform."""

import json
import os
import subprocess
import sys
import tempfile
import time
import unittest

import urllib3
import yaml

from tests.fleet_standin import FakeStore, FakeWorker
from tests.ports import free_port
from tests.test_fleet_platform import CONFIGURATION, SETTINGS

START_TIMEOUT_S = 15
JOB_TIMEOUT_S = 15
JOB_ID = "5c0e7a21d94b36f8"


class HostProcess:
    """A process of `knapweedshed-host` with its settings file and its log file."""

    def __init__(self, name, store, folder, keep_s=300, limits=None):
        self.front_address = f"127.0.0.1:{free_port()}"
        self.ready_address = f"127.0.0.1:{free_port()}"
        self.metrics_port = free_port()
        settings = {
            **SETTINGS,
            "node": name,
            "listen": {"front": self.front_address, "ready": self.ready_address},
            "platform": {"addr": store.address, "keep_s": keep_s},
        }
        if limits is not None:
            settings["limits"] = limits
        path = os.path.join(folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            yaml.safe_dump(settings, file)
        self._log = open(os.path.join(folder, f"{name}.log"), "w+", encoding="utf-8")
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "knapweedshed.programs.host",
                "--metrics-port",
                str(self.metrics_port),
            ],
            env={**os.environ, "KNAPWEEDSHED_CONFIG": path},
            stdout=self._log,
            stderr=self._log,
        )
        self._http = urllib3.PoolManager(retries=False, timeout=4)

    def call(self, method, path, body=None, key="k1"):
        """Send a request to the front end; return (HTTP status, decoded JSON body)."""
        response = self._http.request(
            method,
            f"http://{self.front_address}{path}",
            body=None if body is None else json.dumps(body),
            headers={"Host": "n.example", "Authorization": f"Token {key}"},
        )
        return response.status, json.loads(response.data or b"null")

    def is_ready(self):
        """Return whether the readiness endpoint answers with status 200."""
        try:
            url = f"http://{self.ready_address}/v1/ready"
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def metrics(self):
        """Return the metrics page as text."""
        url = f"http://127.0.0.1:{self.metrics_port}/metrics"
        return self._http.request("GET", url).data.decode()

    def log(self):
        """Return what the process has written to stdout and stderr."""
        self._log.flush()
        self._log.seek(0)
        return self._log.read()

    def close(self):
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


def wait_until(condition, timeout_s):
    """Poll `condition` for up to `limit_s` seconds; return whether it became true."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(0.05)
    return False


class HostTestCase(unittest.TestCase):
    """A store, `worker_count` workers and a folder for the hosts of a test."""

    worker_count = 2
    configuration = CONFIGURATION

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = FakeStore(free_port())
        self.addCleanup(self.store.close)
        self.store.put("keyed.op", "config", self.configuration)
        self.workers = [
            FakeWorker(self.store, f"i-{number}", free_port())
            for number in range(self.worker_count)
        ]
        for worker in self.workers:
            self.addCleanup(worker.close)

    def start_host(self, name, keep_s=300, limits=None):
        """Start a host and return it once it is ready."""
        host = HostProcess(name, self.store, self.folder, keep_s, limits)
        self.addCleanup(host.close)
        self.assertTrue(wait_until(host.is_ready, START_TIMEOUT_S), host.log())
        return host

    def job_state(self, host, job_id=JOB_ID):
        """Return the state of a job as a host reports it."""
        return host.call("GET", f"/plans/{job_id}")[1].get("state")

    def completes_in_time(self, host):
        """Return whether a host reports the job as completed within JOB_TIMEOUT_S."""
        return wait_until(lambda: self.job_state(host) == "completed", JOB_TIMEOUT_S)
