"""Routing policies that choose a runner for a short request."""

from abc import ABC, abstractmethod
from typing import NamedTuple

SAMPLED_RUNNERS = 2
INITIAL_LATENCY_MS = 50  # assumed for a runner before its first request ends
LATENCY_SMOOTHING = 0.2  # weight of the newest sample in the moving average


class RunnerView(NamedTuple):
    """A runner that accepts work; `busy` is the estimated number of occupied slots."""

    name: str
    slots: int
    busy: int
    latency_ms: float = INITIAL_LATENCY_MS

    @property
    def has_free_slot(self):
        """Whether a slot is estimated to be free."""
        return self.busy < self.slots


class RoutingPolicy(ABC):
    """Chooses a runner for a request."""

    @abstractmethod
    def choose(self, runners, random):
        """Return a `RunnerView`, or None to keep the request queued.

        `random` is a `random.Random`.
        """


class RoundRobin(RoutingPolicy):
    """Baseline: each runner in turn, even if it has no free slot."""

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
    """Baseline: the runner with the lowest `busy`, even if it has no free slot."""

    def choose(self, runners, random):
        """Return the runner with the lowest `busy`."""
        return min(runners, key=lambda r: (r.busy, r.name), default=None)


class LeastExpectedTime(RoutingPolicy):
    """The shortest expected time among two random runners with a free slot.

    Sampling two runners prevents entry processes that share outdated load information
    from all choosing the same one.
    """

    def choose(self, runners, random):
        """Return the faster of two random runners with a free slot, or None."""
        available = [runner for runner in runners if runner.has_free_slot]
        if not available:
            return None
        sample = random.sample(available, min(SAMPLED_RUNNERS, len(available)))
        return min(sample, key=_expected_time_order)


def smooth_latency_ms(average_ms, sample_ms):
    """Return the exponential moving average of a latency after a new sample."""
    return average_ms + LATENCY_SMOOTHING * (sample_ms - average_ms)


def create_routing_policy(name="least-expected-time"):
    """Return a routing policy by name; raises KeyError if it is unknown."""
    policies = {
        "round-robin": RoundRobin,
        "least-connections": LeastConnections,
        "least-expected-time": LeastExpectedTime,
    }
    return policies[name]()


def _expected_time_order(runner):
    return (runner.latency_ms * (1 + runner.busy / runner.slots), runner.name)
