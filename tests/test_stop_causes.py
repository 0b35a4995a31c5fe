"""Without a cause in the log, nobody could tell why a run was stopped and repeated."""

import unittest

from knapweedshed.models.dispatch_actions import RunStopped, StopCause
from knapweedshed.models.work import TaskRun
from knapweedshed.models.work_records import WorkCancelled
from tests.dispatch_harness import DispatchHarness, make_job, make_step
from tests.test_work_urgent import EIGHT_ACCELERATORS, URGENT_JOB_FIELDS

JOB_ID = "b" * 16


class StopCauseTest(unittest.TestCase):
    """Each ordered stop is described once, with its cause and what it loses."""

    def setUp(self):
        self.harness = DispatchHarness(workers=2)

    def _run_gang(self, guaranteed=0):
        self.harness.start_term(guaranteed)
        gang = make_step(2, EIGHT_ACCELERATORS, 9_000, gang=True)
        self.harness.accept(make_job(JOB_ID, (gang,), priority=2))
        self.harness.plan()
        self.harness.now_ms += 400
        for (worker_id, running), saved in zip(
            self.harness.running.items(), ("", "x"), strict=True
        ):
            for task, run in running.items():
                running[task] = TaskRun(task, run.run, saved, 4.0)
            self.harness.hold(worker_id)

    def _stops(self):
        return [
            (stop.unit.job_id, stop.cause, stop.percent, stop.ran_ms)
            for stop in self.harness.records
            if isinstance(stop, RunStopped)
        ]

    def _accept_urgent_job(self):
        job = make_job(
            "c" * 16, (make_step(1, EIGHT_ACCELERATORS),), **URGENT_JOB_FIELDS
        )
        self.harness.accept(job._replace(accepted_wall_ms=self.harness.now_ms))
        self.harness.plan()

    def test_gang_preempted_for_urgent_work_is_described_once(self):
        self._run_gang()
        self._accept_urgent_job()
        cause = StopCause.PREEMPTED_FOR_URGENT
        self.assertEqual(self._stops(), [(JOB_ID, cause, 4.0, 400)])

    def test_preempted_for_guaranteed_work(self):
        self._run_gang(guaranteed=8)
        self._accept_urgent_job()
        cause = StopCause.PREEMPTED_FOR_GUARANTEED
        self.assertEqual(self._stops(), [(JOB_ID, cause, 4.0, 400)])

    def test_checkpoint_of_any_task_is_told(self):
        self._run_gang()
        self._accept_urgent_job()
        stop = next(s for s in self.harness.records if isinstance(s, RunStopped))
        self.assertTrue(stop.has_checkpoint)

    def test_cancelled(self):
        self._run_gang()
        changed = self.harness.append_record(WorkCancelled(JOB_ID))
        dispatcher, now_ms = self.harness.dispatcher, self.harness.now_ms
        self.harness.apply_actions(dispatcher.handle_changed_jobs(changed, now_ms))
        self.assertEqual(self._stops(), [(JOB_ID, StopCause.CANCELLED, 4.0, 400)])

    def test_gang_with_a_failed_member(self):
        self._run_gang()
        (task,) = self.harness.running["w0"]
        self.harness.end("w0", task, "failed")
        self.harness.hold("w0")
        cause = StopCause.GANG_MEMBER_FAILED
        self.assertEqual(self._stops(), [(JOB_ID, cause, 4.0, 400)])

    def test_gang_with_a_member_on_a_worker_that_leaves(self):
        self._run_gang()
        (task,) = self.harness.running["w0"]
        self.harness.entries[0] = self.harness.entries[0]._replace(draining=True)
        self.harness.apply_worker_list()
        self.harness.end("w0", task, "stopped")
        self.harness.hold("w0")
        self.assertEqual(self._stops(), [(JOB_ID, StopCause.WORKER_LEAVING, 4.0, 400)])

    def test_start_without_an_answer(self):
        self.harness.start_term()
        self.harness.lossy.add("w0")
        self.harness.lossy.add("w1")
        self.harness.accept(make_job(JOB_ID))
        self.harness.plan()
        cause = StopCause.START_NOT_CONFIRMED
        self.assertEqual(self._stops(), [(JOB_ID, cause, 0.0, 0)])

    def test_worker_that_hangs(self):
        self.harness.start_term()
        step = make_step(1, EIGHT_ACCELERATORS, 1_000, checkpoints=True)
        self.harness.accept(make_job(JOB_ID, (step,)))
        self.harness.plan()
        self.harness.hold_all()
        for _ in range(4):
            self.harness.pass_time(900)
            self.harness.hold_all()
        causes = [cause for _, cause, _, _ in self._stops()]
        self.assertEqual(causes[:1], [StopCause.WORKER_HANGS])


if __name__ == "__main__":
    unittest.main()
