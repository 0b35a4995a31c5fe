"""Owns the configuration in force, which is derived from the configuration stream."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.codecs import json_text
from knapweedshed.codecs.plain import to_plain
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    ActingChanged,
    AppendDone,
    AppendFailed,
    AppendRecord,
    ConfigurationInForce,
    LogUnreadable,
    PeerReceived,
    RecordsRead,
    SendToPeer,
    Tick,
    UseAppender,
)
from knapweedshed.decisions import configuration as rules
from knapweedshed.models.configuration import SCHEMA_VERSION
from knapweedshed.models.wire import AskConfiguration, ConfigurationHeld

CONFIGURATION_STREAM = "configuration"
SNAPSHOT_PERIOD_RECORDS = 100
SNAPSHOT_PERIOD_MS = 600_000


class Publish(NamedTuple):
    """Append an operator's entry; `reply` is set to a `Decision` or `AppendFailed`."""

    entry: dict
    reply: Any


class GetHistory(NamedTuple):
    """Set `reply` to (configuration in force, decisions on the latest entries)."""

    reply: Any


class ConfigurationController(Controller):
    """Applies the configuration stream's records, and writes snapshots to the stream.

    Records behind a gap in the stream are deferred until a snapshot or a peer's
    configuration reaches them.
    """

    def __init__(self, context, receivers):
        super().__init__(context)
        self._receivers = receivers
        self._appender = None
        self._state = rules.ConfigurationFold()
        self._deferred_records = []
        self._log_readable = False
        self._acting = False
        self._last_snapshot_offset = -1
        self._last_snapshot_has_gap = False
        self._last_snapshot_ms = context.clock.now_ms()
        self._pending_publishes = {}

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def set_appender(self, message: UseAppender):
        """Set the actor that appends to the log."""
        self._appender = message.appender

    @receive.register
    def handle_acting_changed(self, message: ActingChanged):
        """Note whether this scheduler is acting; only then it writes snapshots."""
        self._acting = message.acting

    @receive.register
    def apply_records(self, message: RecordsRead):
        """Apply records in order, and publish what they change."""
        self._log_readable = True
        previous = self._state
        for record in message.records:
            self._apply_record(record)
        self._close_gap_from_snapshot()
        self._report_changes(previous)
        self._answer_publishers()
        self._write_snapshot_if_due()

    @receive.register
    def tick(self, message: Tick):
        """Retry closing a gap; write a new snapshot before retention drops the last."""
        if self._deferred_records:
            self._close_gap_from_snapshot()
        if self._last_snapshot_offset >= 0:
            self._write_snapshot_if_old()

    @receive.register
    def mark_log_unreadable(self, message: LogUnreadable):
        """Note that the log can't be read: peers may have a newer configuration."""
        self._log_readable = False

    @receive.register
    def handle_peer_message(self, message: PeerReceived):
        """Answer a peer's request, or adopt a peer's configuration if it is newer.

        A peer's configuration is only used while the log has a gap or can't be read.
        """
        if isinstance(message.message, AskConfiguration):
            held = ConfigurationHeld(self._state.configuration)
            tell(message.connection, SendToPeer(held))
            return
        if not isinstance(message.message, ConfigurationHeld):
            return
        if self._deferred_records or not self._log_readable:
            previous = self._state
            self._state = rules.adopt_snapshot(
                self._state, message.message.configuration
            )
            self._apply_deferred()
            self._report_changes(previous)

    @receive.register
    def publish(self, message: Publish):
        """Append an entry; the decision on it is known once it has been read back."""
        entry_id = message.entry.get("id", "")
        self._pending_publishes[entry_id] = message
        body = json_text.dumps(message.entry)
        record = AppendRecord(CONFIGURATION_STREAM, entry_id, body, self.actor_ref)
        tell(self._appender, record)

    @receive.register
    def ignore_append_done(self, message: AppendDone):
        """Do nothing: the entry's decision follows when it is read back."""

    @receive.register
    def handle_append_failure(self, message: AppendFailed):
        """Tell the publisher, unless the entry may be in the log nevertheless."""
        pending = self._pending_publishes.get(message.record_id)
        if pending is not None and not message.unknown:
            del self._pending_publishes[message.record_id]
            pending.reply.set(message)

    @receive.register
    def answer_history(self, message: GetHistory):
        """Answer with the configuration in force and the latest decisions."""
        message.reply.set((self._state.configuration, self._state.history))

    def dump(self):
        """Return the configuration, why updates stopped, and if the log is readable."""
        configuration = self._state.configuration
        return {
            "offset": configuration.offset,
            "digest": configuration.digest,
            "organisations": [o.name for o in configuration.organisations],
            "stopped": self._state.stopped,
            "readable": self._log_readable,
        }

    def _apply_record(self, record):
        """Apply a record, or defer it if it is behind a gap; note snapshots."""
        try:
            plain = json_text.loads(record.body)
        except json_text.TextError:
            plain = None
        through = _snapshot_end_offset(plain)
        if through is not None:
            self._last_snapshot_offset = record.offset
            self._last_snapshot_has_gap = through < record.offset - 1
            self._last_snapshot_ms = self._context.clock.now_ms()
        if self._deferred_records or record.offset > self._state.through + 1:
            self._deferred_records.append((record.offset, plain))
            return
        self._state = rules.apply_entry(self._state, record.offset, plain)

    def _close_gap_from_snapshot(self):
        """Close a gap left by retention, by the newest snapshot that covers it."""
        if not self._deferred_records:
            return
        first = self._deferred_records[0][0]
        for _, plain in reversed(self._deferred_records):
            if _snapshot_end_offset(plain) is not None:
                snapshot = json_text.message_from_plain(plain["snapshot"])
                if snapshot.offset >= first - 1:
                    self._state = rules.adopt_snapshot(self._state, snapshot)
                    break
        if not self._apply_deferred():
            self._context.metrics.count("configuration.gap")
            self._context.logger.error("configuration has a gap and no snapshot")

    def _apply_deferred(self):
        """Apply the deferred records unless a gap is left; return whether none is."""
        if not self._deferred_records:
            return True
        if self._state.through < self._deferred_records[0][0] - 1:
            return False
        deferred, self._deferred_records = self._deferred_records, []
        for offset, plain in deferred:
            self._state = rules.apply_entry(self._state, offset, plain)
        return True

    def _report_changes(self, previous):
        """Log that updates have stopped, and publish a changed configuration."""
        if self._state.stopped and not previous.stopped:
            self._context.metrics.count("configuration.stopped")
            self._context.logger.error(
                "configuration stopped", extra={"reason": self._state.stopped}
            )
        if self._state.configuration == previous.configuration:
            return
        self._context.metrics.gauge("configuration.offset", self._state.through)
        for receiver in self._receivers:
            tell(receiver, ConfigurationInForce(self._state.configuration))

    def _answer_publishers(self):
        """Answer the publishers whose entries have been decided."""
        for entry_id, pending in list(self._pending_publishes.items()):
            decision = self._state.decision(entry_id)
            if decision is not None:
                del self._pending_publishes[entry_id]
                pending.reply.set(decision)

    def _write_snapshot_if_old(self):
        """Write a snapshot if the last one is older than `SNAPSHOT_PERIOD_MS`."""
        now_ms = self._context.clock.now_ms()
        if now_ms - self._last_snapshot_ms >= SNAPSHOT_PERIOD_MS:
            self._last_snapshot_offset = -1
            self._write_snapshot_if_due()

    def _write_snapshot_if_due(self):
        """Write a snapshot if one is due.

        A snapshot with other records between its end and its own offset is written
        again: once retention drops those records, it leaves a gap before itself.
        """
        through = self._state.through
        if not self._acting or through < 0:
            return
        if self._last_snapshot_offset >= through and not self._last_snapshot_has_gap:
            return
        now_ms = self._context.clock.now_ms()
        due_by_count = (
            through - self._last_snapshot_offset >= SNAPSHOT_PERIOD_RECORDS
            or self._last_snapshot_has_gap
        )
        if not due_by_count and now_ms - self._last_snapshot_ms < SNAPSHOT_PERIOD_MS:
            return
        self._last_snapshot_offset = through
        self._last_snapshot_has_gap = False
        self._last_snapshot_ms = now_ms
        body = json_text.dumps(
            {
                "schema": SCHEMA_VERSION,
                "snapshot": to_plain(self._state.configuration),
            }
        )
        record = AppendRecord(
            CONFIGURATION_STREAM,
            f"snapshot-{self._context.new_id()}",
            body,
            self.actor_ref,
        )
        tell(self._appender, record)


def _snapshot_end_offset(plain):
    """Return the last offset that a snapshot covers, or None if it is no snapshot."""
    snapshot = plain.get("snapshot") if isinstance(plain, dict) else None
    offset = snapshot.get("offset") if isinstance(snapshot, dict) else None
    return offset if isinstance(offset, int) else None
