"""Records of the log that carries whole jobs: one stream, one order for all readers."""

from typing import NamedTuple

from knapweedshed.models.work import TaskEnd, Unit, WorkJob

WORK_STREAM = "work"


class WorkAccepted(NamedTuple):
    """A caller's job; the first one of a job id counts."""

    job: WorkJob


class WorkCancelled(NamedTuple):
    """A caller's wish that a job runs no further."""

    job_id: str


class TasksEnded(NamedTuple):
    """Ends that workers listed, written by the scheduler that acts under `epoch`."""

    epoch: int
    ends: tuple[TaskEnd, ...]


class Launched(NamedTuple):
    """One run of a unit; `workers` has (id, incarnation) for each of its tasks."""

    unit: Unit
    run: int
    workers: tuple[tuple[str, int], ...]


class RunsLaunched(NamedTuple):
    """Runs that the scheduler of `epoch` is about to start; it waits to read this."""

    epoch: int
    launches: tuple[Launched, ...]


class ActingClaimed(NamedTuple):
    """A host takes the scheduler's role; counts if `epoch` follows the last one."""

    epoch: int
    host: str


class ActingBeat(NamedTuple):
    """The acting scheduler of `epoch` is alive; tells readers that begin late of it."""

    epoch: int
    host: str = ""


class WorkSnapshot(NamedTuple):
    """All that the log has said of an open job, for readers that begin after it.

    `failed` has (unit, run) of each failed run.
    """

    epoch: int
    job: WorkJob
    done: tuple[Unit, ...] = ()
    failed: tuple[tuple[Unit, int], ...] = ()
    saved: tuple[tuple[Unit, int, str], ...] = ()
    launched: tuple[Launched, ...] = ()
    written_wall_ms: int = 0


class SpeedsLearned(NamedTuple):
    """Speeds that workers have shown, for whoever acts next.

    `speeds` has (worker id, incarnation, speed in percent of the mean).
    """

    epoch: int
    speeds: tuple[tuple[str, int, int], ...]


class ActingResigned(NamedTuple):
    """The acting scheduler of `epoch` orders nothing any more."""

    epoch: int


RECORDS = (
    WorkAccepted,
    WorkCancelled,
    TasksEnded,
    Launched,
    RunsLaunched,
    ActingClaimed,
    ActingBeat,
    ActingResigned,
    SpeedsLearned,
    WorkSnapshot,
)
