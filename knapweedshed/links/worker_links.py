"""The acting scheduler's handle on the connections to all workers."""

from knapweedshed.actors import tell
from knapweedshed.controllers.work_messages import (
    CloseWorker,
    HoldRequest,
    OpenWorker,
    WithdrawWaitingStarts,
)
from knapweedshed.links.worker_connections import WorkerConnections

MIN_HOLD_WAIT_MS = 1_000  # leases last some seconds and must be renewed several times
MAX_HOLD_WAIT_MS = 2_000  # the longest that workers allow
# Holds of 1 s for 1,500 workers fill a link of 20 Mbit/s.
HOLD_WAIT_MS_PER_WORKER = 2
DOUBT_HOLD_WAIT_MS = 100  # while a list must tell whether a run exists
HOLD_RETRY_DELAY_MS = 200


class WorkerLinks:
    """Knows which workers are connected, and tells `WorkerConnections` what to send.

    For use by one actor only.
    """

    def __init__(self, context, timer, platform, receiver):
        self._timer = timer
        self._connections = WorkerConnections.start(
            context, platform.worker_codec(), receiver
        )
        self._addresses = {}

    def close(self):
        """Drop all workers and stop the actor that owns the connections."""
        self.drop_all()
        self._connections.stop(block=False)

    def drop_all(self):
        """Close the connections to all workers."""
        for worker_id in list(self._addresses):
            self.drop(worker_id)

    def open_missing(self, workers):
        """Connect to listed workers that are new or have moved; return their ids.

        `workers` has the `TrackedWorker` of each id. A worker has moved if its address
        changed.
        """
        opened = []
        for worker_id, tracked in workers.items():
            entry = tracked.entry
            if entry is None or self._addresses.get(worker_id) == entry.address:
                continue
            self._addresses[worker_id] = entry.address
            tell(self._connections, OpenWorker(entry))
            opened.append(worker_id)
        return opened

    def drop(self, worker_id):
        """Close the connections to a worker, if there are any."""
        if self._addresses.pop(worker_id, None) is not None:
            tell(self._connections, CloseWorker(worker_id))

    def hold(self, worker_id, fence, deadline_ms, acknowledged_upto, has_doubtful_runs):
        """Hold a worker now; it answers after an end or a wait.

        The wait is short while a list must tell whether a run exists. Without a
        deadline (0), as while the worker's clock is not known yet, the worker answers
        at once and renews nothing.
        """
        wait_ms = DOUBT_HOLD_WAIT_MS
        if not has_doubtful_runs:
            wait_ms = hold_wait_ms(len(self._addresses))
        if not deadline_ms:
            wait_ms = 0
        tell(
            self._connections,
            HoldRequest(worker_id, fence, deadline_ms, acknowledged_upto, wait_ms),
        )

    def hold_later(self, worker_id, fence, deadline_ms, acknowledged_upto):
        """Hold a worker after `HOLD_RETRY_DELAY_MS`; it then answers at once."""
        message = HoldRequest(worker_id, fence, deadline_ms, acknowledged_upto, 0)
        self._timer.after(HOLD_RETRY_DELAY_MS, self._connections, message)

    def order(self, message):
        """Send an order to its worker."""
        tell(self._connections, message)

    def withdraw_starts(self, worker_id):
        """Send a worker no start that still waits."""
        tell(self._connections, WithdrawWaitingStarts(worker_id))


def hold_wait_ms(worker_count):
    """Return how long a worker may wait for an end, longer with many workers."""
    wait_ms = HOLD_WAIT_MS_PER_WORKER * worker_count
    return min(MAX_HOLD_WAIT_MS, max(MIN_HOLD_WAIT_MS, wait_ms))
