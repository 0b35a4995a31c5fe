"""When the leases have expired that the last acting host granted to its runs.

Load: the scheduler's role changes hands while a data centre is cut off, and workers
leave meanwhile. Nobody can ask such a worker any more, so its runs start again only
once its lease has certainly expired. Without word from the predecessor that takes as
long as it may act without reading the log, and one lease after that.
"""

from knapweedshed.decisions.tracked_workers import (
    LEASE_EXPIRY_MARGIN_MS,
    MIN_CLOCK_RATE_RATIO,
)


class PredecessorLeases:
    """What the log says about the terms of earlier acting hosts.

    Times are in milliseconds on this host's monotonic clock.
    """

    def __init__(self, limits):
        self._limits = limits
        self._epoch_noted_ms = {}
        self._ended = None
        self._ended_read_ms = 0

    def note_epoch(self, epoch, now_ms):
        """Note when the claim of an epoch was first read."""
        self._epoch_noted_ms = {
            known: noted_ms
            for known, noted_ms in self._epoch_noted_ms.items()
            if known >= epoch - 1
        }
        self._epoch_noted_ms.setdefault(epoch, now_ms)

    def note_term_ended(self, record, now_ms):
        """Note the `ActingEnded` of an earlier acting host."""
        if self._ended is None or record.epoch >= self._ended.epoch:
            self._ended = record
            self._ended_read_ms = now_ms

    def lease_end_ms(self, epoch):
        """Return a function from worker ids to the latest end of a lease, or None.

        `epoch` is the epoch of this host's own term. The predecessor's word says
        nothing about hosts that acted before it: each of them stopped at the latest one
        `max_acting_without_log_ms` after the predecessor's claim.
        """
        if self._ended is None or self._ended.epoch != epoch - 1:
            return None
        earliest_ms = 0
        if epoch > 2:
            claimed_ms = self._epoch_noted_ms.get(epoch - 1)
            if claimed_ms is None:
                return None
            earliest_ms = (
                claimed_ms
                + self._limits.max_acting_without_log_ms
                + _on_slow_clock_ms(self._limits.lease_ms)
            )
        left_ms_by_worker = dict(self._ended.leases)

        def lease_end_ms(worker_id):
            left_ms = left_ms_by_worker.get(worker_id, self._limits.lease_ms)
            return max(
                earliest_ms,
                self._ended_read_ms
                + _on_slow_clock_ms(left_ms)
                + LEASE_EXPIRY_MARGIN_MS,
            )

        return lease_end_ms


def _on_slow_clock_ms(duration_ms):
    """Return how long a duration takes at most on a worker's clock."""
    return int(duration_ms / MIN_CLOCK_RATE_RATIO)
