"""What the planner sees of one data centre, and what it decides."""

from typing import NamedTuple

from knapweedshed.models.configuration import Organisation, Urgency
from knapweedshed.models.shapes import Placement, Shape
from knapweedshed.results import Result


class WorkerView(NamedTuple):
    """One usable worker; bit i of `free` says that accelerator i is free."""

    name: str
    rack: str
    accelerators: int
    speed: float
    free: int


class RunningView(NamedTuple):
    """One attempt that holds accelerators; `reclaim_cost` is work lost by a stop.

    `reclaimable` says that a stop keeps every promise: the job is idempotent, or
    can be checkpointed.
    """

    job_id: str
    organisation: str
    shape: Shape
    placements: tuple[Placement, ...]
    started_ms: int
    ends_ms: int
    reclaimable: bool
    reclaim_cost: int
    urgency: Urgency = Urgency.NORMAL


class WaitingView(NamedTuple):
    """One job that waits for accelerators."""

    job_id: str
    organisation: str
    shape: Shape
    urgency: Urgency
    since_ms: int
    predicted_ms: int
    reclaimable: bool


class Claim(NamedTuple):
    """Accelerators that are being reclaimed for a waiting job."""

    job_id: str
    placements: tuple[Placement, ...]


class Situation(NamedTuple):
    """Everything that one planning step looks at.

    `known` has (rack, accelerators) of every listed worker, usable now or not.
    """

    now_ms: int
    data_centre: str
    workers: tuple[WorkerView, ...]
    running: tuple[RunningView, ...]
    waiting: tuple[WaitingView, ...]
    organisations: tuple[Organisation, ...]
    claims: tuple[Claim, ...] = ()
    known: tuple[tuple[str, int], ...] = ()


class Launch(NamedTuple):
    """Start this job here now."""

    job_id: str
    placements: tuple[Placement, ...]
    borrowed: bool


class Reclaim(NamedTuple):
    """Stop these jobs, and keep the accelerators for `job_id`."""

    job_id: str
    victims: tuple[str, ...]
    placements: tuple[Placement, ...]


class Refusal(NamedTuple):
    """This job can never run, and why."""

    job_id: str
    result: Result


class Unmet(NamedTuple):
    """A guarantee that the inventory of the moment can't hold."""

    organisation: str
    accelerators: int


class Plan(NamedTuple):
    """What one planning step decides."""

    launches: tuple[Launch, ...] = ()
    reclaims: tuple[Reclaim, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    unmet: tuple[Unmet, ...] = ()
