"""Hosts, workers, leases and runners as the platform shows them."""

from enum import StrEnum
from typing import NamedTuple


class HostState(StrEnum):
    """What the platform's host list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(NamedTuple):
    """One line of the platform's host list."""

    name: str
    role: str
    data_centre: str
    rack: str
    address: str
    state: HostState = HostState.LIVE
    incarnation: str = ""
    slots: int = 0


class LeaseState(StrEnum):
    """What runs under a lease."""

    EMPTY = "empty"
    HELD = "held"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


ENDED_STATES = (LeaseState.FINISHED, LeaseState.FAILED, LeaseState.STOPPED)


class Labels(NamedTuple):
    """What we attach to a lease, and read back after our own restart."""

    job_id: str
    attempt: int
    member: int
    members: int
    organisation: str
    borrowed: bool
    can_checkpoint: bool
    idempotent: bool
    urgency: str
    started_wall_ms: int


class Lease(NamedTuple):
    """A lease as its worker reports it; `remaining_ms` counts at the worker."""

    lease_id: str
    labels: Labels
    accelerators: tuple[int, ...]
    state: LeaseState
    remaining_ms: int
    answer_length: int = 0
    answer_digest: str = ""
    reason: str = ""
    run_ms: int = 0


class WorkerReport(NamedTuple):
    """A worker's whole state; `version` grows with every change."""

    worker: str
    incarnation: str
    accelerators: int
    speed: float
    version: int
    leases: tuple[Lease, ...] = ()
    unknown: tuple[str, ...] = ()
