"""Absence from a partial answer is not evidence that something is gone."""

import logging
import unittest
from unittest import mock

from knapweedshed.clock import create_clock
from knapweedshed.models.outcomes import FAILURE_TYPES, NoAnswer
from knapweedshed.models.work import Resources
from knapweedshed.platform import feeds
from knapweedshed.platform.feeds import StoreWorkerFeed
from knapweedshed.platform.workers import decode_hold_answer
from tests.dispatch_harness import DispatchHarness, make_job, make_step
from tests.fleet_standin import NEWEST_PAGE_ITEMS, FakeStore
from tests.ports import free_port

SMALL_TASK = Resources(100, 64, 0)
TASK_COUNT = 4


class ManyEndsTest(unittest.TestCase):
    """A worker has more ends than fit in one answer."""

    def setUp(self):
        self.harness = DispatchHarness(workers=1)
        self.harness.listed_ends = TASK_COUNT - 1
        self.harness.accept(make_job(steps=(make_step(TASK_COUNT, SMALL_TASK),)))
        self.harness.start_term()
        self.harness.now_ms += 10
        self.harness.hold_all()

    def _end_all_while_the_log_is_away(self):
        self.harness.log_writable = False
        for order in list(self.harness.started):
            self.harness.end("w0", order.task, "done")
        for _ in range(3):
            self.harness.pass_time(1_000)
            self.harness.hold_all()
        self.harness.log_writable = True

    def test_task_whose_end_does_not_fit_in_the_answer_is_not_started_again(self):
        # TWICE: 260 of 1,260 tasks ran again after an outage of the store of 6 s.
        self._end_all_while_the_log_is_away()
        self.harness.hold_all()
        runs = [order.run for order in self.harness.started]
        self.assertEqual(runs, [1] * TASK_COUNT)

    def test_ends_that_did_not_fit_are_recorded_with_later_answers(self):
        self._end_all_while_the_log_is_away()
        self.harness.pass_time(2_000)
        for _ in range(2):
            self.harness.hold_all()
            worker = self.harness.dispatcher.workers["w0"]
            acknowledged = worker.last_acknowledgeable_end
            self.harness.ended["w0"] = [
                end for end in self.harness.ended["w0"] if end.number > acknowledged
            ]
        progress = self.harness.ledger.jobs["a" * 16]
        self.assertEqual(len(progress.done), TASK_COUNT)
        self.assertEqual(len(self.harness.started), TASK_COUNT)

    def test_worker_does_not_hang_because_an_end_does_not_fit(self):
        self._end_all_while_the_log_is_away()
        self.assertEqual(self.harness.stopped, [])
        self.assertTrue(
            self.harness.dispatcher.workers["w0"].accepts_work(self.harness.now_ms)
        )

    def test_successor_keeps_adopted_runs_whose_ends_do_not_fit(self):
        self._end_all_while_the_log_is_away()
        self.harness.start_term()
        self.harness.now_ms += 10
        self.harness.hold_all()
        self.assertEqual(len(self.harness.started), TASK_COUNT)


class HoldAnswerTest(unittest.TestCase):
    """The codec knows how many ends a worker lists at a time."""

    def test_answer_with_as_many_ends_as_fit_is_not_complete(self):
        for count, is_complete in ((0, True), (499, True), (500, False)):
            rows = [
                [n, f"{'a' * 16}.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)
            ]
            fields = {"clock_ms": 5, "born": 1, "running": [], "ended": rows}
            self.assertEqual(decode_hold_answer(fields).is_complete, is_complete)


class WorkerListPagesTest(unittest.TestCase):
    """The list of workers, and its changes, take more than one page."""

    def setUp(self):
        self.store = FakeStore(free_port())
        self.addCleanup(self.store.close)
        logger = logging.getLogger("knapweedshed.silent")
        self.feed = StoreWorkerFeed(create_clock(), self.store.address, logger)
        self.addCleanup(self.feed.close)

    def _write(self, name, state="ready", padding=""):
        entry = {
            "service": "planner",
            "addr": "127.0.0.1:9000",
            "zone": "tunis",
            "state": state,
            "capacity": {"cpu": 1_000, "mem_mb": 1_000, "gpu": 1},
            "labels": ["a"],
            "born": 1,
            "version": padding,
        }
        self.store.put("keyed.servers", name, entry)

    def test_changes_are_read_to_the_end_before_the_list_is_used(self):
        # DRAIN: a host that acted again gave 24 workers work 5.5 s into their drain.
        self._write("i-1")
        self.assertFalse(self.feed.read()[0].draining)
        for _ in range(8):
            self._write("i-1", padding="x" * 200_000)
        self._write("i-1", state="draining")
        self.assertTrue(self.feed.read()[0].draining)

    def test_list_is_not_used_before_its_end_is_reached(self):
        self._write("i-1")
        self.feed.read()
        for _ in range(8):
            self._write("i-1", padding="x" * 200_000)
        self._write("i-1", state="draining")
        with mock.patch.object(feeds, "MAX_PAGES_COUNT", 2):
            results = [self.feed.read() for _ in range(3)]
        self.assertIsInstance(results[0], FAILURE_TYPES)
        self.assertTrue(results[-1][0].draining)

    def test_all_pages_of_the_first_list_are_read(self):
        for number in range(NEWEST_PAGE_ITEMS + 5):
            self._write(f"i-{number:04}")
        self.assertEqual(len(self.feed.read()), NEWEST_PAGE_ITEMS + 5)

    def test_list_that_ends_before_its_last_page_is_a_failure(self):
        self._write("i-1")
        with mock.patch("tests.fleet_standin.NEWEST_PAGE_ITEMS", 0):
            self.assertIsInstance(self.feed.read(), NoAnswer)


if __name__ == "__main__":
    unittest.main()
