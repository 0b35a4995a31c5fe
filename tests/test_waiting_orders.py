"""An order that waits is sent only while the decision behind it is valid.

Guards against starts that wait behind unanswered orders and reach a worker when their
job has been cancelled, their task is done, or the worker leaves.
"""

import json
import unittest
from unittest import mock

from knapweedshed.clock import ManualClock
from knapweedshed.context import create_test_context
from knapweedshed.controllers.scheduling import MAX_START_WAIT_MS
from knapweedshed.controllers.work_messages import (
    OrderRequest,
    OrderResponse,
    WithdrawWaitingStarts,
    WorkersListed,
)
from knapweedshed.links import worker_connections
from knapweedshed.links.http_messages import Response
from knapweedshed.links.worker_connections import OrderChannel
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    ORDER_REFUSED,
    REASON_EXPIRED,
    REASON_WITHDRAWN,
    OrderOutcome,
    StartRun,
    StopRun,
)
from knapweedshed.models.work import EndKind, Task, TaskEnd, TaskRun
from knapweedshed.models.work_records import WorkCancelled
from knapweedshed.platform.workers import JsonWorkerCodec
from tests.dispatch_harness import CAPACITY, make_entry, make_job, make_step
from tests.scheduling_harness import FakeActorRef, SchedulingHarness

JOB_ID = "a" * 16
FENCE = 3
WAIT_MS = 1_000


def make_start(index, run=1):
    return StartRun("w0", Task(JOB_ID, 0, 0, index), run, "text", "", 99_000)


def is_start(order):
    return isinstance(order, StartRun)


def make_stop(index, run=1):
    return StopRun("w0", Task(JOB_ID, 0, 0, index), run)


class OrderChannelTest(unittest.TestCase):
    """Orders that wait for the answer to an earlier one."""

    def setUp(self):
        self.clock = ManualClock(10_000)
        self.receiver = FakeActorRef()
        self.sent = []
        patch = mock.patch.object(worker_connections, "HttpConnection")
        connection = patch.start().return_value
        self.addCleanup(patch.stop)
        connection.connecting = False
        connection.send.side_effect = lambda data, now_ms: self.sent.append(data)
        connection.expire.return_value = Response(200, {}, b"{}")
        self.channel = OrderChannel(
            create_test_context(clock=self.clock),
            mock.Mock(),
            JsonWorkerCodec(),
            make_entry(0),
            self.receiver,
        )

    def _send(self, *orders):
        valid_until_ms = self.clock.now_ms() + WAIT_MS
        for order in orders:
            self.channel.send(OrderRequest(order, FENCE, valid_until_ms))

    def _answer(self):
        """Let the worker answer the order in progress."""
        number = self.channel._exchange_number
        self.channel.expire(
            worker_connections.ExchangeTimeout(self.channel, number, False)
        )

    def _sent_orders(self):
        """Return (is a stop, task index) of the orders sent."""
        body = [json.loads(data.partition(b"\r\n\r\n")[2]) for data in self.sent]
        indexes = [int(fields["task"].rpartition(".")[2]) for fields in body]
        stops = [b"/v1/run-stop" in data for data in self.sent]
        return list(zip(stops, indexes, strict=True))

    def _not_sent(self):
        return [
            (item.order.task.index, item.outcome.reason)
            for item in self.receiver.messages
            if isinstance(item, OrderResponse) and item.outcome.kind == ORDER_REFUSED
        ]

    def test_stop_goes_first_and_withdraws_the_waiting_start_of_its_run(self):
        # UNASKED: starts of cancelled jobs were sent up to 5.5 s after the cancel.
        self._send(make_start(0), make_start(1), make_start(2), make_stop(2))
        for _ in range(4):
            self._answer()
        self.assertEqual(self._sent_orders(), [(False, 0), (True, 2), (False, 1)])
        self.assertEqual(self._not_sent(), [(2, REASON_WITHDRAWN)])

    def test_stop_of_an_earlier_run_leaves_the_start_of_a_later_one(self):
        self._send(make_start(0), make_start(1, run=2), make_stop(1, run=1))
        for _ in range(3):
            self._answer()
        self.assertEqual(self._sent_orders(), [(False, 0), (True, 1), (False, 1)])

    def test_start_that_waited_too_long_is_reported_instead_of_sent(self):
        self._send(make_start(0), make_start(1))
        self.clock.advance(WAIT_MS + 1)  # or a pause of the process
        self._answer()
        self.assertEqual(self._sent_orders(), [(False, 0)])
        self.assertEqual(self._not_sent(), [(1, REASON_EXPIRED)])

    def test_stop_is_sent_however_long_it_has_waited(self):
        self._send(make_start(0), make_stop(1))
        self.clock.advance(10 * WAIT_MS)
        self._answer()
        self.assertEqual(self._sent_orders(), [(False, 0), (True, 1)])

    def test_withdrawn_starts_are_reported_and_not_sent(self):
        self._send(make_start(0), make_start(1), make_stop(2))
        self.channel.withdraw_starts()
        for _ in range(3):
            self._answer()
        self.assertEqual(self._sent_orders(), [(False, 0), (True, 2)])
        self.assertEqual(self._not_sent(), [(1, REASON_WITHDRAWN)])

    def test_closed_channel_sends_and_reports_nothing(self):
        self._send(make_start(0), make_start(1))
        self.channel.close()
        self._answer()
        self.channel.withdraw_starts()
        self.assertEqual(self._sent_orders(), [(False, 0)])
        self.assertEqual(self.receiver.messages, [])


class WithdrawalTest(unittest.TestCase):
    """The scheduler withdraws the starts whose reason is gone."""

    def setUp(self):
        self.harness = SchedulingHarness(workers=2)
        self.harness.accept(make_job(JOB_ID, steps=(make_step(2),)))
        self.records = self.harness.plan()

    def _start(self):
        self.harness.append(self.records)
        orders = self.harness.connections.take(OrderRequest)
        self.worker_id = orders[0].order.worker_id
        return orders

    def _report(self, order, kind, reason=""):
        outcome = OrderResponse(order, 1, OrderOutcome(kind, reason))
        self.harness.controller.receive(outcome)

    def _withdrawals(self):
        messages = self.harness.connections.take(WithdrawWaitingStarts)
        return [message.worker_id for message in messages]

    def _list(self, **fields):
        """List the workers, the one that has starts with changed fields."""
        number = int(self.worker_id[1:])
        entries = list(self.harness.entries)
        entries[number] = make_entry(number, **fields) if fields else None
        entries = tuple(entry for entry in entries if entry is not None)
        self.harness.controller.receive(WorkersListed(entries))

    def test_start_is_valid_for_a_short_time(self):
        for request in self._start():
            self.assertEqual(
                request.valid_until_ms, self.harness.clock.now_ms() + MAX_START_WAIT_MS
            )

    def test_cancelled_job_stops_runs_whose_start_is_not_answered(self):
        self._start()
        self.harness.read([WorkCancelled(JOB_ID)])
        stops = [item.order for item in self.harness.connections.take(OrderRequest)]
        self.assertEqual([type(stop) for stop in stops], [StopRun, StopRun])

    def test_worker_that_begins_to_drain_gets_no_waiting_start(self):
        self._start()
        self._list(draining=True)
        self.assertEqual(self._withdrawals(), [self.worker_id])
        self._list(draining=True)
        self.assertEqual(self._withdrawals(), [])

    def test_worker_that_is_not_listed_any_more_gets_no_waiting_start(self):
        self._start()
        self._list()
        self.assertEqual(self._withdrawals(), [self.worker_id])

    def test_worker_that_started_anew_gets_no_waiting_start(self):
        self._start()
        self._list(incarnation=2)
        self.assertEqual(self._withdrawals(), [self.worker_id])

    def test_launch_on_a_worker_that_drains_meanwhile_is_not_started(self):
        self.worker_id = "w0"
        for worker_id in ("w0", "w1"):
            self.worker_id = worker_id
            self._list(draining=True)
        self.harness.append(self.records)
        self.assertEqual(self.harness.connections.take(OrderRequest), [])

    def test_launch_on_a_worker_that_started_anew_is_not_started(self):
        entries = tuple(make_entry(n, incarnation=2) for n in range(2))
        self.harness.controller.receive(WorkersListed(entries))
        self.harness.append(self.records)
        self.assertEqual(self.harness.connections.take(OrderRequest), [])

    def test_launch_on_a_worker_that_is_gone_is_not_started(self):
        harness = SchedulingHarness(workers=2)
        gang = make_step(2, CAPACITY._replace(memory_mb=1_000), gang=True)
        harness.accept(make_job(JOB_ID, steps=(gang,)))
        records = harness.plan()
        harness.controller.receive(WorkersListed(harness.entries[:1]))
        for _ in range(10):
            harness.tick(after_ms=900)
            harness.answer_hold("w0")
        self.assertNotIn("w1", harness.controller.dump()["workers"])
        harness.append(records)
        sent = harness.connections.take(OrderRequest)
        self.assertEqual([item for item in sent if is_start(item.order)], [])

    def test_run_that_was_not_sent_is_decided_again(self):
        for reason in (REASON_EXPIRED, REASON_WITHDRAWN):
            with self.subTest(reason=reason):
                self.setUp()
                first, second = self._start()
                self._report(second.order, ORDER_DONE)
                self._report(first.order, ORDER_REFUSED, reason)
                self.harness.append(self.harness.plan())
                (again,) = self.harness.connections.take(OrderRequest)
                self.assertEqual(again.order.task, first.order.task)
                self.assertEqual(again.order.run, 2)

    def test_run_that_may_exist_is_stopped_when_its_repeat_was_not_sent(self):
        first, _ = self._start()
        self._report(first.order, "unknown", "timed out")
        (repeat,) = self.harness.connections.take(OrderRequest)
        self.assertEqual(repeat.order, first.order)
        self._report(repeat.order, ORDER_REFUSED, REASON_EXPIRED)
        (stop,) = self.harness.connections.take(OrderRequest)
        self.assertEqual(stop.order, StopRun(*first.order[:3]))

    def test_later_run_is_stopped_when_an_earlier_one_turns_out_to_be_done(self):
        # TWICE: a start that waited was sent 1.4 s after its job had been completed.
        first, second = self._start()
        for request in (first, second):
            self._report(request.order, ORDER_REFUSED, "unhealthy")
        self.harness.append(self.harness.plan())
        again = self.harness.connections.take(OrderRequest)[0].order
        end = TaskEnd(1, again.task, 1, EndKind.DONE)
        listed = [TaskRun(again.task, 2, "", 0.0)]
        self.harness.answer_hold(first.order.worker_id, listed, [end])
        stops = [
            item.order
            for item in self.harness.connections.take(OrderRequest)
            if isinstance(item.order, StopRun)
        ]
        self.assertIn((again.task, again.run), [stop[1:] for stop in stops])


if __name__ == "__main__":
    unittest.main()
