"""Launches whose append got no answer, and runs that no launch record names.

Guards against TWICE: a launch that the log took late was planned again under the same
run number, elsewhere. After a hand-over the task was started beside its run.
"""

import signal
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.controllers.messages import AppendFailed, AppendRecord
from knapweedshed.controllers.work_messages import OrderRequest, WorkersListed
from knapweedshed.decisions.launch_appends import (
    MAX_OPEN_LAUNCH_MS,
    LaunchVerdict,
    PendingAppend,
    after_failure,
)
from knapweedshed.models.dispatch_actions import RecordLaunches, StartRun
from knapweedshed.models.work import Task, TaskRun
from knapweedshed.models.work_records import RunsLaunched
from tests.dispatch_harness import DispatchHarness, make_job, make_step
from tests.fleet_standin import AppendFault
from tests.host_harness import HostTestCase, wait_until
from tests.scheduling_harness import SchedulingHarness
from tests.test_fleet_platform import CONFIGURATION
from tests.test_record_sizes import launches_of

LEASE_MS = 6_000  # of the harness
WHOLE_WORKER = {"cpu": 60_000, "mem_mb": 1_000, "gpu": 8}
# Seconds from when the sweep is due. Hosts launch jobs a little before that.
EARLY_S = 0.4
UNANSWERED_UNTIL_S = 0.8
URGENT_DUE_S = 1.0
REFUSED_UNTIL_S = 2.2
UNANSWERED_AGAIN_UNTIL_S = 3.0
LATE_S = 2.8
HAND_OVER_S = 6.0
JOB_ID = "a" * 16


class FailureVerdictTest(unittest.TestCase):
    """What a failed append means, after any earlier failures of the same record."""

    @given(st.lists(st.tuples(st.booleans(), st.booleans()), min_size=1))
    @settings(derandomize=True)
    def test_record_that_may_be_written_is_never_taken_for_not_written(self, failures):
        pending = PendingAppend("record", 0)
        for index, (unknown, is_final) in enumerate(failures):
            pending, verdict = after_failure(pending, unknown, is_final, index)
        maybe_written = any(unknown for unknown, _ in failures)
        undone = verdict in (LaunchVerdict.NOT_WRITTEN, LaunchVerdict.REJECTED)
        self.assertEqual(undone, not maybe_written)

    def test_launches_do_not_hold_their_workers_for_ever(self):
        pending = PendingAppend("record", 0, maybe_written=True)
        before, after = MAX_OPEN_LAUNCH_MS - 1, MAX_OPEN_LAUNCH_MS
        verdicts = [
            after_failure(pending, True, False, ms)[1] for ms in (before, after)
        ]
        self.assertEqual(verdicts, [LaunchVerdict.REPEAT, LaunchVerdict.GIVE_UP])


class UnansweredLaunchTest(unittest.TestCase):
    """The append of a launch gets no answer; its repetition is refused."""

    def setUp(self):
        self.harness = SchedulingHarness()
        self.harness.accept(make_job())
        (self.record,) = self.harness.plan()

    def _fail(self, unknown=False, final=False, after_ms=0):
        self.harness.clock.advance(after_ms)
        failure = AppendFailed(self.record.record_id, unknown, "a reason", final)
        self.harness.controller.receive(failure)

    def _give_up(self):
        self._fail(unknown=True)
        self._fail(after_ms=MAX_OPEN_LAUNCH_MS)

    def _plan(self, after_ms=400):
        """Return the launches of the next plan, by workers that are in touch."""
        self.harness.clock.advance(after_ms)
        self.harness.controller.receive(WorkersListed(self.harness.entries))
        for entry in self.harness.entries:
            self.harness.answer_hold(entry.worker_id)
        return self.harness.plan()

    def _started(self):
        orders = self.harness.connections.take(OrderRequest)
        return [item.order for item in orders if isinstance(item.order, StartRun)]

    def test_refused_repetition_does_not_undo_a_launch(self):
        self._fail(unknown=True)
        self._fail()
        self.assertEqual(launches_of(self._plan()), [])
        self.harness.read([self.record])
        (launched,) = launches_of([self.record])
        (order,) = self._started()
        self.assertEqual((order.worker_id, order.run), (launched.workers[0][0], 1))

    def test_launch_that_is_certainly_not_written_is_planned_again(self):
        self._fail()
        (launched,) = launches_of(self._plan())
        self.assertEqual(launched.run, 1)

    def test_run_number_of_a_launch_that_is_given_up_is_not_used_again(self):
        self._give_up()
        (record,) = self._plan()
        (launched,) = launches_of([record])
        self.assertEqual(launched.run, 2)
        self.harness.read([self.record])
        self.assertEqual(self._started(), [])
        self.harness.read([record])
        self.assertEqual([order.run for order in self._started()], [2])

    def test_rejection_after_a_lost_answer_uses_up_the_run_number(self):
        self._fail(unknown=True)
        self._fail(final=True)
        self.assertEqual(self.harness.appender.take(AppendRecord), [])
        (launched,) = launches_of(self._plan())
        self.assertEqual(launched.run, 2)

    def test_run_number_stays_used_up_after_a_launch_that_was_refused(self):
        self._give_up()
        (self.record,) = self._plan()
        self._fail()
        (launched,) = launches_of(self._plan())
        self.assertEqual(launched.run, 2)


class LaunchElsewhereTest(unittest.TestCase):
    """A record names the run number of a pending launch, but other workers."""

    def setUp(self):
        self.harness = DispatchHarness(workers=2)
        self.harness.start_term()
        self.harness.accept(make_job())
        now_ms = self.harness.now_ms
        (action,) = self.harness.dispatcher.plan(now_ms, now_ms)
        self.assertIsInstance(action, RecordLaunches)
        (self.launched,) = action.launches
        ((worker_id, incarnation),) = self.launched.workers
        other_id = "w1" if worker_id == "w0" else "w0"
        self.elsewhere = self.launched._replace(workers=((other_id, incarnation),))

    def _read_back(self, launched):
        self.harness.append_record(RunsLaunched(self.harness.epoch, (launched,)))
        self.harness.apply_actions(
            self.harness.dispatcher.confirm_launches((launched,), self.harness.now_ms)
        )

    def test_record_with_other_workers_does_not_confirm_a_launch(self):
        self._read_back(self.elsewhere)
        self.assertEqual(self.harness.started, [])

    def test_run_that_a_successor_would_look_for_elsewhere_does_not_start(self):
        self._read_back(self.elsewhere)
        self._read_back(self.launched)
        self.assertEqual(self.harness.started, [])
        self.harness.hold_all()
        self.assertEqual([order.run for order in self.harness.started], [2])


class RunWithoutRecordTest(unittest.TestCase):
    """A successor finds a run of a waiting unit that no launch record names."""

    def setUp(self):
        self.harness = DispatchHarness(workers=3)
        self.task = Task(JOB_ID, 0, 0, 0)

    def _take_over(self, gang=False):
        self.harness.accept(make_job(steps=(make_step(1 + gang, gang=gang),)))
        self.harness.running["w2"][self.task] = TaskRun(self.task, 1, "", 10)
        self.harness.lossy = {"w2"}
        self.harness.start_term()

    def test_unit_does_not_start_while_its_run_is_being_stopped(self):
        # TWICE: 4 of 6 tasks ran twice for as long as a stop takes.
        self._take_over()
        self.harness.hold_all()
        self.assertEqual(len(self.harness.stopped), 1)
        self.assertEqual(self.harness.started, [])

    def test_gang_does_not_start_while_a_member_is_being_stopped(self):
        self._take_over(gang=True)
        self.harness.hold_all()
        self.assertEqual(self.harness.started, [])

    def test_unit_starts_once_the_end_is_listed(self):
        self._take_over()
        self.harness.end("w2", self.task, "stopped")
        self.harness.hold_all()
        self.assertEqual(len(self.harness.started), 1)

    def test_unit_starts_once_the_lease_is_over(self):
        self._take_over()
        self.harness.unreachable = {"w2"}
        self.harness.pass_time(LEASE_MS - 1_000)
        self.harness.hold_all()
        self.assertEqual(self.harness.started, [])
        self.harness.pass_time(2_000)
        self.harness.hold_all()
        self.assertEqual(len(self.harness.started), 1)


class LateAppendsHandOverTest(HostTestCase):
    """Hosts whose store executes appends late, between refusals; one hands over."""

    worker_count = 10
    configuration = {
        **CONFIGURATION,
        "routes": [
            {**CONFIGURATION["routes"][0], "name": name, "path_prefix": f"/{name}/"}
            | {"priority": priority}
            for name, priority in (("sweeps", 1), ("urgent", 0))
        ],
    }

    def _due_job(self, host, path, count, due_ms, gang):
        step = {"count": count, "est_ms": 40_000, "gang": gang, **WHOLE_WORKER}
        job = {"first_ms": due_ms, "period_ms": 60_000, "repeats": 1}
        body = {"spec": "text", "steps": [step], **job}
        self.assertEqual(host.call("POST", path, body)[0], 200)

    def _append_fault(self):
        passed_s = time.time() - self.due_s
        if -EARLY_S <= passed_s < UNANSWERED_UNTIL_S:
            return AppendFault(502, LATE_S - passed_s)
        if UNANSWERED_UNTIL_S <= passed_s < REFUSED_UNTIL_S:
            return AppendFault(429)
        if REFUSED_UNTIL_S <= passed_s < UNANSWERED_AGAIN_UNTIL_S:
            return AppendFault(502)
        return None

    def _starts(self):
        return [start for worker in self.workers for start in worker.starts]

    def _play(self, signal_number, gang):
        for worker in self.workers:
            worker.run_s = 60
        first, second = self.start_host("edge-1"), self.start_host("edge-2")
        self.due_s = time.time() + 1.5
        due_ms = int(self.due_s * 1_000)
        self._due_job(second, f"/sweeps/{'a' * 16}", 5, due_ms, gang)
        urgent_due_ms = due_ms + int(URGENT_DUE_S * 1_000)
        self._due_job(second, f"/urgent/{'b' * 16}", 2, urgent_due_ms, False)
        self.store.append_fault = self._append_fault
        time.sleep(max(0.0, self.due_s + HAND_OVER_S - time.time()))
        self.assertEqual(len(self._starts()), 7, first.log() + second.log())
        acting, other = first, second
        if '"acting"' in second.log():
            acting, other = second, first
        acting.process.send_signal(signal_number)
        taken_over = wait_until(lambda: '"acting"' in other.log(), 10)
        self.assertTrue(taken_over, other.log())
        time.sleep(2)
        self.assertEqual(len(self._starts()), 7, first.log() + second.log())
        self.assertEqual({run for _, run in self._starts()}, {1})

    def test_no_task_starts_again_after_a_stop(self):
        self._play(signal.SIGTERM, gang=False)

    def test_no_gang_starts_again_after_a_kill(self):
        # All members were thrown away and started anew: 15 runs for 9 tasks.
        self._play(signal.SIGKILL, gang=True)


if __name__ == "__main__":
    unittest.main()
