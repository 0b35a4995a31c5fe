"""Sizes of each queue's recent jobs; under high load, floors protect the large ones."""

from bisect import bisect_left, insort
from collections import deque
from enum import IntEnum

from knapweedshed.decisions.work_order import core_seconds

RECENT_JOBS_COUNT = 200  # of each queue; a minute of the busiest known queue
MIN_JOBS_COUNT = 10  # with fewer jobs, there is no largest tenth
LARGEST_SHARE = 0.1
LARGE_SHARE = 0.2


class SizeClass(IntEnum):
    """The size of a job among its queue's: the largest tenth, the fifth below it."""

    ORDINARY = 0
    LARGE = 1
    LARGEST = 2


class QueueSizes:
    """The core-seconds of the latest jobs of each queue."""

    def __init__(self):
        self._recent = {}
        self._sorted = {}

    def note(self, job):
        """Take a job that was accepted."""
        recent = self._recent.setdefault(job.queue, deque())
        ordered = self._sorted.setdefault(job.queue, [])
        if len(recent) == RECENT_JOBS_COUNT:
            del ordered[bisect_left(ordered, recent.popleft())]
        size = job_core_seconds(job.steps)
        recent.append(size)
        insort(ordered, size)

    def mean_core_s(self, queue):
        """Return the mean size of the queue's jobs, or 0.0 if none is known."""
        recent = self._recent.get(queue)
        return sum(recent) / len(recent) if recent else 0.0

    def size_class(self, queue, core_s):
        """Return the `SizeClass` of a job of `core_s` core-seconds."""
        ordered = self._sorted.get(queue, ())
        if len(ordered) < MIN_JOBS_COUNT:
            return SizeClass.ORDINARY
        smaller_share = bisect_left(ordered, core_s) / len(ordered)
        if smaller_share >= 1 - LARGEST_SHARE:
            return SizeClass.LARGEST
        if smaller_share >= 1 - LARGEST_SHARE - LARGE_SHARE:
            return SizeClass.LARGE
        return SizeClass.ORDINARY


def job_core_seconds(steps):
    """Return the core-seconds of one occurrence of a job."""
    return sum(core_seconds(step, step.count) for step in steps)
