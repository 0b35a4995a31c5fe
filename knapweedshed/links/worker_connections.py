"""The actor that owns the connections to all workers, and its channels.

One thread serves all workers: the number of threads and the cost of an exchange don't
depend on the number of workers.
"""

from abc import ABC, abstractmethod
from collections import deque
from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.work_messages import (
    CloseWorker,
    HoldRequest,
    HoldResponse,
    OpenWorker,
    OrderRequest,
    OrderResponse,
    WithdrawWaitingStarts,
)
from knapweedshed.links.http_connection import HttpConnection
from knapweedshed.links.http_messages import encode_request
from knapweedshed.links.selector_inbox import SelectorInbox, SocketReady
from knapweedshed.models.dispatch_actions import (
    ORDER_REFUSED,
    REASON_EXPIRED,
    REASON_WITHDRAWN,
    OrderOutcome,
    StopRun,
)

CONNECT_TIMEOUT_MS = 500
# An order takes a few ms. Gang members wait 3 s for each other, and the three attempts
# of a start must fit into that.
ANSWER_TIMEOUT_MS = 600


class ExchangeTimeout(NamedTuple):
    """An exchange of a channel has taken too long, if it is still in progress.

    `while_connecting` limits only the time until the connection is open.
    """

    channel: object
    exchange_number: int
    while_connecting: bool


class WorkerConnections(Actor):
    """Sends holds and orders to workers and reports the outcomes to its receiver.

    Each worker has two connections, so that orders don't wait behind a hold.
    """

    def __init__(self, context, codec, receiver):
        super().__init__(context)
        self._codec = codec
        self._receiver = receiver
        self._channels = {}

    @staticmethod
    def _create_actor_inbox():
        return SelectorInbox()

    def on_stop(self):
        """Close all connections."""
        for worker_id in list(self._channels):
            self._close(worker_id)
        self.actor_inbox.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def continue_exchange(self, message: SocketReady):
        """Go on with the exchange whose socket is ready."""
        message.key.continue_exchange(message.events)

    @receive.register
    def hold(self, message: HoldRequest):
        """Send a hold to its worker."""
        self._send(message.worker_id, HoldChannel, message)

    @receive.register
    def order(self, message: OrderRequest):
        """Send an order to its worker."""
        self._send(message.order.worker_id, OrderChannel, message)

    @receive.register
    def withdraw_starts(self, message: WithdrawWaitingStarts):
        """Drop the starts that wait for earlier orders to a worker."""
        channels = self._channels.get(message.worker_id)
        if channels is not None:
            channels[OrderChannel].withdraw_starts()

    @receive.register
    def expire(self, message: ExchangeTimeout):
        """End an exchange that took too long."""
        message.channel.expire(message)

    @receive.register
    def open_worker(self, message: OpenWorker):
        """Use a worker's address from now on."""
        entry = message.entry
        self._close(entry.worker_id)
        self._channels[entry.worker_id] = {
            channel_class: channel_class(
                self._context, self.actor_inbox, self._codec, entry, self._receiver
            )
            for channel_class in (HoldChannel, OrderChannel)
        }

    @receive.register
    def close_worker(self, message: CloseWorker):
        """Close a worker's connections; its exchanges in progress get no outcome."""
        self._close(message.worker_id)

    def _send(self, worker_id, channel_class, message):
        channels = self._channels.get(worker_id)
        if channels is not None:
            channels[channel_class].send(message)

    def _close(self, worker_id):
        for channel in self._channels.pop(worker_id, {}).values():
            channel.close()


class WorkerChannel(ABC):
    """One connection to a worker; requests are sent one at a time."""

    def __init__(self, context, inbox, codec, entry, receiver):
        self._context = context
        self._inbox = inbox
        self._codec = codec
        self._entry = entry
        self._receiver = receiver
        self._connection = HttpConnection(inbox, entry.address, self)
        self._current = None
        self._exchange_number = 0
        self._sent_ms = 0
        self._closed = False

    def send(self, request):
        """Send a request now, or once the one in progress is over."""
        self._add_waiting(request)
        if self._current is None:
            self._send_next()

    def close(self):
        """Close the connection and drop all requests."""
        self._closed = True
        self._current = None
        self._connection.close()

    def continue_exchange(self, events):
        """Go on with the exchange in progress after its socket became ready."""
        was_connecting = self._connection.connecting
        result = self._connection.continue_exchange(events)
        if result is not None:
            self._finish(result)
        elif was_connecting and not self._connection.connecting:
            self._limit_answer_time()

    def expire(self, timeout):
        """End the exchange in progress if it is the one that timed out."""
        if self._current is None or timeout.exchange_number != self._exchange_number:
            return
        if timeout.while_connecting and not self._connection.connecting:
            return
        self._finish(self._connection.expire())

    def _send_next(self):
        """Send waiting requests until one is in progress."""
        while not self._closed and self._current is None:
            self._current = self._take_waiting()
            if self._current is None:
                return
            self._exchange_number += 1
            self._sent_ms = self._context.clock.now_ms()
            call = self._encode(self._current)
            data = encode_request(
                "POST", call.path, self._entry.address, call.headers, call.body
            )
            failure = self._connection.send(data, self._sent_ms)
            if failure is not None:
                self._report(failure)
            elif self._connection.connecting:
                self._set_timeout(CONNECT_TIMEOUT_MS, while_connecting=True)
            else:
                self._limit_answer_time()

    def _finish(self, result):
        self._report(result)
        self._send_next()

    def _report(self, result):
        request, self._current = self._current, None
        if request is not None and not self._closed:
            tell(self._receiver, self._decode(request, result))

    def _limit_answer_time(self):
        if self._current is not None:
            wait_ms = self._wait_ms(self._current)
            self._set_timeout(wait_ms + ANSWER_TIMEOUT_MS, while_connecting=False)

    def _set_timeout(self, timeout_ms, while_connecting):
        timeout = ExchangeTimeout(self, self._exchange_number, while_connecting)
        self._inbox.send_at(self._context.clock.now_ms() + timeout_ms, timeout)

    @abstractmethod
    def _add_waiting(self, request):
        """Add a request to those that wait to be sent."""

    @abstractmethod
    def _take_waiting(self):
        """Return the request to send next, and forget it; None if there is none."""

    @abstractmethod
    def _encode(self, request):
        """Return the `WorkerCall` of a request."""

    @abstractmethod
    def _decode(self, request, result):
        """Return the message that reports a request's result to the receiver."""

    def _wait_ms(self, request):
        """Return how long the worker itself may wait before it answers."""
        return 0


class HoldChannel(WorkerChannel):
    """Sends holds, which renew the worker's leases and wait for runs to end.

    Each result is followed by the next hold. A hold that comes while one is in progress
    is dropped: a worker that is held anew, as its address has changed, may also have a
    delayed hold under way, and both would go on for good.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self._next = None

    def _add_waiting(self, request):
        if self._current is None:
            self._next = request

    def _take_waiting(self):
        request, self._next = self._next, None
        return request

    def _encode(self, request):
        """Encode a hold; the first one on a connection acknowledges no ends.

        The worker may have started anew since the last one, and its new ends have the
        numbers of earlier ones.
        """
        if not self._connection.is_reusable(self._sent_ms):
            request = request._replace(acknowledged_upto=0)
        return self._codec.encode_hold(self._entry, request)

    def _decode(self, request, result):
        answer = self._codec.decode_hold(result)
        return HoldResponse(self._entry.worker_id, request.fence, answer, self._sent_ms)

    def _wait_ms(self, request):
        return request.wait_ms


class OrderChannel(WorkerChannel):
    """Sends orders: stops first, and starts only while they are valid.

    A stop withdraws the start of its run if that still waits. Starts that are not sent
    are reported.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self._stops = deque()
        self._starts = {}

    def withdraw_starts(self):
        """Drop all starts that wait."""
        starts, self._starts = self._starts, {}
        for request in starts.values():
            self._report_not_sent(request, REASON_WITHDRAWN)

    def _add_waiting(self, request):
        key = (request.order.task, request.order.run)
        if not isinstance(request.order, StopRun):
            self._starts[key] = request
            return
        self._stops.append(request)
        barred = self._starts.pop(key, None)
        if barred is not None:
            self._report_not_sent(barred, REASON_WITHDRAWN)

    def _take_waiting(self):
        if self._stops:
            return self._stops.popleft()
        now_ms = self._context.clock.now_ms()
        while self._starts:
            request = self._starts.pop(next(iter(self._starts)))
            if now_ms <= request.valid_until_ms:
                return request
            self._report_not_sent(request, REASON_EXPIRED)
        return None

    def _report_not_sent(self, request, reason):
        if not self._closed:
            outcome = OrderOutcome(ORDER_REFUSED, reason)
            tell(self._receiver, OrderResponse(request.order, request.fence, outcome))

    def _encode(self, request):
        return self._codec.encode_order(self._entry, request.order, request.fence)

    def _decode(self, request, result):
        outcome = self._codec.decode_order(result)
        return OrderResponse(request.order, request.fence, outcome)
