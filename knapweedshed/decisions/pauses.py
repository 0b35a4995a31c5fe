"""Tells that this process was paused: its clock moved while it did not run."""

PAUSE_MS = 2_000


class PauseDetector:
    """Compares the times of a periodic message."""

    def __init__(self, limit_ms=PAUSE_MS):
        self._limit_ms = limit_ms
        self._last_ms = None

    def paused(self, now_ms):
        """Note the time, and return whether the gap before it was too long."""
        last_ms, self._last_ms = self._last_ms, now_ms
        return last_ms is not None and now_ms - last_ms > self._limit_ms
