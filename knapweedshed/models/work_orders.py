"""What the scheduler's decisions ask for: orders to workers and records for the log."""

from typing import NamedTuple

from knapweedshed.models.work import EndKind, Task, TaskEnd, Unit
from knapweedshed.models.work_records import Launched


class StartRun(NamedTuple):
    """Start a run at a worker; `deadline_ms` is on the worker's clock."""

    worker_id: str
    task: Task
    run: int
    specification: str
    saved: str
    deadline_ms: int


class StopRun(NamedTuple):
    """Stop a run at a worker, and bar its number there."""

    worker_id: str
    task: Task
    run: int


class RecordEnds(NamedTuple):
    """Write ends to the log before their workers may forget them."""

    ends: tuple[TaskEnd, ...]


class RecordLaunches(NamedTuple):
    """Write what is about to be started."""

    launches: tuple[Launched, ...]


class Preempted(NamedTuple):
    """Units that are stopped for another, and the core-seconds that this loses."""

    units: tuple[Unit, ...]
    wanted_by: Unit
    guaranteed: bool
    lost: float


class RunLost(NamedTuple):
    """A run ended as failed, or its lease has lapsed."""

    worker_id: str
    task: Task
    run: int
    kind: EndKind


class WorkerHangs(NamedTuple):
    """A worker on which nothing has moved for a while is left out."""

    worker_id: str
    still_ms: int
    percents: tuple[float, ...]


class OrderOutcome(NamedTuple):
    """What came of an order: `done`, `refused` (with a reason), or `unknown`."""

    kind: str
    reason: str = ""


DONE = "done"
REFUSED = "refused"
UNKNOWN = "unknown"
REASON_FENCE = "fence"
REASON_OLD = "old"
REASON_LATE = "late"
REASON_ROOM = "room"
REASON_UNHEALTHY = "unhealthy"
REASON_OTHER_INCARNATION = "other incarnation"
REASON_UNREACHABLE = "unreachable"
