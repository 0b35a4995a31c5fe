"""An attempt to run a gang: its members, what happened to them, what to do next."""

from enum import StrEnum
from typing import NamedTuple

from knapweedshed.models.shapes import Placement
from knapweedshed.models.workers import Lease


class Phase(StrEnum):
    """How far an attempt has come."""

    LEASING = "leasing"
    INTENT = "intent"
    LOADING = "loading"
    RELEASING = "releasing"
    RUNNING = "running"
    STOPPING = "stopping"
    CLEARING = "clearing"
    ENDED = "ended"


class Outcome(StrEnum):
    """How an attempt ended.

    `NOT_RUN` is proven by the workers; `LOST` may have run.
    """

    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    NOT_RUN = "not_run"
    LOST = "lost"


class Member(NamedTuple):
    """One member of the gang under its lease.

    `may_run` is set before anything is sent that could make the task run.
    `in_doubt` says that a start had no answer. `cleared` is the state that the
    worker reported when the lease was ended.
    """

    lease_id: str
    placement: Placement
    granted: bool = False
    loaded: bool = False
    released: bool = False
    finished: bool = False
    may_run: bool = False
    in_doubt: bool = False
    cleared: str = ""
    token: str = ""
    lease: Lease | None = None


class Attempt(NamedTuple):
    """One attempt at a job."""

    job_id: str
    number: int
    members: tuple[Member, ...]
    needs_intent: bool
    phase: Phase = Phase.LEASING
    goal: Outcome = Outcome.NOT_RUN
    reason: str = ""
    since_ms: int = 0
    intent_id: str = ""

    @property
    def is_gang(self):
        """Whether members must be held at a barrier until all are loaded."""
        return len(self.members) > 1


class LeaseGranted(NamedTuple):
    """The worker granted a member's lease."""

    member: int


class CommandFailed(NamedTuple):
    """A command had no effect (`refused`), or nobody knows whether it had."""

    member: int
    verb: str
    refused: bool
    reason: str


class TaskLoaded(NamedTuple):
    """The worker took a member's task."""

    member: int


class TaskReleased(NamedTuple):
    """The worker lets a member's task run."""

    member: int


class LeaseSeen(NamedTuple):
    """What a worker's report says of a member's lease."""

    member: int
    lease: Lease


class LeaseGone(NamedTuple):
    """The lease is over and its worker doesn't say in which state it ended."""

    member: int
    reason: str


class LeaseCleared(NamedTuple):
    """The worker ended and barred the lease; `state` is what it was before."""

    member: int
    state: str


class TaskStopped(NamedTuple):
    """The worker stopped a member's task; `token` is its checkpoint."""

    member: int
    token: str


class IntentSettled(NamedTuple):
    """The log shows which intent is first for this attempt."""

    won: bool


class StopAsked(NamedTuple):
    """Stop the attempt, after a checkpoint where `checkpoint` says so."""

    reason: str
    checkpoint: bool


class Ticked(NamedTuple):
    """Time has passed; repeat what had no answer."""

    now_ms: int


class Send(NamedTuple):
    """Send a command for a member: grant, start, start-held, release, stop, free."""

    verb: str
    member: int


class RecordIntent(NamedTuple):
    """Append the intent, naming the leases."""


class End(NamedTuple):
    """The attempt is over."""

    outcome: Outcome
    reason: str
