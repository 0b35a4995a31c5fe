"""An attempt to run a job: its state, and the events and actions of its rules."""

from enum import StrEnum
from typing import NamedTuple

from knapweedshed.models.shapes import Placement
from knapweedshed.models.workers import Lease


class AttemptPhase(StrEnum):
    """The phase of an attempt.

    Leases are requested, the intent is appended to the log, the tasks are loaded, held
    tasks are released, and all run. An attempt that ends early stops its tasks at a
    checkpoint if it was asked to, and then frees (clears) its leases.
    """

    LEASING = "leasing"
    INTENT = "intent"
    LOADING = "loading"
    RELEASING = "releasing"
    RUNNING = "running"
    STOPPING = "stopping"
    CLEARING = "clearing"
    ENDED = "ended"


class AttemptOutcome(StrEnum):
    """How an attempt ended.

    `NOT_RUN` is confirmed by every worker; a `LOST` attempt may have run.
    """

    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    NOT_RUN = "not_run"
    LOST = "lost"


class Member(NamedTuple):
    """One member of the gang, and the state of its lease.

    `may_run` is set before a command is sent that can make the task run.
    `start_unconfirmed` is set when a start command got no answer. `end_state` is the
    state that the worker reported when the lease was freed: `gone` if it reported none,
    `never` if it refused the grant, "" before that.
    """

    lease_id: str
    placement: Placement
    granted: bool = False
    loaded: bool = False
    released: bool = False
    finished: bool = False
    may_run: bool = False
    start_unconfirmed: bool = False
    end_state: str = ""
    checkpoint_token: str = ""
    lease: Lease | None = None


class Attempt(NamedTuple):
    """One attempt to run a job.

    `tracked_since_ms` is when this scheduler created or adopted the attempt; phase
    time limits count from it. `needs_intent` is set for jobs that are not
    idempotent: no task is loaded before the attempt's intent, a log record that names
    its leases, was read back as the first one.
    """

    job_id: str
    number: int
    members: tuple[Member, ...]
    needs_intent: bool
    phase: AttemptPhase = AttemptPhase.LEASING
    target_outcome: AttemptOutcome = AttemptOutcome.NOT_RUN
    reason: str = ""
    tracked_since_ms: int = 0
    intent_id: str = ""

    @property
    def is_gang(self):
        """Whether loaded tasks must wait until all members are loaded."""
        return len(self.members) > 1


class LeaseGranted(NamedTuple):
    """A worker granted a member's lease."""

    member: int


class CommandFailed(NamedTuple):
    """A command was refused and had no effect, or its outcome is unknown."""

    member: int
    verb: str
    refused: bool
    reason: str


class TaskLoaded(NamedTuple):
    """A worker loaded a member's task."""

    member: int


class TaskReleased(NamedTuple):
    """A worker let a member's held task run."""

    member: int


class LeaseReported(NamedTuple):
    """A worker's report lists a member's lease."""

    member: int
    lease: Lease


class LeaseLost(NamedTuple):
    """A lease has ended, and its worker does not report in which state."""

    member: int
    reason: str


class LeaseFreed(NamedTuple):
    """A worker freed the lease and will never grant it again.

    `state` is the state of the lease before that.
    """

    member: int
    state: str


class TaskStopped(NamedTuple):
    """A worker stopped a member's task at a checkpoint."""

    member: int
    checkpoint_token: str


class IntentResolved(NamedTuple):
    """The first intent for this attempt was read back; `won` if it is this one."""

    won: bool


class StopRequested(NamedTuple):
    """A stop of the attempt was requested, with or without a checkpoint."""

    reason: str
    checkpoint: bool


class TimePassed(NamedTuple):
    """Time has passed: check the phase's time limit, resend unanswered commands."""

    now_ms: int


class SendCommand(NamedTuple):
    """Send a command for a member: grant, start, start-held, release, stop or free."""

    verb: str
    member: int


class AppendIntent(NamedTuple):
    """Append an intent that names the leases of all members."""


class EndAttempt(NamedTuple):
    """Report that the attempt has ended."""

    outcome: AttemptOutcome
    reason: str
