"""Workers that are silent, or whose list lags behind, keep what they run."""

import unittest
from unittest import mock

from knapweedshed import clock
from knapweedshed.models.work import EndKind, HoldAnswer, TaskEnd, TaskRun
from tests.dispatch_harness import (
    CAPACITY,
    DispatchHarness,
    make_entry,
    make_job,
    make_step,
)

LEASE_MS = 6_000  # of the harness


class SilentWorkerTest(unittest.TestCase):
    """Two workers and one task, which runs on one of them."""

    def setUp(self):
        self.harness = DispatchHarness(workers=2)
        self.harness.start_term()
        self.harness.accept(make_job())
        self.harness.plan()
        self.harness.now_ms += 10
        self.harness.hold_all()
        self.worker_id = self.harness.started[0].worker_id
        self.number = int(self.worker_id[1:])

    def _restart_worker(self):
        """Restart the worker, which gets the task again under a new run number."""
        self.harness.running[self.worker_id] = {}
        self.harness.entries[self.number] = make_entry(self.number, incarnation=2)
        self.harness.apply_worker_list()
        self.harness.now_ms += 10
        self.harness.hold_all()
        self.harness.now_ms += 10
        self.harness.hold_all()

    def test_worker_that_is_silent_for_less_than_its_lease_keeps_its_run(self):
        self.harness.unreachable.add(self.worker_id)
        self.harness.pass_time(LEASE_MS - 1_000)
        self.harness.plan()
        self.harness.unreachable.clear()
        self.harness.hold_all()
        self.assertEqual(len(self.harness.started), 1)
        self.assertEqual(self.harness.stopped, [])

    def test_worker_that_is_missing_from_the_list_keeps_its_run(self):
        entry = self.harness.entries.pop(self.number)
        task = self.harness.started[0].task
        for second in range(2 * LEASE_MS // 1_000):
            self.harness.running[self.worker_id][task] = TaskRun(task, 1, "", second)
            self.harness.apply_worker_list()
            self.harness.pass_time(1_000)
            tracked_worker = self.harness.dispatcher.workers[self.worker_id]
            tracked_worker.entry = entry  # the harness only holds listed workers
            self.harness.hold(self.worker_id)
            self.harness.plan()
        self.assertEqual(len(self.harness.started), 1)
        self.assertEqual(self.harness.stopped, [])

    def test_list_with_the_incarnation_before_a_restart_changes_nothing(self):
        self._restart_worker()
        self.assertEqual([order.run for order in self.harness.started], [1, 2])
        restarted_on = self.harness.started[-1].worker_id
        number = int(restarted_on[1:])
        current = self.harness.dispatcher.workers[restarted_on].incarnation
        stale = make_entry(number, incarnation=current - 1)
        self.harness.entries[number] = stale
        self.harness.apply_worker_list()
        self.harness.plan()
        self.assertEqual([order.run for order in self.harness.started], [1, 2])
        self.assertEqual(self.harness.stopped, [])

    def test_worker_without_an_answer_may_have_restarted_so_no_end_is_acknowledged(
        self,
    ):
        self.harness.end(self.worker_id, self.harness.started[0].task, "done")
        self.harness.now_ms += 10
        self.harness.hold_all()
        dispatcher, now_ms = self.harness.dispatcher, self.harness.now_ms
        self.assertEqual(dispatcher.hold_parameters(self.worker_id, now_ms)[1], 1)
        unanswered = dispatcher.hold_parameters(self.worker_id, now_ms, answered=False)
        self.assertEqual(unanswered, (0, 0))

    def test_answer_from_before_a_restart_that_the_list_showed_changes_nothing(self):
        dispatcher, sent_ms = self.harness.dispatcher, self.harness.now_ms
        self.harness.now_ms += 50
        self.harness.entries[self.number] = make_entry(self.number, incarnation=2)
        self.harness.apply_worker_list()
        end = TaskEnd(3, self.harness.started[0].task, 1, EndKind.DONE)
        answer = HoldAnswer(self.harness.now_ms, 1, (), (end,), True)
        self.harness.now_ms += 10
        dispatcher.handle_hold_answer(
            self.worker_id, answer, sent_ms, self.harness.now_ms
        )
        worker = dispatcher.workers[self.worker_id]
        self.assertEqual(worker.incarnation, 2)
        self.assertEqual(worker.last_acknowledgeable_end, 0)

    def test_restart_that_an_answer_shows_is_noticed_whatever_its_number(self):
        for incarnation in (5, 3):  # the worker's time of day may have been set back
            self.harness.now_ms += 10
            answer = HoldAnswer(self.harness.now_ms, incarnation, (), (), True)
            self.harness.dispatcher.handle_hold_answer(
                self.worker_id, answer, self.harness.now_ms, self.harness.now_ms
            )
            worker = self.harness.dispatcher.workers[self.worker_id]
            self.assertEqual(worker.incarnation, incarnation)

    def test_worker_that_started_anew_gets_no_work_before_its_new_entry_is_listed(self):
        # LIMIT: 8 tasks on a worker that had come back with 4 accelerators.
        harness = DispatchHarness(workers=1)
        harness.start_term()
        harness.now_ms += 10
        answer = HoldAnswer(harness.now_ms, 2, (), (), True)
        harness.dispatcher.handle_hold_answer(
            "w0", answer, harness.now_ms, harness.now_ms
        )
        harness.accept(make_job(steps=(make_step(8),)))
        harness.plan()
        self.assertEqual(harness.started, [])
        smaller = CAPACITY._replace(accelerators=4)
        harness.entries[0] = make_entry(0, incarnation=2)._replace(capacity=smaller)
        harness.plan()
        self.assertEqual(len(harness.started), 4)

    def test_draining_worker_stays_draining_for_its_incarnation(self):
        harness = DispatchHarness(entries=[make_entry(0, draining=True)])
        harness.start_term()
        harness.entries[0] = make_entry(0)
        harness.apply_worker_list()
        harness.accept(make_job())
        harness.hold_all()
        self.assertEqual(harness.started, [])
        harness.entries[0] = make_entry(0, incarnation=2)
        harness.apply_worker_list()
        harness.hold_all()
        self.assertEqual(len(harness.started), 1)


class SuspendedMachineTest(unittest.TestCase):
    """Permissions run out while a machine is suspended."""

    def test_clock_counts_the_time_of_a_suspension(self):
        with mock.patch.object(clock.time, "clock_gettime_ns") as read_clock:
            read_clock.return_value = 5_000_000
            self.assertEqual(clock.create_clock().now_ms(), 5)
        read_clock.assert_called_with(clock.time.CLOCK_BOOTTIME)


if __name__ == "__main__":
    unittest.main()
