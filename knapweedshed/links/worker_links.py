"""The links of the acting scheduler to all workers, made and stopped as these come."""

from knapweedshed.actors import tell
from knapweedshed.controllers.work_messages import HoldRequest
from knapweedshed.links.worker_orders import HoldLink, OrderLink

HOLD_WAIT_MS = 1_000  # leases of some seconds are renewed several times over
HOLD_RETRY_MS = 200


class WorkerLinks:
    """Two actors for each worker; owned and called by one actor only."""

    def __init__(self, context, timer, platform, receiver):
        self._context = context
        self._timer = timer
        self._platform = platform
        self._receiver = receiver
        self._links = {}

    def close(self):
        """Stop all links; their calls in hand end by themselves."""
        for worker_id in list(self._links):
            self.drop(worker_id)

    def match(self, workers):
        """Make links to listed workers that have none; return their ids."""
        fresh = []
        for worker_id, belief in workers.items():
            entry = belief.entry
            if entry is None:
                continue
            address, _, _ = self._links.get(worker_id, ("", None, None))
            if address == entry.address:
                continue
            self.drop(worker_id)
            self._links[worker_id] = self._make(entry)
            fresh.append(worker_id)
        return fresh

    def drop(self, worker_id):
        """Stop the links to a worker."""
        _, hold, orders = self._links.pop(worker_id, ("", None, None))
        for ref in (hold, orders):
            if ref is not None:
                ref.stop(block=False)

    def hold(self, worker_id, fence, deadline_ms, acked_upto):
        """Hold a worker now; without a known clock, only ask for its lists."""
        wait_ms = HOLD_WAIT_MS if deadline_ms else 0
        message = HoldRequest(fence, deadline_ms, acked_upto, wait_ms)
        tell(self._hold_of(worker_id), message)

    def hold_later(self, worker_id, fence, deadline_ms, acked_upto):
        """Hold a worker again after a pause, for an answer at once."""
        message = HoldRequest(fence, deadline_ms, acked_upto, 0)
        self._timer.after(HOLD_RETRY_MS, self._hold_of(worker_id), message)

    def order(self, message):
        """Give a worker an order."""
        _, _, orders = self._links.get(message.order.worker_id, ("", None, None))
        tell(orders, message)

    def _hold_of(self, worker_id):
        _, hold, _ = self._links.get(worker_id, ("", None, None))
        return hold

    def _make(self, entry):
        hold = HoldLink.start(
            self._context, self._platform.worker(entry), entry.worker_id, self._receiver
        )
        orders = OrderLink.start(
            self._context, self._platform.worker(entry), self._receiver
        )
        return entry.address, hold, orders
