"""Actors that call one worker: one holds it, the other sends it orders."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.work_messages import (
    HoldRequest,
    HoldResponse,
    OrderRequest,
    OrderResponse,
)
from knapweedshed.models.dispatch_actions import StartRun


class WorkerLink(Actor):
    """Base class of the actors that own one connection to a worker."""

    def __init__(self, context, client, receiver):
        super().__init__(context)
        self._client = client
        self._receiver = receiver

    def on_stop(self):
        """Close the connection."""
        self._client.close()


class HoldLink(WorkerLink):
    """Sends holds to a worker.

    A hold raises the worker's fence, renews its leases and waits for runs to end.
    """

    def __init__(self, context, client, worker_id, receiver):
        super().__init__(context, client, receiver)
        self._worker_id = worker_id

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def hold(self, message: HoldRequest):
        """Send one hold and report its outcome to the receiver."""
        sent_ms = self._context.clock.now_ms()
        answer = self._client.hold(
            message.fence,
            message.deadline_ms,
            message.acknowledged_upto,
            message.wait_ms,
        )
        tell(
            self._receiver,
            HoldResponse(self._worker_id, message.fence, answer, sent_ms),
        )


class OrderLink(WorkerLink):
    """Sends orders to a worker, one at a time."""

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def order(self, message: OrderRequest):
        """Send one order and report its outcome to the receiver."""
        send = self._client.start
        if not isinstance(message.order, StartRun):
            send = self._client.stop
        outcome = send(message.order, message.fence)
        tell(self._receiver, OrderResponse(message.order, message.fence, outcome))
