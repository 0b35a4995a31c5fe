"""Guaranteed accelerators come back from urgent work that has borrowed them."""

import unittest

from knapweedshed.decisions.planning_units import BORROWED_ROOM_WAIT_MS
from knapweedshed.models.dispatch_actions import Preempted
from knapweedshed.models.service_configuration import (
    ConfiguredOrganisation,
    ServiceConfiguration,
)
from knapweedshed.models.work import Resources
from tests.dispatch_harness import DispatchHarness, make_job, make_step

FOUR_ACCELERATORS = Resources(4_000, 10_000, 4)
NO_ACCELERATOR = Resources(64_000, 10_000, 0)
RECLAIM_MS = 2_700


class ReclaimTest(unittest.TestCase):
    """Two workers of 8 accelerators; two organisations with 8 guaranteed each."""

    def setUp(self):
        self.harness = DispatchHarness(workers=2)
        self.harness.start_term()
        organisations = tuple(
            ConfiguredOrganisation(name, (name,), 8) for name in ("owner", "borrower")
        )
        configuration = ServiceConfiguration(2, (), organisations)
        self.harness.dispatcher.configure(configuration)

    def _submit(self, name, organisation, count, need=FOUR_ACCELERATORS, **fields):
        job = make_job(
            name * 16,
            (make_step(count, need, 3_000, **fields),),
            priority=0,
            organisation=organisation,
        )
        self.harness.accept(job._replace(accepted_wall_ms=self.harness.now_ms))
        self.harness.plan()

    def _pass_time(self, ms):
        for _ in range(ms // 100):
            self.harness.now_ms += 100
            self.harness.hold_all()

    def _running(self, name):
        return sum(
            task.job_id == name * 16
            for tasks in self.harness.running.values()
            for task in tasks
        )

    def _preempted_jobs(self):
        return {
            unit.job_id[0]
            for record in self.harness.records
            if isinstance(record, Preempted)
            for unit in record.units
        }

    def test_lasting_work_beyond_its_guarantee_gives_way(self):
        # RECLAIM: a job within its guarantee hadn't begun 43 s after its acceptance.
        self._submit("a", "borrower", 4, lasting=True)
        self.assertEqual(self._running("a"), 4)
        self._submit("b", "owner", 2)
        self._pass_time(RECLAIM_MS)
        self.assertEqual(self._running("b"), 2)
        self.assertEqual(self._running("a"), 2)

    def test_work_within_its_guarantee_is_not_stopped(self):
        self._submit("a", "borrower", 2, lasting=True)
        self._submit("b", "borrower", 2, lasting=True)
        self._submit("c", "owner", 2)
        self._pass_time(RECLAIM_MS)
        self.assertEqual(self._running("c"), 2)
        self.assertEqual(self._running("a"), 2)  # accepted first, so covered
        self.assertEqual(self._preempted_jobs(), {"b"})

    def test_room_that_becomes_free_soon_is_waited_for(self):
        self._submit("a", "borrower", 4)
        self._submit("b", "owner", 2)
        self._pass_time(BORROWED_ROOM_WAIT_MS - 100)
        self.assertEqual(self._preempted_jobs(), set())
        for worker_id, tasks in self.harness.running.items():
            for task in list(tasks):
                self.harness.end(worker_id, task, "done")
        self._pass_time(200)
        self.assertEqual(self._running("b"), 2)
        self.assertEqual(self._preempted_jobs(), set())

    def test_work_beyond_its_own_guarantee_takes_nothing(self):
        self._submit("a", "borrower", 4, lasting=True)
        self._submit("b", "borrower", 1)
        self._pass_time(RECLAIM_MS)
        self.assertEqual(self._running("a"), 4)

    def test_stopped_work_does_not_take_its_place_back(self):
        self._submit("a", "borrower", 4, lasting=True)
        self._submit("b", "owner", 2, lasting=True)
        self._pass_time(10_000)
        self.assertEqual((self._running("a"), self._running("b")), (2, 2))
        stops = [r for r in self.harness.records if isinstance(r, Preempted)]
        self.assertEqual(len(stops), 2)

    def test_work_of_lower_priority_is_stopped_first(self):
        self._submit("a", "borrower", 2, lasting=True)
        low = make_job("d" * 16, (make_step(1, FOUR_ACCELERATORS, 60_000),), priority=2)
        self.harness.accept(low)
        self.harness.plan()
        self._submit("b", "borrower", 1, lasting=True)
        self._submit("c", "owner", 1)
        self._pass_time(RECLAIM_MS)
        self.assertEqual(self._running("c"), 1)
        self.assertEqual(self._preempted_jobs(), {"d"})

    def test_work_without_accelerators_does_not_take_turns(self):
        self._submit("a", "borrower", 2, NO_ACCELERATOR, lasting=True)
        self._submit("b", "owner", 2, NO_ACCELERATOR, lasting=True)
        self._pass_time(10_000)
        self.assertEqual(self._preempted_jobs(), set())

    def test_accelerators_come_back_from_work_that_fills_the_cores(self):
        self._submit("a", "borrower", 2, NO_ACCELERATOR, lasting=True)
        self._submit("b", "owner", 2)
        self._pass_time(RECLAIM_MS)
        self.assertEqual(self._running("b"), 2)


if __name__ == "__main__":
    unittest.main()
