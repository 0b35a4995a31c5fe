"""Gangs that want one rack, while other work keeps parts of every rack busy.

The pattern: half of the service is idle, yet no rack has room for a whole gang. Such
gangs waited for a minute and earned nothing.
"""

import unittest

from knapweedshed.decisions.planning_units import RACK_WAIT_MS
from knapweedshed.models.work import Resources
from tests.dispatch_harness import DispatchHarness, make_entry, make_job, make_step

WHOLE_WORKER = Resources(26_000, 10_000, 8)
HALF_WORKER = Resources(20_000, 10_000, 4)
RACKS = ("r1-1", "r2-1")
WORKERS_PER_RACK = 4
WORKER_COUNT = len(RACKS) * WORKERS_PER_RACK


class RackTest(unittest.TestCase):
    """A gang of four whole workers, and two racks of four workers each."""

    def setUp(self):
        entries = [
            make_entry(number, RACKS[number % len(RACKS)])
            for number in range(WORKER_COUNT)
        ]
        self.harness = DispatchHarness(entries=entries)
        self.harness.start_term()

    def _occupy(self, *numbers):
        """Keep half of each numbered worker busy with a long run."""
        for number in numbers:
            self._occupy_one(number)

    def _occupy_one(self, number):
        workers = self.harness.dispatcher.workers
        others = [worker for name, worker in workers.items() if name != f"w{number}"]
        for worker in others:
            worker.quarantine(self.harness.now_ms + 1)
        step = make_step(1, HALF_WORKER, 60_000)
        self.harness.accept(make_job(f"{number:016x}", steps=(step,)))
        self.harness.plan()
        self.harness.now_ms += 1
        for worker in others:
            worker.record_success()
        self.harness.hold_all()

    def _accept_gang(self, **fields):
        step = make_step(4, WHOLE_WORKER, gang=True, same_rack=True)
        self.harness.accept(make_job("f" * 16, steps=(step,), **fields))
        self.harness.plan()

    def _wait(self, by_ms):
        for _ in range(by_ms // 500 + 1):
            self.harness.pass_time(500)
            self.harness.hold_all()

    def _gang_workers(self):
        return [
            order.worker_id
            for order in self.harness.started
            if order.task.job_id == "f" * 16
        ]

    def test_gang_waits_for_one_rack_at_first(self):
        self._occupy(0, 1)
        self._accept_gang()
        self.assertEqual(self._gang_workers(), [])

    def test_gang_runs_on_several_racks_if_half_of_the_service_stays_idle(self):
        self._occupy(0, 1)
        self._accept_gang()
        self._wait(RACK_WAIT_MS)
        self.assertEqual(len(self._gang_workers()), 4)
        self.assertEqual(len(set(self._gang_workers())), 4)

    def test_urgent_gang_runs_on_several_racks_too(self):
        self._occupy(0, 1)
        self._accept_gang(priority=0, objective_factor=0.1, objective_ms=0)
        self._wait(RACK_WAIT_MS)
        self.assertEqual(len(self._gang_workers()), 4)

    def test_gang_keeps_waiting_for_one_rack_while_most_of_the_service_is_busy(self):
        self._occupy(*range(5))
        self._accept_gang()
        self._wait(RACK_WAIT_MS)
        self.assertEqual(self._gang_workers(), [])

    def test_gang_takes_one_rack_where_there_is_one(self):
        self._occupy(0, 2)
        self._accept_gang()
        self.assertEqual(set(self._gang_workers()), {"w1", "w3", "w5", "w7"})


if __name__ == "__main__":
    unittest.main()
