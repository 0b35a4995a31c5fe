"""The input and the output of a data centre's planner."""

from typing import NamedTuple

from knapweedshed.models.configuration import Organisation, Urgency
from knapweedshed.models.shapes import Placement, Shape
from knapweedshed.results import Result


class WorkerView(NamedTuple):
    """A worker that may get jobs; bit i of `free` is set if accelerator i is free."""

    name: str
    rack: str
    accelerators: int
    speed: float
    free: int


class RunningView(NamedTuple):
    """A job's attempt that holds accelerators.

    `reclaim_cost` is the work lost if it is preempted, in accelerator-milliseconds.
    `reclaimable` tells whether the job may be stopped and run again: it is idempotent
    or can be checkpointed.
    """

    job_id: str
    organisation: str
    shape: Shape
    placements: tuple[Placement, ...]
    started_ms: int
    predicted_end_ms: int
    reclaimable: bool
    reclaim_cost: int
    urgency: Urgency = Urgency.NORMAL


class WaitingView(NamedTuple):
    """A job that waits for accelerators; times are in milliseconds."""

    job_id: str
    organisation: str
    shape: Shape
    urgency: Urgency
    waiting_since_ms: int
    predicted_run_ms: int
    reclaimable: bool


class PendingReclaim(NamedTuple):
    """Accelerators of preempted jobs that are being freed for the waiting `job_id`."""

    job_id: str
    placements: tuple[Placement, ...]


class PlanningInput(NamedTuple):
    """Everything that one planning step reads.

    `worker_sizes` has (rack, accelerators) of every listed worker, usable or not. It is
    empty until all listed workers have reported.
    """

    now_ms: int
    data_centre: str
    workers: tuple[WorkerView, ...]
    running: tuple[RunningView, ...]
    waiting: tuple[WaitingView, ...]
    organisations: tuple[Organisation, ...]
    pending_reclaims: tuple[PendingReclaim, ...] = ()
    worker_sizes: tuple[tuple[str, int], ...] = ()


class Launch(NamedTuple):
    """A job to start now; `borrowed` if its guarantee doesn't cover it."""

    job_id: str
    placements: tuple[Placement, ...]
    borrowed: bool


class Reclaim(NamedTuple):
    """A preemption: jobs to stop, and the accelerators to keep for `job_id`."""

    job_id: str
    victims: tuple[str, ...]
    placements: tuple[Placement, ...]


class Refusal(NamedTuple):
    """A job that can never run, with the result to return."""

    job_id: str
    result: Result


class UnmetGuarantee(NamedTuple):
    """A guarantee that the current inventory can't hold; `accelerators` are missing."""

    organisation: str
    accelerators: int


class Plan(NamedTuple):
    """The decisions of one planning step."""

    launches: tuple[Launch, ...] = ()
    reclaims: tuple[Reclaim, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    unmet: tuple[UnmetGuarantee, ...] = ()
