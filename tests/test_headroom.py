"""Waves of urgent work that find a full service, and room kept idle for nothing."""

import unittest

from knapweedshed.decisions.overload.headroom import KeptRoom
from knapweedshed.models.dispatch_actions import HeadroomChanged
from knapweedshed.models.overload import OverloadPolicies
from knapweedshed.models.work import Resources
from tests.dispatch_harness import DispatchHarness, make_entry, make_job, make_step
from tests.test_work_urgent import EIGHT_ACCELERATORS, URGENT_JOB_FIELDS

POLICIES = OverloadPolicies(headroom=True)
WORKER_COUNT = 8
TASKS_PER_WORKER = 8


class WaveTest(unittest.TestCase):
    """A wave of urgent work, then batch work for the whole service, then a wave."""

    def setUp(self):
        self.harness = self._make_harness(POLICIES)

    def _make_harness(self, policies):
        harness = DispatchHarness(WORKER_COUNT, policies=policies)
        harness.start_term()
        return harness

    def _accept(self, harness, job_id, step, **fields):
        job = make_job(job_id, (step,), **fields)
        harness.accept(job._replace(accepted_wall_ms=harness.now_ms))
        harness.hold_all()

    def _run_wave(self, harness, job_id):
        """Run urgent work for 2 s; return the starts of it, and what was stopped."""
        stops_before = len(harness.stopped)
        step = make_step(1, EIGHT_ACCELERATORS)
        self._accept(harness, job_id, step, **URGENT_JOB_FIELDS)
        harness.hold_all()
        starts = [order for order in harness.started if order.task.job_id == job_id]
        stops = len(harness.stopped) - stops_before
        self._pass_time(harness, 2_000)
        for order in starts:
            harness.end(order.worker_id, order.task, "done")
        harness.hold_all()
        return starts, stops

    def _pass_time(self, harness, by_ms):
        for _ in range(by_ms // 500):
            harness.pass_time(500)
            for entry in harness.entries:
                harness.hold(entry.worker_id)

    def _accept_batch(self, harness, count=64, **fields):
        """Accept single tasks of one accelerator each; return how many start."""
        step = make_step(count, estimate_ms=9_000)
        values = {"priority": 2, "objective_ms": 3_000, **fields}
        self._accept(harness, "b" * 16, step, **values)
        return self._count_batch(harness)

    def _count_batch(self, harness):
        return sum(order.task.job_id == "b" * 16 for order in harness.started)

    def test_next_wave_starts_at_once_and_stops_nothing(self):
        starts_and_stops = {}
        for policies in (POLICIES, OverloadPolicies()):
            harness = self._make_harness(policies)
            self._run_wave(harness, "c" * 16)
            self._accept_batch(harness)
            self._pass_time(harness, 500)
            starts, stops = self._run_wave(harness, "d" * 16)
            starts_and_stops[policies.headroom] = (len(starts), stops)
        self.assertEqual(starts_and_stops, {True: (1, 0), False: (1, 8)})

    def test_room_for_one_worker_is_kept_on_a_whole_worker(self):
        self._run_wave(self.harness, "c" * 16)
        self.assertEqual(self._accept_batch(self.harness), 7 * TASKS_PER_WORKER)
        used = {order.worker_id for order in self.harness.started[1:]}
        self.assertEqual(len(used), 7)

    def test_nothing_is_kept_where_no_urgent_work_came(self):
        self.assertEqual(self._accept_batch(self.harness), 8 * TASKS_PER_WORKER)

    def test_room_is_lent_again_once_urgent_work_stops_coming(self):
        self._run_wave(self.harness, "c" * 16)
        self._pass_time(self.harness, 15_500)
        self.assertEqual(self._accept_batch(self.harness), 8 * TASKS_PER_WORKER)

    def test_work_that_would_miss_its_objective_uses_the_kept_room(self):
        self._run_wave(self.harness, "c" * 16)
        count = self._accept_batch(
            self.harness, objective_factor=1.0, objective_ms=1_000
        )
        self.assertEqual(count, 8 * TASKS_PER_WORKER)

    def test_slow_workers_are_not_kept(self):
        self._run_wave(self.harness, "c" * 16)
        speeds = {f"w{number}": 0.5 for number in range(WORKER_COUNT)}
        self.harness.dispatcher._speeds._speeds = {**speeds, "w7": 1.6}
        self._accept_batch(self.harness)
        used = {order.worker_id for order in self.harness.started[1:]}
        self.assertNotIn("w7", used)

    def test_racks_too_small_for_the_urgent_gang_are_not_kept(self):
        # The larger workers of the first rack can't run a task of 8 accelerators.
        for number in range(3):
            self.harness.entries[number] = make_entry(number)._replace(
                capacity=Resources(256_000, 131_072, 4)
            )
        for number in range(3, WORKER_COUNT):
            self.harness.entries[number] = make_entry(number, "r1-2")
        self.harness.apply_worker_list()
        self._run_wave(self.harness, "c" * 16)
        self._accept_batch(self.harness)
        used = {order.worker_id for order in self.harness.started[1:]}
        self.assertEqual(len(used), WORKER_COUNT - 1)
        self.assertLessEqual({"w0", "w1", "w2"}, used)

    def test_changes_are_told_with_what_they_follow_from(self):
        self._run_wave(self.harness, "c" * 16)
        self._accept_batch(self.harness)
        changes = [r for r in self.harness.records if isinstance(r, HeadroomChanged)]
        self.assertEqual(changes[-1].worker_count, 1)
        self.assertEqual((changes[-1].peak_cores, changes[-1].used_cores), (72.0, 0.0))


class ExclusionTest(unittest.TestCase):
    """Work that may use the kept workers, so that room is never kept at its price."""

    def _excludes(self, urgent_waits=False, now_ms=0, priority=2, path_ms=8_000):
        waiting = _Waiting(priority, 0, 20_000, 60_000, path_ms)
        return KeptRoom(frozenset({"w0"}), urgent_waits, now_ms).excludes(waiting)

    def test_only_urgent_work_and_work_without_time_to_wait_may_use_them(self):
        self.assertTrue(self._excludes())
        self.assertFalse(self._excludes(priority=0))
        self.assertFalse(self._excludes(now_ms=11_000))
        self.assertTrue(self._excludes(now_ms=11_000, urgent_waits=True))

    def test_late_work_may_before_its_late_limit(self):
        self.assertTrue(self._excludes(path_ms=24_000))
        self.assertFalse(self._excludes(now_ms=14_000, path_ms=45_000))

    def test_work_that_has_waited_as_long_as_the_window_may(self):
        self.assertFalse(self._excludes(now_ms=15_000, urgent_waits=True))


class _Waiting:
    """What `KeptRoom` reads of a `WaitingStep`."""

    def __init__(self, priority, arrival_ms, due_ms, late_limit_ms, path_ms):
        self.priority = priority
        self.arrival_ms = arrival_ms
        self.due_ms = due_ms
        self.late_limit_ms = late_limit_ms
        self.critical_path_ms = path_ms


if __name__ == "__main__":
    unittest.main()
