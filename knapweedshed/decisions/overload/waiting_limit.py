"""Limit on queued short requests: as many as are served within an acceptable wait."""

RATE_WINDOW_MS = 500
RATE_SMOOTHING = 0.3  # weight of the newest window in the moving average
MAX_QUEUE_WAIT_MS = 2_000
MIN_LIMIT_REQUESTS = 64  # for any completion rate
INITIAL_LIMIT_REQUESTS = 4_000  # while no completion rate is known


class WaitingLimit:
    """Limits the queue by waiting time, from the measured completion rate.

    Under overload, a queue with a fixed length limit fills with requests that are
    served only just before their deadline, so the work is wasted.
    """

    def __init__(self):
        self._rate_per_ms = None
        self._window_start_ms = 0
        self._ended_in_window = 0

    @property
    def max_waiting(self):
        """Number of requests that may wait now."""
        if self._rate_per_ms is None:
            return INITIAL_LIMIT_REQUESTS
        return int(max(MIN_LIMIT_REQUESTS, self._rate_per_ms * MAX_QUEUE_WAIT_MS))

    def record_end(self, now_ms):
        """Record that a request ended on a runner."""
        self._update_rate(now_ms)
        self._ended_in_window += 1

    def _update_rate(self, now_ms):
        elapsed_ms = now_ms - self._window_start_ms
        if elapsed_ms < RATE_WINDOW_MS:
            return
        rate_per_ms = self._ended_in_window / elapsed_ms
        if self._rate_per_ms is None:
            self._rate_per_ms = rate_per_ms if self._ended_in_window else None
        else:
            self._rate_per_ms += RATE_SMOOTHING * (rate_per_ms - self._rate_per_ms)
        self._window_start_ms = now_ms
        self._ended_in_window = 0
