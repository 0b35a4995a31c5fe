"""Predicts run times from observed runs rather than from declared run times."""

from abc import ABC, abstractmethod
from bisect import insort
from collections import deque

WINDOW_RUNS = 64  # latest runs of each kind that are kept
MIN_RUNS = 3  # with fewer runs of a kind the declared run time is used


class RunTimePredictor(ABC):
    """Predicts run times in milliseconds, at worker speed 1.

    A `kind` is any hashable key of jobs with similar run times.
    """

    @abstractmethod
    def observe(self, kind, run_ms):
        """Record that a run of `kind` took `run_ms`."""

    @abstractmethod
    def total_ms(self, kind, declared_ms):
        """Return the predicted run time of a new run."""

    @abstractmethod
    def remaining_ms(self, kind, declared_ms, elapsed_ms):
        """Return the predicted remaining time after `elapsed_ms` of a run."""


class DeclaredRunTime(RunTimePredictor):
    """Baseline: uses the declared run times."""

    def observe(self, kind, run_ms):
        """Ignore the run."""

    def total_ms(self, kind, declared_ms):
        """Return the declared run time."""
        return declared_ms

    def remaining_ms(self, kind, declared_ms, elapsed_ms):
        """Return the declared run time less the elapsed time, at least 1."""
        return max(1, declared_ms - elapsed_ms)


class LearnedRunTime(RunTimePredictor):
    """Uses the last runs of the same kind: (organisation, service, ...).

    A new run is predicted to take the median. A run in progress is predicted to take
    the mean of the longer runs, or as long again if it has outlasted all of them.
    """

    def __init__(self, window=WINDOW_RUNS):
        self._window = window
        self._recent_run_ms = {}
        self._sorted_run_ms = {}

    def observe(self, kind, run_ms):
        """Record a run; drop the oldest run beyond the window."""
        recent_run_ms = self._recent_run_ms.setdefault(kind, deque())
        sorted_run_ms = self._sorted_run_ms.setdefault(kind, [])
        recent_run_ms.append(run_ms)
        insort(sorted_run_ms, run_ms)
        if len(recent_run_ms) > self._window:
            sorted_run_ms.remove(recent_run_ms.popleft())

    def total_ms(self, kind, declared_ms):
        """Return the median, or the declared run time below `MIN_RUNS` runs."""
        sorted_run_ms = self._sorted_run_ms.get(kind, ())
        if len(sorted_run_ms) < MIN_RUNS:
            return declared_ms
        return sorted_run_ms[len(sorted_run_ms) // 2]

    def remaining_ms(self, kind, declared_ms, elapsed_ms):
        """Return the mean of the longer runs less the elapsed time, at least 1.

        Below `MIN_RUNS` runs, the rest of the declared run time, or as long again if
        it has passed.
        """
        sorted_run_ms = self._sorted_run_ms.get(kind, ())
        if len(sorted_run_ms) < MIN_RUNS:
            return declared_ms - elapsed_ms if elapsed_ms < declared_ms else elapsed_ms
        longer = [run_ms for run_ms in sorted_run_ms if run_ms > elapsed_ms]
        if not longer:
            return max(1, elapsed_ms)
        return max(1, sum(longer) // len(longer) - elapsed_ms)


def create_predictor(name="learned"):
    """Return the predictor of this name; raises KeyError if there is none."""
    return {"learned": LearnedRunTime, "declared": DeclaredRunTime}[name]()
