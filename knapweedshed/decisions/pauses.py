"""Detection of process pauses, in which the clock advances but no code runs."""

MAX_TICK_GAP_MS = 2_000


class PauseDetector:
    """Detects a pause from the gap between periodic ticks."""

    def __init__(self, limit_ms=MAX_TICK_GAP_MS):
        self._limit_ms = limit_ms
        self._last_ms = None

    def detect_pause(self, now_ms):
        """Record a tick; return whether the gap before it exceeds the limit."""
        last_ms, self._last_ms = self._last_ms, now_ms
        return last_ms is not None and now_ms - last_ms > self._limit_ms
