"""Owns an entry's fold of the work stream, and the submissions under way."""

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
from knapweedshed.controllers.work_messages import (
    CallAnswered,
    CallPassed,
    ConfigurationInForce,
    ReadyAsked,
    UseCalls,
    UseTail,
)
from knapweedshed.controllers.work_stream import decode_records
from knapweedshed.decisions.acceptance import (
    APPEND_RETRY_DELAY_MS,
    RETRY_AFTER_INITIAL_MS,
    AppendState,
    AppendVerdict,
    after_failure,
    log_is_down,
    retry_after_ms,
)
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.filters.work_calls import refused_reply
from knapweedshed.models.calls import CallKind, WorkReply
from knapweedshed.models.work import WorkJob
from knapweedshed.models.work_records import WORK_STREAM, WorkAccepted, WorkCancelled
from knapweedshed.results import Result, ResultCode

FRESH_MS = 2_500  # half a second less than a job may stay invisible
ANSWER_MARGIN_MS = 400
ASK_LOG_MS = 150  # a read of the log takes some ms; a slow one isn't waited for


class Pending(NamedTuple):
    """A record on its way into the log, and the calls that wait for it."""

    record: AppendRecord
    job_id: str
    state: AppendState
    call_ids: tuple[str, ...]
    repeat_at_ms: int = 0


class Parked(NamedTuple):
    """A call that waits for what the log says now."""

    call: object
    since_ms: int


class JobsController(Controller):
    """Accepts, cancels and shows jobs; the log is the only truth."""

    def __init__(self, context, appender):
        super().__init__(context)
        self._appender = appender
        self._calls = None
        self._ledger = WorkLedger()
        self._pending = {}
        self._submitting = {}
        self._caught_up = False
        self._read_ms = -FRESH_MS
        self._append_failed_ms = -1
        self._append_done_ms = 0
        self._configured = False
        self._tail = None
        self._pausing_until_ms = 0
        self._parked = []

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def configure(self, message: ConfigurationInForce):
        """Only with a configuration is a host ready."""
        self._configured = True

    @receive.register
    def records(self, message: RecordsRead):
        """Fold a page, and settle submissions that stand in it."""
        self._read_ms = self._context.clock.now_ms()
        self._pausing_until_ms = self._read_ms + message.pause_ms
        for offset, record_id, record in decode_records(self._context, message):
            self._ledger.apply(offset, record)
            pending = self._pending.get(record_id)
            if pending is not None:
                self._settle(pending, WorkReply())
        self._serve_parked(message.asked_ms)
        if message.caught_up and not self._caught_up:
            self._caught_up = True
            self._context.logger.info(
                "work stream read", extra={"jobs": len(self._ledger.jobs)}
            )

    @receive.register
    def unreadable(self, message: LogUnreadable):
        """Keep what is known; its age decides what may be said."""
        self._context.metrics.count("work_stream.failures")

    @receive.register
    def passed(self, message: CallPassed):
        """Serve a call that came through the chain, by what the log says now."""
        call = message.call
        now_ms = self._context.clock.now_ms()
        if now_ms < self._pausing_until_ms and self._depends_on_log(call):
            self._parked.append(Parked(call, now_ms))
            tell(self._tail, ReadNow())
            return
        self._serve(call)

    def _serve(self, call):
        serve = {
            CallKind.SUBMIT: self._submit,
            CallKind.STATE: self._show,
            CallKind.CANCEL: self._cancel,
            CallKind.COUNT: self._count,
        }[call.kind]
        serve(call)

    @receive.register
    def appended(self, message: AppendDone):
        """The record stands in the log."""
        self._append_done_ms = self._context.clock.now_ms()
        pending = self._pending.get(message.record_id)
        if pending is not None:
            self._settle(pending, WorkReply())

    @receive.register
    def not_appended(self, message: AppendFailed):
        """Refuse truly, repeat, or say that the outcome is unknown."""
        now_ms = self._context.clock.now_ms()
        self._append_failed_ms = now_ms
        pending = self._pending.get(message.record_id)
        if pending is None:
            return
        state, verdict = after_failure(pending.state, message.unknown, now_ms)
        pending = pending._replace(state=state)
        self._pending[message.record_id] = pending
        if verdict == AppendVerdict.REFUSE:
            self._settle(pending, self._log_unavailable(message.reason))
        elif verdict == AppendVerdict.UNKNOWN:
            self._settle(pending, _unknown())
        else:
            repeat_at_ms = now_ms + APPEND_RETRY_DELAY_MS
            self._pending[message.record_id] = pending._replace(
                repeat_at_ms=repeat_at_ms
            )

    @receive.register
    def tick(self, message: Tick):
        """Repeat appends whose outcome is unknown, until their callers have gone."""
        now_ms = self._context.clock.now_ms()
        self._serve_parked(now_ms - ASK_LOG_MS)
        for record_id, pending in list(self._pending.items()):
            if now_ms >= pending.state.deadline_ms:
                self._settle(pending, _unknown())
            elif pending.repeat_at_ms and now_ms >= pending.repeat_at_ms:
                self._pending[record_id] = pending._replace(repeat_at_ms=0)
                tell(self._appender, pending.record)

    @receive.register
    def ready(self, message: ReadyAsked):
        """Ready with a configuration, and a log that answers."""
        message.reply.set(self._configured and self._fresh())

    @receive.register
    def use_tail(self, message: UseTail):
        """Name the link that reads the work stream."""
        self._tail = message.tail

    @receive.register
    def use_calls(self, message: UseCalls):
        """Name the controller that is told the answers."""
        self._calls = message.calls

    def dump(self):
        """Return counts of jobs by state, and what is under way."""
        states = {}
        for progress in self._ledger.jobs.values():
            states[progress.state] = states.get(progress.state, 0) + 1
        return {
            "jobs": states,
            "pending": len(self._pending),
            "epoch": self._ledger.epoch,
            "acting_host": self._ledger.acting_host,
            "caught_up": self._caught_up,
        }

    def _depends_on_log(self, call):
        """Return whether what was written lately may change the answer."""
        if call.kind not in (CallKind.STATE, CallKind.CANCEL):
            return False
        progress = self._ledger.jobs.get(call.job_id)
        return progress is None or progress.active

    def _serve_parked(self, asked_ms):
        """Serve the calls that waited for a read that was asked for by `asked_ms`."""
        parked, self._parked = self._parked, []
        for item in parked:
            if item.since_ms <= asked_ms:
                self._serve(item.call)
            else:
                self._parked.append(item)

    def _submit(self, call):
        if call.job_id in self._ledger.jobs:
            self._answer(call, WorkReply())
            return
        record_id = self._submitting.get(call.job_id)
        if record_id is not None:
            pending = self._pending[record_id]
            self._pending[record_id] = pending._replace(
                call_ids=(*pending.call_ids, call.call_id)
            )
            return
        if self._log_down():
            self._answer(call, self._log_unavailable("the log is down"))
            return
        record = WorkAccepted(_job(call, self._context.clock.wall_ms()))
        self._submitting[call.job_id] = self._append(call, record)

    def _cancel(self, call):
        if call.job_id not in self._ledger.jobs:
            self._show(call)
            return
        if not self._ledger.jobs[call.job_id].active:
            self._answer(call, WorkReply())
            return
        if self._log_down():
            self._answer(call, self._log_unavailable("the log is down"))
            return
        self._append(call, WorkCancelled(call.job_id))

    def _show(self, call):
        progress = self._ledger.jobs.get(call.job_id)
        if progress is not None:
            self._answer(call, WorkReply(state=progress.state))
        elif self._fresh():
            self._answer(
                call, refused_reply(ResultCode.NOT_FOUND, "no job has this id")
            )
        else:
            reason = "the log can't be read here now"
            self._answer(
                call,
                refused_reply(
                    ResultCode.LOG_UNAVAILABLE, reason, RETRY_AFTER_INITIAL_MS
                ),
            )

    def _count(self, call):
        if not self._caught_up:
            reason = "the log is not read yet"
            self._answer(
                call,
                refused_reply(ResultCode.NOT_READY, reason, RETRY_AFTER_INITIAL_MS),
            )
            return
        waiting = self._ledger.pending_count(call.queue.name)
        self._answer(call, WorkReply(waiting=waiting))

    def _append(self, call, record):
        record_id = self._context.new_id()
        request = AppendRecord(
            WORK_STREAM, record_id, json_text.dumps(record), self.actor_ref
        )
        state = AppendState(call.deadline_ms - ANSWER_MARGIN_MS)
        self._pending[record_id] = Pending(request, call.job_id, state, (call.call_id,))
        tell(self._appender, request)
        return record_id

    def _settle(self, pending, reply):
        self._pending.pop(pending.record.record_id, None)
        if self._submitting.get(pending.job_id) == pending.record.record_id:
            del self._submitting[pending.job_id]
        for call_id in pending.call_ids:
            tell(self._calls, CallAnswered(call_id, reply))

    def _answer(self, call, reply):
        tell(self._calls, CallAnswered(call.call_id, reply))

    def _fresh(self):
        age_ms = self._context.clock.now_ms() - self._read_ms
        return self._caught_up and age_ms < FRESH_MS

    def _log_unavailable(self, reason):
        after_ms = retry_after_ms(self._read_ms, self._context.clock.now_ms())
        return refused_reply(ResultCode.LOG_UNAVAILABLE, reason, after_ms)

    def _log_down(self):
        return log_is_down(
            self._append_failed_ms,
            self._append_done_ms,
            self._context.clock.now_ms(),
        )


def _job(call, wall_ms):
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


def _unknown():
    reason = "the log did not say whether it took the record; ask again"
    return WorkReply(Result(ResultCode.OUTCOME_UNKNOWN, reason))
