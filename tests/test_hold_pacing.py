"""Holds while the log is slow: many short runs end, and no end can be recorded yet."""

import unittest

from knapweedshed.controllers.messages import AppendRecord
from knapweedshed.controllers.work_messages import HoldRequest, OrderRequest
from knapweedshed.decisions.hold_pacing import MAX_PAUSE_MS
from knapweedshed.models.work import EndKind, TaskEnd, TaskRun
from tests.dispatch_harness import make_job
from tests.scheduling_harness import SchedulingHarness


class HoldPacingTest(unittest.TestCase):
    """A worker answers at once while an end isn't acknowledged.

    Without a pause a host sent holds as fast as the network carries them.
    """

    def setUp(self):
        self.harness = SchedulingHarness(workers=1)
        self.harness.accept(make_job())
        self.harness.append(self.harness.plan())
        (order,) = self.harness.connections.take(OrderRequest)
        self.task, self.run = order.order.task, order.order.run
        self.harness.answer_hold("w0", [TaskRun(self.task, self.run, "", 10.0)])
        self.harness.connections.take(HoldRequest)
        self.end = TaskEnd(1, self.task, self.run, EndKind.DONE)

    def take_holds(self):
        return self.harness.connections.take(HoldRequest)

    def test_next_hold_waits_for_the_record_of_an_end(self):
        self.harness.answer_hold("w0", ended=[self.end])
        self.assertEqual(self.take_holds(), [])
        self.harness.append(self.harness.appender.take(AppendRecord))
        (hold,) = self.take_holds()
        self.assertEqual(hold.acknowledged_upto, 1)

    def test_holds_go_on_at_a_bounded_rate_while_the_log_is_away(self):
        sent = 0
        for _ in range(100):
            self.harness.clock.advance(10)
            self.harness.answer_hold("w0", ended=[self.end])
            self.harness.tick()
            sent += len(self.take_holds())
        self.assertGreaterEqual(sent, 3)  # the lease is still renewed
        self.assertLessEqual(sent, 1_000 // MAX_PAUSE_MS + 1)

    def test_a_paused_worker_that_is_not_listed_any_more_is_forgotten(self):
        self.harness.answer_hold("w0", ended=[self.end])
        self.harness.entries = ()
        self.harness.list_workers()
        self.harness.tick(MAX_PAUSE_MS)
        self.assertEqual(self.take_holds(), [])
        self.harness.tick(MAX_PAUSE_MS)


if __name__ == "__main__":
    unittest.main()
