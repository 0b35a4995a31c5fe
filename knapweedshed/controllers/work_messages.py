"""Messages between the actors of a host: calls about jobs, workers and orders."""

from typing import Any, NamedTuple

from knapweedshed.models.calls import WorkCall, WorkReply
from knapweedshed.models.dispatch_actions import OrderOutcome, StartRun, StopRun
from knapweedshed.models.service_configuration import ServiceConfiguration
from knapweedshed.models.work import WorkerEntry


class CallReceived(NamedTuple):
    """A call has arrived; `reply` is a future for its `WorkReply`."""

    call: WorkCall
    reply: Any


class CallAdmitted(NamedTuple):
    """A call has passed every filter."""

    call: WorkCall


class CallAnswered(NamedTuple):
    """The reply to an admitted call."""

    call_id: str
    reply: WorkReply


class ServiceConfigurationUpdated(NamedTuple):
    """A newer service configuration has taken effect."""

    configuration: ServiceConfiguration


class EvacuationsRead(NamedTuple):
    """The names of all evacuated data centres, by a read sent at `read_ms`."""

    data_centres: frozenset[str]
    read_ms: int


class WorkersListed(NamedTuple):
    """The platform's complete list of workers."""

    entries: tuple[WorkerEntry, ...]


class SetWorkerPolling(NamedTuple):
    """Start or stop polling the worker list; only the acting scheduler needs it."""

    enabled: bool


class UseWorkerFeed(NamedTuple):
    """Gives the scheduler the link that polls the platform's list of workers."""

    feed: Any


class UseLogTail(NamedTuple):
    """Gives a controller the link that reads the work stream."""

    tail: Any


class OpenWorker(NamedTuple):
    """Connect to a worker at the address of its entry, in place of an earlier one."""

    entry: WorkerEntry


class CloseWorker(NamedTuple):
    """Close the connections to a worker."""

    worker_id: str


class HoldRequest(NamedTuple):
    """Hold a worker: renew its leases, and wait for its lists of runs.

    `deadline_ms` is the new end of the leases on the worker's clock, or 0 to renew
    none, while that clock isn't known or this host may not give orders. The worker may
    forget the ends numbered up to `acknowledged_upto`. It answers within `wait_ms`,
    earlier if a run ends.
    """

    worker_id: str
    fence: int
    deadline_ms: int
    acknowledged_upto: int
    wait_ms: int


class HoldResponse(NamedTuple):
    """A worker's lists of runs, or a failure; the request was sent at `sent_ms`."""

    worker_id: str
    fence: int
    answer: Any
    sent_ms: int


class OrderRequest(NamedTuple):
    """Send an order to a worker under a fence.

    A start that can't be sent by `valid_until_ms` on the monotonic clock is not sent.
    """

    order: StartRun | StopRun
    fence: int
    valid_until_ms: int


class WithdrawWaitingStarts(NamedTuple):
    """Send a worker no start that still waits; each is reported as not sent."""

    worker_id: str


class OrderResponse(NamedTuple):
    """The outcome of an order."""

    order: StartRun | StopRun
    fence: int
    outcome: OrderOutcome


class PlanNow(NamedTuple):
    """Plan once, after the messages that are queued already."""


class ResignRole(NamedTuple):
    """Resign the role because the process stops; `reply` is set once that is done."""

    reply: Any


class ReadinessAsked(NamedTuple):
    """Ask whether this host should receive calls; `reply` is a future for a bool."""

    reply: Any


class UseCallsController(NamedTuple):
    """Gives the jobs controller the controller that receives the answers to calls."""

    calls: Any
