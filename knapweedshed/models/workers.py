"""Hosts, workers and leases, as the platform reports them."""

from enum import StrEnum
from typing import NamedTuple


class HostState(StrEnum):
    """The state of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


class Host(NamedTuple):
    """One entry of the platform's host list."""

    name: str
    role: str
    data_centre: str
    rack: str
    address: str
    state: HostState = HostState.LIVE
    incarnation: str = ""
    slots: int = 0


class HostListing(NamedTuple):
    """The platform's list of hosts, and why other entries of it can't be used."""

    hosts: tuple[Host, ...]
    unreadable: tuple[str, ...] = ()


class LeaseState(StrEnum):
    """The state of the task under a lease; a held task is loaded but must not run."""

    EMPTY = "empty"
    HELD = "held"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


ENDED_LEASE_STATES = (LeaseState.FINISHED, LeaseState.FAILED, LeaseState.STOPPED)


class Labels(NamedTuple):
    """Data that the scheduler attaches to a lease and reads back after a restart."""

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
    """A lease as its worker reports it.

    `remaining_ms` is the time left on the worker's clock, `run_ms` the run time of the
    task.
    """

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
    """The full state of a worker; `version` increases with every change.

    `unknown` has the ids of leases that were to be renewed and are not known there.
    """

    worker: str
    incarnation: str
    accelerators: int
    speed: float
    version: int
    leases: tuple[Lease, ...] = ()
    unknown: tuple[str, ...] = ()
