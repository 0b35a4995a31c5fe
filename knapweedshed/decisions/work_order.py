"""The order in which waiting units are considered; one policy is in use."""

from abc import ABC, abstractmethod
from typing import NamedTuple

LATE_FACTOR = 3.0  # a job counts as late up to three times its objective: rules page
ACCELERATOR_CORES = 8  # an accelerator's price in cores: rules page
MILLI = 1_000


class WaitingStep(NamedTuple):
    """The units of one step that may start now; they are alike.

    `count` is the number of a unit's tasks; `chain_ms` is the work
    left on the longest chain of the job, at the speed of a sound
    worker; `work` is the unit's size in core-seconds.
    """

    units: tuple
    step: object
    count: int
    priority: int
    guaranteed: bool
    since_ms: int
    due_ms: int
    late_ms: int
    chain_ms: int
    work: float
    service: str = ""
    wanted_speed: float = 0.0


class WorkOrder(ABC):
    """Sorts what waits; the first gets its place first."""

    @abstractmethod
    def key(self, waiting, now_ms):
        """Return a sort key; the lowest goes first."""


class FirstCome(WorkOrder):
    """By acceptance alone; a baseline."""

    def key(self, waiting, now_ms):
        """Return the time of acceptance."""
        return (waiting.since_ms,)


class PriorityFirst(WorkOrder):
    """By priority, then by acceptance; a baseline."""

    def key(self, waiting, now_ms):
        """Return priority, then the time of acceptance."""
        return (waiting.priority, waiting.since_ms)


class CreditFirst(WorkOrder):
    """Guaranteed urgent work first, then what still earns, short work before long.

    What can't end in time gives way to what can; what can't even end late goes last.
    """

    def key(self, waiting, now_ms):
        """Return (not guaranteed, lateness class, priority, size of the work left)."""
        end_ms = now_ms + waiting.chain_ms
        lateness = 0 if end_ms <= waiting.due_ms else 1
        if end_ms > waiting.late_ms:
            lateness = 2
        return (
            not waiting.guaranteed,
            lateness,
            waiting.priority,
            waiting.chain_ms if lateness else waiting.due_ms - waiting.chain_ms,
            waiting.since_ms,
        )


def work_of(step, count):
    """Return the core-seconds of `count` tasks of a step, accelerators included."""
    cores = step.need.cpu_milli / MILLI + step.need.accelerators * ACCELERATOR_CORES
    return cores * count * step.estimate_ms / MILLI


_ORDERS = {"first-come": FirstCome, "priority": PriorityFirst, "credit": CreditFirst}


def create_work_order(name="credit"):
    """Return the order called `name`."""
    return _ORDERS[name]()
