"""Stops that lose more than they gain: most stopped runs were never worth stopping."""

import unittest
from unittest import mock

from hypothesis import HealthCheck, given, settings

from knapweedshed.decisions import planning_units
from knapweedshed.decisions.failed_searches import FailedSearches
from knapweedshed.decisions.overload.stop_costs import CostedStops
from knapweedshed.decisions.preemption import PreemptionCandidate, choose_victims
from knapweedshed.decisions.tracked_workers import AssignedRun, RunPhase
from knapweedshed.decisions.unit_runs import TimeLimits, UnitRun
from knapweedshed.decisions.work_order import core_seconds, create_ordering_policy
from knapweedshed.models.dispatch_actions import Preempted, RunStopped
from knapweedshed.models.overload import OverloadPolicies
from knapweedshed.models.work import GANG_INDEX, TaskRun, Unit, tasks_of_unit
from tests.dispatch_harness import DispatchHarness, make_entry, make_job, make_step
from tests.test_plan_memory import make_plan, make_worker, planning_inputs
from tests.test_work_urgent import EIGHT_ACCELERATORS, URGENT_JOB_FIELDS

LIMITS = TimeLimits(save_ms=2_000, restore_ms=400, stop_ms=900)
POLICIES = OverloadPolicies(costed_preemption=True)
CORES = 8 + 8 * 8  # of a task with 8 accelerators


class LossTest(unittest.TestCase):
    """A wrong loss lets the planner stop the run that loses most."""

    def _lost_core_s(self, percent, ran_ms, limits=LIMITS, saved="", **fields):
        step = make_step(1, EIGHT_ACCELERATORS, 10_000, **fields)
        unit = Unit("b" * 16, 0, 0, GANG_INDEX if step.gang else 0)
        worker = make_worker(make_entry(0))
        tasks = tasks_of_unit(unit, step)
        for task in tasks:
            worker.assigned_runs[task, 1] = AssignedRun(
                task,
                1,
                step.need,
                RunPhase.RUNNING,
                percent=percent,
                saved=saved,
                progressed_ms=ran_ms,
            )
        unit_run = UnitRun(unit, 1, dict.fromkeys(tasks, "w0"), False, 0, True)
        rules = CostedStops(limits)
        return rules.candidate(unit_run, step, {"w0": worker}, ran_ms).cost

    def test_without_checkpoints_all_run_time_is_lost(self):
        self.assertEqual(self._lost_core_s(50.0, 5_000), 5 * CORES)

    def test_half_a_saving_interval_and_the_restore_are_lost(self):
        lost = self._lost_core_s(50.0, 5_000, checkpoints=True)
        self.assertAlmostEqual(lost, (1.0 + 0.4) * CORES)
        often = LIMITS._replace(save_ms=500)
        lost = self._lost_core_s(50.0, 5_000, often, checkpoints=True)
        self.assertAlmostEqual(lost, (0.25 + 0.4) * CORES)

    def test_slow_run_saves_less_often(self):
        lost = self._lost_core_s(50.0, 10_000, checkpoints=True)
        self.assertAlmostEqual(lost, (2.0 + 0.4) * CORES)

    def test_before_the_first_save_all_is_lost(self):
        lost = self._lost_core_s(15.0, 4_500, checkpoints=True)
        self.assertEqual(lost, 4.5 * CORES)

    def test_gang_loses_the_work_of_all_its_members(self):
        lost = self._lost_core_s(50.0, 5_000, gang=True)
        self.assertEqual(lost, 5 * CORES)
        step = make_step(3, EIGHT_ACCELERATORS, 5_000, gang=True)
        self.assertEqual(core_seconds(step, 3), 3 * lost)


class WorthTest(unittest.TestCase):
    """Which runs are stopped for urgent work in a full service."""

    def _fill(self, workers=1, guaranteed=0, policies=POLICIES, estimate_ms=2_000):
        harness = DispatchHarness(workers=workers, policies=policies, limits=LIMITS)
        harness.start_term(guaranteed)
        for number in range(workers):
            step = make_step(1, EIGHT_ACCELERATORS, estimate_ms)
            harness.accept(make_job(f"{number:x}" * 16, (step,), priority=2))
        harness.plan()
        return harness

    def _report(self, harness, worker_id, percent):
        running = harness.running[worker_id]
        for task, run in running.items():
            running[task] = TaskRun(task, run.run, "", percent)
        harness.hold(worker_id)

    def _accept_urgent_job(self, harness, job_id="c" * 16, **fields):
        step = make_step(1, EIGHT_ACCELERATORS)
        job = make_job(job_id, (step,), **{**URGENT_JOB_FIELDS, **fields})
        harness.accept(job._replace(accepted_wall_ms=harness.now_ms))
        harness.hold_all()

    def _preemptions(self, harness):
        return [record for record in harness.records if isinstance(record, Preempted)]

    def _stop_near_the_end(self, guaranteed, policies=POLICIES):
        harness = self._fill(guaranteed=guaranteed, policies=policies)
        harness.now_ms += 400
        self._report(harness, "w0", 85.0)
        # The run has stalled since, so that its end isn't expected any more.
        harness.now_ms += 130
        self._accept_urgent_job(harness, objective_factor=3.0)
        return self._preemptions(harness)

    def test_run_near_its_end_is_not_stopped_for_urgent_work(self):
        self.assertEqual(self._stop_near_the_end(0), [])

    def test_run_near_its_end_is_stopped_for_a_guarantee(self):
        self.assertEqual(len(self._stop_near_the_end(8)), 1)

    def test_nothing_is_stopped_for_room_that_frees_as_soon_by_itself(self):
        for policies, expected in ((POLICIES, 0), (OverloadPolicies(), 1)):
            harness = self._fill(workers=2, policies=policies, estimate_ms=4_000)
            harness.now_ms += 100
            step = make_step(1, EIGHT_ACCELERATORS, 4_000)
            harness.end("w1", next(iter(harness.running["w1"])), "done")
            harness.hold("w1")
            harness.now_ms += 700
            harness.accept(make_job("d" * 16, (step,), priority=2))
            harness.hold_all()
            harness.now_ms += 200
            self._report(harness, "w0", 60.0)
            self._accept_urgent_job(harness)
            self.assertEqual(len(self._preemptions(harness)), expected)

    def _preempt_twice(self, guaranteed):
        harness = self._fill(guaranteed=guaranteed)
        for number in range(2):
            harness.now_ms += 200
            urgent_id = "cd"[number] * 16
            self._accept_urgent_job(harness, urgent_id)
            harness.hold_all()
            harness.now_ms += 200
            if any(task.job_id == urgent_id for task in harness.running["w0"]):
                task = next(iter(harness.running["w0"]))
                harness.end("w0", task, "done")
            harness.hold_all()
        return self._preemptions(harness)

    def test_unit_is_not_stopped_twice_for_urgent_work(self):
        first, *others = self._preempt_twice(guaranteed=0)
        self.assertEqual(others, [])
        self.assertEqual(first.again, ())

    def test_second_stop_for_a_guarantee_is_told(self):
        first, second = self._preempt_twice(guaranteed=8)
        self.assertEqual((first.again, second.again), ((), second.units))
        self.assertAlmostEqual(second.lost_core_s, 0.2 * CORES)

    def test_each_unit_of_a_preemption_is_described(self):
        harness = self._fill()
        harness.now_ms += 100
        self._accept_urgent_job(harness)
        stops = [item for item in harness.records if isinstance(item, RunStopped)]
        self.assertEqual(len(stops), 1)


class PassBeforePolicies(planning_units._PlanningPass):
    """A planning pass with the code that chose victims before there were policies."""

    def _count_expected_ends(self):
        pass

    def _choose_victims(
        self, waiting, multi_rack, max_cost, min_speed=0.0, from_borrowers=False
    ):
        claims = self._planning_input.preemption_claims
        max_cost -= claims.lost_core_s(waiting.units[0])
        candidates = self._candidates_below(waiting.priority)
        if from_borrowers:
            candidates = candidates + self._borrowing_candidates()
        return choose_victims(
            waiting.step,
            waiting.count,
            self._capacity.workers_after_stops(waiting, min_speed),
            candidates,
            multi_rack,
            max_cost,
        )

    def _candidates(self, units):
        candidates = []
        for unit in units:
            unit_run = self._planning_input.runs[unit]
            if unit_run.ending or not unit_run.launched:
                continue
            step = self._planning_input.ledger.jobs[unit.job_id].job.steps[unit.step]
            allocations = tuple(
                (worker_id, step.need)
                for worker_id in unit_run.workers_by_task.values()
            )
            ran_ms = self._planning_input.now_ms - unit_run.started_ms
            if step.checkpoints:
                ran_ms = min(ran_ms, 1_000)
            lost_core_s = core_seconds(
                step._replace(estimate_ms=ran_ms), len(allocations)
            )
            candidates.append(PreemptionCandidate(unit, allocations, lost_core_s))
        return candidates


class PoliciesOffTest(unittest.TestCase):
    """Without policies a plan must not depend on any rule for overload."""

    @given(planning_inputs())
    @settings(
        max_examples=400,
        derandomize=True,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    def test_plan_is_what_it_was_before_there_were_policies(self, planning_input):
        plan = make_plan(planning_input)
        with mock.patch.object(planning_units, "_PlanningPass", PassBeforePolicies):
            self.assertEqual(plan, make_plan(planning_input))
        self.assertEqual(plan.events, ())


class PlanMemoryTest(unittest.TestCase):
    """A search of one unit must not answer for another that may stop other runs."""

    @given(planning_inputs())
    @settings(
        max_examples=400,
        derandomize=True,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    def test_plan_with_policies_is_what_it_would_be_without_memory(
        self, planning_input
    ):
        with mock.patch.object(FailedSearches, "has", return_value=False):
            plan = self._make_plan(planning_input)
        self.assertEqual(plan, self._make_plan(planning_input))

    def _make_plan(self, planning_input):
        planner = planning_units.UnitPlanner(
            create_ordering_policy(), LIMITS, OverloadPolicies(True, True)
        )
        units = list(planning_input.runs)[:2]
        victims = [PreemptionCandidate(unit, (), 8.0) for unit in units]
        planner._stop_rules.record_stops(victims)
        entries = [worker.entry for worker in planning_input.workers.values()]
        planner.update_workers(entries)
        return planner.plan(planning_input)


class RulesTest(unittest.TestCase):
    """Rules that keep what they have seen for ever would grow with every job."""

    def test_stops_of_ended_jobs_are_forgotten(self):
        rules = CostedStops(LIMITS)
        unit = Unit("b" * 16, 0, 0, 0)
        rules.record_stops([PreemptionCandidate(unit, (), 8.0)])
        rules.forget_ended_jobs({})
        victims = [PreemptionCandidate(unit, (), 8.0)]
        self.assertEqual(rules.record_stops(victims), (8.0, ()))


if __name__ == "__main__":
    unittest.main()
