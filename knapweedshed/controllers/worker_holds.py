"""Holds of one term: renews the leases of workers and waits for the ends of runs."""

from knapweedshed.decisions.hold_pacing import HoldPacing


class WorkerHolds:
    """Decides when each worker is held again; for the scheduling controller.

    `may_send_orders` returns whether this host may still renew leases.
    """

    def __init__(self, context, worker_links, dispatcher, may_send_orders, epoch):
        self._context = context
        self._worker_links = worker_links
        self._dispatcher = dispatcher
        self._may_send_orders = may_send_orders
        self._epoch = epoch
        self._pacing = HoldPacing()

    def hold(self, worker_id):
        """Hold a worker now, or later if the ends that it lists aren't recorded."""
        if not self._keep_or_drop(worker_id):
            return
        now_ms = self._context.clock.now_ms()
        worker = self._dispatcher.workers[worker_id]
        if self._pacing.pauses(worker, now_ms):
            self._context.metrics.count("holds.paused")
            return
        if not self._may_send_orders():
            self._worker_links.hold_later(worker_id, self._epoch, 0, 0)
            return
        deadline_ms, acknowledged_upto = self._dispatcher.hold_parameters(
            worker_id, now_ms
        )
        self._worker_links.hold(
            worker_id,
            self._epoch,
            deadline_ms,
            acknowledged_upto,
            worker.has_doubtful_runs,
        )

    def hold_later(self, worker_id):
        """Hold a worker after a failure, without renewing its lease."""
        if not self._keep_or_drop(worker_id):
            return
        deadline_ms, acknowledged_upto = self._dispatcher.hold_parameters(
            worker_id, self._context.clock.now_ms(), answered=False
        )
        self._worker_links.hold_later(
            worker_id, self._epoch, deadline_ms, acknowledged_upto
        )

    def resume(self):
        """Hold the workers whose next hold has waited for the record of an end."""
        now_ms = self._context.clock.now_ms()
        for worker_id in self._pacing.due(self._dispatcher.workers, now_ms):
            self.hold(worker_id)

    def _keep_or_drop(self, worker_id):
        """Return whether to keep holding a worker; if not, drop its links.

        A worker that is missing from the platform's list is held while it still has
        runs under a lease, because the list loses entries when the platform's store is
        unavailable.
        """
        worker = self._dispatcher.workers.get(worker_id)
        if worker is not None and (worker.entry is not None or worker.assigned_runs):
            return True
        self._worker_links.drop(worker_id)
        self._pacing.forget(worker_id)
        return False
