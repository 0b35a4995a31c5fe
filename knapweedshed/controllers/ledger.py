"""Controller of a data centre's ledger: applies its job stream and appends to it."""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.codecs import json_text
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    AcceptDirectJob,
    ActingChanged,
    AppendDone,
    AppendFailed,
    AppendLedgerRecord,
    AppendRecord,
    GetLedgerState,
    LedgerState,
    LedgerUpdated,
    LogUnreadable,
    RecordsRead,
    Tick,
    UseAppender,
)
from knapweedshed.decisions.ledger import Ledger
from knapweedshed.models.ledger import JobAccepted, LedgerSnapshot

APPEND_RETRY_DELAY_MS = 500
SNAPSHOT_PERIOD_RECORDS = 5_000
SNAPSHOT_PERIOD_MS = 1_800_000


def job_stream_name(data_centre):
    """Return the name of a data centre's job stream."""
    return f"jobs-{data_centre}"


class LedgerController(Controller):
    """Applies the job stream, publishes the changes, and appends with retries.

    An append is retried until it succeeds. A retry appends the same record, which is
    safe: a second copy changes nothing for any reader of the stream.
    """

    def __init__(self, context, timer, receivers):
        super().__init__(context)
        self._timer = timer
        self._receivers = receivers
        self._appender = None
        self._stream = job_stream_name(context.settings.data_centre)
        self._ledger = Ledger()
        self._caught_up = False
        self._state_receivers = []
        self._pending_appends = {}
        self._deferred_records = []
        self._acting = False
        self._last_snapshot_offset = -1
        self._last_snapshot_ms = context.clock.now_ms()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def set_appender(self, message: UseAppender):
        """Set the actor that appends to the log."""
        self._appender = message.appender

    @receive.register
    def retry_append(self, message: AppendRecord):
        """Retry an append of this controller."""
        tell(self._appender, message)

    @receive.register
    def handle_acting_changed(self, message: ActingChanged):
        """Note whether this scheduler is acting; only then it writes snapshots."""
        self._acting = message.acting

    @receive.register
    def apply_records(self, message: RecordsRead):
        """Apply a page of records, and publish the resulting changes to jobs."""
        changes = []
        for record in message.records:
            changes.extend(self._apply_record(record))
        changes.extend(self._close_gap_from_snapshot())
        if message.caught_up and not self._deferred_records:
            self._caught_up = True
        self._publish_changes(changes)
        self._answer_state_requests()
        self._write_snapshot_if_due()

    @receive.register
    def tick(self, message: Tick):
        """Write a snapshot when the last one is old, before retention drops it."""
        self._write_snapshot_if_due()

    @receive.register
    def ignore_unreadable_log(self, message: LogUnreadable):
        """Do nothing: the log tail retries by itself."""

    @receive.register
    def handle_state_request(self, message: GetLedgerState):
        """Send the state once the stream has been read to its end."""
        self._state_receivers.append(message.receiver)
        self._answer_state_requests()

    @receive.register
    def append_ledger_record(self, message: AppendLedgerRecord):
        """Append a record, with retries until it is acknowledged."""
        record = AppendRecord(
            self._stream,
            self._context.new_id(),
            json_text.dumps(message.record),
            self.actor_ref,
        )
        self._pending_appends[record.record_id] = record
        tell(self._appender, record)

    @receive.register
    def accept_direct_job(self, message: AcceptDirectJob):
        """Accept a job while the log is down, and append it when the log is back."""
        changes = self._ledger.accept_direct(message.job)
        self._publish_changes(changes)
        if changes:
            self.append_ledger_record(AppendLedgerRecord(JobAccepted(message.job)))

    @receive.register
    def handle_append_done(self, message: AppendDone):
        """Stop retrying a record that was appended; the log tail will deliver it."""
        self._pending_appends.pop(message.record_id, None)

    @receive.register
    def schedule_append_retry(self, message: AppendFailed):
        """Schedule a retry with the same record."""
        record = self._pending_appends.get(message.record_id)
        if record is not None:
            self._timer.after(APPEND_RETRY_DELAY_MS, self.actor_ref, record)

    def dump(self):
        """Return the last offset applied, and counts of jobs and of pending appends."""
        return {
            "through": self._ledger.through,
            "open": len(self._ledger.open),
            "closed": len(self._ledger.closed),
            "unsure_appends": len(self._pending_appends),
            "caught_up": self._caught_up,
        }

    def _apply_record(self, record):
        try:
            message = json_text.loads_message(record.body)
        except json_text.TextError as error:
            self._context.logger.error(
                "ledger record unreadable", extra={"why": str(error)}
            )
            return ()
        if isinstance(message, LedgerSnapshot):
            self._last_snapshot_offset = record.offset
        if self._deferred_records or record.offset > self._ledger.through + 1:
            self._deferred_records.append((record.offset, message))
            return ()
        return self._ledger.apply(record.offset, message)

    def _close_gap_from_snapshot(self):
        """Close a gap left by retention, by the newest complete snapshot."""
        if not self._deferred_records:
            return ()
        first_offset = self._deferred_records[0][0]
        parts = self._newest_complete_snapshot(first_offset)
        changes = list(self._ledger.adopt_snapshot(parts))
        if self._ledger.through < first_offset - 1:
            self._context.metrics.count("ledger.gap")
            return changes
        deferred, self._deferred_records = self._deferred_records, []
        for offset, message in deferred:
            changes.extend(self._ledger.apply(offset, message))
        return changes

    def _newest_complete_snapshot(self, first_offset):
        by_through = {}
        for _, message in self._deferred_records:
            if (
                isinstance(message, LedgerSnapshot)
                and message.through >= first_offset - 1
            ):
                by_through.setdefault(message.through, {})[message.part] = message
        for through in sorted(by_through, reverse=True):
            parts = by_through[through]
            if len(parts) == next(iter(parts.values())).parts:
                return [parts[index] for index in sorted(parts)]
        return []

    def _publish_changes(self, changes):
        if not changes:
            return
        for receiver in self._receivers:
            tell(receiver, LedgerUpdated(tuple(changes)))

    def _answer_state_requests(self):
        if not self._caught_up:
            return
        for receiver in self._state_receivers:
            state = LedgerState(dict(self._ledger.open), dict(self._ledger.closed))
            tell(receiver, state)
        self._state_receivers = []

    def _write_snapshot_if_due(self):
        through = self._ledger.through
        if not self._acting or through < 0:
            return
        now_ms = self._context.clock.now_ms()
        enough_records = through - self._last_snapshot_offset >= SNAPSHOT_PERIOD_RECORDS
        if not enough_records and now_ms - self._last_snapshot_ms < SNAPSHOT_PERIOD_MS:
            return
        self._last_snapshot_offset = through
        self._last_snapshot_ms = now_ms
        for part in self._ledger.snapshot():
            self.append_ledger_record(AppendLedgerRecord(part))
