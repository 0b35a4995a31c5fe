"""Multi-step jobs: jobs, steps, tasks and runs, and the resources that they need.

A job has steps, a step has tasks that are alike, and a task is run until one run is
done. A job that repeats has occurrences, each with all of its tasks.
"""

from enum import StrEnum
from typing import NamedTuple

UNLIMITED_COPIES_COUNT = 1_000_000  # for a task that needs no resources
GANG_INDEX = -1  # index of a unit that is all tasks of a gang step


class Resources(NamedTuple):
    """The resources that a task needs, or that a worker has.

    `cpu_milli` is in thousandths of a core.
    """

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
        """Return these resources multiplied by `count`."""
        return Resources(
            self.cpu_milli * count, self.memory_mb * count, self.accelerators * count
        )

    def can_fit(self, need):
        """Return whether `need` fits into these resources."""
        return (
            need.cpu_milli <= self.cpu_milli
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def copies_that_fit(self, need):
        """Return how many times `need` fits into these resources; 0 or more."""
        copies = UNLIMITED_COPIES_COUNT
        if need.accelerators:
            copies = self.accelerators // need.accelerators
        if need.cpu_milli:
            copies = min(copies, self.cpu_milli // need.cpu_milli)
        if need.memory_mb:
            copies = min(copies, self.memory_mb // need.memory_mb)
        return max(0, copies)


class Step(NamedTuple):
    """Tasks of one job that are alike.

    `after` has the numbers of earlier steps that must be done first. `gang` tasks run
    only together. `same_rack` and `data_rack` are preferences: tasks run slower where
    they are not met. `label` and `most_per_worker` (0: no limit) are requirements.
    `checkpoints` means that the tasks save checkpoints, `copies` that they may run as
    speculative copies. `lasting` tasks are long-running: the end of a run neither
    completes nor fails them. `may_miss` (0: no limit) is how many tasks of a lasting
    step may be unavailable because of the scheduler.
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
    may_miss: int = 0


class WorkJob(NamedTuple):
    """A job; has all that is needed to run it from the log alone.

    The objective is to complete it within `objective_factor` times its critical path,
    plus `objective_ms`. `repeats` is 0 for a job that runs once, immediately; otherwise
    occurrence K is due at `first_wall_ms` + K x `period_ms`.
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
    """Identifies one task; `occurrence` is 0 for a job that runs once."""

    job_id: str
    occurrence: int
    step: int
    index: int


class Unit(NamedTuple):
    """Identifies what starts and ends together: a task, or all tasks of a gang step."""

    job_id: str
    occurrence: int
    step: int
    index: int


class WorkState(StrEnum):
    """The state of a job, as callers see it."""

    PENDING = "pending"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class EndKind(StrEnum):
    """How a run ended, as its worker reports it; the values are the platform's.

    `BROKEN` means that another run of the gang failed, `LAPSED` that the lease ran out.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class TaskEnd(NamedTuple):
    """The end of one run of a task.

    `number` counts the ends of its worker. `saved` is the last checkpoint, or "".
    """

    number: int
    task: Task
    run: int
    kind: EndKind
    saved: str = ""


class TaskRun(NamedTuple):
    """A run as its worker reports it; `percent` is its progress."""

    task: Task
    run: int
    saved: str
    percent: float


class WorkerEntry(NamedTuple):
    """A worker as the platform lists it.

    `incarnation` changes whenever the worker restarts. The worker is cold, and slow,
    until `cold_until_ms` on this host's monotonic clock; 0 if it isn't cold.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    incarnation: int
    remaining_ms: int = 0
    cold_until_ms: int = 0


class HoldAnswer(NamedTuple):
    """A worker's answer to a hold: the runs on it, and the ends of earlier ones.

    A hold is a request that raises the worker's fence and renews its leases.
    `clock_ms` is on the worker's clock. `is_complete` is false if the worker may have
    more ends than the answer lists: a run that is in neither list has not gone then.
    """

    clock_ms: int
    incarnation: int
    running: tuple[TaskRun, ...]
    ended: tuple[TaskEnd, ...]
    is_complete: bool


def unit_of_task(task, step):
    """Return the unit that `task` of `step` belongs to."""
    index = GANG_INDEX if step.gang else task.index
    return Unit(task.job_id, task.occurrence, task.step, index)


def tasks_of_unit(unit, step):
    """Return all tasks of a unit."""
    head = (unit.job_id, unit.occurrence, unit.step)
    if unit.index != GANG_INDEX:
        return (Task(*head, unit.index),)
    return tuple(Task(*head, index) for index in range(step.count))


def units_of_step(job_id, occurrence, number, step):
    """Return the units of one step of one occurrence."""
    if step.gang:
        return (Unit(job_id, occurrence, number, GANG_INDEX),)
    return tuple(Unit(job_id, occurrence, number, index) for index in range(step.count))
