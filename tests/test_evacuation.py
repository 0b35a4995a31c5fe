"""Nothing new starts in a data centre that the operator has evacuated.

Guards against a start that was decided, recorded, waiting or unanswered when the
evacuation was published, and that reaches a worker there after the time limit.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.decisions.evacuation import Evacuations
from knapweedshed.models.dispatch_actions import (
    ORDER_REFUSED,
    ORDER_UNKNOWN,
    REASON_WITHDRAWN,
    OrderOutcome,
    RecordLaunches,
    RunStopped,
    StopRun,
    WithdrawStarts,
)
from knapweedshed.models.work import TaskRun
from knapweedshed.models.work_records import RunsLaunched
from tests.dispatch_harness import DispatchHarness, make_entry, make_job, make_step

LIMIT_MS = 5_000
MAX_READ_AGE_MS = 2_500  # half of the limit
TUNIS = frozenset({"tunis"})
NONE = frozenset()
UNANSWERED = OrderOutcome(ORDER_UNKNOWN, "no answer")


def make_harness(per_data_centre=2):
    """Return a harness with workers w0.. in tunis and as many more in sfax."""
    return DispatchHarness(
        entries=[
            make_entry(
                number, data_centre="tunis" if number < per_data_centre else "sfax"
            )
            for number in range(2 * per_data_centre)
        ]
    )


def evacuate(harness, data_centres):
    """Apply the evacuations that a read at this moment has returned."""
    evacuations = Evacuations(frozenset(data_centres), harness.now_ms, LIMIT_MS)
    actions = harness.dispatcher.apply_evacuations(evacuations, harness.now_ms)
    harness.apply_actions(actions)
    return actions


def placed_on(launches):
    """Return the ids of the workers that launches name."""
    return {name for launched in launches for name, _ in launched.workers}


class ReadAgeTest(unittest.TestCase):
    """Guards against starts by evacuations that were never read, or long ago."""

    def test_work_may_start_only_by_a_complete_and_recent_read(self):
        self.assertFalse(Evacuations(limit_ms=LIMIT_MS).are_known(0))
        read = Evacuations(NONE, 1_000, LIMIT_MS)
        self.assertTrue(read.are_known(1_000 + MAX_READ_AGE_MS))
        self.assertFalse(read.are_known(1_001 + MAX_READ_AGE_MS))

    def test_deployment_without_evacuations_needs_no_read(self):
        self.assertTrue(Evacuations().are_known(0))
        self.assertEqual(Evacuations().latest_send_ms(900), 900)

    def test_start_is_sent_in_time_to_arrive_within_the_limit(self):
        read = Evacuations(NONE, 1_000, LIMIT_MS)
        self.assertEqual(read.latest_send_ms(9_000), 4_500)
        self.assertEqual(read.latest_send_ms(2_000), 2_000)


class DispatchTest(unittest.TestCase):
    """Two workers in tunis, which is evacuated, and two in sfax."""

    def setUp(self):
        self.harness = make_harness()
        self.harness.start_term()

    def _evacuate(self, data_centres=TUNIS):
        return evacuate(self.harness, data_centres)

    def _accept(self, count, **fields):
        for number in range(count):
            self.harness.accept(make_job(f"{number:016x}", **fields))

    def _take_launches(self):
        """Plan without the log's answer; return the launches to record."""
        now_ms = self.harness.now_ms
        actions = self.harness.dispatcher.plan(now_ms, now_ms)
        records = [item for item in actions if isinstance(item, RecordLaunches)]
        return records[0].launches if records else ()

    def _read_back(self, launches):
        self.harness.append_record(RunsLaunched(self.harness.epoch, launches))
        self.harness.apply_actions(
            self.harness.dispatcher.confirm_launches(launches, self.harness.now_ms)
        )

    def _started_on(self):
        return {order.worker_id for order in self.harness.started}

    def test_nothing_is_placed_there(self):
        self._evacuate()
        self._accept(32)
        launches = self._take_launches()
        self.assertEqual(placed_on(launches), {"w2", "w3"})
        self._read_back(launches)
        self.assertEqual(len(self.harness.started), 16)

    def test_evacuation_taken_back_opens_the_data_centre_again(self):
        self.test_nothing_is_placed_there()
        self._evacuate(NONE)
        self.harness.plan()
        self.assertEqual(self._started_on(), {"w0", "w1", "w2", "w3"})

    def test_nothing_is_placed_before_the_first_read_or_by_an_old_one(self):
        never_read = Evacuations(limit_ms=LIMIT_MS)
        self.harness.dispatcher.apply_evacuations(never_read, self.harness.now_ms)
        self._accept(1)
        self.harness.plan()
        self.assertEqual(self.harness.started, [])
        self._evacuate(NONE)
        self.harness.now_ms += MAX_READ_AGE_MS + 1
        self.harness.hold_all()
        self.assertEqual(self.harness.started, [])
        self._evacuate(NONE)
        self.harness.plan()
        self.assertEqual(len(self.harness.started), 1)

    def test_launch_recorded_just_before_is_discarded_and_placed_elsewhere(self):
        self._accept(32)
        launches = self._take_launches()
        self._evacuate()
        self._read_back(launches)
        self.assertEqual(self._started_on(), {"w2", "w3"})
        self.assertEqual(len(self.harness.started), 16)

    def test_start_that_the_network_delivers_after_the_limit_is_refused(self):
        self._evacuate(NONE)
        read_ms = self.harness.now_ms
        self.harness.now_ms += 1_000
        self._accept(1)
        self.harness.plan()
        self.assertEqual(self.harness.started[0].deadline_ms, read_ms + 4_500)

    def test_launch_stays_discarded_if_the_evacuation_is_taken_back_at_once(self):
        self._accept(32)
        launches = self._take_launches()
        self._evacuate()
        self._evacuate(NONE)
        self._read_back(launches)
        self.assertEqual(self._started_on(), {"w2", "w3"})

    def test_launch_read_back_by_old_knowledge_does_not_start(self):
        self._evacuate(NONE)
        self.harness.now_ms += MAX_READ_AGE_MS - 100
        self.harness.hold_all()
        self._accept(1)
        launches = self._take_launches()
        self.harness.now_ms += 101
        self._read_back(launches)
        self.assertEqual(self.harness.started, [])

    def test_gang_with_a_member_there_is_not_started_and_runs_elsewhere(self):
        self._accept(1, steps=(make_step(12, gang=True),))
        launches = self._take_launches()
        self.assertIn("w0", placed_on(launches))
        self._evacuate()
        self._read_back(launches)
        self.assertEqual(self.harness.started, [])
        self.harness.hold_all()
        self.assertEqual(self._started_on(), {"w2", "w3"})

    def test_gang_that_only_a_rack_there_could_hold_runs_over_several(self):
        entries = [make_entry(n, "r1-1") for n in range(3)]
        entries += [make_entry(n, f"r2-{n}", data_centre="sfax") for n in (3, 4, 5)]
        self.harness = DispatchHarness(entries=entries)
        self.harness.start_term()
        self._evacuate()
        self._accept(1, steps=(make_step(16, gang=True, same_rack=True),))
        self.harness.plan()
        self.assertLessEqual(self._started_on(), {"w3", "w4", "w5"})
        self.assertEqual(len(self.harness.started), 16)

    def test_running_work_goes_on(self):
        self._accept(32)
        self.harness.plan()
        running = {name: dict(runs) for name, runs in self.harness.running.items()}
        self._evacuate()
        self.harness.now_ms += 100
        self.harness.hold_all()
        self.harness.pass_time(1_000)
        self.assertEqual(self.harness.running, running)
        self.assertEqual(self.harness.stopped, [])


class UnansweredStartTest(unittest.TestCase):
    """A start in tunis has no answer when the evacuation arrives."""

    def setUp(self):
        self.harness = make_harness(per_data_centre=1)
        self.harness.start_term()
        self.harness.accept(make_job(steps=(make_step(16, gang=True),)))
        self.harness.plan()
        dispatcher, now_ms = self.harness.dispatcher, self.harness.now_ms
        self.starts = {
            order.worker_id: order for order in reversed(self.harness.started)
        }
        for order in self.harness.started:
            assigned_runs = dispatcher.workers[order.worker_id].assigned_runs
            key = (order.task, order.run)
            assigned_runs[key] = assigned_runs[key]._replace(order_answered_ms=-1)
        self.actions = evacuate(self.harness, TUNIS)
        self.now_ms = now_ms

    def _answer(self, outcome):
        """Return the orders that follow, without the event that tells the cause."""
        actions = self.harness.dispatcher.handle_order_outcome(
            self.starts["w0"], outcome, self.now_ms
        )
        return [item for item in actions if not isinstance(item, RunStopped)]

    def test_starts_that_wait_there_are_withdrawn(self):
        self.assertEqual(
            [item for item in self.actions if isinstance(item, WithdrawStarts)],
            [WithdrawStarts("w0")],
        )

    def test_start_that_is_still_unanswered_is_stopped_with_its_gang(self):
        orders = self._answer(UNANSWERED)
        self.assertTrue(all(isinstance(order, StopRun) for order in orders))
        self.assertEqual(len(orders), 16)

    def test_withdrawn_start_stops_its_gang(self):
        orders = self._answer(OrderOutcome(ORDER_REFUSED, REASON_WITHDRAWN))
        self.assertEqual([type(order) for order in orders], [StopRun] * 15)

    def test_start_elsewhere_is_sent_again(self):
        order = self.starts["w1"]
        orders = self.harness.dispatcher.handle_order_outcome(
            order, UNANSWERED, self.now_ms
        )
        self.assertEqual(orders, [order])


class TakeoverTest(unittest.TestCase):
    """Another host takes over in the middle of an evacuation."""

    def test_successor_starts_nothing_there_and_keeps_what_runs(self):
        harness = make_harness(per_data_centre=1)
        harness.start_term()
        harness.accept(make_job(steps=(make_step(16),)))
        harness.plan()
        never_started = harness.started[0]
        del harness.running[never_started.worker_id][never_started.task]
        harness.started.clear()
        harness.start_term(
            evacuations=Evacuations(TUNIS, harness.now_ms - 100, LIMIT_MS)
        )
        harness.accept(make_job("b" * 16, steps=(make_step(16),)))
        for _ in range(3):
            harness.now_ms += 100
            evacuate(harness, TUNIS)
            harness.hold_all()
        self.assertNotIn("w0", {order.worker_id for order in harness.started})
        self.assertEqual(len(harness.running["w0"]) + len(harness.running["w1"]), 15)


class UnusedTest(unittest.TestCase):
    """Guards against other decisions where no evacuation is in force."""

    def test_plans_are_the_same_without_evacuations_and_with_none_in_force(self):
        starts = []
        for limit_ms in (0, LIMIT_MS):
            harness = make_harness()
            harness.start_term()
            if limit_ms:
                evacuate(harness, NONE)
            for number in range(9):
                gang = number % 3 == 0
                step = make_step(3, gang=gang, same_rack=gang)
                job = make_job(f"{number:016x}", (step,), priority=number % 2)
                harness.accept(job)
            harness.plan()
            # The deadline of a start has a test of its own.
            starts.append([order._replace(deadline_ms=0) for order in harness.started])
        self.assertEqual(*starts)
        self.assertEqual(len(starts[0]), 27)


class SlowLogHarness(DispatchHarness):
    """Reads launches back from the log only when told to, while `log_slow`."""

    def __init__(self, entries):
        super().__init__(entries=entries)
        self.log_slow = False
        self._unread = []

    def apply_actions(self, actions):
        """Apply actions; keep launches back while the log is slow."""
        for action in actions:
            if isinstance(action, RecordLaunches) and self.log_slow:
                self._unread.append((self.dispatcher, action.launches))
                self.append_record(RunsLaunched(self.epoch, action.launches))
            else:
                super().apply_actions([action])

    def take_launches(self):
        """Return the recorded launches that were read back; forget them."""
        records, self.records = self.records, []
        return [item.launches for item in records if isinstance(item, RecordLaunches)]

    def read_back(self):
        """Read the launches back that were kept."""
        self.log_slow = False
        unread, self._unread = self._unread, []
        for dispatcher, launches in unread:
            if dispatcher is self.dispatcher:
                actions = dispatcher.confirm_launches(launches, self.now_ms)
                self.apply_actions(list(actions))


class PropertyTest(unittest.TestCase):
    """Whatever happens around an evacuation, no start is ordered there."""

    @settings(max_examples=60, deadline=None)
    @given(st.data())
    def test_no_start_is_ordered_on_a_worker_of_an_evacuated_data_centre(self, data):
        harness = SlowLogHarness(make_harness().entries)
        harness.start_term(evacuations=Evacuations(limit_ms=LIMIT_MS))
        evacuated, jobs = NONE, 0
        events = st.lists(
            st.sampled_from(
                ("accept", "gang", "evacuate", "return", "lose", "reach", "drop")
                + ("takeover", "pause", "end", "log_slow", "log_down", "log_up")
            ),
            min_size=5,
            max_size=25,
        )
        for event in data.draw(events):
            harness.now_ms += 150
            if event in ("accept", "gang"):
                jobs += 1
                step = make_step(6, gang=event == "gang")
                harness.accept(make_job(f"{jobs:016x}", (step,), priority=jobs % 3))
            elif event == "evacuate":
                evacuated = frozenset({data.draw(st.sampled_from(("tunis", "sfax")))})
            elif event == "return":
                evacuated = NONE
            elif event == "lose":
                harness.lossy.add(data.draw(st.sampled_from(("w0", "w1", "w2"))))
            elif event == "reach":
                harness.lossy.clear()
            elif event == "drop":
                harness.running[data.draw(st.sampled_from(("w0", "w3")))].clear()
            elif event == "takeover":
                read = Evacuations(evacuated, harness.now_ms, LIMIT_MS)
                harness.start_term(evacuations=read)
            elif event == "pause":
                harness.now_ms += 4_000
            elif event == "end":
                self._end_all(harness)
            else:
                harness.log_slow = event == "log_slow"
                harness.log_writable = event != "log_down"
            evacuate(harness, evacuated)
            if not harness.log_slow:
                harness.read_back()
            harness.hold_all()
            harness.pass_time(200)
            used = {order.worker_id for order in harness.started}
            used.update(*(placed_on(item) for item in harness.take_launches()))
            for worker_id in used:
                data_centre = harness.entries[int(worker_id[1:])].data_centre
                self.assertNotIn(data_centre, evacuated)
            harness.started.clear()

    def _end_all(self, harness):
        for worker_id, runs in harness.running.items():
            for task, run in list(runs.items()):
                if isinstance(run, TaskRun):
                    harness.end(worker_id, task, "done")


if __name__ == "__main__":
    unittest.main()
