"""Controller of jobs at a host: accepts, cancels and reports them from the log."""

from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import tell
from knapweedshed.codecs import json_text
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    LogUnreadable,
    ReadNow,
    RecordsRead,
    Tick,
)
from knapweedshed.controllers.submission_admission import create_submission_admission
from knapweedshed.controllers.work_messages import (
    CallAdmitted,
    CallAnswered,
    ReadinessAsked,
    ServiceConfigurationUpdated,
    UseCallsController,
    UseLogTail,
)
from knapweedshed.controllers.work_stream import apply_records
from knapweedshed.decisions.acceptance import (
    APPEND_RETRY_DELAY_MS,
    RETRY_AFTER_INITIAL_MS,
    AppendState,
    AppendVerdict,
    UnknownOutcomes,
    after_failure,
    retry_after_ms,
)
from knapweedshed.decisions.log_reachability import LogReachability
from knapweedshed.decisions.overload.admission import ADMITTED
from knapweedshed.decisions.record_parts import max_job_record_bytes
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.filters.work_calls import refused_reply
from knapweedshed.models.calls import CallKind, LogState, WorkReply
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES
from knapweedshed.models.work import WorkJob
from knapweedshed.models.work_records import WORK_STREAM, WorkAccepted, WorkCancelled
from knapweedshed.results import ResultCode

# 500 ms less than the time for which an accepted job may stay invisible to callers.
LOG_FRESHNESS_MS = 2_500
ANSWER_MARGIN_MS = 100  # a tick, and the way back to the caller
# An append that starts shortly before the caller's deadline is waited for this long.
MIN_APPEND_WAIT_MS = 150
LOG_READ_TIMEOUT_MS = 150  # a read takes a few ms; slower ones aren't waited for


class PendingAppend(NamedTuple):
    """An append that is not acknowledged yet, and the calls that wait for it.

    `retry_at_ms` is when to append again; 0 while an append is in flight. The cancel of
    a job that isn't known here `needs_read`: only the log's order tells whether there
    is such a job.
    """

    append_request: AppendRecord
    job_id: str
    state: AppendState
    call_ids: tuple[str, ...]
    retry_at_ms: int = 0
    needs_read: bool = False


class DeferredCall(NamedTuple):
    """A call that waits for a log read requested at `deferred_at_ms` or later."""

    call: object
    deferred_at_ms: int


class JobsController(Controller):
    """Accepts, cancels and reports jobs; the log is the only source of truth."""

    def __init__(
        self,
        context,
        appender,
        max_record_bytes,
        overload_policies=NO_OVERLOAD_POLICIES,
    ):
        super().__init__(context)
        self._max_job_bytes = max_job_record_bytes(max_record_bytes)
        self._appender = appender
        self._calls = None
        self._ledger = WorkLedger()
        self._admission = create_submission_admission(
            overload_policies, context, self._ledger
        )
        self._last_read_requested_ms = None
        self._pending_appends = {}
        self._submit_record_ids = {}
        self._caught_up = False
        self._last_read_ms = -LOG_FRESHNESS_MS
        self._last_offset = -1
        self._log_reachability = LogReachability()
        self._unknown_outcomes = UnknownOutcomes()
        self._configured = False
        self._log_tail = None
        self._next_read_ms = 0
        self._deferred_calls = []

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def mark_configured(self, message: ServiceConfigurationUpdated):
        """Note that a configuration has arrived; a host isn't ready without one."""
        self._configured = True
        self._admission.configure(message.configuration)

    @receive.register
    def apply_records(self, message: RecordsRead):
        """Apply a page of records, and answer the calls whose records are in it."""
        now_ms = self._context.clock.now_ms()
        self._log_reachability.note_read(now_ms)
        self._next_read_ms = now_ms + message.pause_ms
        for applied in apply_records(self._context, self._ledger, message):
            pending = self._pending_appends.get(applied.record_id)
            if pending is not None:
                self._finish_append(pending, self._read_back_reply(pending))
        self._admission.note_read(self._last_read_requested_ms)
        if message.records:
            self._last_offset = message.records[-1].offset
        if not self._ledger.has_begun:
            self._caught_up = False
        if not (message.caught_up and self._ledger.has_begun):
            return
        self._last_read_ms = now_ms
        self._last_read_requested_ms = message.requested_ms
        self._serve_deferred_calls(message.requested_ms)
        if message.pause_ms and self._has_deferred_submissions():
            tell(self._log_tail, ReadNow())
        if not self._caught_up:
            self._caught_up = True
            self._context.logger.info(
                "work stream read", extra={"jobs": len(self._ledger.jobs)}
            )

    @receive.register
    def count_read_failure(self, message: LogUnreadable):
        """Count the failure, and keep the jobs as they are.

        The age of the last read decides what callers are told.
        """
        self._context.metrics.count("work_stream.failures")

    @receive.register
    def handle_call(self, message: CallAdmitted):
        """Serve a call that passed the filter chain.

        If recent records could change the answer, the log is read first.
        """
        call = message.call
        now_ms = self._context.clock.now_ms()
        if self._depends_on_log(call, now_ms):
            self._deferred_calls.append(DeferredCall(call, now_ms))
            tell(self._log_tail, ReadNow())
            return
        self._serve_call(call)

    def _serve_call(self, call, may_reject=False):
        if call.kind == CallKind.SUBMIT:
            self._submit_job(call, may_reject)
            return
        serve = {
            CallKind.STATE: self._report_state,
            CallKind.CANCEL: self._cancel_job,
            CallKind.COUNT: self._report_waiting_count,
        }[call.kind]
        serve(call)

    @receive.register
    def handle_append_done(self, message: AppendDone):
        """Answer the calls that wait for this record: it is in the log."""
        now_ms = self._context.clock.now_ms()
        self._log_reachability.note_append_done(message.record_id, now_ms)
        pending = self._pending_appends.get(message.record_id)
        if pending is None:
            return
        if pending.needs_read:
            tell(self._log_tail, ReadNow())
            return
        self._finish_append(pending, WorkReply())

    @receive.register
    def handle_append_failure(self, message: AppendFailed):
        """Refuse the calls, schedule a retry, or report an unknown outcome.

        Calls are refused only if the record was certainly not written.
        """
        now_ms = self._context.clock.now_ms()
        self._log_reachability.note_append_failed(message.record_id, now_ms)
        if message.final:
            self._context.logger.error(
                "record rejected by the log", extra={"reason": message.reason}
            )
        pending = self._pending_appends.get(message.record_id)
        if pending is None:
            return
        state, verdict = after_failure(pending.state, message.unknown, now_ms)
        pending = pending._replace(state=state)
        self._pending_appends[message.record_id] = pending
        if verdict == AppendVerdict.REFUSE:
            self._finish_append(pending, self._log_unavailable_reply(message.reason))
        elif verdict == AppendVerdict.UNKNOWN:
            self._finish_with_unknown_outcome(pending)
        else:
            retry_at_ms = now_ms + APPEND_RETRY_DELAY_MS
            self._pending_appends[message.record_id] = pending._replace(
                retry_at_ms=retry_at_ms
            )

    @receive.register
    def tick(self, message: Tick):
        """Retry appends of unknown outcome until their callers' deadlines."""
        now_ms = self._context.clock.now_ms()
        self._serve_deferred_calls(now_ms - LOG_READ_TIMEOUT_MS, may_reject=False)
        for record_id, pending in list(self._pending_appends.items()):
            if now_ms >= pending.state.deadline_ms:
                self._finish_with_unknown_outcome(pending)
            elif pending.retry_at_ms and now_ms >= pending.retry_at_ms:
                self._pending_appends[record_id] = pending._replace(retry_at_ms=0)
                self._send_append(pending.append_request)

    @receive.register
    def answer_readiness(self, message: ReadinessAsked):
        """Answer whether this host is configured and can serve callers from the log."""
        now_ms = self._context.clock.now_ms()
        message.reply.set(
            self._configured
            and self._is_log_fresh()
            and self._log_reachability.is_reachable(now_ms)
        )

    @receive.register
    def set_log_tail(self, message: UseLogTail):
        """Set the link that reads the work stream."""
        self._log_tail = message.tail

    @receive.register
    def set_calls_controller(self, message: UseCallsController):
        """Set the controller that receives the answers to calls."""
        self._calls = message.calls

    def dump(self):
        """Return counts of jobs by state and pending appends, and the acting host."""
        states = {}
        for progress in self._ledger.jobs.values():
            states[progress.state] = states.get(progress.state, 0) + 1
        return {
            "jobs": states,
            "pending": len(self._pending_appends),
            "epoch": self._ledger.epoch,
            "acting_host": self._ledger.acting_host,
            "caught_up": self._caught_up,
        }

    def _depends_on_log(self, call, now_ms):
        """Return whether records that aren't read yet may change the answer.

        A job that another host has just accepted must not be rejected, so a rejection
        needs a read that began after the call, also if the log reader doesn't pause.
        """
        if call.kind == CallKind.SUBMIT:
            return self._would_reject(call) and not self._may_be_written(call.job_id)
        if call.kind != CallKind.STATE or now_ms >= self._next_read_ms:
            return False
        progress = self._ledger.jobs.get(call.job_id)
        return progress is None or progress.active

    def _serve_deferred_calls(self, requested_ms, may_reject=True):
        """Serve the calls that were deferred at `requested_ms` or earlier."""
        deferred_calls, self._deferred_calls = self._deferred_calls, []
        for item in deferred_calls:
            if item.deferred_at_ms <= requested_ms:
                self._serve_call(item.call, may_reject)
            else:
                self._deferred_calls.append(item)

    def _has_deferred_submissions(self):
        return any(item.call.kind == CallKind.SUBMIT for item in self._deferred_calls)

    def _may_be_written(self, job_id):
        """Return whether a record of the job is, or may be, in the log."""
        now_ms = self._context.clock.now_ms()
        return (
            job_id in self._ledger.jobs
            or any(item.job_id == job_id for item in self._pending_appends.values())
            or self._unknown_outcomes.holds(job_id, now_ms)
        )

    def _would_reject(self, call):
        job = _create_job(call, self._context.clock.wall_ms())
        return not self._admission.decide(job).admitted

    def _submit_job(self, call, may_reject):
        if call.job_id in self._ledger.jobs:
            self._send_answer(call, WorkReply())
            return
        record_id = self._submit_record_ids.get(call.job_id)
        if record_id is not None:
            self._join_append(record_id, call)
            return
        if self._is_log_silent():
            self._send_answer(call, self._not_appended_reply(call.job_id))
            return
        job = _create_job(call, self._context.clock.wall_ms())
        if may_reject and not self._may_be_written(call.job_id):
            verdict = self._admission.decide(job)
            if not verdict.admitted:
                self._reject_job(call, job, verdict)
                return
        text = json_text.dumps(WorkAccepted(job))
        if len(text) > self._max_job_bytes:
            reason = (
                f"the job's record has {len(text)} bytes, {self._max_job_bytes} at"
                " most are allowed"
            )
            self._send_answer(call, refused_reply(ResultCode.BODY_TOO_LARGE, reason))
            return
        self._admission.note_verdict(job, ADMITTED)
        self._submit_record_ids[call.job_id] = self._append_record(call, text)

    def _reject_job(self, call, job, verdict):
        self._admission.note_verdict(job, verdict)
        reason = "the job can't end in time now; submit it again later"
        self._send_answer(
            call,
            refused_reply(ResultCode.CAPACITY_SHORT, reason, verdict.retry_after_ms),
        )

    def _cancel_job(self, call):
        """Append a cancel, also of a job that isn't known here.

        The job may have been accepted by another host since the last read, or its
        acceptance may be on its way.
        """
        progress = self._ledger.jobs.get(call.job_id)
        if progress is not None and not progress.active:
            self._send_answer(call, WorkReply())
            return
        if self._is_log_silent():
            self._send_answer(
                call, self._log_unavailable_reply("the log does not answer")
            )
            return
        text = json_text.dumps(WorkCancelled(call.job_id))
        self._append_record(call, text, needs_read=progress is None)

    def _read_back_reply(self, pending):
        """Return the reply to an append that was read back."""
        if pending.needs_read and pending.job_id not in self._ledger.jobs:
            return _not_found_reply()
        return WorkReply()

    def _report_state(self, call):
        progress = self._ledger.jobs.get(call.job_id)
        if progress is not None:
            self._send_answer(call, WorkReply(state=progress.state))
        elif self._is_log_fresh():
            self._send_answer(call, _not_found_reply())
        else:
            reason = "the log can't be read here now"
            self._send_answer(
                call,
                refused_reply(
                    ResultCode.LOG_UNAVAILABLE, reason, RETRY_AFTER_INITIAL_MS
                ),
            )

    def _report_waiting_count(self, call):
        if not self._caught_up:
            reason = "the log is not read yet"
            self._send_answer(
                call,
                refused_reply(ResultCode.NOT_READY, reason, RETRY_AFTER_INITIAL_MS),
            )
            return
        waiting = self._ledger.pending_count(call.queue.name)
        self._send_answer(call, WorkReply(waiting=waiting))

    def _append_record(self, call, text, needs_read=False):
        record_id = self._context.new_id()
        append_request = AppendRecord(WORK_STREAM, record_id, text, self.actor_ref)
        maybe_written = self._unknown_outcomes.holds(
            call.job_id, self._context.clock.now_ms()
        )
        state = AppendState(self._append_deadline_ms(call), maybe_written)
        self._pending_appends[record_id] = PendingAppend(
            append_request,
            call.job_id,
            state,
            (call.call_id,),
            needs_read=needs_read,
        )
        self._send_append(append_request)
        return record_id

    def _join_append(self, record_id, call):
        """Let a call wait for the append of an earlier call for the same job."""
        pending = self._pending_appends[record_id]
        deadline_ms = max(pending.state.deadline_ms, self._append_deadline_ms(call))
        self._pending_appends[record_id] = pending._replace(
            call_ids=(*pending.call_ids, call.call_id),
            state=pending.state._replace(deadline_ms=deadline_ms),
        )

    def _append_deadline_ms(self, call):
        """Return when a call must be answered, whether or not its append is."""
        now_ms = self._context.clock.now_ms()
        return max(call.deadline_ms - ANSWER_MARGIN_MS, now_ms + MIN_APPEND_WAIT_MS)

    def _send_append(self, append_request):
        now_ms = self._context.clock.now_ms()
        self._log_reachability.note_append_sent(append_request.record_id, now_ms)
        tell(self._appender, append_request)

    def _finish_with_unknown_outcome(self, pending):
        now_ms = self._context.clock.now_ms()
        self._unknown_outcomes.add(pending.job_id, now_ms)
        self._finish_append(pending, self._unknown_outcome_reply())

    def _finish_append(self, pending, reply):
        record_id = pending.append_request.record_id
        self._pending_appends.pop(record_id, None)
        self._log_reachability.note_append_forgotten(record_id)
        if self._submit_record_ids.get(pending.job_id) == record_id:
            del self._submit_record_ids[pending.job_id]
        for call_id in pending.call_ids:
            self._send_reply(call_id, reply)

    def _send_answer(self, call, reply):
        self._send_reply(call.call_id, reply)

    def _send_reply(self, call_id, reply):
        age_ms = self._log_age_ms() if self._caught_up else -1
        state = LogState(self._last_offset, age_ms)
        tell(self._calls, CallAnswered(call_id, reply._replace(log_state=state)))

    def _is_log_fresh(self):
        return self._caught_up and self._log_age_ms() < LOG_FRESHNESS_MS

    def _log_age_ms(self):
        return self._context.clock.now_ms() - self._last_read_ms

    def _not_appended_reply(self, job_id):
        """Return the reply to a submission that is not appended."""
        if self._unknown_outcomes.holds(job_id, self._context.clock.now_ms()):
            return self._unknown_outcome_reply()
        return self._log_unavailable_reply("the log does not answer")

    def _log_unavailable_reply(self, reason):
        return refused_reply(ResultCode.LOG_UNAVAILABLE, reason, self._retry_after_ms())

    def _unknown_outcome_reply(self):
        reason = "the log did not say whether it took the record; ask again"
        return refused_reply(ResultCode.OUTCOME_UNKNOWN, reason, self._retry_after_ms())

    def _retry_after_ms(self):
        now_ms = self._context.clock.now_ms()
        return retry_after_ms(self._log_reachability.unanswered_ms(now_ms))

    def _is_log_silent(self):
        return self._log_reachability.is_silent(self._context.clock.now_ms())


def _not_found_reply():
    return refused_reply(ResultCode.NOT_FOUND, "no job has this id")


def _create_job(call, wall_ms):
    draft, queue = call.draft, call.queue
    return WorkJob(
        call.job_id,
        queue.name,
        queue.service,
        call.organisation,
        queue.priority,
        queue.max_failures,
        queue.objective_factor,
        queue.objective_ms,
        draft.specification,
        draft.steps,
        wall_ms,
        draft.first_wall_ms,
        draft.period_ms,
        draft.repeats,
    )
