"""The acting scheduler's connections to all workers."""

from knapweedshed.actors import tell
from knapweedshed.controllers.work_messages import HoldRequest
from knapweedshed.links.worker_orders import HoldLink, OrderLink

HOLD_WAIT_MS = 1_000  # leases last some seconds and must be renewed several times
HOLD_RETRY_DELAY_MS = 200


class WorkerLinks:
    """Two actors for each worker: one for holds, one for orders.

    For use by one actor only.
    """

    def __init__(self, context, timer, platform, receiver):
        self._context = context
        self._timer = timer
        self._platform = platform
        self._receiver = receiver
        self._links = {}

    def close(self):
        """Stop all links without waiting for calls in progress."""
        for worker_id in list(self._links):
            self.drop(worker_id)

    def open_missing(self, workers):
        """Open links to listed workers that are new or have moved; return their ids.

        `workers` has the `TrackedWorker` of each id. A worker has moved if its address
        changed.
        """
        opened = []
        for worker_id, tracked in workers.items():
            entry = tracked.entry
            if entry is None:
                continue
            address, _, _ = self._links.get(worker_id, ("", None, None))
            if address == entry.address:
                continue
            self.drop(worker_id)
            self._links[worker_id] = self._open(entry)
            opened.append(worker_id)
        return opened

    def drop(self, worker_id):
        """Stop the links to a worker, if there are any."""
        _, hold, orders = self._links.pop(worker_id, ("", None, None))
        for ref in (hold, orders):
            if ref is not None:
                ref.stop(block=False)

    def hold(self, worker_id, fence, deadline_ms, acknowledged_upto):
        """Hold a worker now.

        Without a deadline (0), as while the worker's clock is not known yet, the worker
        answers at once and renews nothing.
        """
        wait_ms = HOLD_WAIT_MS if deadline_ms else 0
        message = HoldRequest(fence, deadline_ms, acknowledged_upto, wait_ms)
        tell(self._hold_link(worker_id), message)

    def hold_later(self, worker_id, fence, deadline_ms, acknowledged_upto):
        """Hold a worker after `HOLD_RETRY_DELAY_MS`; it then answers at once."""
        message = HoldRequest(fence, deadline_ms, acknowledged_upto, 0)
        self._timer.after(HOLD_RETRY_DELAY_MS, self._hold_link(worker_id), message)

    def order(self, message):
        """Send an order to its worker."""
        _, _, orders = self._links.get(message.order.worker_id, ("", None, None))
        tell(orders, message)

    def _hold_link(self, worker_id):
        _, hold, _ = self._links.get(worker_id, ("", None, None))
        return hold

    def _open(self, entry):
        hold = HoldLink.start(
            self._context, self._platform.worker(entry), entry.worker_id, self._receiver
        )
        orders = OrderLink.start(
            self._context, self._platform.worker(entry), self._receiver
        )
        return entry.address, hold, orders
