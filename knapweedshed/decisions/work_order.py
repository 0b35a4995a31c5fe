"""Ordering policies: the order in which a planning pass considers waiting steps.

`DeadlineAware` is in use; the others are baselines for comparison.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

LATE_OBJECTIVE_FACTOR = 3.0  # work earns late credit up to 3 times its objective
CORES_PER_ACCELERATOR = 8  # an accelerator is priced at 8 cores
MILLI_PER_UNIT = 1_000  # for thousandths of a core and for milliseconds


class WaitingStep(NamedTuple):
    """Units of one step that may start now and have the same requirements.

    `count` is the number of tasks in each unit. `arrival_ms` is when the job was
    accepted, or when its occurrence was due. Work that ends by `due_ms` meets its
    objective and earns full credit; work that ends by `late_limit_ms` still earns late
    credit, which is a fifth of that. These three are on the monotonic clock of this
    process; long-running work is due now, with nothing left. `critical_path_ms` is the
    estimated time left on the longest chain of the job's steps, on a worker of average
    speed; `work_core_s` is the size of one unit in core-seconds. `target_speed` is
    relative to the average worker.
    """

    units: tuple
    step: object
    count: int
    priority: int
    guaranteed: bool
    arrival_ms: int
    due_ms: int
    late_limit_ms: int
    critical_path_ms: int
    work_core_s: float
    service: str = ""
    target_speed: float = 0.0


class OrderingPolicy(ABC):
    """Ranks waiting steps; the first in the order is placed first."""

    @property
    def shortages(self):
        """{service: `Shortage`} that the order takes into account."""
        return {}

    def start_pass(self, waiting_steps, planning_input):  # noqa: B027 - optional
        """Read what the order of a planning pass depends on, beside each step."""

    @abstractmethod
    def key(self, waiting, now_ms):
        """Return a sort key for a `WaitingStep`; the lowest is placed first."""


class FirstComeFirstServed(OrderingPolicy):
    """Orders by arrival only; a baseline."""

    def key(self, waiting, now_ms):
        """Return the arrival time."""
        return (waiting.arrival_ms,)


class PriorityFirst(OrderingPolicy):
    """Orders by priority, then by arrival; a baseline."""

    def key(self, waiting, now_ms):
        """Return the priority, then the arrival time."""
        return (waiting.priority, waiting.arrival_ms)


class DeadlineAware(OrderingPolicy):
    """Orders guaranteed work first, then work that can still earn credit.

    Work that can end on time precedes work that can only end late; work that can't
    earn late credit either comes last. On-time work is ordered by slack, and other
    work by its remaining critical path, shortest first.
    """

    def key(self, waiting, now_ms):
        """Return (not guaranteed, lateness class, priority, slack or path, arrival)."""
        end_ms = now_ms + waiting.critical_path_ms
        lateness = 0 if end_ms <= waiting.due_ms else 1
        if end_ms > waiting.late_limit_ms:
            lateness = 2
        return (
            not waiting.guaranteed,
            lateness,
            waiting.priority,
            waiting.critical_path_ms
            if lateness
            else waiting.due_ms - waiting.critical_path_ms,
            waiting.arrival_ms,
        )


def core_seconds(step, count):
    """Return the core-seconds of `count` tasks of a step, accelerators included."""
    cores = (
        step.need.cpu_milli / MILLI_PER_UNIT
        + step.need.accelerators * CORES_PER_ACCELERATOR
    )
    return cores * count * step.estimate_ms / MILLI_PER_UNIT


_POLICIES = {
    "first-come": FirstComeFirstServed,
    "priority": PriorityFirst,
    "credit": DeadlineAware,
}


def create_ordering_policy(name="credit"):
    """Return a new policy by its configured name; raises KeyError if unknown."""
    return _POLICIES[name]()
