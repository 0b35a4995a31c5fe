"""Messages between the links and controllers that carry whole jobs."""

from typing import Any, NamedTuple

from knapweedshed.models.calls import WorkCall, WorkReply
from knapweedshed.models.dispatch_actions import OrderOutcome, StartRun, StopRun
from knapweedshed.models.service_configuration import ServiceConfiguration
from knapweedshed.models.work import WorkerEntry


class CallReceived(NamedTuple):
    """A caller's call; `reply` is a future for its `WorkReply`."""

    call: WorkCall
    reply: Any


class CallPassed(NamedTuple):
    """A call that every filter let through."""

    call: WorkCall


class CallAnswered(NamedTuple):
    """What became of a call that was passed on."""

    call_id: str
    reply: WorkReply


class ConfigurationInForce(NamedTuple):
    """A newer configuration."""

    configuration: ServiceConfiguration


class WorkersListed(NamedTuple):
    """The platform's list of workers, whole."""

    entries: tuple[WorkerEntry, ...]


class FollowWorkers(NamedTuple):
    """Whether to read the platform's list: only the acting scheduler needs it."""

    following: bool


class UseWorkerFeed(NamedTuple):
    """The link that reads the platform's list for the scheduler."""

    feed: Any


class UseTail(NamedTuple):
    """The link that reads the work stream."""

    tail: Any


class Hold(NamedTuple):
    """Ask a worker for its lists, and renew its leases."""

    fence: int
    deadline_ms: int
    ends_upto: int
    wait_ms: int


class HoldAnswered(NamedTuple):
    """A worker's lists, or a failure; `sent_ms` is when they were asked for."""

    worker_id: str
    fence: int
    answer: Any
    sent_ms: int


class Order(NamedTuple):
    """Give a worker an order under a fence."""

    order: StartRun | StopRun
    fence: int


class OrderAnswered(NamedTuple):
    """What came of an order."""

    order: StartRun | StopRun
    fence: int
    outcome: OrderOutcome


class PlanNow(NamedTuple):
    """Plan once, after all messages that are already here."""


class Leave(NamedTuple):
    """The process is stopping: give up the role; `reply` is set when it is given up."""

    reply: Any


class ReadyAsked(NamedTuple):
    """Whether this host should get callers; `reply` is a future for a bool."""

    reply: Any


class UseCalls(NamedTuple):
    """The controller that is told what became of calls."""

    calls: Any
