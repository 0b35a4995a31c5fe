"""Links to one worker: one waits for its lists, one gives it orders."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.work_messages import (
    Hold,
    HoldAnswered,
    Order,
    OrderAnswered,
)
from knapweedshed.models.dispatch_actions import StartRun


class WorkerLink(Actor):
    """Owns one connection to a worker."""

    def __init__(self, context, calls, receiver):
        super().__init__(context)
        self._calls = calls
        self._receiver = receiver

    def on_stop(self):
        """Close the connection."""
        self._calls.close()


class HoldLink(WorkerLink):
    """Holds a worker: raises the fence, renews its leases, waits for ends."""

    def __init__(self, context, calls, worker_id, receiver):
        super().__init__(context, calls, receiver)
        self._worker_id = worker_id

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def hold(self, message: Hold):
        """Hold once, and tell what came of it."""
        sent_ms = self._context.clock.now_ms()
        answer = self._calls.hold(
            message.fence, message.deadline_ms, message.ends_upto, message.wait_ms
        )
        tell(
            self._receiver,
            HoldAnswered(self._worker_id, message.fence, answer, sent_ms),
        )


class OrderLink(WorkerLink):
    """Gives a worker its orders, one after the other."""

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def order(self, message: Order):
        """Give one order, and tell what came of it."""
        give = self._calls.start
        if not isinstance(message.order, StartRun):
            give = self._calls.stop
        outcome = give(message.order, message.fence)
        tell(self._receiver, OrderAnswered(message.order, message.fence, outcome))
