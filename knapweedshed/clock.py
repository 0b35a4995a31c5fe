"""One small clock: monotonic milliseconds, replaceable in tests."""

import time
from abc import ABC, abstractmethod

MS_PER_SECOND = 1_000


class Clock(ABC):
    """Time in whole milliseconds."""

    @abstractmethod
    def now_ms(self):
        """Return monotonic milliseconds; never goes back within a process."""

    @abstractmethod
    def wall_ms(self):
        """Return milliseconds since the epoch; only for people and key ages."""


class SystemClock(Clock):
    """The machine's clock."""

    def now_ms(self):
        """Return the machine's monotonic time in milliseconds."""
        return time.monotonic_ns() // 1_000_000

    def wall_ms(self):
        """Return the machine's wall time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock that moves only when told to."""

    def __init__(self, start_ms=0):
        self._now_ms = start_ms

    def now_ms(self):
        """Return the time that was last set."""
        return self._now_ms

    def wall_ms(self):
        """Return the same time as `now_ms`."""
        return self._now_ms

    def advance(self, by_ms):
        """Move time forward by `by_ms` milliseconds."""
        self._now_ms += by_ms


def create_clock():
    """Return the clock that programs use."""
    return SystemClock()
