"""Which runner takes a short request."""

from abc import ABC, abstractmethod
from typing import NamedTuple

CHOICES = 2
FIRST_LATENCY_MS = 50
LATENCY_WEIGHT = 0.2


class RunnerView(NamedTuple):
    """A runner that may be given work; `busy` counts slots believed taken."""

    name: str
    slots: int
    busy: int
    latency_ms: float = FIRST_LATENCY_MS

    @property
    def has_room(self):
        """Whether a slot is believed free."""
        return self.busy < self.slots


class RoutingPolicy(ABC):
    """Chooses a runner."""

    @abstractmethod
    def choose(self, runners, random):
        """Return a `RunnerView` with room, or None to let the request wait."""


class RoundRobin(RoutingPolicy):
    """Baseline: each in turn, whether it has room or not."""

    def __init__(self):
        self._next = 0

    def choose(self, runners, random):
        """Return the next runner."""
        if not runners:
            return None
        chosen = runners[self._next % len(runners)]
        self._next += 1
        return chosen


class LeastConnections(RoutingPolicy):
    """Baseline: the fewest requests of ours in flight, whether it has room or not."""

    def choose(self, runners, random):
        """Return the runner with the least in flight."""
        return min(runners, key=lambda r: (r.busy, r.name), default=None)


class LeastExpectedTime(RoutingPolicy):
    """The shortest expected time among two random runners that have room.

    Two choices keep entries that share stale knowledge from all picking the same.
    """

    def choose(self, runners, random):
        """Return the better of two random runners with room."""
        open_ones = [runner for runner in runners if runner.has_room]
        if not open_ones:
            return None
        sample = random.sample(open_ones, min(CHOICES, len(open_ones)))
        return min(sample, key=_expected_ms)


def smoothed(before_ms, seen_ms):
    """Return the moving average of a runner's latency."""
    return before_ms + LATENCY_WEIGHT * (seen_ms - before_ms)


def create_routing(name="least-expected-time"):
    """Return the routing policy called `name`."""
    policies = {
        "round-robin": RoundRobin,
        "least-connections": LeastConnections,
        "least-expected-time": LeastExpectedTime,
    }
    return policies[name]()


def _expected_ms(runner):
    return (runner.latency_ms * (1 + runner.busy / runner.slots), runner.name)
