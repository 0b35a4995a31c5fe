"""The load figure that the acting host publishes while a service is short."""

import itertools
import unittest

from knapweedshed.codecs import json_text
from knapweedshed.controllers.load_reports import LoadReports
from knapweedshed.controllers.messages import AppendRecord
from knapweedshed.decisions.overload.load_figure import (
    FinishRates,
    ReportSchedule,
    measure_loads,
)
from knapweedshed.decisions.overload.shortage import RunningWork, find_shortages
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.decisions.work_order import WaitingStep, core_seconds
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES, OverloadPolicies
from knapweedshed.models.work import EndKind, Resources, Task, TaskEnd, Unit
from knapweedshed.models.work_records import (
    ActingClaimed,
    LoadReported,
    PriorityLoad,
    TasksEnded,
)
from tests.dispatch_harness import make_job, make_step
from tests.scheduling_harness import SchedulingHarness

LOADS = (PriorityLoad("planner", 0, 100.0, 10.0, 10_000),)


def make_waiting(units=1, priority=1, due_ms=10_000, step=None, number=0):
    """Return a waiting step of single tasks; it takes 2 s of 8 cores each."""
    step = step or make_step()
    return WaitingStep(
        tuple(Unit(f"{number:016x}", 0, 0, index) for index in range(units)),
        step,
        1,
        priority,
        False,
        0,
        due_ms,
        3 * due_ms,
        step.estimate_ms,
        core_seconds(step, 1),
        "planner",
    )


class ShortageTest(unittest.TestCase):
    """Policies for a shortage would act without one, or not act in one."""

    def _is_short(self, waiting_steps, running=(), cores=16):
        capacities = {"planner": Resources(cores * 1_000, 1 << 20, 64)}
        return bool(find_shortages(waiting_steps, running, capacities, 0))

    def test_service_is_short_if_work_needs_more_than_its_room_in_time(self):
        # 10 s of 16 cores at 85% are 136 core-seconds, and a task takes 16.
        self.assertFalse(self._is_short([make_waiting(8)]))
        self.assertTrue(self._is_short([make_waiting(9)]))

    def test_running_work_takes_room_until_it_ends(self):
        running = [RunningWork("planner", Resources(16_000), 8_000)]
        self.assertFalse(self._is_short([make_waiting(1)]))
        self.assertTrue(self._is_short([make_waiting(1)], running))
        other = [running[0]._replace(service="other")]
        self.assertFalse(self._is_short([make_waiting(1)], other))

    def test_accelerators_alone_can_be_short(self):
        step = make_step(1, Resources(0, 0, 64))
        waiting = make_waiting(5, step=step)
        self.assertTrue(self._is_short([waiting]))

    def test_work_that_is_too_late_is_not_counted(self):
        self.assertFalse(self._is_short([make_waiting(100, due_ms=300)]))

    def test_long_running_work_that_waits_is_no_shortage(self):
        """It has no end by which its service would have to finish it."""
        step = make_step(estimate_ms=3_600_000, lasting=True)
        waiting = make_waiting(1, step=step, due_ms=0)._replace(critical_path_ms=0)
        self.assertFalse(self._is_short([waiting]))

    def test_service_without_workers_is_short(self):
        self.assertTrue(find_shortages([make_waiting()], [], {}, 0))


class MeasureTest(unittest.TestCase):
    """Callers would be told a time at which no room frees."""

    def _measure(self, waiting_steps, rates):
        loads = measure_loads(waiting_steps, rates, ("planner",), 0)
        return {load.priority: load.start_in_ms for load in loads}

    def test_start_is_after_work_of_own_and_higher_priorities(self):
        rates = {("planner", 0): 16.0, ("planner", 1): 16.0}
        waiting = [make_waiting(4, 0), make_waiting(4, 1, number=1)]
        # A task has 32 core-seconds with its accelerator. Urgent work may use the whole
        # rate, other work what urgent work leaves.
        waiting_core_s = 4 * core_seconds(make_step(), 1)
        self.assertEqual(
            self._measure(waiting, rates),
            {0: waiting_core_s / 32 * 1_000, 1: 2 * waiting_core_s / 16 * 1_000},
        )

    def test_start_is_unknown_while_nothing_is_finished(self):
        self.assertEqual(self._measure([make_waiting(4)], {}), {1: -1})

    def test_start_is_unknown_while_higher_priorities_finish_all(self):
        """0.1 + 0.2 - 0.1 - 0.2 is above 0: all other work would be rejected."""
        rates = {("planner", 0): 0.1, ("planner", 1): 0.2}
        starts = self._measure([make_waiting(4, 2)], rates)
        self.assertEqual(starts[2], -1)

    def test_long_running_work_is_not_waited_for(self):
        """It has no size: with its estimate, all other work would be rejected."""
        step = make_step(estimate_ms=3_600_000, lasting=True)
        lasting = make_waiting(1, step=step, due_ms=0)._replace(critical_path_ms=0)
        starts = self._measure([lasting], {("planner", 1): 16.0})
        self.assertEqual(starts, {1: 0})

    def test_rates_are_known_only_after_a_while_and_forget_old_ends(self):
        rates = FinishRates(0)
        rates.note_end("planner", 1, 40.0, 1_000)
        self.assertEqual(rates.per_second(1_900), {})
        self.assertEqual(rates.per_second(4_000), {("planner", 1): 10.0})
        self.assertEqual(rates.per_second(6_001), {})


class ReportScheduleTest(unittest.TestCase):
    """The work stream would be filled with figures, or readers left without one."""

    def test_nothing_is_published_without_a_shortage(self):
        schedule = ReportSchedule()
        for now_ms in range(0, 10_000, 200):
            self.assertIsNone(schedule.take_due((), now_ms))

    def test_changes_are_published_at_most_every_500_ms(self):
        schedule = ReportSchedule()
        times = []
        for now_ms in range(0, 3_000, 100):
            load = LOADS[0]._replace(waiting_core_s=100.0 * 2 ** (now_ms // 100))
            if schedule.take_due((load,), now_ms) is not None:
                times.append(now_ms)
        self.assertEqual(times, [0, 500, 1_000, 1_500, 2_000, 2_500])

    def test_a_figure_that_stays_is_published_every_2_s(self):
        schedule = ReportSchedule()
        steady = (LOADS[0]._replace(waiting_core_s=109.0),)
        self.assertEqual(schedule.take_due(LOADS, 0), LOADS)
        self.assertIsNone(schedule.take_due(steady, 1_900))
        self.assertEqual(schedule.take_due(steady, 2_000), steady)

    def test_the_end_of_a_shortage_is_published_once(self):
        schedule = ReportSchedule()
        schedule.take_due(LOADS, 0)
        self.assertIsNone(schedule.take_due((), 400))
        self.assertEqual(schedule.take_due((), 600), ())
        self.assertIsNone(schedule.take_due((), 5_000))


class LedgerLoadTest(unittest.TestCase):
    """A host would decide by the figure of a host that doesn't act any more."""

    def test_a_claim_ends_the_figure_of_the_epoch_before(self):
        ledger = WorkLedger()
        ledger.apply(0, ActingClaimed(1, "a"))
        ledger.apply(1, LoadReported(1, LOADS))
        self.assertEqual(ledger.load_report.loads, LOADS)
        ledger.apply(2, ActingClaimed(2, "b"))
        ledger.apply(3, LoadReported(1, LOADS))
        self.assertIsNone(ledger.load_report)

    def test_implausible_figures_are_rejected(self):
        ledger = WorkLedger()
        for value in (float("nan"), -2, 1e13, True, "1"):
            load = LOADS[0]._replace(finished_core_s=value)
            with self.assertRaises(ValueError):
                ledger.apply(0, LoadReported(0, (load,)))


class ActingHostTest(unittest.TestCase):
    """Hosts that callers reach would never hear of a shortage."""

    def _reports(self, policies, jobs):
        """Return the `LoadReported`s of an acting host with one worker for 4 s."""
        harness = SchedulingHarness(workers=1, overload_policies=policies)
        numbers = range(jobs)
        wall_ms = harness.clock.wall_ms()
        harness.accept(
            *(
                make_job(f"{n:016x}", (make_step(2),))._replace(
                    accepted_wall_ms=wall_ms
                )
                for n in numbers
            )
        )
        harness.plan()
        end = TaskEnd(1, Task(f"{0:016x}", 0, 0, 0), 1, EndKind.DONE)
        harness.controller._handle_own_record(TasksEnded(1, (end,)))
        records = []
        for _ in range(20):
            harness.tick(200)
            records += harness.appender.take(AppendRecord)
        messages = [json_text.loads_message(record.body) for record in records]
        return [item for item in messages if isinstance(item, LoadReported)]

    def test_burst_after_an_idle_time_is_worked_on_before_any_of_it_ends(self):
        """Jobs that could start after 10 s would start after 504 s by the figure."""
        harness = SchedulingHarness(
            workers=4, overload_policies=OverloadPolicies(admission_control=True)
        )
        harness.accept(make_job())
        harness.append(harness.plan())
        harness.tick(2_500)
        end = TaskEnd(1, Task("a" * 16, 0, 0, 0), 1, EndKind.DONE)
        harness.answer_hold("w0", ended=[end])
        harness.append(harness.appender.take(AppendRecord))
        wall_ms = harness.clock.wall_ms()
        burst = make_job("b" * 16, (make_step(200),))
        harness.accept(burst._replace(accepted_wall_ms=wall_ms))
        harness.list_workers()
        harness.append(harness.plan())
        harness.tick(500)
        records = harness.appender.take(AppendRecord)
        messages = [json_text.loads_message(record.body) for record in records]
        (report,) = [item for item in messages if isinstance(item, LoadReported)]
        (load,) = report.loads
        # 32 tasks of 2 s run at a time, and 168 wait.
        self.assertLess(load.start_in_ms, 2 * 168 / 32 * 2_000 + 1)

    def test_shortage_is_published_with_a_time_to_start(self):
        reports = self._reports(OverloadPolicies(admission_control=True), 200)
        self.assertGreaterEqual(len(reports), 2)
        load = reports[-1].loads[0]
        self.assertEqual((load.service, load.priority), ("planner", 1))
        self.assertGreater(load.start_in_ms, 10_000)

    def _measuring_gap_ms(self, measure_ms):
        """Return the shortest time between measurements that take `measure_ms`."""
        harness = SchedulingHarness(workers=1)
        controller, clock = harness.controller, harness.clock
        reports = LoadReports(controller._context, controller._ledger)
        times = []

        def measure(dispatcher, now_ms):
            times.append(now_ms)
            clock.advance(measure_ms)
            return ()

        reports._measure = measure
        for _ in range(50):
            clock.advance(100)
            reports.due(controller._dispatcher, clock.now_ms())
        return min(later - time for time, later in itertools.pairwise(times))

    def test_load_is_measured_at_most_every_500_ms(self):
        self.assertEqual(self._measuring_gap_ms(0), 500)

    def test_load_is_measured_more_seldom_if_that_is_slow(self):
        """With 10,000 waiting jobs it takes 200 ms, as long as from tick to tick."""
        self.assertEqual(self._measuring_gap_ms(400), 1_600)

    def test_nothing_is_published_while_there_is_room_or_without_the_policy(self):
        self.assertEqual(self._reports(OverloadPolicies(admission_control=True), 2), [])
        self.assertEqual(self._reports(NO_OVERLOAD_POLICIES, 200), [])


if __name__ == "__main__":
    unittest.main()
