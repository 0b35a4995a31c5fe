"""The stand-in worker: grants leases, runs tasks under them, forgets when restarted."""

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

ENDED_KEEP_MS = 600_000


class Grant(NamedTuple):
    """Lease accelerators."""

    lease_id: str
    labels: Labels
    accelerators: tuple[int, ...]
    term_ms: int
    reply: Any


class StartTask(NamedTuple):
    """Load a task under a lease."""

    lease_id: str
    program: str
    body: bytes
    held: bool
    checkpoint: str
    reply: Any


class Command(NamedTuple):
    """`release`, `stop` or `free` a lease."""

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
    """Read an answer's bytes."""

    lease_id: str
    reply: Any


class TaskEnded(NamedTuple):
    """A task's thread has its answer."""

    lease_id: str
    token: object
    answer: bytes
    reason: str
    failed: bool


class FailEverything(NamedTuple):
    """Make every task fail, or stop doing so."""

    on: bool


class LapseTick(NamedTuple):
    """Look for leases whose term has ended."""


class Refusal(NamedTuple):
    """Nothing was done, and why."""

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


class _Held:
    def __init__(self, message, now_ms):
        self.labels = message.labels
        self.accelerators = tuple(message.accelerators)
        self.ends_ms = now_ms + message.term_ms
        self.state = LeaseState.EMPTY
        self.program = ""
        self.body = b""
        self.done_ms = 0
        self.started_ms = 0
        self.ended_ms = 0
        self.token = None
        self.timer = None
        self.answer = b""
        self.digest = ""
        self.reason = ""


class WorkerStandin(Actor):
    """Owns one worker's leases. A lease id is granted once and never lives again."""

    def __init__(self, context, name, accelerators, speed, effects):
        super().__init__(context)
        self._name = name
        self._count = accelerators
        self._speed = speed
        self._effects = effects
        self._incarnation = context.new_id()
        self._leases = {}
        self._used = set()
        self._past = {}
        self._fence = 0
        self._version = 1
        self._parked = []
        self._fail_all = False

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def grant(self, message: Grant):
        """Grant accelerators that are free to a lease id never seen before."""
        now_ms = self._context.clock.now_ms()
        reason = self._refusal(message)
        if reason:
            message.reply.set(Refusal(reason))
            return
        self._used.add(message.lease_id)
        self._fence += 1
        self._leases[message.lease_id] = _Held(message, now_ms)
        self._changed()
        message.reply.set((self._fence, self._incarnation))

    @receive.register
    def start_task(self, message: StartTask):
        """Load a task; run it unless it is held."""
        held = self._leases.get(message.lease_id)
        if held is None or held.state != LeaseState.EMPTY:
            message.reply.set(Refusal("no empty lease of this id"))
            return
        held.program = message.program
        held.body = message.body
        held.done_ms = int(message.checkpoint or 0)
        held.state = LeaseState.HELD
        if not message.held:
            self._run(message.lease_id, held)
        self._changed()
        message.reply.set("")

    @receive.register
    def command(self, message: Command):
        """Carry out release, stop or free."""
        held = self._leases.get(message.lease_id)
        if message.verb == "free":
            message.reply.set((self._free(message.lease_id, held), self._incarnation))
            return
        if held is None:
            message.reply.set(Refusal("no lease of this id"))
            return
        if message.verb == "release":
            self._release(message, held)
            return
        token = self._progress(held) if message.checkpoint else ""
        self._end(held, LeaseState.STOPPED, "stopped")
        self._changed()
        message.reply.set(token)

    @receive.register
    def sync(self, message: Sync):
        """Renew, then report now or when something changes."""
        now_ms = self._context.clock.now_ms()
        unknown = []
        for lease_id in message.renew:
            held = self._leases.get(lease_id)
            if held is None:
                unknown.append(lease_id)
            elif held.state not in ENDED_LEASE_STATES:
                held.ends_ms = max(held.ends_ms, now_ms + message.term_ms)
        if message.known_version == self._version and not unknown:
            self._parked.append(message)
            return
        message.reply.set(self._report(tuple(unknown)))

    @receive.register
    def read_answer(self, message: ReadAnswer):
        """Return an answer's bytes, or None."""
        held = self._leases.get(message.lease_id)
        finished = held is not None and held.state == LeaseState.FINISHED
        message.reply.set(held.answer if finished else None)

    @receive.register
    def task_ended(self, message: TaskEnded):
        """Keep the answer of a task that still runs under its lease."""
        held = self._leases.get(message.lease_id)
        if held is None or held.token is not message.token:
            return
        held.answer = message.answer
        held.digest = digest_of(message.answer)
        state = LeaseState.FAILED if message.failed else LeaseState.FINISHED
        self._end(held, state, message.reason)
        self._changed()

    @receive.register
    def fail_everything(self, message: FailEverything):
        """Switch the fault on or off."""
        self._fail_all = message.on

    @receive.register
    def lapse(self, message: LapseTick):
        """End leases whose term is over; drop old answers."""
        now_ms = self._context.clock.now_ms()
        for lease_id, held in list(self._leases.items()):
            if held.state in ENDED_LEASE_STATES:
                if now_ms - held.ended_ms > ENDED_KEEP_MS:
                    del self._leases[lease_id]
                    self._changed()
            elif now_ms >= held.ends_ms:
                self._past[lease_id] = held.state.value
                self._end(held, LeaseState.STOPPED, "lease lapsed")
                del self._leases[lease_id]
                self._changed()

    def report_now(self):
        """Return the report for a sync whose wait has ended."""
        return self._report(())

    def _free(self, lease_id, held):
        if held is None:
            state = "ended" if lease_id in self._used else "never"
            self._used.add(lease_id)
            return self._past.get(lease_id, state)
        state = held.state.value
        self._past[lease_id] = state
        self._end(held, LeaseState.STOPPED, "freed")
        del self._leases[lease_id]
        self._changed()
        return state

    def _refusal(self, message):
        if message.lease_id in self._used:
            return "lease id already used"
        if not all(0 <= index < self._count for index in message.accelerators):
            return "no such accelerator"
        busy = set()
        for held in self._leases.values():
            if held.state not in ENDED_LEASE_STATES:
                busy.update(held.accelerators)
        if busy.intersection(message.accelerators):
            return "accelerators are leased"
        return ""

    def _release(self, message, held):
        if held.state == LeaseState.HELD:
            self._run(message.lease_id, held)
            self._changed()
        if held.state in (LeaseState.EMPTY, LeaseState.STOPPED):
            message.reply.set(Refusal(f"lease is {held.state.value}"))
            return
        message.reply.set("")

    def _run(self, lease_id, held):
        held.state = LeaseState.RUNNING
        held.started_ms = self._context.clock.now_ms()
        held.token = object()
        self._note(held, "started")
        total_ms = tasks.run_ms_of(held.body) / self._speed
        left_ms = 1 if self._fail_all else max(1, total_ms - held.done_ms)
        arguments = (lease_id, held.token, held.program, held.body, self._fail_all)
        held.timer = threading.Timer(left_ms / MS_PER_SECOND, self._compute, arguments)
        held.timer.daemon = True
        held.timer.start()

    def _compute(self, lease_id, token, program, body, fail):
        try:
            if fail:
                raise tasks.TaskError("the worker fails everything")
            answer = tasks.run_program(program, body)
            ended = TaskEnded(lease_id, token, answer, "", False)
        except tasks.TaskError as error:
            ended = TaskEnded(lease_id, token, b"", str(error), True)
        self.actor_ref.tell(ended)

    def _end(self, held, state, reason):
        if held.state in ENDED_LEASE_STATES:
            return
        if held.timer is not None:
            held.timer.cancel()
        held.token = None
        if held.state == LeaseState.RUNNING:
            self._note(held, state.value)
        held.state = state
        held.reason = reason
        held.ended_ms = self._context.clock.now_ms()
        held.body = b""

    def _note(self, held, event):
        """Write down an effect: what tests judge the promises by."""
        labels = held.labels
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

    def _progress(self, held):
        if held.state != LeaseState.RUNNING:
            return str(held.done_ms)
        return str(held.done_ms + self._context.clock.now_ms() - held.started_ms)

    def _changed(self):
        self._version += 1
        parked, self._parked = self._parked, []
        for sync in parked:
            sync.reply.set(self._report(()))

    def _report(self, unknown):
        now_ms = self._context.clock.now_ms()
        leases = tuple(
            Lease(
                lease_id,
                held.labels,
                held.accelerators,
                held.state,
                max(0, held.ends_ms - now_ms),
                len(held.answer),
                held.digest,
                held.reason,
                held.ended_ms - held.started_ms if held.ended_ms else 0,
            )
            for lease_id, held in self._leases.items()
        )
        return WorkerReport(
            self._name,
            self._incarnation,
            self._count,
            self._speed,
            self._version,
            leases,
            unknown,
        )
