"""Placement while workers fall silent, alone or with their whole data centre.

Guards against the load of a data centre that is cut off: urgent work that is placed
there after the cut is late, as nobody knows whether it runs before the cut ends.
"""

import unittest

from knapweedshed.decisions.silence import SilenceObserver
from knapweedshed.models.dispatch_actions import (
    ORDER_REFUSED,
    ORDER_UNKNOWN,
    REASON_NOT_SENT,
    REASON_UNREACHABLE,
    OrderOutcome,
)
from tests.dispatch_harness import DispatchHarness, make_entry, make_job


class SilentDataCentreTest(unittest.TestCase):
    """Three workers in each of two data centres."""

    def setUp(self):
        entries = [
            make_entry(number)._replace(data_centre="tunis" if number < 3 else "sfax")
            for number in range(6)
        ]
        self.harness = DispatchHarness(entries=entries)
        self.harness.start_term()

    def _start_jobs(self, count=12):
        for number in range(count):
            self.harness.accept(make_job(f"{number:016x}"))
        self.harness.plan()
        return {order.worker_id for order in self.harness.started}

    def test_silent_worker_gets_no_new_work(self):
        self.harness.dispatcher.handle_hold_failure("w0")
        self.assertEqual(self._start_jobs(36) & {"w0"}, set())

    def test_two_silent_workers_show_that_their_data_centre_is_cut_off(self):
        for worker_id in ("w0", "w1"):
            self.harness.dispatcher.handle_hold_failure(worker_id)
        self.assertLessEqual(self._start_jobs(36), {"w3", "w4", "w5"})

    def test_an_answer_shows_that_the_data_centre_is_not_cut_off(self):
        for worker_id in ("w0", "w1"):
            self.harness.dispatcher.handle_hold_failure(worker_id)
        self.harness.hold("w2")
        self.assertTrue(self.harness.dispatcher.capacity_changed)
        self.assertIn("w2", self._start_jobs(36))

    def test_silent_worker_gets_work_again_once_it_answers(self):
        self.harness.dispatcher.handle_hold_failure("w0")
        self.harness.hold("w0")
        self.assertIn("w0", self._start_jobs(48))

    def test_unanswered_orders_show_silence_too(self):
        self.harness.unreachable.update({"w0", "w1", "w2"})
        self._start_jobs(12)
        self.harness.started.clear()
        for number in range(20, 32):
            self.harness.accept(make_job(f"{number:016x}"))
        self.harness.plan()
        workers = {order.worker_id for order in self.harness.started}
        self.assertLessEqual(workers, {"w3", "w4", "w5"})

    def test_order_that_was_not_sent_shows_nothing(self):
        self._start_jobs(2)
        order = self.harness.started[0]
        self.harness.dispatcher.handle_order_outcome(
            order, OrderOutcome(ORDER_UNKNOWN, REASON_NOT_SENT), self.harness.now_ms
        )
        worker = self.harness.dispatcher.workers[order.worker_id]
        self.assertFalse(worker.is_silent)

    def test_unreachable_worker_is_not_quarantined_as_faulty(self):
        self._start_jobs(2)
        order = self.harness.started[0]
        for _ in range(4):
            self.harness.dispatcher.handle_order_outcome(
                order,
                OrderOutcome(ORDER_REFUSED, REASON_UNREACHABLE),
                self.harness.now_ms,
            )
        worker = self.harness.dispatcher.workers[order.worker_id]
        self.assertEqual(worker.consecutive_failures, 0)
        self.harness.hold(order.worker_id)
        self.assertTrue(worker.accepts_work(self.harness.now_ms))


class DoubtfulRunTest(unittest.TestCase):
    """A start without an answer is resolved by a list, not by an end."""

    def setUp(self):
        self.harness = DispatchHarness(workers=1)
        self.harness.start_term()
        self.worker = self.harness.dispatcher.workers["w0"]

    def test_run_to_be_stopped_that_was_never_listed_is_doubtful(self):
        self.harness.lossy.add("w0")
        self.harness.accept(make_job())
        self.harness.plan()
        self.assertTrue(self.worker.has_doubtful_runs)
        self.harness.lossy.clear()
        self.harness.pass_time(100)
        self.harness.now_ms += 10
        self.harness.hold("w0")
        self.assertFalse(self.worker.has_doubtful_runs)

    def test_run_that_the_worker_has_listed_is_not_doubtful(self):
        self.harness.accept(make_job())
        self.harness.plan()
        self.harness.now_ms += 10
        self.harness.hold("w0")
        self.harness.apply_actions(
            self.harness.dispatcher.handle_changed_jobs((), self.harness.now_ms)
        )
        self.assertFalse(self.worker.has_doubtful_runs)


class SilenceObserverTest(unittest.TestCase):
    """Data centres count as silent by the workers that don't answer."""

    def test_one_silent_worker_does_not_make_its_data_centre_silent(self):
        observer = SilenceObserver()
        observer.note_silence(make_entry(0))
        observer.note_silence(make_entry(0))
        self.assertEqual(observer.silent_data_centres, frozenset())

    def test_workers_that_are_not_listed_count_for_no_data_centre(self):
        observer = SilenceObserver()
        observer.note_silence(None)
        self.assertFalse(observer.note_answer(None))
        self.assertEqual(observer.silent_data_centres, frozenset())


if __name__ == "__main__":
    unittest.main()
