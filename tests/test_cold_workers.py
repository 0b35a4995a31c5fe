"""Workers that are cold after an evacuation are the last choice, until they are warm.

Guards against work that goes to the idle workers of a data centre that has come back,
and ends late there, and against a cold time that counts anew or never ends.
"""

import json
import logging
import unittest

from knapweedshed.clock import ManualClock
from knapweedshed.models.work import EndKind, TaskRun
from knapweedshed.platform.feeds import StoreWorkerFeed
from tests.dispatch_harness import DispatchHarness, make_entry, make_job, make_step
from tests.fleet_standin import FakeStore, FakeWorker
from tests.ports import free_port

TOPIC = "keyed.servers"


class PlacementTest(unittest.TestCase):
    """Worker w0 is cold until 3,000 ms; the harness begins at 1,000 ms."""

    def setUp(self):
        entries = [make_entry(0, cold_until_ms=3_000), make_entry(1)]
        self.harness = DispatchHarness(entries=entries)
        self.harness.start_term()

    def _start(self, job_id="a" * 16, count=8, **fields):
        self.harness.started.clear()
        self.harness.accept(make_job(job_id, (make_step(count),), **fields))
        self.harness.plan()
        return [order.worker_id for order in self.harness.started]

    def test_work_of_every_objective_goes_to_warm_workers_first(self):
        for number, factor in enumerate((0.5, 3.0, 30.0)):
            started = self._start(f"{number:016x}", 2, objective_factor=factor)
            self.assertEqual(started, ["w1"] * 2)

    def test_cold_worker_is_used_if_nothing_else_is_free(self):
        self.assertEqual(sorted(self._start(count=10)), ["w0"] * 2 + ["w1"] * 8)

    def test_worker_is_chosen_like_others_once_the_time_has_passed(self):
        self.harness.now_ms = 3_000
        self.harness.hold_all()
        self.assertEqual(self._start(count=8), ["w0"] * 8)

    def test_speed_is_not_learned_from_runs_that_began_on_a_cold_worker(self):
        self._start(count=16)
        self.harness.now_ms += 1_900
        for worker_id, runs in self.harness.running.items():
            for task, run in list(runs.items()):
                percent = 10.0 if worker_id == "w0" else 90.0
                runs[task] = TaskRun(task, run.run, "", percent)
        self.harness.hold_all()
        self.harness.pass_time(600)
        report = self.harness.dispatcher.take_speed_report(self.harness.now_ms)
        self.assertNotIn("w0", [worker_id for worker_id, _, _ in report])
        self.assertIn("w1", [worker_id for worker_id, _, _ in report])
        self.harness.end("w0", next(iter(self.harness.running["w0"])), EndKind.DONE)
        self.harness.hold_all()
        self.harness.pass_time(600)
        self.assertEqual(self.harness.dispatcher._speeds.speed("w0"), 1.0)


class EntryTest(unittest.TestCase):
    """Entries in the store, read at 60,000 ms."""

    def setUp(self):
        self.store = FakeStore(free_port())
        self.addCleanup(self.store.close)
        worker = FakeWorker(self.store, "i-1", free_port())
        self.addCleanup(worker.close)
        self.fields = json.loads(self.store.topics[TOPIC][0][4:])
        self.clock = ManualClock(60_000)
        self.logger = logging.getLogger("knapweedshed.test_cold_workers")
        self.feed = StoreWorkerFeed(self.clock, self.store.address, self.logger)
        self.addCleanup(self.feed.close)

    def _write(self, cold_left_ms):
        fields = {**self.fields, "cold_left_ms": cold_left_ms}
        self.store.put(TOPIC, "i-1", fields)

    def _cold_until_ms(self):
        (entry,) = self.feed.read()
        return entry.cold_until_ms

    def test_time_counts_from_when_the_entry_was_read_first(self):
        self.assertEqual(self._cold_until_ms(), 0)
        self._write(4_000)
        self.assertEqual(self._cold_until_ms(), 64_000)
        self.clock.advance(1_000)
        self.assertEqual(self._cold_until_ms(), 64_000)
        self.store.put(TOPIC, "other", b"")
        self.store.drop_history(TOPIC)
        self.assertEqual(self._cold_until_ms(), 64_000)

    def test_new_entry_replaces_the_time(self):
        self._write(4_000)
        self._cold_until_ms()
        self.clock.advance(1_000)
        self._write(4_000)
        self.assertEqual(self._cold_until_ms(), 65_000)
        self._write(0)
        self.assertEqual(self._cold_until_ms(), 0)

    def test_invalid_time_is_logged_and_the_worker_kept(self):
        for invalid in (-1, "5", 1.5, 10**12, None):
            self._write(invalid)
            with self.assertLogs(self.logger, "WARNING"):
                self.assertEqual(self._cold_until_ms(), 0, invalid)


if __name__ == "__main__":
    unittest.main()
