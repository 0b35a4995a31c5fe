"""Whole jobs: job, step, task and run, what they need, and who asked for them."""

from enum import StrEnum
from typing import NamedTuple

MANY_COPIES_COUNT = 1_000_000  # of a task that takes nothing
GANG = -1  # index of a unit that stands for all tasks of a gang step


class Resources(NamedTuple):
    """What a task takes, or what a worker has."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other):
        """Return the sum."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other):
        """Return the difference; entries may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count):
        """Return `count` times this."""
        return Resources(
            self.cpu_milli * count, self.memory_mb * count, self.accelerators * count
        )

    def holds(self, need):
        """Return whether `need` fits into this."""
        return (
            need.cpu_milli <= self.cpu_milli
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def copies_of(self, need):
        """Return how many times `need` fits into this; 0 or more."""
        copies = MANY_COPIES_COUNT
        if need.accelerators:
            copies = self.accelerators // need.accelerators
        if need.cpu_milli:
            copies = min(copies, self.cpu_milli // need.cpu_milli)
        if need.memory_mb:
            copies = min(copies, self.memory_mb // need.memory_mb)
        return max(0, copies)


class Step(NamedTuple):
    """Tasks of one job that are alike.

    `after` has the numbers of earlier steps that must be done. `gang` tasks run only
    together. `same_rack` and `data_rack` cost time where they are not met; `label` and
    `most_per_worker` (0: any number) must be met.
    """

    count: int
    need: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    data_rack: str = ""
    label: str = ""
    most_per_worker: int = 0
    checkpoints: bool = False
    copies: bool = False
    lasting: bool = False


class WorkJob(NamedTuple):
    """A job, complete enough to run it from the log alone.

    The objective for its completion is `objective_factor` times its longest chain of
    work and `objective_ms` more. `repeats` is 0 for a job that runs once, at once;
    otherwise occurrence K is due at `first_wall_ms` + K x `period_ms`.
    """

    job_id: str
    queue: str
    service: str
    organisation: str
    priority: int
    max_failures: int
    objective_factor: float
    objective_ms: int
    specification: str
    steps: tuple[Step, ...]
    accepted_wall_ms: int
    first_wall_ms: int = 0
    period_ms: int = 0
    repeats: int = 0


class Task(NamedTuple):
    """The name of one task; `occurrence` is 0 for a job that runs once."""

    job_id: str
    occurrence: int
    step: int
    index: int


class Unit(NamedTuple):
    """What is started and ends as one: a task, or all tasks of a gang step."""

    job_id: str
    occurrence: int
    step: int
    index: int


class WorkState(StrEnum):
    """What callers are told about a job."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class EndKind(StrEnum):
    """How a worker says that a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class TaskEnd(NamedTuple):
    """The end of one run of a task; `number` counts the ends of its worker."""

    number: int
    task: Task
    run: int
    kind: EndKind
    saved: str = ""


class TaskRun(NamedTuple):
    """A run as its worker lists it; `percent` is its progress."""

    task: Task
    run: int
    saved: str
    percent: float


class WorkerEntry(NamedTuple):
    """A worker as the platform lists it; `incarnation` changes with each start."""

    worker_id: str
    service: str
    address: str
    data_centre: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    incarnation: int
    remaining_ms: int = 0


class WorkerLists(NamedTuple):
    """A worker's answer to a hold: what runs there, and what ended."""

    clock_ms: int
    incarnation: int
    running: tuple[TaskRun, ...]
    ended: tuple[TaskEnd, ...]


def unit_of(task, step):
    """Return the unit that `task` of `step` belongs to."""
    index = GANG if step.gang else task.index
    return Unit(task.job_id, task.occurrence, task.step, index)


def tasks_of(unit, step):
    """Return all tasks of a unit."""
    head = (unit.job_id, unit.occurrence, unit.step)
    if unit.index != GANG:
        return (Task(*head, unit.index),)
    return tuple(Task(*head, index) for index in range(step.count))


def units_in(job_id, occurrence, number, step):
    """Return the units of one step of one occurrence."""
    if step.gang:
        return (Unit(job_id, occurrence, number, GANG),)
    return tuple(Unit(job_id, occurrence, number, index) for index in range(step.count))
