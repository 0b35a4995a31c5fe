"""`knapweedshed-host` as real processes, against stand-ins of the users' platform."""

import json
import os
import signal
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

START_LIMIT_S = 15
JOB_LIMIT_S = 15
STOP_LIMIT_S = 8  # the platform's grace of 6 s, and a margin for a busy machine
JOB = "5c0e7a21d94b36f8"
BODY = {
    "spec": "text",
    "steps": [
        {"count": 3, "cpu": 500, "gpu": 1, "est_ms": 200},
        {"count": 2, "gpu": 8, "est_ms": 200, "gang": True, "depends_on": [0]},
    ],
}


class HostProcess:
    """One host with its settings file."""

    def __init__(self, name, store, folder, keep_s=300):
        self.front = f"127.0.0.1:{free_port()}"
        self.ready = f"127.0.0.1:{free_port()}"
        self.metrics_port = free_port()
        plain = {
            **SETTINGS,
            "node": name,
            "listen": {"front": self.front, "ready": self.ready},
            "platform": {"addr": store.address, "keep_s": keep_s},
        }
        path = os.path.join(folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            yaml.safe_dump(plain, file)
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
        """Return (status, JSON value)."""
        answer = self._http.request(
            method,
            f"http://{self.front}{path}",
            body=None if body is None else json.dumps(body),
            headers={"Host": "n.example", "Authorization": f"Token {key}"},
        )
        return answer.status, json.loads(answer.data or b"null")

    def is_ready(self):
        """Return whether the host wants callers."""
        try:
            url = f"http://{self.ready}/v1/ready"
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def metrics(self):
        """Return the host's metrics as text."""
        url = f"http://127.0.0.1:{self.metrics_port}/metrics"
        return self._http.request("GET", url).data.decode()

    def log(self):
        """Return what the host wrote."""
        self._log.flush()
        self._log.seek(0)
        return self._log.read()

    def close(self):
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


def wait_until(holds, limit_s):
    """Return whether `holds` came true in time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if holds():
            return True
        time.sleep(0.05)
    return False


class HostTest(unittest.TestCase):
    """The whole path, as processes."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = FakeStore(free_port())
        self.addCleanup(self.store.close)
        self.store.put("keyed.op", "config", CONFIGURATION)
        self.workers = [FakeWorker(self.store, f"i-{n}", free_port()) for n in range(2)]
        for worker in self.workers:
            self.addCleanup(worker.close)

    def host(self, name, keep_s=300):
        """Return a host that is ready."""
        host = HostProcess(name, self.store, self.folder, keep_s)
        self.addCleanup(host.close)
        self.assertTrue(wait_until(host.is_ready, START_LIMIT_S), host.log())
        return host

    def state(self, host, job=JOB):
        """Return the state that a host shows for a job."""
        return host.call("GET", f"/plans/{job}")[1].get("state")

    def finished(self, host):
        """Return whether the job was shown as completed in time."""
        return wait_until(lambda: self.state(host) == "completed", JOB_LIMIT_S)

    def test_job_runs_whole_and_each_host_shows_it(self):
        first, second = self.host("edge-1"), self.host("edge-2")
        self.assertEqual(first.call("POST", f"/plans/{JOB}", BODY)[0], 200)
        self.assertTrue(self.finished(second), first.log() + second.log())
        starts = sorted(start for worker in self.workers for start in worker.starts)
        names = [f"{JOB}.0.0.{n}" for n in range(3)] + [
            f"{JOB}.0.1.{n}" for n in (0, 1)
        ]
        self.assertEqual(starts, [(name, 1) for name in names])
        self.assertEqual(first.call("GET", "/plans/")[1], {"waiting": 0})
        told = first.metrics()
        self.assertIn('knapweedshed_events_total{name="calls.submit.0"} 1.0', told)
        self.assertIn('knapweedshed_duration_ms_bucket{le="10.0",name="plan"}', told)

    def test_refusals_say_why(self):
        host = self.host("edge-1")
        self.assertEqual(host.call("GET", f"/plans/{JOB}")[0], 410)
        self.assertEqual(host.call("GET", f"/plans/{JOB}", key="no")[0], 401)
        self.assertEqual(host.call("GET", f"/other/{JOB}")[0], 404)
        self.assertEqual(host.call("POST", f"/plans/{JOB}", {"steps": 1})[0], 400)
        self.assertEqual(host.call("POST", "/plans/xyz", BODY)[0], 400)
        large = {**BODY, "spec": "s" * 2_000}
        self.assertEqual(host.call("POST", f"/plans/{JOB}", large)[0], 413)

    def test_lost_answer_of_the_log_neither_loses_nor_doubles_a_job(self):
        host = self.host("edge-1")
        self.store.lose = 1
        self.assertEqual(host.call("POST", f"/plans/{JOB}", BODY)[0], 200)
        self.assertEqual(host.call("POST", f"/plans/{JOB}", BODY)[0], 200)
        self.assertTrue(self.finished(host), host.log())

    def test_log_down_refuses_at_once_and_serves_again(self):
        host = self.host("edge-1")
        self.store.down = True
        begun = time.monotonic()
        self.assertEqual(host.call("POST", f"/plans/{JOB}", BODY)[0], 503)
        self.assertLess(time.monotonic() - begun, 1)
        self.assertTrue(wait_until(lambda: not host.is_ready(), 6))
        self.store.down = False
        self.assertTrue(wait_until(host.is_ready, 6))
        self.assertEqual(host.call("POST", f"/plans/{JOB}", BODY)[0], 200)
        self.assertTrue(self.finished(host), host.log())

    def test_killed_scheduler_is_replaced_and_nothing_is_started_twice(self):
        for worker in self.workers:
            worker.run_s = 5
        first = self.host("edge-1")
        self.assertEqual(first.call("POST", f"/plans/{JOB}", BODY)[0], 200)
        started = wait_until(
            lambda: sum(len(worker.starts) for worker in self.workers) == 3, 5
        )
        self.assertTrue(started, first.log())
        second = self.host("edge-2")
        first.process.kill()
        self.assertTrue(self.finished(second), second.log())
        starts = [start for worker in self.workers for start in worker.starts]
        self.assertEqual(len(starts), len(set(starts)))
        self.assertEqual({run for _, run in starts}, {1})

    def test_open_job_outlives_the_records_that_the_log_keeps(self):
        for worker in self.workers:
            worker.run_s = 4
        first = self.host("edge-1", keep_s=1.5)
        self.assertEqual(first.call("POST", f"/plans/{JOB}", BODY)[0], 200)
        time.sleep(2)
        snapshots = [b"WorkSnapshot" in r for r in self.store.topics["work"]]
        self.assertIn(True, snapshots)
        self.store.firsts["work"] = snapshots.index(True)
        first.process.kill()
        second = self.host("edge-2")
        self.assertTrue(self.finished(second), second.log())
        starts = [start for worker in self.workers for start in worker.starts]
        self.assertEqual(len(starts), len(set(starts)))

    def test_stop_answers_callers_until_the_end_and_hands_over(self):
        first, second = self.host("edge-1"), self.host("edge-2")
        first.process.send_signal(signal.SIGTERM)
        self.assertTrue(wait_until(lambda: not first.is_ready(), 2))
        self.assertEqual(first.call("POST", f"/plans/{JOB}", BODY)[0], 200)
        self.assertTrue(self.finished(second), second.log())
        self.assertEqual(first.process.wait(STOP_LIMIT_S), 0, first.log())

    def test_settings_fault_is_one_line_and_a_status(self):
        result = subprocess.run(
            [sys.executable, "-m", "knapweedshed.programs.host"],
            env={**os.environ, "KNAPWEEDSHED_CONFIG": "/nonexistent.yaml"},
            capture_output=True,
            text=True,
            timeout=30,
        )
        self.assertEqual(result.returncode, 2)
        self.assertEqual(len(result.stderr.strip().splitlines()), 1)
        self.assertIn("/nonexistent.yaml", result.stderr)


if __name__ == "__main__":
    unittest.main()
