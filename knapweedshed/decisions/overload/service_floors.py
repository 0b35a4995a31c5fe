"""Minimum service while capacity is short: who is served too rarely.

Ordering and admission by worth alone would let large jobs starve, whose worth for each
core-second is low.
"""

# The required share is half of the queue's; the rest is a margin, as a correction takes
# effect only with the next jobs.
MIN_SERVED_RATIO = 0.75
MAX_ARRIVED_COUNT = 100  # of a queue; then all of its counts are halved


class ServedShares:
    """The shares of the recent jobs of each queue and size class that were served."""

    def __init__(self):
        self._arrived = {}
        self._served = {}

    def note_arrival(self, queue, size_class):
        """Take a job that has arrived."""
        for key in ((queue, None), (queue, size_class)):
            self._arrived[key] = self._arrived.get(key, 0.0) + 1
        if self._arrived[queue, None] >= MAX_ARRIVED_COUNT:
            for counts in (self._arrived, self._served):
                for key in counts:
                    if key[0] == queue:
                        counts[key] /= 2

    def note_served(self, queue, size_class, share=1.0):
        """Take a job that was served; `share` is below 1 if it was served late."""
        for key in ((queue, None), (queue, size_class)):
            self._served[key] = self._served.get(key, 0.0) + share

    def is_behind(self, queue, size_class):
        """Return whether a size class is served too rarely beside its whole queue."""
        arrived = self._arrived.get((queue, size_class))
        if not arrived:
            return False
        share = self._served.get((queue, size_class), 0.0) / arrived
        queue_share = self._served.get((queue, None), 0.0) / self._arrived[queue, None]
        return share < MIN_SERVED_RATIO * queue_share
