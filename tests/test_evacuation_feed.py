"""Evacuations on their way from the operator's topic to the orders to workers.

Guards against a host that misses the beginning or the end of an evacuation, and against
records of other writers that evacuate a data centre or end its evacuation.
"""

import logging
import unittest
from unittest import mock

from knapweedshed.actors import stop
from knapweedshed.clock import create_clock
from knapweedshed.context import create_test_context
from knapweedshed.controllers.messages import AppendRecord
from knapweedshed.controllers.work_messages import (
    EvacuationsRead,
    OrderRequest,
    WithdrawWaitingStarts,
)
from knapweedshed.links.feeds import ConfigurationFeedLink, configuration_wait_ms
from knapweedshed.models.dispatch_actions import StartRun
from knapweedshed.models.outcomes import FAILURE_TYPES, NoAnswer
from knapweedshed.models.work_records import ActingClaimed
from knapweedshed.platform.feeds import StoreConfigurationFeed
from knapweedshed.timers import Timer
from tests.dispatch_harness import make_job
from tests.fleet_standin import FakeStore
from tests.ports import free_port
from tests.scheduling_harness import SchedulingHarness
from tests.test_fleet_platform import CONFIGURATION
from tests.worker_harness import Collector, received_messages

LIMIT_MS = 5_000
MAX_READ_AGE_MS = 2_500  # half of the limit
TUNIS = frozenset({"tunis"})
TOPIC = "keyed.op"


class FeedTest(unittest.TestCase):
    """The operator's topic in the store."""

    def setUp(self):
        self.store = FakeStore(free_port())
        self.addCleanup(self.store.close)
        self.logger = logging.getLogger("knapweedshed.test_evacuation_feed")
        self.feed = self._open_feed()

    def _open_feed(self):
        feed = StoreConfigurationFeed(
            create_clock(), self.store.address, self.logger, ("tunis", "sfax")
        )
        self.addCleanup(feed.close)
        return feed

    def _read(self, feed=None):
        feed = feed or self.feed
        self.assertNotIsInstance(feed.read(0), FAILURE_TYPES)
        return feed.evacuated_data_centres

    def test_beginning_and_end_are_noticed_beside_the_configuration(self):
        self.assertEqual(self._read(), frozenset())
        self.store.put(TOPIC, "evacuate/tunis", {})
        self.assertEqual(self._read(), TUNIS)
        self.store.put(TOPIC, "config", CONFIGURATION)
        self.assertEqual(self.feed.read(0).version, CONFIGURATION["version"])
        self.assertEqual(self.feed.evacuated_data_centres, TUNIS)
        self.store.put(TOPIC, "evacuate/tunis", b"")
        self.assertEqual(self._read(), frozenset())

    def test_host_that_starts_later_knows_though_the_history_is_lost(self):
        self.store.put(TOPIC, "evacuate/tunis", {})
        self.store.drop_history(TOPIC)
        self.assertEqual(self._read(), TUNIS)

    def test_evacuation_continues_after_its_history_was_lost(self):
        self.store.put(TOPIC, "evacuate/tunis", {})
        self._read()
        self.store.put(TOPIC, "evacuate/sfax", {})
        self.store.drop_history(TOPIC)
        self.assertEqual(self._read(), {"tunis", "sfax"})

    def test_end_whose_record_was_lost_shows_by_absence(self):
        self.store.put(TOPIC, "evacuate/tunis", {})
        self._read()
        self.store.put(TOPIC, "evacuate/tunis", b"")
        self.store.drop_history(TOPIC)
        self.assertEqual(self._read(), frozenset())

    def test_store_that_does_not_answer_changes_nothing(self):
        self.store.down = True
        self.assertIsInstance(self.feed.read(0), FAILURE_TYPES)
        self.assertIsNone(self.feed.evacuated_data_centres)
        self.store.down = False
        self.store.put(TOPIC, "evacuate/tunis", {})
        self._read()
        self.store.down = True
        self.assertIsInstance(self.feed.read(0), FAILURE_TYPES)
        self.assertEqual(self.feed.evacuated_data_centres, TUNIS)

    def test_malformed_records_and_unknown_names_are_logged_and_change_nothing(self):
        self.store.put(TOPIC, "evacuate/tunis", {})
        self._read()
        for key, value in (
            ("evacuate/gabes", {}),
            ("evacuate/gabes", b""),
            ("evacuate/", {}),
            ("evacuate/sfax\n", {}),
            ("evacuate/" + "x" * 201, {}),
            ("evacuate/sfax", b"\xff"),
            ("evacuate/sfax", [1]),
            ("evacuate/tunis", b"{"),
        ):
            self.store.put(TOPIC, key, value)
            with self.assertLogs(self.logger, "WARNING") as logged:
                self.assertEqual(self._read(), TUNIS, key)
            self.assertEqual(logged.records[0].message, "evacuation unreadable")

    def test_malformed_record_ends_no_evacuation_after_lost_history(self):
        self.store.put(TOPIC, "evacuate/tunis", {})
        self._read()
        self.store.put(TOPIC, "evacuate/tunis", b"{")
        self.store.drop_history(TOPIC)
        with self.assertLogs(self.logger, "WARNING"):
            self.assertEqual(self._read(), TUNIS)


class LinkTest(unittest.TestCase):
    """The actor that polls the feed."""

    def setUp(self):
        self.context = create_test_context()
        self.timer = Timer(self.context.clock)
        self.timer.start()
        self.addCleanup(self.timer.close)
        self.received = received_messages()
        self.collector = Collector.start(self.context, self.received)
        self.addCleanup(stop, self.collector)

    def test_each_read_tells_the_names_and_when_it_was_sent(self):
        feed = mock.Mock(evacuated_data_centres=TUNIS)
        feed.read.side_effect = [NoAnswer("down"), None]
        before_ms = self.context.clock.now_ms()
        link = ConfigurationFeedLink.start(
            self.context, feed, self.timer, (), self.collector
        )
        self.addCleanup(link.stop, block=False)
        message = self.received.get(timeout=10)
        self.assertIsInstance(message, EvacuationsRead)
        self.assertEqual(message.data_centres, TUNIS)
        self.assertGreaterEqual(message.read_ms, before_ms)

    def test_reads_return_often_enough_for_the_limit(self):
        self.assertEqual(configuration_wait_ms(0), 1_000)
        for limit_ms in (2_000, LIMIT_MS, 60_000):
            self.assertLess(2 * configuration_wait_ms(limit_ms), limit_ms // 2)


class ControllerTest(unittest.TestCase):
    """An acting host with two workers in tunis."""

    def setUp(self):
        self.harness = SchedulingHarness(evacuation_ms=LIMIT_MS)
        self.harness.accept(make_job())

    def _orders(self):
        return [item.order for item in self.harness.connections.take(OrderRequest)]

    def _context(self):
        return self.harness.controller._context

    def test_nothing_is_placed_before_the_first_read(self):
        self.assertEqual(self.harness.plan(), [])
        self.harness.read_evacuations()
        self.assertEqual(len(self.harness.plan()), 1)

    def test_nothing_is_placed_by_an_old_read(self):
        self.harness.read_evacuations()
        self.harness.clock.advance(MAX_READ_AGE_MS + 1)
        self.harness.list_workers()
        for worker_id in ("w0", "w1"):
            self.harness.answer_hold(worker_id)
        self.assertEqual(self.harness.plan(), [])
        self.harness.read_evacuations()
        self.assertEqual(len(self.harness.plan()), 1)

    def test_launch_recorded_just_before_does_not_start(self):
        self.harness.read_evacuations()
        records = self.harness.plan()
        self.harness.read_evacuations("tunis")
        self.harness.append(records)
        self.assertEqual(self._orders(), [])
        self.assertEqual(self.harness.plan(), [])

    def test_launch_before_starts_and_waiting_starts_are_withdrawn(self):
        self.harness.read_evacuations()
        self.harness.append(self.harness.plan())
        (start,) = self._orders()
        self.assertIsInstance(start, StartRun)
        self.harness.read_evacuations("tunis")
        withdrawn = self.harness.connections.take(WithdrawWaitingStarts)
        self.assertEqual(withdrawn, [WithdrawWaitingStarts(start.worker_id)])

    def test_start_is_not_sent_later_than_the_last_read_allows(self):
        self.harness.read_evacuations()
        read_ms = self.harness.clock.now_ms()
        records = self.harness.plan()
        self.harness.clock.advance(MAX_READ_AGE_MS)
        self.harness.list_workers()
        for worker_id in ("w0", "w1"):
            self.harness.answer_hold(worker_id)
        self.harness.append(records)
        (request,) = self.harness.connections.take(OrderRequest)
        self.assertEqual(request.valid_until_ms, read_ms + 3_500)

    def test_host_that_read_before_its_term_places_nothing_there(self):
        self.harness.read_evacuations("tunis")
        self.harness.read(
            [ActingClaimed(2, "edge-2/x"), ActingClaimed(3, "edge-1/test")]
        )
        self.assertTrue(self.harness.controller.dump()["acts"])
        self.harness.list_workers()
        self.harness.appender.take(AppendRecord)  # of the end of the first term
        self.assertEqual(self.harness.plan(), [])
        self.harness.read_evacuations()
        self.assertEqual(len(self.harness.plan()), 1)

    def test_beginning_and_end_are_logged_counted_and_dumped(self):
        context = self._context()
        with mock.patch.object(context.logger, "warning") as warning:
            self.harness.read_evacuations("tunis")
        warning.assert_called_once_with(
            "data centres evacuated",
            extra={"data_centres": ["tunis"], "read_age_ms": 0},
        )
        dumped = self.harness.controller.dump()["evacuations"]
        self.assertEqual(dumped["data_centres"], ["tunis"])
        self.harness.clock.advance(700)
        with mock.patch.object(context.logger, "info") as info:
            self.harness.read_evacuations()
        info.assert_called_once_with(
            "evacuation over",
            extra={"data_centres": ["tunis"], "age_ms": 700, "read_age_ms": 0},
        )
        counts = context.metrics.snapshot()
        self.assertEqual(counts["evacuations.begun"], 1)
        self.assertEqual(counts["evacuations.in_force"], 0)

    def test_host_without_evacuations_needs_no_read(self):
        harness = SchedulingHarness()
        harness.accept(make_job())
        self.assertEqual(len(harness.plan()), 1)


if __name__ == "__main__":
    unittest.main()
