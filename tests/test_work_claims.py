"""Urgent work that preempts while a burst goes on.

Guards against the load of a burst on a full service: an urgent unit preempts others,
loses the freed capacity to someone else or holds it to be too slow a moment later, and
preempts again in each planning pass until it runs. Most of the runs end for nothing.
"""

import unittest

from knapweedshed.decisions.planning_units import MAX_LOSS_RATIO_ON_TIME
from knapweedshed.decisions.preemption_claims import (
    CLAIM_DURATION_MS,
    PreemptionClaims,
)
from knapweedshed.models.dispatch_actions import Preempted, StopRun
from knapweedshed.models.work import Resources, Unit
from tests.dispatch_harness import DispatchHarness, make_job, make_step

EIGHT_ACCELERATORS = Resources(8_000, 10_000, 8)
URGENT_JOB_FIELDS = {"priority": 0, "objective_factor": 1.5, "objective_ms": 250}
UNIT = Unit("c" * 16, 0, 0, 0)


class SlowStopHarness(DispatchHarness):
    """A harness whose workers carry out stops only when `finish_stops` is called."""

    def __init__(self, workers):
        super().__init__(workers)
        self.pending_stops = []

    def _execute_order(self, order):
        if isinstance(order, StopRun):
            self.pending_stops.append(order)
        else:
            super()._execute_order(order)

    def finish_stops(self):
        for order in self.pending_stops:
            super()._execute_order(order)
        self.pending_stops = []
        self.now_ms += 10
        self.hold_all()


def submit_urgent(harness, job_id, estimate_ms=2_000, **fields):
    """Accept an urgent job that needs a whole worker."""
    step = make_step(1, EIGHT_ACCELERATORS, estimate_ms)
    job = make_job(job_id, (step,), **{**URGENT_JOB_FIELDS, **fields})
    harness.accept(job._replace(accepted_wall_ms=harness.now_ms))
    harness.plan()


def count_preemptions(harness):
    return sum(isinstance(record, Preempted) for record in harness.records)


class ClaimedPlaceTest(unittest.TestCase):
    """Workers that are full of short runs of lower priority."""

    def _make_full_harness(self, speeds):
        harness = SlowStopHarness(len(speeds))
        harness.start_term()
        harness.dispatcher._speeds._speeds = dict(speeds)
        tasks = make_step(8 * len(speeds), estimate_ms=9_000)
        harness.accept(make_job("b" * 16, (tasks,), 2))
        harness.plan()
        harness.now_ms += 10
        harness.hold_all()
        self.assertEqual(len(harness.started), 8 * len(speeds))
        return harness

    def test_place_is_kept_when_time_makes_it_too_slow(self):
        harness = self._make_full_harness({"w0": 0.7, "w1": 2.0})
        self._age_runs(harness, "w1", by_ms=100)  # cheapest to stop are those on w0
        submit_urgent(harness, "c" * 16, estimate_ms=4_000)
        self.assertEqual({order.worker_id for order in harness.stopped}, {"w0"})
        harness.now_ms += 760  # from here on w0 is too slow for the objective
        harness.plan()
        self.assertEqual(count_preemptions(harness), 1)
        harness.finish_stops()
        self.assertEqual(harness.started[-1].task.job_id, "c" * 16)
        self.assertEqual(harness.started[-1].worker_id, "w0")

    def _age_runs(self, harness, worker_id, by_ms):
        for unit, unit_run in harness.dispatcher.runs.items():
            if worker_id in unit_run.workers:
                harness.dispatcher.runs[unit] = unit_run._replace(
                    started_ms=unit_run.started_ms - by_ms
                )

    def test_guaranteed_unit_takes_another_place_than_the_claimed_one(self):
        harness = SlowStopHarness(2)
        harness.start_term(guaranteed=8)
        harness.accept(make_job("b" * 16, (make_step(16, estimate_ms=9_000),), 2))
        harness.plan()
        harness.now_ms += 10
        harness.hold_all()
        submit_urgent(harness, "c" * 16, organisation="other")
        harness.now_ms += 50
        submit_urgent(harness, "d" * 16)
        preempting = [
            record.preempting_unit.job_id[0]
            for record in harness.records
            if isinstance(record, Preempted)
        ]
        self.assertEqual(preempting, ["c", "d"])
        harness.finish_stops()
        urgent = {order.task.job_id[0] for order in harness.started[16:]}
        self.assertEqual(urgent, {"c", "d"})

    def test_unit_with_a_claim_may_not_lose_more_than_one_preemption_may(self):
        harness = self._make_full_harness({"w0": 1.0, "w1": 1.0, "w2": 1.0})
        submit_urgent(harness, "c" * 16)
        self._age_runs(harness, "w0", by_ms=300)
        lost = []
        for _ in range(2):
            claimed = harness.stopped[-1].worker_id
            harness.dispatcher.handle_hold_failure(claimed)
            harness.now_ms += 280
            harness.plan()
        for record in harness.records:
            if isinstance(record, Preempted):
                lost.append(record.lost_core_s)
        # 8 cores and 8 accelerators, which count as 64 cores, for 2 s
        self.assertLessEqual(sum(lost), 144 * MAX_LOSS_RATIO_ON_TIME)

    def test_losses_of_repeated_preemptions_add_up(self):
        claims = PreemptionClaims()
        claims.add(UNIT, ("w0",), 30.0, 1_000)
        claims.add(UNIT, ("w1",), 20.0, 1_100)
        self.assertEqual(claims.place(UNIT), ("w1",))
        self.assertEqual(claims.lost_core_s(UNIT), 50.0)

    def test_expired_claim_still_counts_what_it_cost(self):
        claims = PreemptionClaims()
        claims.add(UNIT, ("w0",), 30.0, 1_000)
        claims.update([UNIT], 1_000 + CLAIM_DURATION_MS)
        self.assertIsNone(claims.place(UNIT))
        self.assertNotIn(UNIT, claims)
        self.assertEqual(claims.lost_core_s(UNIT), 30.0)

    def test_unit_that_no_longer_waits_is_forgotten(self):
        claims = PreemptionClaims()
        claims.add(UNIT, ("w0",), 30.0, 1_000)
        claims.update([], 1_100)
        self.assertEqual(claims.lost_core_s(UNIT), 0.0)


class LostPlaceTest(unittest.TestCase):
    """A claimed place on a worker that goes away is given up."""

    def test_unit_is_placed_elsewhere_when_its_worker_falls_silent(self):
        harness = SlowStopHarness(2)
        harness.start_term()
        harness.accept(make_job("b" * 16, (make_step(16, estimate_ms=9_000),), 2))
        harness.plan()
        harness.now_ms += 10
        harness.hold_all()
        submit_urgent(harness, "c" * 16)
        claimed = harness.stopped[0].worker_id
        harness.dispatcher.handle_hold_failure(claimed)
        harness.now_ms += 20
        harness.plan()
        workers = {order.worker_id for order in harness.stopped}
        self.assertEqual(len(workers), 2)


if __name__ == "__main__":
    unittest.main()
