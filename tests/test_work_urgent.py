"""Urgent work that arrives while other work fills the workers."""

import unittest

from knapweedshed.models.work import Resources, Unit
from tests.dispatch_harness import DispatchHarness, make_job, make_step

EIGHT_ACCELERATORS = Resources(8_000, 10_000, 8)
URGENT_JOB_FIELDS = {"priority": 0, "objective_factor": 1.5, "objective_ms": 250}


def make_harness_with_speeds(slow_speed=0.5, fast_speed=1.5):
    """Return a harness with a slow worker w0 and a fast worker w1, by learned speed."""
    harness = DispatchHarness(workers=2)
    harness.start_term()
    harness.dispatcher._speeds._speeds = {"w0": slow_speed, "w1": fast_speed}
    return harness


def fill_worker(harness, worker_id, estimate_ms=9_000):
    """Fill a whole worker with one run of lower priority.

    The other worker is quarantined meanwhile, so that the run starts on this one.
    """
    other = {"w0": "w1", "w1": "w0"}[worker_id]
    harness.dispatcher.workers[other].quarantine(harness.now_ms + 1)
    step = make_step(1, EIGHT_ACCELERATORS, estimate_ms)
    harness.accept(make_job("b" * 16, steps=(step,), priority=2))
    harness.plan()
    harness.now_ms += 1
    harness.dispatcher.workers[other].record_success()
    harness.hold_all()
    assert harness.started[-1].worker_id == worker_id


class FastWorkerTest(unittest.TestCase):
    """Urgent work would end late on a slow worker and earn a fifth of its credit."""

    def test_urgent_work_preempts_a_recent_start_on_a_fast_worker(self):
        harness = make_harness_with_speeds()
        fill_worker(harness, "w1")
        harness.now_ms += 300
        job = make_job(
            "c" * 16, (make_step(1, EIGHT_ACCELERATORS),), **URGENT_JOB_FIELDS
        )
        harness.accept(job._replace(accepted_wall_ms=harness.now_ms))
        harness.plan()
        self.assertEqual([order.worker_id for order in harness.stopped], ["w1"])
        harness.now_ms += 100
        harness.hold_all()
        harness.plan()
        urgent = [o for o in harness.started if o.task.job_id == "c" * 16]
        self.assertEqual([order.worker_id for order in urgent], ["w1"])

    def test_run_that_would_lose_too_much_is_not_preempted(self):
        harness = make_harness_with_speeds()
        fill_worker(harness, "w1")
        harness.now_ms += 1_500
        harness.hold_all()
        job = make_job(
            "c" * 16, (make_step(1, EIGHT_ACCELERATORS),), **URGENT_JOB_FIELDS
        )
        harness.accept(job._replace(accepted_wall_ms=harness.now_ms))
        harness.plan()
        self.assertEqual(harness.stopped, [])
        self.assertEqual(harness.started[-1].worker_id, "w0")

    def test_unanswered_stop_order_delays_urgent_work_only_briefly(self):
        harness = make_harness_with_speeds()
        fill_worker(harness, "w1")
        harness.unreachable.add("w1")
        harness.accept(
            make_job(
                "c" * 16, (make_step(1, EIGHT_ACCELERATORS),), **URGENT_JOB_FIELDS
            )._replace(accepted_wall_ms=harness.now_ms)
        )
        harness.plan()
        self.assertEqual(len(harness.stopped), 1)
        harness.now_ms += 900
        harness.hold_all()
        self.assertEqual(harness.started[-1].worker_id, "w0")
        self.assertEqual(harness.started[-1].task.job_id, "c" * 16)

    def test_wall_clock_set_back_does_not_lengthen_the_wait(self):
        harness = make_harness_with_speeds(slow_speed=0.2)
        fill_worker(harness, "w1")
        harness.unreachable.add("w1")
        job = make_job(
            "c" * 16, (make_step(1, EIGHT_ACCELERATORS),), **URGENT_JOB_FIELDS
        )
        harness.accept(job._replace(accepted_wall_ms=harness.now_ms + 2_400))
        harness.plan()
        harness.now_ms += 900
        harness.hold_all()
        self.assertEqual(harness.started[-1].worker_id, "w0")
        self.assertEqual(harness.started[-1].task.job_id, "c" * 16)

    def test_slow_worker_that_meets_the_objective_is_used_at_once(self):
        harness = make_harness_with_speeds(slow_speed=0.9)
        fill_worker(harness, "w1")
        job = make_job(
            "c" * 16, (make_step(1, EIGHT_ACCELERATORS),), **URGENT_JOB_FIELDS
        )
        harness.accept(job._replace(accepted_wall_ms=harness.now_ms))
        harness.plan()
        self.assertEqual(harness.stopped, [])
        self.assertEqual(harness.started[-1].worker_id, "w0")


class ReservationTest(unittest.TestCase):
    """Resources freed by preemption go to the preempting unit, even once it is late."""

    def test_preempted_tasks_do_not_take_back_their_resources(self):
        harness = DispatchHarness(workers=1)
        harness.start_term()
        harness.accept(make_job("b" * 16, (make_step(8, estimate_ms=9_000),), 2))
        harness.plan()
        self.assertEqual(len(harness.started), 8)
        job = make_job(
            "c" * 16, (make_step(1, EIGHT_ACCELERATORS),), **URGENT_JOB_FIELDS
        )
        # The objective, 1.5 * 2,000 ms + 250 ms, less the 2,000 ms that a run takes.
        slack_ms = 1_250
        accepted_ms = harness.now_ms - slack_ms + 50
        harness.accept(job._replace(accepted_wall_ms=accepted_ms))
        harness.hold_all()
        self.assertEqual(len(harness.stopped), 8)
        harness.now_ms += 100
        harness.hold_all()
        self.assertEqual(harness.started[-1].task.job_id, "c" * 16)
        self.assertEqual(len(harness.started), 9)
        self.assertEqual(len(harness.stopped), 8)


class PreemptionLossTest(unittest.TestCase):
    """Limits on the work lost to preemption where no guarantee requires it."""

    def test_only_runs_that_started_recently_are_preempted(self):
        for ran_ms, expected_stops in ((300, 1), (1_600, 0)):
            harness = DispatchHarness(workers=1)
            harness.start_term()
            harness.accept(
                make_job(
                    "b" * 16, (make_step(1, EIGHT_ACCELERATORS, 9_000),), priority=2
                )
            )
            harness.plan()
            harness.now_ms += ran_ms
            harness.hold_all()
            job = make_job(
                "c" * 16, (make_step(1, EIGHT_ACCELERATORS),), **URGENT_JOB_FIELDS
            )
            harness.accept(job._replace(accepted_wall_ms=harness.now_ms))
            harness.plan()
            self.assertEqual(len(harness.stopped), expected_stops, ran_ms)


class AvoidedWorkerTest(unittest.TestCase):
    """A task that failed on a worker avoids it; other tasks of its step may use it."""

    def test_other_tasks_may_use_a_worker_that_one_task_avoids(self):
        harness = DispatchHarness(workers=2)
        harness.start_term()
        harness.dispatcher.workers["w1"].quarantine(harness.now_ms + 5_000)
        failed_unit = Unit("a" * 16, 0, 0, 0)
        harness.dispatcher._failure_attribution._avoided_workers = {
            failed_unit: {"w0": harness.now_ms + 3_000}
        }
        harness.accept(make_job(steps=(make_step(2),)))
        harness.plan()
        placements = [(order.task.index, order.worker_id) for order in harness.started]
        self.assertEqual(placements, [(1, "w0")])


class PlanRequestTest(unittest.TestCase):
    """Most hold answers show no change, so they must not request a planning pass."""

    def test_only_hold_answers_that_change_capacity_request_a_plan(self):
        harness = DispatchHarness(workers=2)
        harness.accept(make_job())
        harness.start_term()
        self.assertFalse(harness.dispatcher.capacity_changed)
        harness.hold("w0")
        harness.hold("w1")
        self.assertFalse(harness.dispatcher.capacity_changed)
        order = harness.started[0]
        harness.end(order.worker_id, order.task, "done")
        harness.hold(order.worker_id)
        self.assertTrue(harness.dispatcher.capacity_changed)

    def test_worker_that_answers_again_requests_a_plan(self):
        harness = DispatchHarness(workers=1)
        harness.start_term()
        harness.now_ms += 5_000
        harness.hold("w0")
        self.assertTrue(harness.dispatcher.capacity_changed)


class GuaranteeTest(unittest.TestCase):
    """A guarantee covers urgent units in their order of acceptance."""

    def test_two_units_do_not_use_the_same_guaranteed_accelerators(self):
        harness = DispatchHarness(workers=2)
        harness.start_term(guaranteed=8)
        step = make_step(1, EIGHT_ACCELERATORS, 9_000)
        for name in "bd":
            harness.accept(make_job(name * 16, (step,), priority=2))
        harness.plan()
        harness.now_ms += 5_000
        harness.hold_all()
        for name in "ce":
            harness.accept(
                make_job(
                    name * 16, (make_step(1, EIGHT_ACCELERATORS),), **URGENT_JOB_FIELDS
                )
            )
        harness.plan()
        self.assertEqual(len(harness.stopped), 1)


if __name__ == "__main__":
    unittest.main()
