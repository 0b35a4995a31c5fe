"""Sick and slow workers: told apart by what they show, left out, and probed back."""

import unittest

from knapweedshed.decisions.speeds import REPORT_INTERVAL_MS, WorkerSpeeds
from knapweedshed.models.work import TaskRun
from knapweedshed.models.work_records import SpeedsLearned
from tests.work_world import World, make_job, make_step


class HangTest(unittest.TestCase):
    """Workers on which everything stands still."""

    def _world(self, percent, checkpoints=False):
        world = World(workers=2)
        step = make_step(estimate_ms=4_000, checkpoints=checkpoints)
        world.accept(make_job(steps=(step,)))
        world.take_role()
        order = world.started[0]
        there = world.running[order.worker_id]
        there[order.task] = TaskRun(order.task, order.run, "", percent)
        return world, order

    def _hold_for(self, world, by_ms):
        for _ in range(by_ms // 500):
            world.pass_time(500)
            world.hold_all()

    def test_run_that_lost_little_moves_to_another_worker(self):
        world, order = self._world(percent=5)
        self._hold_for(world, 4_000)
        self.assertEqual(world.stopped[0].worker_id, order.worker_id)
        self.assertNotEqual(world.started[-1].worker_id, order.worker_id)

    def test_run_that_would_lose_much_is_left_to_recover(self):
        world, _ = self._world(percent=90)
        self._hold_for(world, 3_000)
        self.assertEqual(world.stopped, [])

    def test_saved_work_moves_at_once(self):
        world, _ = self._world(percent=90, checkpoints=True)
        self._hold_for(world, 3_500)
        self.assertEqual(len(world.stopped), 1)

    def test_gang_member_that_waits_for_the_others_does_not_hang(self):
        world, _ = self._world(percent=100, checkpoints=True)
        self._hold_for(world, 6_000)
        self.assertEqual(world.stopped, [])

    def test_worker_that_hangs_gets_nothing_new(self):
        world, order = self._world(percent=90)
        self._hold_for(world, 3_000)
        world.accept(make_job("b" * 16))
        world.plan()
        self.assertNotEqual(world.started[-1].worker_id, order.worker_id)


class FailureTest(unittest.TestCase):
    """Workers that fail what they start."""

    def test_unit_that_failed_runs_elsewhere(self):
        world = World(workers=2)
        world.accept(make_job(max_failures=3))
        world.take_role()
        order = world.started[0]
        world.end(order.worker_id, order.task, "failed")
        world.hold_all()
        self.assertNotEqual(world.started[1].worker_id, order.worker_id)

    def test_only_worker_is_used_again_in_the_end(self):
        world = World(workers=1)
        world.accept(make_job(max_failures=3))
        world.take_role()
        order = world.started[0]
        world.end(order.worker_id, order.task, "failed")
        world.hold_all()
        self.assertEqual(len(world.started), 1)
        world.pass_time(3_200)
        world.hold_all()
        world.plan()
        self.assertEqual(len(world.started), 2)


class SpeedsTest(unittest.TestCase):
    """Speeds learned from progress, though estimates are wrong."""

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

    def test_order_is_learned_through_wrong_estimates(self):
        for factor in (0.5, 1.0, 2.0):
            speeds = self._learn({"slow": 0.6, "mean": 1.0, "fast": 1.6}, factor)
            learned = [speeds.speed(name) for name in ("slow", "mean", "fast")]
            self.assertEqual(learned, sorted(learned))
            self.assertGreater(learned[2] / learned[0], 1.8)

    def test_worker_that_turns_slow_is_found_out(self):
        speeds = WorkerSpeeds()
        for step in range(1, 6):
            for name, pace in (("a", 10), ("b", 10), ("c", 10 if step < 3 else 1)):
                percent = 10 * min(step, 2) + pace * max(0, step - 2)
                speeds.observe(
                    name, "job", name, percent, 1_000 * step, 10_000, 1_000 * step
                )
            speeds.recompute(1_000 * step)
        self.assertLess(speeds.speed("c"), 0.7 * speeds.speed("a"))


class SuccessorSpeedsTest(unittest.TestCase):
    """Speeds outlive the scheduler that learned them, by the log."""

    def _successor(self, told):
        world = World(workers=2)
        world.take_role()
        world.fold(SpeedsLearned(world.epoch, told))
        world.take_role()
        return world

    def test_successor_places_urgent_work_by_what_was_learned(self):
        world = self._successor((("w0", 1, 60), ("w1", 1, 160)))
        world.accept(make_job(priority=0))
        world.plan()
        self.assertEqual(world.started[-1].worker_id, "w1")
        world = self._successor((("w0", 1, 160), ("w1", 1, 60)))
        world.accept(make_job(priority=0))
        world.plan()
        self.assertEqual(world.started[-1].worker_id, "w0")

    def test_nothing_is_known_of_a_worker_that_started_anew(self):
        world = self._successor((("w0", 7, 60), ("w1", 1, 160)))
        speeds = world.dispatcher._speeds
        self.assertEqual((speeds.speed("w0"), speeds.speed("w1")), (1.0, 1.6))

    def test_what_a_replaced_scheduler_says_is_void(self):
        world = World(workers=2)
        world.take_role()
        world.take_role()
        world.fold(SpeedsLearned(world.epoch - 1, (("w0", 1, 60),)))
        self.assertEqual(world.ledger.speeds, {})

    def test_only_news_is_told_and_all_again_before_the_log_drops_it(self):
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
