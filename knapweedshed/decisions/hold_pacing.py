"""Paces holds while the ends of a worker's runs are not recorded yet.

Load: many short runs, and a log that is slow or unavailable. A worker answers a hold at
once while it lists an end that isn't acknowledged, so holds would follow each other as
fast as the network allows until the log has the end.
"""

MAX_PAUSE_MS = 150  # leases last some seconds; ends of other runs are seen this late


class HoldPacing:
    """Workers whose next hold waits for the record of an end, or for a pause."""

    def __init__(self):
        self._paused_since_ms = {}

    def pauses(self, worker, now_ms):
        """Return whether a worker's next hold must wait; if so, remember it."""
        worker_id = worker.worker_id
        if not worker.unrecorded_ends:
            self._paused_since_ms.pop(worker_id, None)
            return False
        since_ms = self._paused_since_ms.setdefault(worker_id, now_ms)
        if now_ms - since_ms < MAX_PAUSE_MS:
            return True
        del self._paused_since_ms[worker_id]
        return False

    def due(self, workers, now_ms):
        """Return the ids of the workers whose next hold has waited long enough."""
        return [
            worker_id
            for worker_id, since_ms in self._paused_since_ms.items()
            if now_ms - since_ms >= MAX_PAUSE_MS
            or worker_id not in workers
            or not workers[worker_id].unrecorded_ends
        ]

    def forget(self, worker_id):
        """Forget a worker that isn't held any more."""
        self._paused_since_ms.pop(worker_id, None)
