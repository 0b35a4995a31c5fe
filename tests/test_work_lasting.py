"""Long-running work: its place in the order, its failures, and workers that leave."""

import unittest

from tests.dispatch_harness import DispatchHarness, make_job, make_step

SERVER, OTHER = "a" * 16, "b" * 16


class OrderTest(unittest.TestCase):
    """Long-running work has no deadline: it is never too late to start it."""

    def _start_late(self, lasting_priority, other_priority):
        """Free one place for a long-running job of old and another job; return who."""
        harness = DispatchHarness(workers=1)
        harness.start_term()
        for job_id, priority in ((SERVER, lasting_priority), (OTHER, other_priority)):
            step = make_step(8, lasting=job_id == SERVER, estimate_ms=500)
            accepted_ms = harness.now_ms + (60_000 if job_id == OTHER else 0)
            job = make_job(job_id, (step,), priority)
            harness.accept(job._replace(accepted_wall_ms=accepted_ms))
        harness.now_ms += 60_000
        harness.hold_all()
        return {order.task.job_id for order in harness.started}

    def test_restart_does_not_wait_behind_work_of_lower_priority(self):
        self.assertEqual(self._start_late(1, 2), {SERVER})

    def test_restart_does_not_wait_behind_work_of_the_same_priority(self):
        self.assertEqual(self._start_late(1, 1), {SERVER})

    def test_work_of_higher_priority_goes_first(self):
        self.assertEqual(self._start_late(1, 0), {OTHER})

    def test_fast_workers_are_left_to_work_with_a_deadline(self):
        harness = DispatchHarness(workers=2)
        harness.start_term()
        harness.dispatcher._speeds._speeds = {"w0": 1.5, "w1": 1.0}
        harness.now_ms += 60_000
        harness.accept(make_job(SERVER, (make_step(lasting=True),)))
        harness.hold_all()
        self.assertEqual([order.worker_id for order in harness.started], ["w1"])


if __name__ == "__main__":
    unittest.main()
