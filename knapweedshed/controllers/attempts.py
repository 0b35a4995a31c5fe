"""Owns the attempts under way: sends what their rules ask for, tells how they end."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    ActingChanged,
    AttemptAdopted,
    AttemptEnded,
    AttemptStarted,
    CommandAnswered,
    Draining,
    InputAsked,
    InputFetched,
    JobsFolded,
    RecordFact,
    StartAttempt,
    StopAttempt,
    Tick,
    WorkerCommand,
    WorkerReported,
)
from knapweedshed.decisions import attempts as rules
from knapweedshed.decisions.lease_ids import incarnation_of, lease_id_of, worker_of
from knapweedshed.decisions.ledger import IntentWon
from knapweedshed.decisions.pauses import PauseDetector
from knapweedshed.models import attempts as events
from knapweedshed.models.attempts import AttemptOutcome, AttemptPhase
from knapweedshed.models.ledger import AttemptRefuted, IntentRecorded
from knapweedshed.models.outcomes import Done, Freed, Granted, Refused
from knapweedshed.models.workers import Labels

TRANSIENT_PHASES = (
    AttemptPhase.LEASING,
    AttemptPhase.INTENT,
    AttemptPhase.LOADING,
    AttemptPhase.RELEASING,
    AttemptPhase.STOPPING,
)
START_VERBS = ("start", "start-held")


class ConnectAttempts(NamedTuple):
    """The actors that the attempts controller talks to."""

    workers: Any
    queue: Any
    ledger: Any
    inputs: Any


class AttemptsController(Controller):
    """Drives every attempt by `decisions.attempts`, one event at a time."""

    def __init__(self, context, periods):
        super().__init__(context)
        self._periods = periods
        self._workers = None
        self._queue = None
        self._ledger = None
        self._inputs = None
        self._attempts = {}
        self._opened = {}
        self._bodies = {}
        self._aborted = {}
        self._by_lease = {}
        self._granted_ms = {}
        self._in_flight = set()
        self._incarnations = {}
        self._heard_ms = {}
        self._drained = []
        self._pauses = PauseDetector()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def connect(self, message: ConnectAttempts):
        """Learn the actors that this one talks to."""
        self._workers = message.workers
        self._queue = message.queue
        self._ledger = message.ledger
        self._inputs = message.inputs

    @receive.register
    def acting(self, message: ActingChanged):
        """Forget all attempts on standing down: another scheduler goes on with them."""
        if message.acting:
            return
        for table in (self._attempts, self._opened, self._bodies):
            table.clear()
        self._by_lease.clear()
        self._granted_ms.clear()
        self._answer_drained()

    @receive.register
    def start_attempt(self, message: StartAttempt):
        """Lease the launch's accelerators, and fetch the input meanwhile."""
        job = message.opened.job
        leases = []
        for place in message.launch.placements:
            incarnation = self._incarnations.get(place.worker, "")
            lease_id = lease_id_of(place.worker, incarnation, self._context.new_id())
            leases.append((lease_id, place))
        attempt, actions = rules.begin(
            job.job_id, message.number, leases, not job.idempotent, self._now_ms()
        )
        self._opened[job.job_id] = message
        self._track(attempt)
        tell(self._inputs, InputAsked(job, self.actor_ref))
        self._carry_out(attempt, actions)

    @receive.register
    def adopt(self, message: AttemptAdopted):
        """Go on with an attempt that was found at recovery."""
        attempt = message.attempt
        self._track(attempt)
        for member in attempt.members:
            self._granted_ms[member.lease_id] = self._now_ms()
        if attempt.phase == AttemptPhase.CLEARING:
            self._apply(
                *rules.clear(attempt, AttemptOutcome.LOST, "cleared at recovery")
            )
        else:
            self._apply(*rules.step(attempt, events.TimePassed(self._now_ms())))

    @receive.register
    def stop_attempt(self, message: StopAttempt):
        """Stop an attempt."""
        asked = events.StopRequested(message.reason, message.checkpoint)
        self._happen(message.job_id, asked)

    @receive.register
    def input_fetched(self, message: InputFetched):
        """Start the tasks that wait for their input."""
        attempt = self._attempts.get(message.job_id)
        if attempt is None:
            return
        if message.body is None:
            self._happen(message.job_id, events.StopRequested(message.reason, False))
            return
        self._bodies[message.job_id] = message.body
        if attempt.phase == AttemptPhase.LOADING:
            self._happen(message.job_id, events.TimePassed(self._now_ms()))

    @receive.register
    def folded(self, message: JobsFolded):
        """Learn which intents won."""
        for fact in message.facts:
            if not isinstance(fact, IntentWon):
                continue
            if fact.intent.intent_id in self._aborted:
                refuted = self._aborted.pop(fact.intent.intent_id)
                tell(self._ledger, RecordFact(refuted))
                continue
            attempt = self._attempts.get(fact.intent.job_id)
            if attempt is not None and attempt.number == fact.intent.attempt:
                won = attempt.intent_id == fact.intent.intent_id
                self._happen(attempt.job_id, events.IntentResolved(won))

    @receive.register
    def answered(self, message: CommandAnswered):
        """Turn a worker's answer into an event."""
        command = message.command
        self._in_flight.discard((command.lease_id, command.verb))
        place = self._by_lease.get(command.lease_id)
        if place is None:
            return
        event = self._event_of(command, message.answer, place[1])
        if event is not None:
            self._happen(place[0], event)

    @receive.register
    def reported(self, message: WorkerReported):
        """Compare a worker's report with the members that it should hold."""
        if message.report is None:
            return
        report = message.report
        self._incarnations[message.worker] = report.incarnation
        self._heard_ms[message.worker] = message.sent_ms
        seen = {lease.lease_id: lease for lease in report.leases}
        for lease_id, (job_id, index) in list(self._by_lease.items()):
            if worker_of(lease_id) != message.worker:
                continue
            if lease_id in seen:
                self._happen(job_id, events.LeaseReported(index, seen[lease_id]))
            elif incarnation_of(lease_id) != report.incarnation:
                self._happen(job_id, events.LeaseLost(index, "the worker restarted"))
            elif rules.missing_is_gone(
                self._granted_ms.get(lease_id, message.sent_ms),
                message.sent_ms,
                (lease_id, "free") in self._in_flight,
            ):
                self._happen(job_id, events.LeaseLost(index, "the lease lapsed"))

    @receive.register
    def tick(self, message: Tick):
        """Repeat what had no answer; let go of members of silent workers."""
        now_ms = self._now_ms()
        if self._pauses.paused(now_ms):
            self._heard_ms = dict.fromkeys(self._heard_ms, now_ms)
            return
        for job_id in list(self._attempts):
            self._happen(job_id, events.TimePassed(now_ms))
        for lease_id, (job_id, index) in list(self._by_lease.items()):
            if self._is_lapsed(lease_id, now_ms):
                self._happen(job_id, events.LeaseLost(index, "the worker is silent"))
        self._answer_drained()

    @receive.register
    def draining(self, message: Draining):
        """Answer once no attempt is between its start and its running."""
        self._drained.append(message.reply)
        self._answer_drained()

    def dump(self):
        """Return each attempt's phase."""
        return {
            job_id: {
                "number": attempt.number,
                "phase": attempt.phase.value,
                "leases": [member.lease_id for member in attempt.members],
            }
            for job_id, attempt in self._attempts.items()
        }

    def _now_ms(self):
        return self._context.clock.now_ms()

    def _is_lapsed(self, lease_id, now_ms):
        granted_ms = self._granted_ms.get(lease_id)
        if granted_ms is None:
            return False
        heard_ms = max(granted_ms, self._heard_ms.get(worker_of(lease_id), 0))
        return now_ms - heard_ms > self._periods.term_ms

    def _track(self, attempt):
        self._attempts[attempt.job_id] = attempt
        for index, member in enumerate(attempt.members):
            self._by_lease[member.lease_id] = (attempt.job_id, index)

    def _happen(self, job_id, event):
        attempt = self._attempts.get(job_id)
        if attempt is None:
            return
        self._apply(*rules.step(attempt, event))

    def _apply(self, attempt, actions):
        before = self._attempts.get(attempt.job_id)
        self._attempts[attempt.job_id] = attempt
        if (
            before.phase != AttemptPhase.RUNNING
            and attempt.phase == AttemptPhase.RUNNING
        ):
            tell(self._queue, AttemptStarted(attempt.job_id))
        self._carry_out(attempt, actions)

    def _carry_out(self, attempt, actions):
        for action in actions:
            if isinstance(action, events.SendCommand):
                self._send(attempt, action)
            elif isinstance(action, events.AppendIntent):
                self._record_intent(attempt)
            elif isinstance(action, events.EndAttempt):
                self._end(attempt, action)

    def _send(self, attempt, action):
        member = attempt.members[action.member]
        key = (member.lease_id, action.verb)
        if key in self._in_flight:
            return
        body = b""
        if action.verb in START_VERBS:
            body = self._bodies.get(attempt.job_id)
            if body is None:
                return
        self._in_flight.add(key)
        tell(self._workers, self._command(attempt, action, member, body))

    def _command(self, attempt, action, member, body):
        command = WorkerCommand(
            action.verb,
            member.lease_id,
            attempt.job_id,
            action.member,
            receiver=self.actor_ref,
        )
        started = self._opened.get(attempt.job_id)
        if started is None:
            return command
        tokens = started.opened.tokens
        token = tokens[action.member] if action.member < len(tokens) else ""
        return command._replace(
            labels=self._labels(attempt, action.member, started),
            accelerators=member.placement.accelerators,
            term_ms=self._periods.term_ms,
            program=started.opened.job.program,
            body=body,
            checkpoint=token,
        )

    def _labels(self, attempt, index, started):
        job = started.opened.job
        return Labels(
            job.job_id,
            attempt.number,
            index,
            len(attempt.members),
            job.organisation,
            started.launch.borrowed,
            job.can_checkpoint,
            job.idempotent,
            job.urgency.value,
            self._context.clock.wall_ms(),
        )

    def _record_intent(self, attempt):
        intent_id = self._context.new_id()
        attempt = attempt._replace(intent_id=intent_id)
        self._attempts[attempt.job_id] = attempt
        lease_ids = tuple(member.lease_id for member in attempt.members)
        record = IntentRecorded(attempt.job_id, attempt.number, intent_id, lease_ids)
        tell(self._ledger, RecordFact(record))

    def _event_of(self, command, answer, index):
        if isinstance(answer, Granted):
            self._granted_ms[command.lease_id] = self._now_ms()
            if answer.incarnation != incarnation_of(command.lease_id):
                return events.LeaseLost(index, "the worker restarted")
            return events.LeaseGranted(index)
        if isinstance(answer, Freed):
            if answer.incarnation != incarnation_of(command.lease_id):
                return events.LeaseLost(index, "the worker restarted")
            return events.LeaseFreed(index, answer.state)
        if isinstance(answer, Done):
            if command.verb in START_VERBS:
                return events.TaskLoaded(index)
            if command.verb == "release":
                return events.TaskReleased(index)
            return events.TaskStopped(index, answer.detail)
        refused = isinstance(answer, Refused)
        return events.CommandFailed(index, command.verb, refused, answer.reason)

    def _end(self, attempt, action):
        for member in attempt.members:
            self._by_lease.pop(member.lease_id, None)
            self._granted_ms.pop(member.lease_id, None)
        del self._attempts[attempt.job_id]
        self._opened.pop(attempt.job_id, None)
        self._bodies.pop(attempt.job_id, None)
        if attempt.intent_id and action.outcome == AttemptOutcome.NOT_RUN:
            self._aborted[attempt.intent_id] = AttemptRefuted(
                attempt.job_id, attempt.number, attempt.intent_id, action.reason
            )
        self._context.metrics.count(f"attempt.{action.outcome.value}")
        ended = attempt._replace(target_outcome=action.outcome, reason=action.reason)
        tell(self._queue, AttemptEnded(ended))

    def _answer_drained(self):
        if any(a.phase in TRANSIENT_PHASES for a in self._attempts.values()):
            return
        for reply in self._drained:
            reply.set(True)
        self._drained = []
