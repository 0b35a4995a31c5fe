"""Ordinary work on workers that are taken away at short notice."""

import logging
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.controllers.work_messages import OrderRequest, WorkersListed
from knapweedshed.decisions.overload.drain_notice import (
    EXCHANGE_MS,
    REVIEW_PERIOD_MS,
    DrainDecision,
    MemberProgress,
    decide_run,
    estimate_work_left_ms,
)
from knapweedshed.decisions.unit_runs import TimeLimits
from knapweedshed.models.dispatch_actions import StopRun, UnitMoved
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES, OverloadPolicies
from knapweedshed.models.work import EndKind, Resources
from tests.dispatch_harness import DispatchHarness, make_job, make_step
from tests.scheduling_harness import SchedulingHarness

DRAIN_NOTICE = OverloadPolicies(drain_notice=True)
WHOLE_WORKER = Resources(8_000, 10_000, 8)
LIMITS = TimeLimits(stop_ms=500)
SAVING_STEP = make_step(estimate_ms=8_000, checkpoints=True)

UNSAVED_STEP = SAVING_STEP._replace(checkpoints=False)


def make_progress(percent, ran_ms=4_000, answer_age_ms=0, from_start=True, speed=1.0):
    return MemberProgress(percent, ran_ms, answer_age_ms, from_start, speed)


class DecisionTest(unittest.TestCase):
    """What is done with one run, by the time left to it and to its worker."""

    def _decide(self, percents, time_left_ms, step=SAVING_STEP):
        members = [make_progress(percent) for percent in percents]
        return decide_run(members, step, time_left_ms, LIMITS)[0]

    def test_run_that_ends_in_time_is_not_stopped(self):
        self.assertEqual(self._decide([80], 2_000), DrainDecision.ENDS)

    def test_run_is_stopped_at_the_last_moment_and_not_before(self):
        self.assertEqual(self._decide([50], 2_000), DrainDecision.WAIT)
        self.assertEqual(self._decide([50], 999), DrainDecision.STOP)

    def test_run_that_cannot_save_is_left_while_it_may_still_end(self):
        self.assertEqual(self._decide([80], 900, UNSAVED_STEP), "leave")
        self.assertEqual(self._decide([70], 1_800, UNSAVED_STEP), "leave")

    def test_run_that_cannot_save_is_left_if_its_worker_should_be_gone(self):
        for time_left_ms in (0, -5_000):
            self.assertEqual(self._decide([50], time_left_ms, UNSAVED_STEP), "leave")

    def test_run_that_cannot_save_and_has_hardly_begun_starts_again_at_once(self):
        """Guards against waiting for a lease after the worker has gone."""
        self.assertEqual(self._decide([30], 2_000, UNSAVED_STEP), DrainDecision.STOP)

    def test_run_that_cannot_save_and_is_half_done_waits_for_the_last_moment(self):
        self.assertEqual(self._decide([55], 1_500, UNSAVED_STEP), DrainDecision.WAIT)
        self.assertEqual(self._decide([55], 900, UNSAVED_STEP), DrainDecision.STOP)

    def test_gang_ends_with_its_slowest_member(self):
        self.assertEqual(self._decide([100, 99, 50], 900), DrainDecision.STOP)

    def test_run_that_ends_before_a_stop_would_is_not_stopped(self):
        self.assertEqual(self._decide([91], -100), DrainDecision.ENDS)

    def test_unknown_time_left_stops_what_would_not_end_before_a_stop(self):
        self.assertEqual(self._decide([50], 0), DrainDecision.STOP)

    @given(
        percent=st.floats(0, 100),
        remaining_ms=st.integers(0, 4_000),
        stop_ms=st.integers(200, 900),
        first_review_ms=st.integers(0, REVIEW_PERIOD_MS),
    )
    @settings(derandomize=True)
    def test_stop_leaves_time_for_the_saved_state(
        self, percent, remaining_ms, stop_ms, first_review_ms
    ):
        """Guards against stops that end after the worker may be gone."""
        limits = TimeLimits(stop_ms=stop_ms)
        enough_ms = stop_ms + EXCHANGE_MS + REVIEW_PERIOD_MS
        time_left_ms = enough_ms + remaining_ms - first_review_ms
        progress = [make_progress(percent, ran_ms=100_000)]
        while time_left_ms > -2_000:
            decision, _ = decide_run(progress, SAVING_STEP, time_left_ms, limits)
            if decision == DrainDecision.STOP:
                self.assertGreaterEqual(time_left_ms, stop_ms + EXCHANGE_MS)
                return
            if decision == DrainDecision.ENDS:
                return
            time_left_ms -= REVIEW_PERIOD_MS
        self.fail("neither stopped nor expected to end")


class WorkLeftTest(unittest.TestCase):
    """Time until a run ends, by its own progress where that tells it."""

    def test_progress_counts_more_than_a_wrong_estimate(self):
        left_ms = estimate_work_left_ms(make_progress(20), SAVING_STEP)
        self.assertEqual(left_ms, 16_000)

    def test_time_since_the_answer_is_taken_off(self):
        progress = make_progress(50, answer_age_ms=1_500)
        self.assertEqual(estimate_work_left_ms(progress, SAVING_STEP), 2_500)

    def test_rate_of_a_resumed_run_is_not_derived_from_its_progress(self):
        progress = make_progress(75, ran_ms=1_000, from_start=False, speed=0.5)
        self.assertEqual(estimate_work_left_ms(progress, SAVING_STEP), 4_000)

    def test_unknown_work_does_not_count_as_done(self):
        step = SAVING_STEP._replace(estimate_ms=0)
        self.assertGreater(estimate_work_left_ms(make_progress(1), step), 10**9)


class NoticeTest(unittest.TestCase):
    """Two workers; a job runs on one or both, and w0 announces that it leaves."""

    def _start(self, count=1, policies=DRAIN_NOTICE, estimate_ms=8_000, **fields):
        fields = {"checkpoints": True, "need": WHOLE_WORKER, **fields}
        self.harness = harness = DispatchHarness(workers=3, policies=policies)
        harness.start_term()
        for worker_id in ("w1", "w2")[count - 1 :]:
            harness.dispatcher.workers[worker_id].quarantine(harness.now_ms + 1)
        step = make_step(count, estimate_ms=estimate_ms, **fields)
        harness.accept(make_job(steps=(step,)))
        harness.plan()
        self.estimate_ms = estimate_ms
        self.started_ms = harness.now_ms
        self._pass_time(2_000)

    def _pass_time(self, ms):
        """Let runs progress by their estimate, and list what they last saved."""
        for _ in range(ms // 100):
            self.harness.pass_time(100)
            ran_ms = self.harness.now_ms - self.started_ms
            percent = min(100.0, 100 * ran_ms / self.estimate_ms)
            for running in self.harness.running.values():
                for task, task_run in running.items():
                    saved = f"at {ran_ms // 1_000} s"
                    running[task] = task_run._replace(percent=percent, saved=saved)
            self.harness.hold_all()

    def _moves(self):
        return [item for item in self.harness.records if isinstance(item, UnitMoved)]

    def test_run_goes_on_elsewhere_from_its_saved_state(self):
        self._start()
        self.harness.drain("w0", 2_000)
        self._pass_time(2_000)
        self.assertEqual([order.worker_id for order in self.harness.stopped], ["w0"])
        again = self.harness.started[-1]
        self.assertNotEqual(again.worker_id, "w0")
        self.assertEqual((again.run, again.saved), (2, "at 3 s"))

    def test_move_tells_what_it_rests_on(self):
        self._start()
        self.harness.drain("w0", 2_000)
        self._pass_time(2_000)
        (moved,) = self._moves()
        self.assertEqual((moved.worker_ids, moved.run), (("w0",), 1))
        self.assertLess(moved.time_left_ms, 1_000)
        self.assertGreater(moved.work_left_ms, 4_000)
        self.assertEqual(moved.answer_age_ms, 100)

    def test_run_that_ends_in_time_is_not_moved(self):
        self._start(estimate_ms=3_000)
        self.harness.drain("w0", 2_000)
        self._pass_time(900)
        self.assertEqual(self.harness.stopped, [])

    def test_run_that_cannot_save_is_not_moved_if_it_may_still_end(self):
        self._start(checkpoints=False, estimate_ms=4_000)
        self.harness.drain("w0", 2_000)
        self._pass_time(2_000)
        self.assertEqual(self.harness.stopped, [])

    def test_run_that_cannot_save_and_cannot_end_starts_again_elsewhere(self):
        """Its worker was gone 2 s later, and its unit waited 5.3 s for the lease."""
        self._start(checkpoints=False)
        self.harness.drain("w0", 2_000)
        self._pass_time(300)
        self.assertEqual([order.worker_id for order in self.harness.stopped], ["w0"])
        self.assertNotEqual(self.harness.started[-1].worker_id, "w0")

    def test_gang_is_stopped_whole_and_starts_whole(self):
        self._start(count=2, gang=True)
        self.harness.drain("w0", 2_000)
        self._pass_time(2_000)
        stopped = {order.worker_id for order in self.harness.stopped}
        self.assertEqual(stopped, {"w0", "w1"})
        self.assertEqual(len(self._moves()), 1)
        again = {order.worker_id for order in self.harness.started[2:]}
        self.assertEqual(again, {"w1", "w2"})

    def test_gang_that_cannot_save_is_left_to_run_if_it_may_still_end(self):
        self._start(count=2, gang=True, checkpoints=False, estimate_ms=4_000)
        self.harness.drain("w0", 2_000)
        self._pass_time(2_000)
        self.assertEqual(self.harness.stopped, [])

    def test_unit_does_not_start_again_before_its_end_is_certain(self):
        self._start()
        self.harness.lossy.add("w0")
        self.harness.drain("w0", 2_000)
        self._pass_time(3_000)
        self.assertGreater(len(self.harness.stopped), 0)
        self.assertEqual(len(self.harness.started), 1)

    def test_run_that_is_done_meanwhile_is_not_stopped(self):
        self._start()
        self.harness.drain("w0", 2_000)
        task = self.harness.started[0].task
        self.harness.end("w0", task, EndKind.DONE)
        self._pass_time(2_000)
        self.assertEqual(self.harness.stopped, [])
        self.assertEqual(len(self.harness.started), 1)

    def test_without_the_policy_nothing_is_moved(self):
        self._start(policies=NO_OVERLOAD_POLICIES)
        self.harness.drain("w0", 2_000)
        self._pass_time(4_000)
        self.assertEqual((self.harness.stopped, self._moves()), ([], []))

    def test_without_draining_workers_the_policy_changes_no_decision(self):
        decisions = []
        for policies in (NO_OVERLOAD_POLICIES, DRAIN_NOTICE):
            self._start(count=2, policies=policies)
            self._pass_time(7_000)
            harness = self.harness
            decisions.append((harness.started, harness.stopped, harness.records))
        self.assertEqual(decisions[0], decisions[1])


class MoveLogTest(unittest.TestCase):
    """A move is logged and counted, and only its stops are sent to workers."""

    def test_move_is_counted_and_its_stop_is_sent(self):
        harness = SchedulingHarness(workers=1)
        harness.accept(make_job(steps=(make_step(lasting=True),)))
        harness.append(harness.plan())
        harness.connections.take(OrderRequest)
        (entry,) = harness.entries
        harness.entries = (entry._replace(draining=True, remaining_ms=2_000),)
        harness.controller.receive(WorkersListed(harness.entries))
        logger = logging.getLogger("moves")
        harness.controller._decision_log._logger = logger
        with self.assertLogs(logger, "INFO") as logged:
            harness.tick()
        line, stop_line = logged.records
        self.assertEqual((line.message, line.workers), ("unit moved", ["w0"]))
        self.assertEqual(stop_line.cause, "worker leaving")
        self.assertEqual((line.time_left_ms, line.work_left_ms), (2_000, None))
        metrics = harness.controller._context.metrics.snapshot()
        self.assertEqual(metrics["units.moved"], 1)
        orders = [item.order for item in harness.connections.take(OrderRequest)]
        self.assertEqual([type(order) for order in orders], [StopRun])


if __name__ == "__main__":
    unittest.main()
