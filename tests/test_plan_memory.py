"""What a planning pass remembers of one unit must not bind another.

Guards against LOST and RECLAIM: "no room" and "no victims" were remembered by a step's
shape alone. A job whose last tasks waited kept jobs of the same shape off free workers,
those of another service too.
"""

import unittest
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from knapweedshed.decisions.failed_searches import FailedSearches
from knapweedshed.decisions.planning_units import UnitPlanner, UnitPlanningInput
from knapweedshed.decisions.preemption_claims import PreemptionClaims
from knapweedshed.decisions.speeds import WorkerSpeeds
from knapweedshed.decisions.tracked_workers import (
    AssignedRun,
    RunPhase,
    TrackedWorker,
)
from knapweedshed.decisions.unit_runs import UnitRun
from knapweedshed.decisions.units import ready_units, step_of
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.decisions.work_order import create_ordering_policy
from knapweedshed.models.service_configuration import (
    ConfiguredOrganisation,
    ServiceConfiguration,
)
from knapweedshed.models.work import HoldAnswer, Resources, tasks_of_unit
from knapweedshed.models.work_records import WorkAccepted
from tests.dispatch_harness import (
    CAPACITY,
    DispatchHarness,
    make_entry,
    make_job,
    make_step,
)

NOW_MS = 60_000
LEASE_MS = 6_000
SERVICES = ("planner", "planner", "planner", "painter")
ORGANISATIONS = ("sahel", "oslw")
WHOLE_WORKER = Resources(60_000, 100_000, 8)
HALF_WORKER = Resources(20_000, 30_000, 4)
SMALL = Resources(5_600, 11_000, 1)


class SameShapeTest(unittest.TestCase):
    """Two jobs of one shape; the first one leaves tasks waiting."""

    def _job(self, job_id, step, priority, service="planner"):
        job = make_job(job_id * 16, (step,), priority)
        return job._replace(service=service)

    def _started(self, harness, job_id):
        orders = [order for order in harness.started if order.task.job_id[0] == job_id]
        return len(orders)

    def test_limit_for_each_worker_keeps_no_other_job_waiting(self):
        # LOST: nothing of the second job ran for 17 s beside free workers.
        for priority in (0, 1):
            with self.subTest(priority=priority):
                harness = DispatchHarness(workers=4)
                harness.start_term(guaranteed=6)
                step = make_step(6, SMALL, most_per_worker=1)
                harness.accept(self._job("a", step, priority))
                harness.hold_all()
                harness.accept(self._job("b", step, priority))
                harness.hold_all()
                self.assertEqual(self._started(harness, "a"), 4)
                self.assertEqual(self._started(harness, "b"), 4)

    def _two_services(self):
        entries = [make_entry(0), make_entry(1)._replace(service="painter")]
        harness = DispatchHarness(entries=entries)
        harness.start_term(guaranteed=24)
        return harness

    def test_full_service_keeps_no_job_of_another_service_waiting(self):
        for priority in (0, 1):
            with self.subTest(priority=priority):
                harness = self._two_services()
                step = make_step(2, WHOLE_WORKER)
                harness.accept(self._job("a", step, priority))
                harness.hold_all()
                harness.accept(self._job("b", step, priority, "painter"))
                harness.hold_all()
                self.assertEqual(self._started(harness, "a"), 1)
                self.assertEqual(self._started(harness, "b"), 1)

    def test_guaranteed_work_preempts_though_another_service_has_no_victims(self):
        # RECLAIM: guaranteed urgent work of the same shape got nothing for 17 s.
        harness = self._two_services()
        step = make_step(1, WHOLE_WORKER, estimate_ms=60_000)
        harness.accept(self._job("a", step, 0))
        harness.accept(self._job("c", step, 1, "painter"))
        harness.hold_all()
        harness.accept(self._job("b", step, 0))
        harness.accept(self._job("d", step, 0, "painter"))
        for _ in range(12):
            harness.pass_time(200)
            harness.hold_all()
        self.assertEqual(self._started(harness, "d"), 1)

    def test_guaranteed_work_preempts_though_other_work_may_not_lose_as_much(self):
        # The claim puts the other unit first; what it may lose has been used up.
        planning_input = full_worker_input()
        claimed, guaranteed = planning_input.waiting_units
        planning_input.preemption_claims.add(claimed, (), 1_000_000.0, NOW_MS)
        (preempted,) = make_plan(planning_input).preempted
        self.assertEqual(preempted.preempting_unit, guaranteed)


def full_worker_input():
    """Return an input with a full worker, and two urgent units of one shape.

    Only the second unit's organisation has a guarantee.
    """
    ledger, step = WorkLedger(), make_step(1, WHOLE_WORKER, 9_000)
    for number, (priority, organisation) in enumerate(
        ((1, "oslw"), (0, "oslw"), (0, "sahel"))
    ):
        job = make_job(f"{number:016x}", (step,), priority, organisation)
        job = job._replace(accepted_wall_ms=NOW_MS)
        ledger.apply(number, WorkAccepted(job))
    running, *waiting = ready_units(ledger, NOW_MS)
    worker = make_worker(make_entry(0))
    (task,) = tasks_of_unit(running, step)
    worker.assigned_runs[task, 1] = AssignedRun(task, 1, step.need, RunPhase.RUNNING)
    runs = {running: UnitRun(running, 1, {task: "w0"}, False, NOW_MS - 30_000, True)}
    organisations = (
        ConfiguredOrganisation("oslw", ("a",), 0),
        ConfiguredOrganisation("sahel", ("b",), 8),
    )
    return make_input(ledger, {"w0": worker}, runs, waiting, organisations)


def make_worker(entry):
    """Return a worker that has just answered its first hold."""
    worker = TrackedWorker(entry.worker_id, 1, NOW_MS + LEASE_MS, LEASE_MS)
    worker.update_entry(entry, NOW_MS)
    worker.apply_hold_answer(HoldAnswer(NOW_MS, 1, (), (), True), NOW_MS, NOW_MS)
    return worker


def make_input(ledger, workers, runs, waiting, organisations):
    """Return a `UnitPlanningInput` for units that have just begun to wait."""
    return UnitPlanningInput(
        waiting,
        {unit[:3]: NOW_MS for unit in waiting},
        PreemptionClaims(),
        ledger,
        workers,
        runs,
        ServiceConfiguration(1, (), organisations),
        WorkerSpeeds(()),
        {},
        NOW_MS,
        NOW_MS,
    )


def steps():
    """Return a strategy for steps of few shapes, so that many are alike."""
    return st.builds(
        make_step,
        count=st.integers(1, 4),
        need=st.sampled_from((SMALL, SMALL, WHOLE_WORKER, HALF_WORKER)),
        estimate_ms=st.just(9_000),
        gang=st.sampled_from((False, False, True)),
        same_rack=st.booleans(),
        label=st.sampled_from(("", "", "", "b")),
        most_per_worker=st.sampled_from((0, 1, 1, 2)),
    )


@st.composite
def planning_inputs(draw, stopping=True):
    """Return a `UnitPlanningInput`: some jobs run, or are stopped, and others wait."""
    ledger, workers, runs = WorkLedger(), {}, {}
    for number in range(draw(st.integers(1, 5))):
        entry = make_entry(number, draw(st.sampled_from(("r1-1", "r1-2"))))._replace(
            service=draw(st.sampled_from(SERVICES)),
            capacity=draw(st.sampled_from((CAPACITY, Resources(16_000, 32_000, 2)))),
        )
        workers[entry.worker_id] = make_worker(entry)
    kinds = draw(st.lists(steps(), min_size=1, max_size=2))
    for number in range(draw(st.integers(2, 7))):
        job = make_job(
            f"{number:016x}",
            (draw(st.sampled_from(kinds)),),
            draw(st.sampled_from((0, 0, 1))),
            draw(st.sampled_from(ORGANISATIONS)),
        )._replace(
            service=draw(st.sampled_from(SERVICES)),
            accepted_wall_ms=NOW_MS - draw(st.sampled_from((0, 900, 5_000))),
        )
        ledger.apply(number, WorkAccepted(job))
    waiting = ready_units(ledger, NOW_MS)
    for unit in list(waiting):
        phase = draw(st.sampled_from(("waits", "waits", "runs", "stops")))
        if phase != "waits" and _run(draw, ledger, workers, runs, unit, phase):
            waiting.remove(unit)
    if not stopping:
        for worker in workers.values():
            for key, run in worker.assigned_runs.items():
                worker.assigned_runs[key] = run._replace(phase=RunPhase.RUNNING)
    avoided = {
        unit: {draw(st.sampled_from(sorted(workers))): NOW_MS + 1_000}
        for unit in waiting
        if draw(st.integers(0, 4)) == 0
    }
    claims = PreemptionClaims()
    for unit in waiting:
        if draw(st.integers(0, 5)) == 0:
            lost_core_s = draw(st.sampled_from((0.0, 40.0, 1_000.0)))
            until_ms = NOW_MS - draw(st.sampled_from((0, 5_000)))
            claims.add(unit, (), lost_core_s, until_ms)
    claims.update(waiting, NOW_MS)
    speeds = WorkerSpeeds(
        (worker_id, 1, draw(st.sampled_from((50, 100, 150)))) for worker_id in workers
    )
    organisations = tuple(
        ConfiguredOrganisation(name, (name,), draw(st.sampled_from((0, 4, 32))))
        for name in ORGANISATIONS
    )
    since_ms = {
        unit[:3]: NOW_MS - draw(st.sampled_from((0, 2_000))) for unit in waiting
    }
    planning_input = make_input(ledger, workers, runs, waiting, organisations)
    return planning_input._replace(
        waiting_since_ms=since_ms,
        preemption_claims=claims,
        speeds=speeds,
        avoided_workers=avoided,
    )


def _run(draw, ledger, workers, runs, unit, phase):
    """Let a unit run on workers with room for it; return whether there are such."""
    job = ledger.jobs[unit.job_id].job
    step = step_of(job, unit)
    chosen = {}
    for task in tasks_of_unit(unit, step):
        fitting = [
            worker_id
            for worker_id, worker in workers.items()
            if worker.entry.service == job.service
            and worker.free_capacity().can_fit(step.need)
        ]
        if not fitting:
            for placed, worker_id in chosen.items():
                del workers[worker_id].assigned_runs[placed, 1]
            return False
        worker_id = draw(st.sampled_from(fitting))
        run_phase = RunPhase.STOPPING if phase == "stops" else RunPhase.RUNNING
        workers[worker_id].assigned_runs[task, 1] = AssignedRun(
            task, 1, step.need, run_phase, reported=True
        )
        chosen[task] = worker_id
    started_ms = NOW_MS - draw(st.sampled_from((100, 2_000, 30_000)))
    runs[unit] = UnitRun(unit, 1, chosen, phase == "stops", started_ms, True)
    return True


def make_plan(planning_input):
    """Return the plan of a new planner for `planning_input`."""
    planner = UnitPlanner(create_ordering_policy())
    planner.update_workers([worker.entry for worker in planning_input.workers.values()])
    return planner.plan(planning_input)


class PlanMemoryTest(unittest.TestCase):
    """A plan is the same whether or not the pass remembers what found no room."""

    @given(planning_inputs())
    @settings(
        max_examples=400,
        derandomize=True,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    def test_plan_is_what_it_would_be_without_memory(self, planning_input):
        plan = make_plan(planning_input)
        with mock.patch.object(FailedSearches, "has", return_value=False):
            self.assertEqual(plan, make_plan(planning_input))

    @given(planning_inputs(stopping=False))
    @settings(
        max_examples=200,
        derandomize=True,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    def test_nothing_waits_beside_room_for_it_while_nothing_is_stopped(
        self, planning_input
    ):
        plan = make_plan(planning_input)
        if plan.preempted:
            return
        workers = planning_input.workers
        for unit, worker_ids in plan.starts:
            step = step_of(planning_input.ledger.jobs[unit.job_id].job, unit)
            tasks = tasks_of_unit(unit, step)
            for task, worker_id in zip(tasks, worker_ids, strict=True):
                workers[worker_id].assigned_runs[task, 1] = AssignedRun(
                    task, 1, step.need, RunPhase.STARTING
                )
        started = {unit for unit, _ in plan.starts}
        waiting = [u for u in planning_input.waiting_units if u not in started]
        again = make_plan(planning_input._replace(waiting_units=waiting))
        self.assertEqual(again.starts, ())


if __name__ == "__main__":
    unittest.main()
