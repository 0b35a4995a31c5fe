"""Controller of attempts in progress: leases, starts and stops their tasks."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    ActingChanged,
    AppendLedgerRecord,
    AttemptAdopted,
    AttemptEnded,
    AttemptStarted,
    CommandAnswered,
    Drain,
    FetchInput,
    InputFetched,
    LedgerUpdated,
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
    """Gives the attempts controller the actors that it sends messages to."""

    workers: Any
    queue: Any
    ledger: Any
    inputs: Any


class AttemptsController(Controller):
    """Runs the state machine of `decisions.attempts` for every attempt.

    Turns messages into events, and the actions that the state machine returns into
    commands, ledger records and messages to the queue.
    """

    def __init__(self, context, periods):
        super().__init__(context)
        self._periods = periods
        self._workers = None
        self._queue = None
        self._ledger = None
        self._inputs = None
        self._attempts = {}
        self._start_requests = {}
        self._input_bodies = {}
        self._pending_refutations = {}
        self._member_by_lease = {}
        self._granted_ms_by_lease = {}
        self._commands_in_flight = set()
        self._incarnation_by_worker = {}
        self._last_report_ms_by_worker = {}
        self._drain_replies = []
        self._pause_detector = PauseDetector()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def connect(self, message: ConnectAttempts):
        """Set the actors that this controller sends messages to."""
        self._workers = message.workers
        self._queue = message.queue
        self._ledger = message.ledger
        self._inputs = message.inputs

    @receive.register
    def handle_acting_changed(self, message: ActingChanged):
        """Forget all attempts when this scheduler stops acting.

        Another scheduler continues them.
        """
        if message.acting:
            return
        for table in (self._attempts, self._start_requests, self._input_bodies):
            table.clear()
        self._member_by_lease.clear()
        self._granted_ms_by_lease.clear()
        self._answer_drain_requests()

    @receive.register
    def start_attempt(self, message: StartAttempt):
        """Lease the accelerators of a launch, and fetch the input in parallel."""
        job = message.open_job.job
        leases = []
        for placement in message.launch.placements:
            incarnation = self._incarnation_by_worker.get(placement.worker, "")
            lease_id = lease_id_of(
                placement.worker, incarnation, self._context.new_id()
            )
            leases.append((lease_id, placement))
        attempt, actions = rules.create_attempt(
            job.job_id, message.number, leases, not job.idempotent, self._now_ms()
        )
        self._start_requests[job.job_id] = message
        self._track(attempt)
        tell(self._inputs, FetchInput(job, self.actor_ref))
        self._execute_actions(attempt, actions)

    @receive.register
    def adopt_attempt(self, message: AttemptAdopted):
        """Continue an attempt that was found at recovery, or free its leases."""
        attempt = message.attempt
        self._track(attempt)
        for member in attempt.members:
            self._granted_ms_by_lease[member.lease_id] = self._now_ms()
        if attempt.phase == AttemptPhase.CLEARING:
            self._apply_step(
                *rules.start_clearing(
                    attempt, AttemptOutcome.LOST, "cleared at recovery"
                )
            )
        else:
            self._apply_step(
                *rules.apply_event(attempt, events.TimePassed(self._now_ms()))
            )

    @receive.register
    def stop_attempt(self, message: StopAttempt):
        """Stop an attempt, with a checkpoint if the message asks for one."""
        event = events.StopRequested(message.reason, message.checkpoint)
        self._apply_event(message.job_id, event)

    @receive.register
    def store_input(self, message: InputFetched):
        """Store a job's input and start its tasks; without input, stop the attempt."""
        attempt = self._attempts.get(message.job_id)
        if attempt is None:
            return
        if message.body is None:
            self._apply_event(
                message.job_id, events.StopRequested(message.reason, False)
            )
            return
        self._input_bodies[message.job_id] = message.body
        if attempt.phase == AttemptPhase.LOADING:
            self._apply_event(message.job_id, events.TimePassed(self._now_ms()))

    @receive.register
    def apply_ledger_changes(self, message: LedgerUpdated):
        """Resolve the intents of attempts: the first one in the log for each wins.

        The intent of an attempt that ended without running is refuted in the ledger.
        """
        for change in message.changes:
            if not isinstance(change, IntentWon):
                continue
            if change.intent.intent_id in self._pending_refutations:
                refuted = self._pending_refutations.pop(change.intent.intent_id)
                tell(self._ledger, AppendLedgerRecord(refuted))
                continue
            attempt = self._attempts.get(change.intent.job_id)
            if attempt is not None and attempt.number == change.intent.attempt:
                won = attempt.intent_id == change.intent.intent_id
                self._apply_event(attempt.job_id, events.IntentResolved(won))

    @receive.register
    def handle_command_answer(self, message: CommandAnswered):
        """Apply a worker's answer to a command as an event of its attempt."""
        command = message.command
        self._commands_in_flight.discard((command.lease_id, command.verb))
        member = self._member_by_lease.get(command.lease_id)
        if member is None:
            return
        event = self._event_from_answer(command, message.answer, member[1])
        if event is not None:
            self._apply_event(member[0], event)

    @receive.register
    def reconcile_worker_report(self, message: WorkerReported):
        """Compare the leases in a worker's report with the leases it should hold."""
        if message.report is None:
            return
        report = message.report
        self._incarnation_by_worker[message.worker] = report.incarnation
        self._last_report_ms_by_worker[message.worker] = message.sent_ms
        seen = {lease.lease_id: lease for lease in report.leases}
        for lease_id, (job_id, index) in list(self._member_by_lease.items()):
            if worker_of(lease_id) != message.worker:
                continue
            if lease_id in seen:
                self._apply_event(job_id, events.LeaseReported(index, seen[lease_id]))
            elif incarnation_of(lease_id) != report.incarnation:
                self._apply_event(
                    job_id, events.LeaseLost(index, "the worker restarted")
                )
            elif rules.missing_lease_lapsed(
                self._granted_ms_by_lease.get(lease_id, message.sent_ms),
                message.sent_ms,
                (lease_id, "free") in self._commands_in_flight,
            ):
                self._apply_event(job_id, events.LeaseLost(index, "the lease lapsed"))

    @receive.register
    def tick(self, message: Tick):
        """Retry unanswered commands, and treat the leases of silent workers as lost.

        After a pause of this process all workers count as having just reported.
        """
        now_ms = self._now_ms()
        if self._pause_detector.detect_pause(now_ms):
            self._last_report_ms_by_worker = dict.fromkeys(
                self._last_report_ms_by_worker, now_ms
            )
            return
        for job_id in list(self._attempts):
            self._apply_event(job_id, events.TimePassed(now_ms))
        for lease_id, (job_id, index) in list(self._member_by_lease.items()):
            if self._is_lease_lapsed(lease_id, now_ms):
                self._apply_event(
                    job_id, events.LeaseLost(index, "the worker is silent")
                )
        self._answer_drain_requests()

    @receive.register
    def answer_when_drained(self, message: Drain):
        """Answer once no attempt is being started or stopped."""
        self._drain_replies.append(message.reply)
        self._answer_drain_requests()

    def dump(self):
        """Return the number, phase and leases of each attempt."""
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

    def _is_lease_lapsed(self, lease_id, now_ms):
        granted_ms = self._granted_ms_by_lease.get(lease_id)
        if granted_ms is None:
            return False
        heard_ms = max(
            granted_ms, self._last_report_ms_by_worker.get(worker_of(lease_id), 0)
        )
        return now_ms - heard_ms > self._periods.term_ms

    def _track(self, attempt):
        self._attempts[attempt.job_id] = attempt
        for index, member in enumerate(attempt.members):
            self._member_by_lease[member.lease_id] = (attempt.job_id, index)

    def _apply_event(self, job_id, event):
        attempt = self._attempts.get(job_id)
        if attempt is None:
            return
        self._apply_step(*rules.apply_event(attempt, event))

    def _apply_step(self, attempt, actions):
        previous = self._attempts.get(attempt.job_id)
        self._attempts[attempt.job_id] = attempt
        if (
            previous.phase != AttemptPhase.RUNNING
            and attempt.phase == AttemptPhase.RUNNING
        ):
            tell(self._queue, AttemptStarted(attempt.job_id))
        self._execute_actions(attempt, actions)

    def _execute_actions(self, attempt, actions):
        for action in actions:
            if isinstance(action, events.SendCommand):
                self._send_command(attempt, action)
            elif isinstance(action, events.AppendIntent):
                self._record_intent(attempt)
            elif isinstance(action, events.EndAttempt):
                self._end_attempt(attempt, action)

    def _send_command(self, attempt, action):
        member = attempt.members[action.member]
        key = (member.lease_id, action.verb)
        if key in self._commands_in_flight:
            return
        body = b""
        if action.verb in START_VERBS:
            body = self._input_bodies.get(attempt.job_id)
            if body is None:
                return
        self._commands_in_flight.add(key)
        tell(self._workers, self._create_command(attempt, action, member, body))

    def _create_command(self, attempt, action, member, body):
        command = WorkerCommand(
            action.verb,
            member.lease_id,
            attempt.job_id,
            action.member,
            receiver=self.actor_ref,
        )
        start_request = self._start_requests.get(attempt.job_id)
        if start_request is None:
            return command
        tokens = start_request.open_job.tokens
        token = tokens[action.member] if action.member < len(tokens) else ""
        return command._replace(
            labels=self._create_labels(attempt, action.member, start_request),
            accelerators=member.placement.accelerators,
            term_ms=self._periods.term_ms,
            program=start_request.open_job.job.program,
            body=body,
            checkpoint=token,
        )

    def _create_labels(self, attempt, index, start_request):
        job = start_request.open_job.job
        return Labels(
            job.job_id,
            attempt.number,
            index,
            len(attempt.members),
            job.organisation,
            start_request.launch.borrowed,
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
        tell(self._ledger, AppendLedgerRecord(record))

    def _event_from_answer(self, command, answer, index):
        if isinstance(answer, Granted):
            self._granted_ms_by_lease[command.lease_id] = self._now_ms()
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

    def _end_attempt(self, attempt, action):
        for member in attempt.members:
            self._member_by_lease.pop(member.lease_id, None)
            self._granted_ms_by_lease.pop(member.lease_id, None)
        del self._attempts[attempt.job_id]
        self._start_requests.pop(attempt.job_id, None)
        self._input_bodies.pop(attempt.job_id, None)
        if attempt.intent_id and action.outcome == AttemptOutcome.NOT_RUN:
            self._pending_refutations[attempt.intent_id] = AttemptRefuted(
                attempt.job_id, attempt.number, attempt.intent_id, action.reason
            )
        self._context.metrics.count(f"attempt.{action.outcome.value}")
        ended = attempt._replace(target_outcome=action.outcome, reason=action.reason)
        tell(self._queue, AttemptEnded(ended))

    def _answer_drain_requests(self):
        if any(a.phase in TRANSIENT_PHASES for a in self._attempts.values()):
            return
        for reply in self._drain_replies:
            reply.set(True)
        self._drain_replies = []
