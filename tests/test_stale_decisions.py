"""An acting host that was paused or cut off must not act on what it knew before.

Guards against a host that wakes up, or reaches the log again, and starts work on
workers that have announced meanwhile that they leave. Soak, seed 7: 4.8 s into a drain.
"""

import unittest

from knapweedshed.decisions.dispatch import (
    MAX_LAUNCH_AGE_MS,
    MAX_LIST_AGE_MS,
    PAUSE_GRACE_MS,
)
from knapweedshed.decisions.tracked_workers import ORDER_IN_FLIGHT
from knapweedshed.models.dispatch_actions import RecordLaunches
from knapweedshed.models.work import TaskRun
from knapweedshed.models.work_records import RunsLaunched
from tests.dispatch_harness import DispatchHarness, make_entry, make_job

LEASE_MS = 6_000  # of the harness


class StaleListTest(unittest.TestCase):
    """The list of workers was not read for a while."""

    def setUp(self):
        self.harness = DispatchHarness(workers=1)
        self.harness.start_term()
        self.harness.list_readable = False

    def test_nothing_is_placed_by_a_list_that_is_too_old(self):
        self.harness.now_ms += MAX_LIST_AGE_MS + 1
        self.harness.hold_all()
        self.harness.accept(make_job())
        self.harness.plan()
        self.assertEqual(self.harness.started, [])

    def test_work_is_placed_once_the_list_is_read_again(self):
        self.test_nothing_is_placed_by_a_list_that_is_too_old()
        self.harness.apply_worker_list()
        self.harness.plan()
        self.assertEqual(len(self.harness.started), 1)

    def test_worker_that_began_to_leave_meanwhile_gets_nothing(self):
        self.test_nothing_is_placed_by_a_list_that_is_too_old()
        self.harness.entries[0] = make_entry(0, draining=True)
        self.harness.apply_worker_list()
        self.harness.plan()
        self.assertEqual(self.harness.started, [])


class LateLaunchTest(unittest.TestCase):
    """A launch is read back from the log long after it was decided."""

    def setUp(self):
        self.harness = DispatchHarness(workers=1)
        self.harness.start_term()
        self.harness.accept(make_job())
        now_ms = self.harness.now_ms
        actions = self.harness.dispatcher.plan(now_ms, now_ms)
        self.launches = [a for a in actions if isinstance(a, RecordLaunches)][
            0
        ].launches
        self.harness.append_record(RunsLaunched(self.harness.epoch, self.launches))

    def _read_back(self, after_ms):
        self.harness.now_ms += after_ms
        self.harness.apply_actions(
            self.harness.dispatcher.confirm_launches(self.launches, self.harness.now_ms)
        )

    def test_launch_that_is_read_back_in_time_starts(self):
        self._read_back(MAX_LAUNCH_AGE_MS)
        self.assertEqual(len(self.harness.started), 1)

    def test_launch_after_an_outage_does_not_start_and_the_task_is_placed_anew(self):
        self._read_back(MAX_LIST_AGE_MS + 1)
        self.assertEqual(self.harness.started, [])
        self.harness.hold_all()
        self.assertEqual([order.run for order in self.harness.started], [2])

    def test_late_launch_on_a_worker_that_leaves_does_not_start(self):
        self.harness.now_ms += MAX_LAUNCH_AGE_MS
        self.harness.entries[0] = make_entry(0, draining=True)
        self.harness.apply_worker_list()
        self._read_back(1)
        self.assertEqual(self.harness.started, [])

    def test_late_launch_of_a_slow_host_starts_if_its_worker_still_takes_work(self):
        self.harness.now_ms += MAX_LAUNCH_AGE_MS
        self.harness.apply_worker_list()
        self.harness.hold("w0")
        self._read_back(1)
        self.assertEqual(len(self.harness.started), 1)


class PausedHostTest(unittest.TestCase):
    """The host was paused for longer than a lease; answers wait in its sockets.

    Soak, seed 38: it took the leases for lapsed and started the work again, though the
    next answer that it read said that the work was done.
    """

    def setUp(self):
        self.harness = DispatchHarness(workers=2)
        self.harness.start_term()
        self.harness.accept(make_job())
        self.harness.hold_all()
        self.harness.pass_time(200)
        self.harness.hold_all()
        self.order = self.harness.started[0]

    def _pause(self, for_ms=8_000):
        self.harness.now_ms += for_ms
        self.harness.apply_actions(self.harness.dispatcher.tick(self.harness.now_ms))
        self.harness.plan()

    def test_work_is_not_started_again_before_the_workers_are_heard(self):
        self.harness.end(self.order.worker_id, self.order.task, "done")
        self._pause()
        other_worker_id = {"w0": "w1", "w1": "w0"}[self.order.worker_id]
        self.harness.hold(other_worker_id)
        self.harness.plan()
        self.harness.hold_all()
        self.assertEqual(len(self.harness.started), 1)
        self.assertFalse(self.harness.ledger.jobs["a" * 16].active)

    def test_leases_expire_once_workers_stay_silent_after_the_pause(self):
        self.harness.unreachable.add(self.order.worker_id)
        self._pause()
        self.assertEqual(len(self.harness.started), 1)
        self.harness.pass_time(PAUSE_GRACE_MS)
        self.harness.hold_all()
        self.harness.plan()
        self.assertEqual(len(self.harness.started), 2)

    def test_order_in_flight_is_not_given_up_after_a_pause(self):
        worker = self.harness.dispatcher.workers[self.order.worker_id]
        key = (self.order.task, self.order.run)
        worker.assigned_runs[key] = worker.assigned_runs[key]._replace(
            order_answered_ms=ORDER_IN_FLIGHT, ordered_ms=self.harness.now_ms
        )
        self._pause(LEASE_MS - 2_000)
        self.assertEqual(self.harness.stopped, [])


class DoneMeanwhileTest(unittest.TestCase):
    """A unit turns out to be done after its next run was decided."""

    def setUp(self):
        self.harness = DispatchHarness(workers=2)
        self.harness.start_term()
        self.harness.accept(make_job())
        self.harness.hold_all()
        self.harness.now_ms += 10
        self.harness.hold_all()
        self.first = self.harness.started[0]
        worker = self.harness.dispatcher.workers[self.first.worker_id]
        self.removed = worker.expire_runs(self.harness.now_ms + 60_000)
        self.harness.dispatcher._handle_removed_runs(
            worker, self.removed, self.harness.now_ms
        )

    def test_launch_is_not_started_once_an_end_is_listed(self):
        harness = self.harness
        actions = harness.dispatcher.plan(harness.now_ms, harness.now_ms)
        launches = [a for a in actions if isinstance(a, RecordLaunches)][0].launches
        harness.end(self.first.worker_id, self.first.task, "done")
        harness.hold(self.first.worker_id)
        harness.append_record(RunsLaunched(harness.epoch, launches))
        harness.apply_actions(
            harness.dispatcher.confirm_launches(launches, harness.now_ms)
        )
        self.assertEqual(len(harness.started), 1)

    def test_run_that_has_started_is_stopped(self):
        harness = self.harness
        harness.plan()
        self.assertEqual(len(harness.started), 2)
        ended_at = self.first.worker_id
        harness.running[ended_at][self.first.task] = TaskRun(
            self.first.task, self.first.run, "", 50
        )
        harness.end(ended_at, self.first.task, "done")
        harness.hold(ended_at)
        second = harness.started[1]
        stopped = [(order.worker_id, order.run) for order in harness.stopped]
        self.assertIn((second.worker_id, second.run), stopped)


if __name__ == "__main__":
    unittest.main()
