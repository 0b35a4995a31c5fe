"""Clocks in milliseconds; tests replace the system clock by a manual one."""

import time
from abc import ABC, abstractmethod

MS_PER_SECOND = 1_000
STEADY_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(ABC):
    """A source of time in whole milliseconds."""

    @abstractmethod
    def now_ms(self):
        """Return monotonic milliseconds; they never decrease within a process."""

    @abstractmethod
    def wall_ms(self):
        """Return milliseconds since the epoch; only for display and the age of keys."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def now_ms(self):
        """Return the milliseconds since boot.

        Unlike Linux's monotonic clock, this one counts the time for which the machine
        was suspended, so that a lease or a role that ran out meanwhile is not used.
        """
        return time.clock_gettime_ns(STEADY_CLOCK_ID) // 1_000_000

    def wall_ms(self):
        """Return the system's wall time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock for tests that only `advance` moves."""

    def __init__(self, start_ms=0):
        self._now_ms = start_ms

    def now_ms(self):
        """Return the current time of this clock."""
        return self._now_ms

    def wall_ms(self):
        """Return the same time as `now_ms`."""
        return self._now_ms

    def advance(self, by_ms):
        """Move the clock forward by `by_ms` milliseconds."""
        self._now_ms += by_ms


def create_clock():
    """Return the clock that programs use."""
    return SystemClock()
