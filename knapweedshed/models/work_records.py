"""Record types of multi-step jobs: one log stream, in one order for all readers."""

from typing import NamedTuple

from knapweedshed.models.work import TaskEnd, Unit, WorkJob

WORK_STREAM = "work"
ALL_STEPS = -1


class WorkAccepted(NamedTuple):
    """A job was accepted; the first record for a job id wins."""

    job: WorkJob


class WorkCancelled(NamedTuple):
    """A caller has requested cancellation of a job, which may not be accepted yet."""

    job_id: str


class TasksEnded(NamedTuple):
    """Ends that workers reported, written by the acting scheduler of `epoch`."""

    epoch: int
    ends: tuple[TaskEnd, ...]


class Launched(NamedTuple):
    """One run of a unit; `workers` has (worker id, incarnation) for each task."""

    unit: Unit
    run: int
    workers: tuple[tuple[str, int], ...]


class RunsLaunched(NamedTuple):
    """Runs that the acting scheduler of `epoch` starts once it has read this back."""

    epoch: int
    launches: tuple[Launched, ...]


class ActingClaimed(NamedTuple):
    """A host claims the role of acting scheduler, the one that sends orders to workers.

    The claim is valid if `epoch` is one more than the last.
    """

    epoch: int
    host: str


class ActingBeat(NamedTuple):
    """Heartbeat of the acting scheduler; tells its epoch to readers that start late.

    `epoch` was in force at `read_offset`, the last offset that its writer had read; -1
    in the records of earlier releases.
    """

    epoch: int
    host: str = ""
    read_offset: int = -1


class DoneRange(NamedTuple):
    """Units that are done: all of some occurrences, or some of one step.

    The position of a gang in its step is 0.
    """

    first_occurrence: int
    last_occurrence: int
    step: int = ALL_STEPS
    first_index: int = 0
    last_index: int = 0


class WorkSnapshot(NamedTuple):
    """The state of an open job, for readers that start after its earlier records.

    The units that are done are in `done`, or in `done_ranges` if there are many.
    `failed` has (unit, run) of each failed run, `saved` (unit, run, checkpoint).
    `written_wall_ms` is when the snapshot was written.
    """

    epoch: int
    job: WorkJob
    done: tuple[Unit, ...] = ()
    failed: tuple[tuple[Unit, int], ...] = ()
    saved: tuple[tuple[Unit, int, str], ...] = ()
    launched: tuple[Launched, ...] = ()
    written_wall_ms: int = 0
    done_ranges: tuple[DoneRange, ...] = ()


class SpeedsLearned(NamedTuple):
    """Measured speeds of workers, for the next acting scheduler.

    `speeds` has (worker id, incarnation, speed in percent of the mean).
    """

    epoch: int
    speeds: tuple[tuple[str, int, int], ...]


class PriorityLoad(NamedTuple):
    """The load of one service by work of one priority.

    `waiting_core_s` is the work that waits and can still end within three times its
    objective, `finished_core_s` what was finished per second recently, in core-seconds.
    A job submitted now would start in `start_in_ms`; -1 if that isn't known.
    """

    service: str
    priority: int
    waiting_core_s: float
    finished_core_s: float
    start_in_ms: int


class LoadReported(NamedTuple):
    """Load of the services that are short of capacity; none are without any `loads`."""

    epoch: int
    loads: tuple[PriorityLoad, ...] = ()


class ActingResigned(NamedTuple):
    """The acting scheduler of `epoch` sends no more orders."""

    epoch: int


class ActingEnded(NamedTuple):
    """The acting scheduler of `epoch` renews no more leases.

    `leases` has (worker id, milliseconds) for how long the lease of each known worker
    may still hold, 0 if it has certainly expired. Other workers may hold a whole lease.
    """

    epoch: int
    leases: tuple[tuple[str, int], ...] = ()


RECORD_TYPES = (
    WorkAccepted,
    WorkCancelled,
    TasksEnded,
    Launched,
    RunsLaunched,
    ActingClaimed,
    ActingBeat,
    ActingEnded,
    ActingResigned,
    SpeedsLearned,
    PriorityLoad,
    LoadReported,
    DoneRange,
    WorkSnapshot,
)
