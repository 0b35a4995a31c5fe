"""An acting host that was paused or cut off must not act on what it knew before.

Guards against a host that wakes up, or reaches the log again, and starts work on
workers that have announced meanwhile that they leave. Soak, seed 7: 4.8 s into a drain.
"""

import unittest

from knapweedshed.decisions.dispatch import MAX_LAUNCH_AGE_MS, MAX_LIST_AGE_MS
from knapweedshed.models.dispatch_actions import RecordLaunches
from knapweedshed.models.work_records import RunsLaunched
from tests.dispatch_harness import DispatchHarness, make_entry, make_job


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

    def _launch(self, after_ms):
        harness = DispatchHarness(workers=1)
        harness.start_term()
        harness.accept(make_job())
        actions = harness.dispatcher.plan(harness.now_ms, harness.now_ms)
        launches = [a for a in actions if isinstance(a, RecordLaunches)][0].launches
        harness.append_record(RunsLaunched(harness.epoch, launches))
        harness.now_ms += after_ms
        harness.apply_actions(
            harness.dispatcher.confirm_launches(launches, harness.now_ms)
        )
        return harness

    def test_launch_that_is_read_back_in_time_starts(self):
        self.assertEqual(len(self._launch(MAX_LAUNCH_AGE_MS).started), 1)

    def test_late_launch_does_not_start_and_the_task_is_placed_anew(self):
        harness = self._launch(MAX_LAUNCH_AGE_MS + 1)
        self.assertEqual(harness.started, [])
        harness.hold_all()
        self.assertEqual([order.run for order in harness.started], [2])


if __name__ == "__main__":
    unittest.main()
