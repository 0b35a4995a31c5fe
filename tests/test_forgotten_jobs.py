"""The ledger forgets an ended job while a worker may still run a task of it.

Guards against planning that fails for the rest of a term: a host that takes the role
over adopts the runs of cancelled jobs too, and each job that ends meanwhile makes the
ledger forget the oldest.
"""

import unittest
from unittest import mock

from knapweedshed.models.work import EndKind
from knapweedshed.models.work_records import WorkCancelled
from tests.dispatch_harness import DispatchHarness, make_job

CANCELLED_ID = "a" * 16


class ForgottenJobsTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch("knapweedshed.decisions.work_ledger.MAX_ENDED_JOBS", 1)
        patch.start()
        self.addCleanup(patch.stop)
        self.harness = DispatchHarness(workers=2)
        self.harness.start_term()
        self.harness.accept(make_job(CANCELLED_ID))
        self.harness.plan()
        self.worker_id = self.harness.started[0].worker_id
        self.harness.unreachable.add(self.worker_id)
        self.harness.append_record(WorkCancelled(CANCELLED_ID))
        self.harness.start_term()
        self.run_job("b" * 16)
        self.assertNotIn(CANCELLED_ID, self.harness.ledger.jobs)

    def run_job(self, job_id):
        self.harness.accept(make_job(job_id))
        self.harness.plan()
        start = self.harness.started[-1]
        self.assertEqual(start.task.job_id, job_id)
        self.harness.end(start.worker_id, start.task, EndKind.DONE)
        self.harness.hold_all()

    def test_other_jobs_still_start(self):
        self.run_job("c" * 16)
        self.assertEqual(self.harness.dispatcher.runs, {})

    def test_run_of_a_forgotten_job_is_stopped_once_its_worker_answers(self):
        self.harness.unreachable.clear()
        self.harness.hold_all()
        self.assertEqual(self.harness.running[self.worker_id], {})

    def test_room_of_the_run_is_free_again_after_its_lease(self):
        worker = self.harness.dispatcher.workers[self.worker_id]
        self.assertEqual(len(worker.assigned_runs), 1)
        self.harness.pass_time(20_000)
        self.assertEqual(worker.assigned_runs, {})


if __name__ == "__main__":
    unittest.main()
