"""One malformed message or unexpected error stops nothing but its own handling."""

import unittest
from unittest import mock

from knapweedshed.actors import stop
from knapweedshed.clock import create_clock
from knapweedshed.context import create_test_context
from knapweedshed.controllers.entry_messages import RunnerCall
from knapweedshed.controllers.messages import AppendRecord
from knapweedshed.controllers.work_messages import SetWorkerPolling
from knapweedshed.links.feeds import ConfigurationFeedLink, WorkerFeedLink
from knapweedshed.links.log import LogAppender, LogTail
from knapweedshed.links.runners import RunnerLink
from knapweedshed.models.outcomes import LogPage, NoAnswer
from knapweedshed.models.service_configuration import ServiceConfiguration
from knapweedshed.models.work import EndKind, Task, TaskEnd, TaskRun
from knapweedshed.platform.feeds import StoreConfigurationFeed, StoreWorkerFeed
from knapweedshed.timers import Timer
from tests.dispatch_harness import DispatchHarness, make_job, make_step
from tests.fleet_standin import FakeStore, FakeWorker
from tests.ports import free_port
from tests.test_fleet_platform import CONFIGURATION, SILENT_LOGGER
from tests.worker_harness import Collector, received_messages

UNEXPECTED = ZeroDivisionError("unexpected")


class LoopTest(unittest.TestCase):
    """Actors that poll go on after an error that nobody expected."""

    def setUp(self):
        self.context = create_test_context()
        self.timer = Timer(self.context.clock)
        self.timer.start()
        self.addCleanup(self.timer.close)
        self.received = received_messages()
        self.collector = Collector.start(self.context, self.received)
        self.addCleanup(stop, self.collector)

    def _next_message(self, link):
        self.addCleanup(link.stop, block=False)
        return self.received.get(timeout=10)

    def test_configuration_is_polled_again_after_an_error(self):
        configuration = ServiceConfiguration(3, (), ())
        feed = mock.Mock(read=mock.Mock(side_effect=[UNEXPECTED, configuration, None]))
        link = ConfigurationFeedLink.start(
            self.context, feed, self.timer, (self.collector,)
        )
        self.assertEqual(self._next_message(link).configuration, configuration)

    def test_list_of_workers_is_polled_again_after_an_error(self):
        feed = mock.Mock(read=mock.Mock(side_effect=[UNEXPECTED, (), ()]))
        link = WorkerFeedLink.start(self.context, feed, self.timer, self.collector)
        link.tell(SetWorkerPolling(True))
        self.assertEqual(self._next_message(link).entries, ())

    def test_stream_is_read_on_after_an_error(self):
        page = LogPage((), 0, 0, 0)
        log = mock.Mock(read=mock.Mock(side_effect=[UNEXPECTED, page, UNEXPECTED]))
        link = LogTail.start(self.context, log, self.timer, "work", self.collector)
        self.assertTrue(self._next_message(link).caught_up)

    def test_call_of_a_runner_that_raised_ends_without_an_answer(self):
        client = mock.Mock(call=mock.Mock(side_effect=UNEXPECTED))
        platform = mock.Mock(runner=mock.Mock(return_value=client))
        link = RunnerLink.start(self.context, platform)
        request = mock.Mock(request_id="q", attempt=0)
        link.tell(RunnerCall(request, "r1", "127.0.0.1:1", 100, self.collector))
        ended = self._next_message(link)
        self.assertIsInstance(ended.outcome, NoAnswer)
        self.assertEqual(ended.caller, link)

    def test_outcome_of_an_append_that_raised_is_unknown_and_the_next_one_is_sent(self):
        log = mock.Mock(append=mock.Mock(side_effect=[UNEXPECTED, 7]))
        link = LogAppender.start(self.context, log)
        link.tell(AppendRecord("work", "r1", "x", self.collector))
        failure = self._next_message(link)
        self.assertEqual((failure.record_id, failure.unknown), ("r1", True))
        link.tell(AppendRecord("work", "r2", "x", self.collector))
        done = self.received.get(timeout=10)
        self.assertEqual((done.record_id, done.offset), ("r2", 7))


class StoreRecordTest(unittest.TestCase):
    """Records of another writer in the platform's topics."""

    def setUp(self):
        self.store = FakeStore(free_port())
        self.addCleanup(self.store.close)

    def test_record_without_a_key_is_skipped_and_the_next_configuration_read(self):
        feed = StoreConfigurationFeed(create_clock(), self.store.address, SILENT_LOGGER)
        self.addCleanup(feed.close)
        feed.read(0)
        self.store._append_records("keyed.op", [b"", b"\xff", b"\x09short"])
        self.store.put("keyed.op", "config", CONFIGURATION)
        self.assertEqual(feed.read(100).version, CONFIGURATION["version"])

    def test_draining_after_a_record_that_cannot_be_read_is_noticed(self):
        worker = FakeWorker(self.store, "i-1", free_port())
        self.addCleanup(worker.close)
        feed = StoreWorkerFeed(create_clock(), self.store.address, SILENT_LOGGER)
        self.addCleanup(feed.close)
        feed.read()
        self.store._append_records("keyed.servers", [b""])
        worker.register("draining")
        self.assertEqual([entry.draining for entry in feed.read()], [True])


class WorkerListsTest(unittest.TestCase):
    """Workers that list tasks which their jobs don't have."""

    def setUp(self):
        self.harness = DispatchHarness(workers=1)
        self.harness.start_term()
        self.harness.accept(make_job(steps=(make_step(2),)))
        self.harness.plan()

    def _bogus_tasks(self):
        return [Task("a" * 16, 0, 9, 0), Task("a" * 16, 0, 0, 99)]

    def test_ends_of_tasks_that_do_not_exist_change_nothing(self):
        for number, task in enumerate(self._bogus_tasks(), start=1):
            self.harness.ended["w0"].append(TaskEnd(number, task, 1, EndKind.DONE))
        self.harness.hold_all()
        self.harness.accept(make_job("b" * 16))
        self.harness.plan()
        self.assertEqual(self.harness.started[-1].task.job_id, "b" * 16)
        self.assertTrue(self.harness.ledger.jobs["a" * 16].active)
        self.assertFalse(self.harness.ledger.jobs["a" * 16].done)

    def test_runs_of_tasks_that_do_not_exist_are_stopped(self):
        for task in self._bogus_tasks():
            self.harness.running["w0"][task] = TaskRun(task, 1, "", 5)
        self.harness.hold_all()
        self.assertEqual(
            {order.task for order in self.harness.stopped}, set(self._bogus_tasks())
        )
        self.harness.hold_all()
        self.harness.pass_time(500)
        self.assertEqual(len(self.harness.running["w0"]), 2)


if __name__ == "__main__":
    unittest.main()
