"""Unhealthy and slow workers: detected from reports, excluded, and probed again."""

import unittest

from knapweedshed.decisions.speeds import REPORT_INTERVAL_MS, WorkerSpeeds
from knapweedshed.models.work import TaskRun
from knapweedshed.models.work_records import SpeedsLearned
from tests.dispatch_harness import DispatchHarness, make_job, make_step


class HangTest(unittest.TestCase):
    """Workers on which no run makes progress."""

    def _start_with_progress(self, percent, checkpoints=False):
        harness = DispatchHarness(workers=2)
        step = make_step(estimate_ms=4_000, checkpoints=checkpoints)
        harness.accept(make_job(steps=(step,)))
        harness.start_term()
        order = harness.started[0]
        running = harness.running[order.worker_id]
        running[order.task] = TaskRun(order.task, order.run, "", percent)
        return harness, order

    def _send_holds_for(self, harness, by_ms):
        for _ in range(by_ms // 500):
            harness.pass_time(500)
            harness.hold_all()

    def test_run_with_little_progress_moves_to_another_worker(self):
        harness, order = self._start_with_progress(percent=5)
        self._send_holds_for(harness, 4_000)
        self.assertEqual(harness.stopped[0].worker_id, order.worker_id)
        self.assertNotEqual(harness.started[-1].worker_id, order.worker_id)

    def test_run_with_much_progress_stays_so_that_it_may_recover(self):
        harness, _ = self._start_with_progress(percent=90)
        self._send_holds_for(harness, 3_000)
        self.assertEqual(harness.stopped, [])

    def test_run_with_checkpoints_moves_at_once(self):
        harness, _ = self._start_with_progress(percent=90, checkpoints=True)
        self._send_holds_for(harness, 3_500)
        self.assertEqual(len(harness.stopped), 1)

    def test_gang_member_that_waits_for_others_is_not_taken_for_hung(self):
        harness, _ = self._start_with_progress(percent=100, checkpoints=True)
        self._send_holds_for(harness, 6_000)
        self.assertEqual(harness.stopped, [])

    def test_hung_worker_gets_no_new_tasks(self):
        harness, order = self._start_with_progress(percent=90)
        self._send_holds_for(harness, 3_000)
        harness.accept(make_job("b" * 16))
        harness.plan()
        self.assertNotEqual(harness.started[-1].worker_id, order.worker_id)


class FailureTest(unittest.TestCase):
    """Workers that fail the tasks they start."""

    def test_failed_unit_runs_on_another_worker(self):
        harness = DispatchHarness(workers=2)
        harness.accept(make_job(max_failures=3))
        harness.start_term()
        order = harness.started[0]
        harness.end(order.worker_id, order.task, "failed")
        harness.hold_all()
        self.assertNotEqual(harness.started[1].worker_id, order.worker_id)

    def test_only_worker_is_used_again_after_a_delay(self):
        harness = DispatchHarness(workers=1)
        harness.accept(make_job(max_failures=3))
        harness.start_term()
        order = harness.started[0]
        harness.end(order.worker_id, order.task, "failed")
        harness.hold_all()
        self.assertEqual(len(harness.started), 1)
        harness.pass_time(3_200)
        harness.hold_all()
        harness.plan()
        self.assertEqual(len(harness.started), 2)


class SpeedsTest(unittest.TestCase):
    """Speeds learned from progress, even with wrong estimates."""

    def _learn(self, true_speeds, estimate_factor):
        speeds = WorkerSpeeds()
        now_ms = 0
        for job in range(6):
            for name, speed in true_speeds.items():
                percent = 100 * 2_000 * speed / 8_000
                speeds.observe(
                    (job, name),
                    f"job{job}",
                    name,
                    percent,
                    2_000,
                    int(8_000 * estimate_factor),
                    now_ms,
                )
            speeds.recompute(now_ms)
            now_ms += 500
        return speeds

    def test_relative_speeds_are_learned_despite_wrong_estimates(self):
        for factor in (0.5, 1.0, 2.0):
            speeds = self._learn({"slow": 0.6, "mean": 1.0, "fast": 1.6}, factor)
            learned = [speeds.speed(name) for name in ("slow", "mean", "fast")]
            self.assertEqual(learned, sorted(learned))
            self.assertGreater(learned[2] / learned[0], 1.8)

    def test_worker_that_becomes_slow_is_detected(self):
        speeds = WorkerSpeeds()
        for step in range(1, 6):
            for name, percent_per_step in (
                ("a", 10),
                ("b", 10),
                ("c", 10 if step < 3 else 1),
            ):
                percent = 10 * min(step, 2) + percent_per_step * max(0, step - 2)
                speeds.observe(
                    name, "job", name, percent, 1_000 * step, 10_000, 1_000 * step
                )
            speeds.recompute(1_000 * step)
        self.assertLess(speeds.speed("c"), 0.7 * speeds.speed("a"))


class SuccessorSpeedsTest(unittest.TestCase):
    """Learned speeds reach the next scheduler through the log."""

    def _successor(self, learned):
        harness = DispatchHarness(workers=2)
        harness.start_term()
        harness.append_record(SpeedsLearned(harness.epoch, learned))
        harness.start_term()
        return harness

    def test_successor_places_urgent_work_by_learned_speeds(self):
        harness = self._successor((("w0", 1, 60), ("w1", 1, 160)))
        harness.accept(make_job(priority=0))
        harness.plan()
        self.assertEqual(harness.started[-1].worker_id, "w1")
        harness = self._successor((("w0", 1, 160), ("w1", 1, 60)))
        harness.accept(make_job(priority=0))
        harness.plan()
        self.assertEqual(harness.started[-1].worker_id, "w0")

    def test_speed_of_a_restarted_worker_is_unknown(self):
        harness = self._successor((("w0", 7, 60), ("w1", 1, 160)))
        speeds = harness.dispatcher._speeds
        self.assertEqual((speeds.speed("w0"), speeds.speed("w1")), (1.0, 1.6))

    def test_speeds_from_a_replaced_scheduler_are_ignored(self):
        harness = DispatchHarness(workers=2)
        harness.start_term()
        harness.start_term()
        harness.append_record(SpeedsLearned(harness.epoch - 1, (("w0", 1, 60),)))
        self.assertEqual(harness.ledger.speeds, {})

    def test_only_changes_are_reported_and_all_again_before_they_expire(self):
        speeds = WorkerSpeeds([("w0", 1, 60)])
        speeds.update_incarnation("w0", 1)
        self.assertEqual(speeds.take_report(500, {"w1"}), ())
        self.assertEqual(speeds.take_report(1_000, {"w0"}), (("w0", 1, 60),))
        self.assertEqual(speeds.take_report(2_000, {"w0"}), ())
        self.assertEqual(
            speeds.take_report(2_000 + REPORT_INTERVAL_MS, {"w0"}), (("w0", 1, 60),)
        )


if __name__ == "__main__":
    unittest.main()
