"""The role changes hands while a worker that runs work has left for good.

Guards against a successor that waits 16 s for a lease that its predecessor knows to
have expired: the next step of such a job began seconds too late.
"""

import unittest

from knapweedshed.codecs import json_text
from knapweedshed.controllers.messages import AppendFailed, AppendRecord
from knapweedshed.controllers.work_messages import OrderRequest
from knapweedshed.decisions.predecessor_leases import PredecessorLeases
from knapweedshed.decisions.tracked_workers import LEASE_EXPIRY_MARGIN_MS
from knapweedshed.models.work import EndKind, TaskEnd, TaskRun
from knapweedshed.models.work_records import ActingClaimed, ActingEnded
from tests.dispatch_harness import TIME_LIMITS, DispatchHarness, make_job
from tests.scheduling_harness import HOST_ID, SchedulingHarness

LONGEST_WAIT_MS = 16_200  # 10 s of acting without the log and a lease of 6 s


class PredecessorLeasesTest(unittest.TestCase):
    def setUp(self):
        self.leases = PredecessorLeases(TIME_LIMITS)
        self.leases.note_epoch(1, 1_000)
        self.leases.note_epoch(2, 50_000)

    def test_without_the_word_of_the_last_acting_host_nothing_is_known(self):
        self.assertIsNone(self.leases.lease_end_ms(2))
        self.leases.note_term_ended(ActingEnded(1), 51_000)
        self.assertIsNone(self.leases.lease_end_ms(3))

    def test_lease_ends_are_counted_from_the_reading_of_the_record(self):
        self.leases.note_term_ended(ActingEnded(1, (("w1", 980), ("w2", 0))), 51_000)
        lease_end_ms = self.leases.lease_end_ms(2)
        self.assertEqual(lease_end_ms("w1"), 52_000 + LEASE_EXPIRY_MARGIN_MS)
        self.assertEqual(lease_end_ms("w2"), 51_000 + LEASE_EXPIRY_MARGIN_MS)

    def test_worker_that_the_predecessor_did_not_know_may_hold_a_whole_lease(self):
        self.leases.note_term_ended(ActingEnded(1), 51_000)
        self.assertGreater(self.leases.lease_end_ms(2)("w9"), 51_000 + 6_000)

    def test_hosts_before_the_predecessor_may_have_acted_until_after_its_claim(self):
        self.leases.note_epoch(3, 52_000)
        self.leases.note_term_ended(ActingEnded(2), 52_100)
        earliest_ms = 50_000 + TIME_LIMITS.max_acting_without_log_ms
        self.assertGreater(self.leases.lease_end_ms(3)("w1"), earliest_ms + 6_000)

    def test_predecessor_whose_claim_was_not_read_limits_nothing(self):
        leases = PredecessorLeases(TIME_LIMITS)
        leases.note_epoch(7, 1_000)
        leases.note_term_ended(ActingEnded(6), 1_100)
        self.assertIsNone(leases.lease_end_ms(7))


class TakeoverTest(unittest.TestCase):
    def setUp(self):
        self.harness = DispatchHarness(workers=2)
        self.harness.start_term()
        self.harness.accept(make_job())
        self.harness.plan()
        (self.order,) = self.harness.started
        self.harness.unreachable.add(self.order.worker_id)
        self.harness.start_term()

    def restart_ms(self):
        """Return how long after the takeover the task starts again."""
        since_ms = self.harness.now_ms
        while len(self.harness.started) == 1:
            self.harness.pass_time(100)
            self.harness.hold_all()
            self.harness.apply_worker_list()
            self.harness.plan()
            if self.harness.now_ms - since_ms > 2 * LONGEST_WAIT_MS:
                break
        return self.harness.now_ms - since_ms

    def test_run_starts_again_after_the_longest_lease_without_a_word(self):
        self.assertGreaterEqual(self.restart_ms(), LONGEST_WAIT_MS - 200)

    def test_run_starts_again_once_the_lease_that_is_known_has_expired(self):
        end_ms = self.harness.now_ms + 2_000
        self.harness.dispatcher.limit_leases(lambda worker_id: end_ms)
        waited_ms = self.restart_ms()
        self.assertGreaterEqual(waited_ms, 2_000)
        self.assertLess(waited_ms, 2_500)

    def test_worker_that_has_answered_is_believed_instead(self):
        worker = self.harness.dispatcher.workers[self.order.worker_id]
        worker.has_answered = True
        self.harness.dispatcher.limit_leases(lambda worker_id: 0)
        self.assertGreater(worker.lease_left_ms(self.harness.now_ms), 5_000)

    def test_lease_that_this_host_granted_is_not_limited_after_a_restart(self):
        """The start that was sent before may reach the new incarnation of a worker."""
        harness = DispatchHarness(workers=1)
        harness.start_term()
        harness.start_term()
        harness.accept(make_job())
        harness.lossy.add("w0")
        harness.plan()
        harness.entries = [harness.entries[0]._replace(incarnation=2)]
        harness.apply_worker_list()
        harness.dispatcher.limit_leases(lambda worker_id: 0)
        harness.pass_time(300)
        self.assertEqual(len(harness.dispatcher.runs), 1)


class BeginOfTermTest(unittest.TestCase):
    """The record counts whether it is read before or after the successor's claim."""

    CLAIM = ActingClaimed(3, HOST_ID)
    ENDED = ActingEnded(2, (("w0", 900),))

    def left_ms(self, *records):
        """Return how long the lease of a worker without an answer may still hold."""
        harness = SchedulingHarness(workers=1)
        harness.accept(make_job())
        harness.append(harness.plan())
        harness.read([ActingClaimed(2, "edge-2/x")])
        harness.clock.advance(LONGEST_WAIT_MS)
        for record in records:
            harness.read([record])
        worker = harness.controller._dispatcher.workers["w0"]
        return worker.lease_left_ms(harness.clock.now_ms())

    def test_without_the_record_the_longest_wait_counts(self):
        self.assertGreater(self.left_ms(self.CLAIM), 16_000)

    def test_record_that_is_read_before_the_claim_limits_the_wait(self):
        self.assertLess(self.left_ms(self.ENDED, self.CLAIM), 1_200)

    def test_record_that_is_read_after_the_claim_limits_the_wait(self):
        self.assertLess(self.left_ms(self.CLAIM, self.ENDED), 1_200)


class EndOfTermTest(unittest.TestCase):
    def setUp(self):
        self.harness = SchedulingHarness(workers=1)
        self.harness.accept(make_job())
        self.harness.append(self.harness.plan())
        (order,) = self.harness.connections.take(OrderRequest)
        run = TaskRun(order.order.task, order.order.run, "", 10.0)
        self.harness.answer_hold("w0", [run])
        self.harness.read([ActingClaimed(2, "edge-2/x")])

    def take_ended(self):
        appended = self.harness.appender.take(AppendRecord)
        records = [(item, json_text.loads_message(item.body)) for item in appended]
        return [item for item in records if isinstance(item[1], ActingEnded)]

    def test_replaced_host_records_how_long_its_leases_may_hold(self):
        ((_, ended),) = self.take_ended()
        self.assertEqual(ended.epoch, 1)
        ((worker_id, left_ms),) = ended.leases
        self.assertEqual(worker_id, "w0")
        self.assertTrue(5_900 < left_ms < 6_500, left_ms)

    def test_lease_of_a_worker_whose_run_has_ended_is_recorded_too(self):
        """Its end isn't acknowledged: a second run would start beside a done one."""
        harness = SchedulingHarness(workers=1)
        harness.accept(make_job())
        harness.append(harness.plan())
        (order,) = harness.connections.take(OrderRequest)
        end = TaskEnd(1, order.order.task, order.order.run, EndKind.DONE)
        harness.answer_hold("w0", ended=[end])
        harness.appender.take(AppendRecord)
        harness.read([ActingClaimed(2, "edge-2/x")])
        self.harness = harness
        ((_, ended),) = self.take_ended()
        self.assertGreater(dict(ended.leases)["w0"], 5_900)

    def test_record_is_appended_again_after_a_failure(self):
        ((append, _),) = self.take_ended()
        sent = []
        self.harness.controller._timer.after = lambda *args: sent.append(args)
        failure = AppendFailed(append.record_id, True, "no answer", False)
        self.harness.controller.receive(failure)
        ((_, _, again),) = sent
        self.assertEqual(again.body, append.body)


if __name__ == "__main__":
    unittest.main()
