"""Stand-in for a worker: grants leases and runs tasks under them.

Its state is in memory only; a restart loses all leases and starts a new incarnation.
"""

import threading
from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import Actor
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.digests import digest_of
from knapweedshed.models.workers import (
    ENDED_LEASE_STATES,
    Labels,
    Lease,
    LeaseState,
    WorkerReport,
)
from knapweedshed.standins import tasks

ENDED_LEASE_RETENTION_MS = 600_000


class Grant(NamedTuple):
    """Lease accelerators for `term_ms`.

    `reply` gets (fence, incarnation), or a `Refusal`.
    """

    lease_id: str
    labels: Labels
    accelerators: tuple[int, ...]
    term_ms: int
    reply: Any


class StartTask(NamedTuple):
    """Load a task under a lease; a `held` task starts when it is released.

    `checkpoint` is the run time that an earlier run saved, in milliseconds, or empty.
    """

    lease_id: str
    program: str
    body: bytes
    held: bool
    checkpoint: str
    reply: Any


class Command(NamedTuple):
    """Release a held task, stop a task, or end and remove a lease, as `verb` says.

    The verbs are `release`, `stop` and `free`; a stop saves a checkpoint if asked.
    """

    verb: str
    lease_id: str
    checkpoint: bool
    reply: Any


class Sync(NamedTuple):
    """Renew leases and report once the version differs from `known_version`."""

    renew: tuple[str, ...]
    term_ms: int
    known_version: int
    reply: Any


class ReadAnswer(NamedTuple):
    """Read the answer of the task under a lease."""

    lease_id: str
    reply: Any


class TaskEnded(NamedTuple):
    """The thread of a task has finished; `run_token` identifies the run."""

    lease_id: str
    run_token: object
    answer: bytes
    reason: str
    failed: bool


class SetFailAll(NamedTuple):
    """Set or clear the fault that makes every task fail."""

    enabled: bool


class LapseCheckTick(NamedTuple):
    """Check for leases whose term has ended."""


class Refusal(NamedTuple):
    """The request was refused; nothing was changed."""

    reason: str


class Effect(NamedTuple):
    """A task started or ended on a worker."""

    at_ms: int
    worker: str
    job_id: str
    attempt: int
    member: int
    members: int
    event: str


class _LeaseRecord:
    """State of one lease and of the task under it; times in ms of the clock."""

    def __init__(self, message, now_ms):
        self.labels = message.labels
        self.accelerators = tuple(message.accelerators)
        self.expires_ms = now_ms + message.term_ms
        self.state = LeaseState.EMPTY
        self.program = ""
        self.body = b""
        self.progress_ms = 0
        self.started_ms = 0
        self.ended_ms = 0
        self.run_token = None
        self.timer = None
        self.answer = b""
        self.digest = ""
        self.reason = ""


class WorkerStandin(Actor):
    """Owns the leases of one worker. A lease id can be granted only once."""

    def __init__(self, context, name, accelerators, speed, effects):
        super().__init__(context)
        self._name = name
        self._accelerator_count = accelerators
        self._speed = speed
        self._effects = effects
        self._incarnation = context.new_id()
        self._leases = {}
        self._used_lease_ids = set()
        self._final_states = {}
        self._fence = 0
        self._version = 1
        self._waiting_syncs = []
        self._fails_all_tasks = False

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def grant(self, message: Grant):
        """Grant free accelerators under a lease id that was not used before."""
        now_ms = self._context.clock.now_ms()
        reason = self._grant_refusal_reason(message)
        if reason:
            message.reply.set(Refusal(reason))
            return
        self._used_lease_ids.add(message.lease_id)
        self._fence += 1
        self._leases[message.lease_id] = _LeaseRecord(message, now_ms)
        self._notify_change()
        message.reply.set((self._fence, self._incarnation))

    @receive.register
    def start_task(self, message: StartTask):
        """Load a task, and run it unless it is held."""
        lease = self._leases.get(message.lease_id)
        if lease is None or lease.state != LeaseState.EMPTY:
            message.reply.set(Refusal("no empty lease of this id"))
            return
        lease.program = message.program
        lease.body = message.body
        lease.progress_ms = int(message.checkpoint or 0)
        lease.state = LeaseState.HELD
        if not message.held:
            self._start_run(message.lease_id, lease)
        self._notify_change()
        message.reply.set("")

    @receive.register
    def command(self, message: Command):
        """Release, stop or free a lease."""
        lease = self._leases.get(message.lease_id)
        if message.verb == "free":
            message.reply.set(
                (self._free_lease(message.lease_id, lease), self._incarnation)
            )
            return
        if lease is None:
            message.reply.set(Refusal("no lease of this id"))
            return
        if message.verb == "release":
            self._release_task(message, lease)
            return
        checkpoint = self._create_checkpoint(lease) if message.checkpoint else ""
        self._end_lease(lease, LeaseState.STOPPED, "stopped")
        self._notify_change()
        message.reply.set(checkpoint)

    @receive.register
    def sync(self, message: Sync):
        """Renew leases, then report at once or when the state changes."""
        now_ms = self._context.clock.now_ms()
        unknown = []
        for lease_id in message.renew:
            lease = self._leases.get(lease_id)
            if lease is None:
                unknown.append(lease_id)
            elif lease.state not in ENDED_LEASE_STATES:
                lease.expires_ms = max(lease.expires_ms, now_ms + message.term_ms)
        if message.known_version == self._version and not unknown:
            self._waiting_syncs.append(message)
            return
        message.reply.set(self._create_report(tuple(unknown)))

    @receive.register
    def read_answer(self, message: ReadAnswer):
        """Reply with the answer of a finished task, otherwise with None."""
        lease = self._leases.get(message.lease_id)
        finished = lease is not None and lease.state == LeaseState.FINISHED
        message.reply.set(lease.answer if finished else None)

    @receive.register
    def task_ended(self, message: TaskEnded):
        """Store the answer of a task, unless its run was stopped in the meantime."""
        lease = self._leases.get(message.lease_id)
        if lease is None or lease.run_token is not message.run_token:
            return
        lease.answer = message.answer
        lease.digest = digest_of(message.answer)
        state = LeaseState.FAILED if message.failed else LeaseState.FINISHED
        self._end_lease(lease, state, message.reason)
        self._notify_change()

    @receive.register
    def set_fail_all(self, message: SetFailAll):
        """Set or clear the fault that makes every task fail."""
        self._fails_all_tasks = message.enabled

    @receive.register
    def end_lapsed_leases(self, message: LapseCheckTick):
        """End leases whose term is over; drop ended leases after the retention time."""
        now_ms = self._context.clock.now_ms()
        for lease_id, lease in list(self._leases.items()):
            if lease.state in ENDED_LEASE_STATES:
                if now_ms - lease.ended_ms > ENDED_LEASE_RETENTION_MS:
                    del self._leases[lease_id]
                    self._notify_change()
            elif now_ms >= lease.expires_ms:
                self._final_states[lease_id] = lease.state.value
                self._end_lease(lease, LeaseState.STOPPED, "lease lapsed")
                del self._leases[lease_id]
                self._notify_change()

    def current_report(self):
        """Return the report for a sync whose wait has timed out."""
        return self._create_report(())

    def _free_lease(self, lease_id, lease):
        """End and remove a lease; return its last state, `ended` or `never`.

        The id counts as used afterwards, so that a late grant of it is refused.
        """
        if lease is None:
            state = "ended" if lease_id in self._used_lease_ids else "never"
            self._used_lease_ids.add(lease_id)
            return self._final_states.get(lease_id, state)
        state = lease.state.value
        self._final_states[lease_id] = state
        self._end_lease(lease, LeaseState.STOPPED, "freed")
        del self._leases[lease_id]
        self._notify_change()
        return state

    def _grant_refusal_reason(self, message):
        """Return why a grant must be refused, or an empty text."""
        if message.lease_id in self._used_lease_ids:
            return "lease id already used"
        if not all(
            0 <= index < self._accelerator_count for index in message.accelerators
        ):
            return "no such accelerator"
        leased_accelerators = set()
        for lease in self._leases.values():
            if lease.state not in ENDED_LEASE_STATES:
                leased_accelerators.update(lease.accelerators)
        if leased_accelerators.intersection(message.accelerators):
            return "accelerators are leased"
        return ""

    def _release_task(self, message, lease):
        """Start a held task; refuse this for an empty or stopped lease."""
        if lease.state == LeaseState.HELD:
            self._start_run(message.lease_id, lease)
            self._notify_change()
        if lease.state in (LeaseState.EMPTY, LeaseState.STOPPED):
            message.reply.set(Refusal(f"lease is {lease.state.value}"))
            return
        message.reply.set("")

    def _start_run(self, lease_id, lease):
        lease.state = LeaseState.RUNNING
        lease.started_ms = self._context.clock.now_ms()
        lease.run_token = object()
        self._record_effect(lease, "started")
        total_ms = tasks.parse_run_ms(lease.body) / self._speed
        remaining_run_ms = (
            1 if self._fails_all_tasks else max(1, total_ms - lease.progress_ms)
        )
        arguments = (
            lease_id,
            lease.run_token,
            lease.program,
            lease.body,
            self._fails_all_tasks,
        )
        lease.timer = threading.Timer(
            remaining_run_ms / MS_PER_SECOND, self._run_program, arguments
        )
        lease.timer.daemon = True
        lease.timer.start()

    def _run_program(self, lease_id, run_token, program, body, fails):
        try:
            if fails:
                raise tasks.TaskError("the worker fails everything")
            answer = tasks.run_program(program, body)
            ended = TaskEnded(lease_id, run_token, answer, "", False)
        except tasks.TaskError as error:
            ended = TaskEnded(lease_id, run_token, b"", str(error), True)
        self.actor_ref.tell(ended)

    def _end_lease(self, lease, state, reason):
        if lease.state in ENDED_LEASE_STATES:
            return
        if lease.timer is not None:
            lease.timer.cancel()
        lease.run_token = None
        if lease.state == LeaseState.RUNNING:
            self._record_effect(lease, state.value)
        lease.state = state
        lease.reason = reason
        lease.ended_ms = self._context.clock.now_ms()
        lease.body = b""

    def _record_effect(self, lease, event):
        """Record an effect, from which tests check the scheduling guarantees."""
        labels = lease.labels
        effect = Effect(
            self._context.clock.now_ms(),
            self._name,
            labels.job_id,
            labels.attempt,
            labels.member,
            labels.members,
            event,
        )
        self._effects.append(effect)

    def _create_checkpoint(self, lease):
        """Return a checkpoint: a task's run time so far, in milliseconds, as text."""
        if lease.state != LeaseState.RUNNING:
            return str(lease.progress_ms)
        return str(lease.progress_ms + self._context.clock.now_ms() - lease.started_ms)

    def _notify_change(self):
        """Increase the version and answer all waiting syncs."""
        self._version += 1
        waiting_syncs, self._waiting_syncs = self._waiting_syncs, []
        for sync in waiting_syncs:
            sync.reply.set(self._create_report(()))

    def _create_report(self, unknown):
        now_ms = self._context.clock.now_ms()
        leases = tuple(
            Lease(
                lease_id,
                lease.labels,
                lease.accelerators,
                lease.state,
                max(0, lease.expires_ms - now_ms),
                len(lease.answer),
                lease.digest,
                lease.reason,
                lease.ended_ms - lease.started_ms if lease.ended_ms else 0,
            )
            for lease_id, lease in self._leases.items()
        )
        return WorkerReport(
            self._name,
            self._incarnation,
            self._accelerator_count,
            self._speed,
            self._version,
            leases,
            unknown,
        )
