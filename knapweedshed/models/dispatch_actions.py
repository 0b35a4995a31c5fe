"""Actions that the dispatcher returns: orders to workers, log records and events."""

from enum import StrEnum
from typing import NamedTuple

from knapweedshed.models.work import EndKind, Task, TaskEnd, Unit
from knapweedshed.models.work_records import Launched


class StartRun(NamedTuple):
    """Start a run on a worker, from the checkpoint `saved` unless it is "".

    `deadline_ms` is on the worker's clock.
    """

    worker_id: str
    task: Task
    run: int
    specification: str
    saved: str
    deadline_ms: int


class StopRun(NamedTuple):
    """Stop a run on a worker, which then refuses to start this run number again."""

    worker_id: str
    task: Task
    run: int


class WithdrawStarts(NamedTuple):
    """Send no start to a worker that was decided before and still waits to be sent."""

    worker_id: str


class StartsGivenUp(NamedTuple):
    """Starts that an evacuation prevents.

    `units` have a launch that is not read back yet; `worker_ids` are workers with
    starts that wait or are not answered.
    """

    units: tuple[Unit, ...]
    worker_ids: tuple[str, ...]


class RecordTaskEnds(NamedTuple):
    """Write ends to the log; workers are asked to discard them only after that."""

    ends: tuple[TaskEnd, ...]


class RecordLaunches(NamedTuple):
    """Write launches to the log before they are started."""

    launches: tuple[Launched, ...]


class Preempted(NamedTuple):
    """Units were preempted for another; `lost_core_s` is the work lost by it.

    `guaranteed` tells whether the preempting unit runs under a guarantee; `worker_ids`
    has the worker of each of its tasks, once the stops have ended. `again` has those of
    the units that were preempted before, which only a guarantee requires.
    """

    units: tuple[Unit, ...]
    preempting_unit: Unit
    guaranteed: bool
    lost_core_s: float
    worker_ids: tuple[str, ...] = ()
    again: tuple[Unit, ...] = ()


class StopCause(StrEnum):
    """Why a run was ordered to stop; the values are log fields and metric names."""

    PREEMPTED_FOR_GUARANTEED = "preempted for guaranteed work"
    PREEMPTED_FOR_URGENT = "preempted for urgent work"
    GANG_MEMBER_FAILED = "gang member failed"
    WORKER_LEAVING = "worker leaving"
    WORKER_HANGS = "worker hangs"
    CANCELLED = "cancelled"
    START_NOT_CONFIRMED = "start not confirmed"
    SUPERSEDED = "superseded"


class RunStopped(NamedTuple):
    """A run was ordered to stop; all tasks of a gang are stopped together.

    `percent` is the lowest progress that its workers reported, `ran_ms` the time since
    its start was recorded, or since a scheduler took it over. `has_checkpoint` tells
    whether it has saved a state to resume from.
    """

    unit: Unit
    run: int
    cause: StopCause
    percent: float
    ran_ms: int
    has_checkpoint: bool
    worker_ids: tuple[str, ...]


class HeadroomChanged(NamedTuple):
    """The number of workers kept for urgent work in a service has changed.

    `peak_cores` is the highest concurrent need of recent urgent work, seen
    `peak_age_ms` ago; `used_cores` is what urgent work uses now and `freed_cores` what
    ends by itself in time. `target_cores` follows from these, at most `max_cores`. All
    cores are priced: an accelerator counts as 8.
    """

    service: str
    worker_count: int
    target_cores: float
    peak_cores: float
    used_cores: float
    freed_cores: float
    max_cores: float
    peak_age_ms: int


class RunLost(NamedTuple):
    """A run failed, or its lease lapsed."""

    worker_id: str
    task: Task
    run: int
    kind: EndKind


class WorkerHung(NamedTuple):
    """A worker is quarantined because none of its runs makes progress.

    `no_progress_ms` is the shortest time without progress of any run there.
    """

    worker_id: str
    no_progress_ms: int
    progress_percents: tuple[float, ...]


class UnitMoved(NamedTuple):
    """A unit's run is stopped because a worker that it runs on is leaving.

    `time_left_ms` is the least time until the worker is gone, or None if unknown.
    `work_left_ms` is the estimated time until the run ends, or None if it is
    long-running or can't be estimated. `percent` is the least progress of its tasks;
    the oldest answer that told it is `answer_age_ms` old.
    """

    unit: Unit
    run: int
    worker_ids: tuple[str, ...]
    time_left_ms: int | None
    work_left_ms: int | None
    percent: float
    answer_age_ms: int


class OrderOutcome(NamedTuple):
    """The outcome of an order: `done`, `refused` (with a reason) or `unknown`."""

    kind: str
    reason: str = ""


ORDER_DONE = "done"
ORDER_REFUSED = "refused"
ORDER_UNKNOWN = "unknown"
REASON_FENCE = "fence"
REASON_STALE_RUN = "old"
REASON_LATE = "late"
REASON_NO_CAPACITY = "room"
REASON_UNHEALTHY = "unhealthy"
REASON_OTHER_INCARNATION = "other incarnation"
REASON_UNREACHABLE = "unreachable"
REASON_NOT_SENT = "not sent: no recent answer from the log"
REASON_EXPIRED = "not sent: waited too long for earlier orders"
REASON_WITHDRAWN = "not sent: withdrawn"
