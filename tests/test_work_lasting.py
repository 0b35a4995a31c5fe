"""Long-running work: its place in the order, its failures, and workers that leave."""

import unittest

from knapweedshed.decisions.failure_attribution import STEADY_RUN_MS
from knapweedshed.models.dispatch_actions import UnitMoved
from knapweedshed.models.work import Resources, TaskRun
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


class FailureTest(unittest.TestCase):
    """A unit that fails everywhere doesn't take workers from other work."""

    def setUp(self):
        self.harness = DispatchHarness(workers=4)
        self.harness.start_term()

    def _submit(self, job_id, count=1, **fields):
        self.harness.accept(make_job(job_id, (make_step(count, **fields),)))
        self.harness.plan()

    def _fail_all(self, times, job_id=SERVER):
        """Let each run of a job fail 1 s after its start, again and again."""
        for _ in range(times):
            self.harness.pass_time(1_000)
            for worker_id, running in self.harness.running.items():
                for task in [task for task in running if task.job_id == job_id]:
                    self.harness.end(worker_id, task, "failed")
            self.harness.hold_all()

    def _accepting(self):
        now_ms = self.harness.now_ms
        workers = self.harness.dispatcher.workers.items()
        return {name for name, worker in workers if worker.accepts_work(now_ms)}

    def test_long_running_unit_that_fails_everywhere_blocks_no_worker(self):
        self._submit(SERVER, lasting=True)
        self._fail_all(20)
        self.assertEqual(self._accepting(), {"w0", "w1", "w2", "w3"})

    def test_units_that_all_fail_everywhere_block_no_worker(self):
        self._submit(SERVER, count=8, lasting=True)
        self._fail_all(20)
        self.assertEqual(self._accepting(), {"w0", "w1", "w2", "w3"})

    def test_worker_that_fails_different_units_is_left_out(self):
        self._submit(SERVER, count=32, lasting=True)
        for _ in range(2):
            task = next(iter(self.harness.running["w2"]))
            self.harness.end("w2", task, "failed")
        self.harness.hold_all()
        self.assertEqual(self._accepting(), {"w0", "w1", "w3"})

    def test_two_faulty_workers_do_not_clear_each_other(self):
        self._submit(SERVER, count=16, lasting=True)
        for _ in range(6):
            self.harness.pass_time(500)
            for worker_id in ("w0", "w1"):
                for task in list(self.harness.running[worker_id]):
                    self.harness.end(worker_id, task, "failed")
            self.harness.hold_all()
        self.assertEqual(self._accepting(), {"w2", "w3"})

    def test_failures_of_two_gang_members_in_one_run_count_against_workers(self):
        eight = Resources(8_000, 10_000, 8)
        self._submit(SERVER, 2, need=eight, gang=True, lasting=True)
        for order in self.harness.started:
            self.harness.end(order.worker_id, order.task, "failed")
        self.harness.hold_all()
        failures = {
            name: worker.consecutive_failures
            for name, worker in self.harness.dispatcher.workers.items()
        }
        self.assertEqual(sorted(failures.values()), [0, 0, 1, 1])

    def test_unit_that_ran_well_for_long_is_not_the_cause_of_its_next_failure(self):
        self._submit(SERVER, lasting=True)
        self._fail_all(1)
        order = self.harness.started[-1]
        steady_run = TaskRun(order.task, order.run, "", 100.0)
        self.harness.running[order.worker_id][order.task] = steady_run
        for _ in range(STEADY_RUN_MS // 1_000):
            self.harness.pass_time(1_000)
            self.harness.hold_all()
        self._fail_all(2)
        workers = self.harness.dispatcher.workers.values()
        counted = sum(worker.consecutive_failures for worker in workers)
        self.assertEqual(counted, 2)  # of three: the end of the long run counts nowhere

    def test_cleared_worker_stays_out_if_it_hangs(self):
        worker = self.harness.dispatcher.workers["w0"]
        for _ in range(2):
            worker.record_failure(self.harness.now_ms, "unit")
        worker.quarantine(self.harness.now_ms + 9_000)
        worker.withdraw_failures("unit")
        self.assertNotIn("w0", self._accepting())


class LeavingWorkerTest(unittest.TestCase):
    """A long-running task runs elsewhere before its worker leaves with it.

    Otherwise it would be down until the lease of the worker has expired.
    """

    def _start_on_w0(self, count=1, **fields):
        """Start `count` long-running tasks on w0 of two workers, past their startup."""
        harness = DispatchHarness(workers=2)
        harness.start_term()
        harness.dispatcher.workers["w1"].quarantine(harness.now_ms + 1)
        fields = {"lasting": True, "estimate_ms": 400, **fields}
        harness.accept(make_job(SERVER, (make_step(count, **fields),)))
        harness.plan()
        harness.pass_time(100)
        self._show_progress(harness)
        return harness

    def _show_progress(self, harness):
        for running in harness.running.values():
            for task, task_run in running.items():
                running[task] = task_run._replace(percent=100.0)
        harness.hold_all()

    def _pass_time(self, harness, ms):
        for _ in range(ms // 100):
            harness.pass_time(100)
            harness.hold_all()

    def test_task_is_stopped_and_starts_on_another_worker(self):
        harness = self._start_on_w0()
        harness.drain("w0", 2_000)
        self._pass_time(harness, 200)
        self.assertEqual([order.worker_id for order in harness.stopped], ["w0"])
        self.assertEqual(harness.started[-1].worker_id, "w1")
        moves = [item for item in harness.records if isinstance(item, UnitMoved)]
        self.assertEqual([moved.worker_ids for moved in moves], [("w0",)])

    def test_task_does_not_start_before_the_end_of_its_last_run_is_certain(self):
        harness = self._start_on_w0()
        harness.lossy.add("w0")
        harness.drain("w0", 2_000)
        self._pass_time(harness, 2_000)
        harness.entries = harness.entries[1:]
        harness.apply_worker_list()
        self._pass_time(harness, 3_000)
        self.assertEqual(len(harness.started), 1)
        self._pass_time(harness, 3_500)
        self.assertEqual(len(harness.started), 2)

    def test_no_more_tasks_are_moved_at_a_time_than_may_be_missed(self):
        harness = self._start_on_w0(3, may_miss=1)
        harness.drain("w0", 9_000)
        self._pass_time(harness, 300)
        self.assertEqual(len(harness.stopped), 1)
        self._pass_time(harness, 400)
        self.assertEqual(len(harness.stopped), 2)

    def test_limit_of_tasks_to_miss_does_not_leave_them_to_end_with_the_worker(self):
        harness = self._start_on_w0(3, may_miss=1)
        harness.drain("w0", 900)
        self._pass_time(harness, 300)
        self.assertEqual(len(harness.stopped), 3)

    def test_limit_of_tasks_to_miss_holds_if_the_time_left_is_unknown(self):
        harness = self._start_on_w0(3, may_miss=1)
        harness.drain("w0", 0)
        self._pass_time(harness, 300)
        self.assertEqual(len(harness.stopped), 1)

    def test_tasks_without_a_limit_move_at_once(self):
        harness = self._start_on_w0(3)
        harness.drain("w0", 9_000)
        self._pass_time(harness, 200)
        self.assertEqual(len(harness.stopped), 3)

    def test_drain_of_unknown_age_counts_as_over(self):
        harness = self._start_on_w0(3, may_miss=1)
        harness.drain("w0", 9_000)
        harness.start_term()
        self._pass_time(harness, 200)
        self.assertEqual(len(harness.stopped), 3)

    def test_work_that_ends_is_left_to_run(self):
        harness = self._start_on_w0(lasting=False, checkpoints=True)
        harness.drain("w0", 2_000)
        self._pass_time(harness, 3_000)
        self.assertEqual(harness.stopped, [])


if __name__ == "__main__":
    unittest.main()
