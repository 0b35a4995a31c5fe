"""Sends requests to workers over `WorkerConnections`, and waits for the outcomes."""

import queue

from knapweedshed.actors import Actor, stop, tell
from knapweedshed.context import create_test_context
from knapweedshed.controllers.work_messages import (
    HoldRequest,
    OpenWorker,
    OrderRequest,
)
from knapweedshed.links.worker_connections import WorkerConnections

OUTCOME_TIMEOUT_S = 10
FAR_FUTURE_MS = 1 << 60


def received_messages():
    """Return an empty queue for a `Collector`."""
    return queue.Queue()


class Collector(Actor):
    """Puts every message that it receives into `received`."""

    def __init__(self, context, received):
        super().__init__(context)
        self._received = received

    def receive(self, message):
        """Keep a message."""
        self._received.put(message)


class ConnectedWorkers:
    """Connections to workers, whose outcomes a test reads from `received`."""

    def __init__(self, codec, entries=()):
        self._context = create_test_context()
        self.received = received_messages()
        self._collector = Collector.start(self._context, self.received)
        self.connections = WorkerConnections.start(
            self._context, codec, self._collector
        )
        for entry in entries:
            tell(self.connections, OpenWorker(entry))

    def close(self):
        """Close the connections."""
        stop(self.connections)
        stop(self._collector)

    def next_outcome(self):
        """Return the next `HoldResponse` or `OrderResponse`."""
        return self.received.get(timeout=OUTCOME_TIMEOUT_S)


class ConnectedWorker(ConnectedWorkers):
    """Connections to one worker, used for one request at a time."""

    def __init__(self, entry, codec):
        super().__init__(codec, (entry,))
        self._worker_id = entry.worker_id

    def hold(self, fence, deadline_ms, acknowledged_upto, wait_ms):
        """Send a hold; return its answer."""
        request = HoldRequest(
            self._worker_id, fence, deadline_ms, acknowledged_upto, wait_ms
        )
        tell(self.connections, request)
        return self.next_outcome().answer

    def order(self, order, fence):
        """Send an order; return its outcome."""
        tell(self.connections, OrderRequest(order, fence, FAR_FUTURE_MS))
        return self.next_outcome().outcome
