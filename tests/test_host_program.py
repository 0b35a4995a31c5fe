"""`knapweedshed-host` as separate processes, against fakes of the users' platform."""

import os
import signal
import subprocess
import sys
import time
import unittest

from tests.host_harness import JOB_ID, HostTestCase, wait_until

STOP_TIMEOUT_S = 8  # 6 s grace period of the platform, plus a margin for a busy machine
JOB_BODY = {
    "spec": "text",
    "steps": [
        {"count": 3, "cpu": 500, "gpu": 1, "est_ms": 200},
        {"count": 2, "gpu": 8, "est_ms": 200, "gang": True, "depends_on": [0]},
    ],
}


class HostTest(HostTestCase):
    """Submission, execution, outages and stop of hosts, from end to end."""

    def test_job_completes_and_every_host_reports_it(self):
        first, second = self.start_host("edge-1"), self.start_host("edge-2")
        self.assertEqual(first.call("POST", f"/plans/{JOB_ID}", JOB_BODY)[0], 200)
        self.assertTrue(self.completes_in_time(second), first.log() + second.log())
        starts = sorted(start for worker in self.workers for start in worker.starts)
        names = [f"{JOB_ID}.0.0.{n}" for n in range(3)] + [
            f"{JOB_ID}.0.1.{n}" for n in (0, 1)
        ]
        self.assertEqual(starts, [(name, 1) for name in names])
        self.assertEqual(first.call("GET", "/plans/")[1], {"waiting": 0})
        self.assertIn(
            'knapweedshed_events_total{name="calls.submit.0"} 1.0', first.metrics()
        )
        acting = [host for host in (first, second) if '"acting"' in host.log()]
        self.assertTrue(acting)
        for host in acting:  # either host may claim the role first
            self.assertIn(
                'knapweedshed_duration_ms_bucket{le="10.0",name="plan"}', host.metrics()
            )

    def test_refusals_have_their_http_status(self):
        host = self.start_host("edge-1")
        self.assertEqual(host.call("GET", f"/plans/{JOB_ID}")[0], 410)
        self.assertEqual(host.call("GET", f"/plans/{JOB_ID}", key="no")[0], 401)
        self.assertEqual(host.call("GET", f"/other/{JOB_ID}")[0], 404)
        self.assertEqual(host.call("POST", f"/plans/{JOB_ID}", {"steps": 1})[0], 400)
        self.assertEqual(host.call("POST", "/plans/xyz", JOB_BODY)[0], 400)
        too_large = {**JOB_BODY, "spec": "s" * 2_000}
        self.assertEqual(host.call("POST", f"/plans/{JOB_ID}", too_large)[0], 413)

    def test_lost_log_response_neither_loses_nor_duplicates_a_job(self):
        host = self.start_host("edge-1")
        self.store.append_responses_to_drop = 1
        self.assertEqual(host.call("POST", f"/plans/{JOB_ID}", JOB_BODY)[0], 200)
        self.assertEqual(host.call("POST", f"/plans/{JOB_ID}", JOB_BODY)[0], 200)
        self.assertTrue(self.completes_in_time(host), host.log())

    def test_submissions_are_refused_at_once_while_the_log_is_down(self):
        host = self.start_host("edge-1")
        self.store.down = True
        started_s = time.monotonic()
        self.assertEqual(host.call("POST", f"/plans/{JOB_ID}", JOB_BODY)[0], 503)
        self.assertLess(time.monotonic() - started_s, 1)
        self.assertTrue(wait_until(lambda: not host.is_ready(), 6))
        self.store.down = False
        self.assertTrue(wait_until(host.is_ready, 6))
        self.assertEqual(host.call("POST", f"/plans/{JOB_ID}", JOB_BODY)[0], 200)
        self.assertTrue(self.completes_in_time(host), host.log())

    def test_scheduler_failover_starts_no_task_twice(self):
        for worker in self.workers:
            worker.run_s = 5
        first = self.start_host("edge-1")
        self.assertEqual(first.call("POST", f"/plans/{JOB_ID}", JOB_BODY)[0], 200)
        started = wait_until(
            lambda: sum(len(worker.starts) for worker in self.workers) == 3, 5
        )
        self.assertTrue(started, first.log())
        second = self.start_host("edge-2")
        first.process.kill()
        self.assertTrue(self.completes_in_time(second), second.log())
        starts = [start for worker in self.workers for start in worker.starts]
        self.assertEqual(len(starts), len(set(starts)))
        self.assertEqual({run for _, run in starts}, {1})

    def test_open_job_survives_log_retention(self):
        for worker in self.workers:
            worker.run_s = 4
        first = self.start_host("edge-1", keep_s=1.5)
        self.assertEqual(first.call("POST", f"/plans/{JOB_ID}", JOB_BODY)[0], 200)
        time.sleep(2)
        snapshots = [b"WorkSnapshot" in r for r in self.store.topics["work"]]
        self.assertIn(True, snapshots)
        self.store.first_offsets["work"] = snapshots.index(True)
        first.process.kill()
        second = self.start_host("edge-2")
        self.assertTrue(self.completes_in_time(second), second.log())
        starts = [start for worker in self.workers for start in worker.starts]
        self.assertEqual(len(starts), len(set(starts)))

    def test_stopping_host_serves_callers_and_hands_over(self):
        first, second = self.start_host("edge-1"), self.start_host("edge-2")
        first.process.send_signal(signal.SIGTERM)
        self.assertTrue(wait_until(lambda: not first.is_ready(), 2))
        self.assertEqual(first.call("POST", f"/plans/{JOB_ID}", JOB_BODY)[0], 200)
        self.assertTrue(self.completes_in_time(second), second.log())
        self.assertEqual(first.process.wait(STOP_TIMEOUT_S), 0, first.log())

    def test_missing_settings_file_prints_one_line_and_exits_with_2(self):
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
