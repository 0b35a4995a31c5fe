"""How long work will take, learned from what was seen rather than declared."""

from abc import ABC, abstractmethod
from bisect import insort
from collections import deque

WINDOW = 64
FEW = 3


class Prediction(ABC):
    """Estimates run times at speed 1, in milliseconds."""

    @abstractmethod
    def observe(self, kind, run_ms):
        """Learn that work of `kind` took `run_ms`."""

    @abstractmethod
    def total_ms(self, kind, declared_ms):
        """Return the expected run time of new work."""

    @abstractmethod
    def remaining_ms(self, kind, declared_ms, elapsed_ms):
        """Return the expected rest of work that has run for `elapsed_ms`."""


class Declared(Prediction):
    """Baseline: believes what was declared."""

    def observe(self, kind, run_ms):
        """Learn nothing."""

    def total_ms(self, kind, declared_ms):
        """Return the declared time."""
        return declared_ms

    def remaining_ms(self, kind, declared_ms, elapsed_ms):
        """Return what is left of the declared time."""
        return max(1, declared_ms - elapsed_ms)


class Learned(Prediction):
    """Uses the runs seen of the same kind: (organisation, service, ...).

    New work is expected to take the median; work under way is expected to take the
    mean of the longer runs seen, or as long again once it outlasts them all.
    """

    def __init__(self, window=WINDOW):
        self._window = window
        self._recent = {}
        self._sorted = {}

    def observe(self, kind, run_ms):
        """Learn one run; the oldest beyond the window is forgotten."""
        recent = self._recent.setdefault(kind, deque())
        ordered = self._sorted.setdefault(kind, [])
        recent.append(run_ms)
        insort(ordered, run_ms)
        if len(recent) > self._window:
            ordered.remove(recent.popleft())

    def total_ms(self, kind, declared_ms):
        """Return the median seen, or the declared time while few were seen."""
        ordered = self._sorted.get(kind, ())
        if len(ordered) < FEW:
            return declared_ms
        return ordered[len(ordered) // 2]

    def remaining_ms(self, kind, declared_ms, elapsed_ms):
        """Return the expected rest."""
        ordered = self._sorted.get(kind, ())
        if len(ordered) < FEW:
            return declared_ms - elapsed_ms if elapsed_ms < declared_ms else elapsed_ms
        longer = [run_ms for run_ms in ordered if run_ms > elapsed_ms]
        if not longer:
            return max(1, elapsed_ms)
        return max(1, sum(longer) // len(longer) - elapsed_ms)


def create_prediction(name="learned"):
    """Return the prediction called `name`."""
    return {"learned": Learned, "declared": Declared}[name]()
