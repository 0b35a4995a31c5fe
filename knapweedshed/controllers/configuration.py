"""Owns the configuration in force: the fold over the configuration stream."""

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
from knapweedshed.decisions import configuration as folds
from knapweedshed.models.configuration import SCHEMA_VERSION
from knapweedshed.models.wire import AskConfiguration, ConfigurationHeld

STREAM = "configuration"
SNAPSHOT_EVERY = 100
SNAPSHOT_PERIOD_MS = 600_000


class Publish(NamedTuple):
    """Append an operator's entry; `reply` gets its `Decision` or a `Result`."""

    plain: dict
    reply: Any


class AskHistory(NamedTuple):
    """Put (configuration, decisions) into `reply`."""

    reply: Any


class ConfigurationController(Controller):
    """Folds the stream, tells the receivers what is in force, and writes snapshots."""

    def __init__(self, context, receivers):
        super().__init__(context)
        self._receivers = receivers
        self._appender = None
        self._fold = folds.Fold()
        self._held = []
        self._readable = False
        self._acting = False
        self._snapshot_at = -1
        self._snapshot_gap = False
        self._snapshot_ms = context.clock.now_ms()
        self._waiting = {}

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def use_appender(self, message: UseAppender):
        """Learn which actor appends."""
        self._appender = message.appender

    @receive.register
    def acting(self, message: ActingChanged):
        """Only an acting scheduler writes snapshots."""
        self._acting = message.acting

    @receive.register
    def records(self, message: RecordsRead):
        """Fold records, in order."""
        self._readable = True
        before = self._fold
        for record in message.records:
            self._take(record)
        self._adopt_from_held()
        self._announce(before)
        self._answer_publishers()
        self._write_snapshot()

    @receive.register
    def tick(self, message: Tick):
        """Write a snapshot when the last one grows old, before retention drops it."""
        if self._held:
            self._adopt_from_held()
        if self._snapshot_at >= 0:
            self._renew_snapshot()

    @receive.register
    def unreadable(self, message: LogUnreadable):
        """Note that peers may know more."""
        self._readable = False

    @receive.register
    def from_peer(self, message: PeerReceived):
        """Serve and take configurations; a peer's is adopted only upward."""
        if isinstance(message.message, AskConfiguration):
            held = ConfigurationHeld(self._fold.configuration)
            tell(message.connection, SendToPeer(held))
            return
        if not isinstance(message.message, ConfigurationHeld):
            return
        if self._held or not self._readable:
            before = self._fold
            self._fold = folds.adopt(self._fold, message.message.configuration)
            self._close_gap()
            self._announce(before)

    @receive.register
    def publish(self, message: Publish):
        """Append an entry; its decision is known once it has been read back."""
        entry_id = message.plain.get("id", "")
        self._waiting[entry_id] = message
        body = json_text.dumps(message.plain)
        record = AppendRecord(STREAM, entry_id, body, self.actor_ref)
        tell(self._appender, record)

    @receive.register
    def appended(self, message: AppendDone):
        """Wait for the entry to be read back."""

    @receive.register
    def not_appended(self, message: AppendFailed):
        """Tell the publisher, unless the entry may stand in the log."""
        waiting = self._waiting.get(message.record_id)
        if waiting is not None and not message.unknown:
            del self._waiting[message.record_id]
            waiting.reply.set(message)

    @receive.register
    def history(self, message: AskHistory):
        """Return what is in force and what was decided."""
        message.reply.set((self._fold.configuration, self._fold.history))

    def dump(self):
        """Return what is in force."""
        configuration = self._fold.configuration
        return {
            "offset": configuration.offset,
            "digest": configuration.digest,
            "organisations": [o.name for o in configuration.organisations],
            "stopped": self._fold.stopped,
            "readable": self._readable,
        }

    def _take(self, record):
        try:
            plain = json_text.loads(record.body)
        except json_text.TextError:
            plain = None
        through = _snapshot_through(plain)
        if through is not None:
            self._snapshot_at = record.offset
            self._snapshot_gap = through < record.offset - 1
            self._snapshot_ms = self._context.clock.now_ms()
        if self._held or record.offset > self._fold.through + 1:
            self._held.append((record.offset, plain))
            return
        self._fold = folds.apply(self._fold, record.offset, plain)

    def _adopt_from_held(self):
        """Close a gap left by retention with the newest snapshot that reaches it."""
        if not self._held:
            return
        first = self._held[0][0]
        for _, plain in reversed(self._held):
            if _snapshot_through(plain) is not None:
                held = json_text.message_from_plain(plain["snapshot"])
                if held.offset >= first - 1:
                    self._fold = folds.adopt(self._fold, held)
                    break
        if not self._close_gap():
            self._context.metrics.count("configuration.gap")
            self._context.logger.error("configuration has a gap and no snapshot")

    def _close_gap(self):
        """Fold what was held back, once the fold reaches it; return whether it did."""
        if not self._held:
            return True
        if self._fold.through < self._held[0][0] - 1:
            return False
        held, self._held = self._held, []
        for offset, plain in held:
            self._fold = folds.apply(self._fold, offset, plain)
        return True

    def _announce(self, before):
        if self._fold.stopped and not before.stopped:
            self._context.metrics.count("configuration.stopped")
            self._context.logger.error(
                "configuration stopped", extra={"reason": self._fold.stopped}
            )
        if self._fold.configuration == before.configuration:
            return
        self._context.metrics.gauge("configuration.offset", self._fold.through)
        for receiver in self._receivers:
            tell(receiver, ConfigurationInForce(self._fold.configuration))

    def _answer_publishers(self):
        for entry_id, waiting in list(self._waiting.items()):
            decision = self._fold.decision(entry_id)
            if decision is not None:
                del self._waiting[entry_id]
                waiting.reply.set(decision)

    def _renew_snapshot(self):
        now_ms = self._context.clock.now_ms()
        if now_ms - self._snapshot_ms >= SNAPSHOT_PERIOD_MS:
            self._snapshot_at = -1
            self._write_snapshot()

    def _write_snapshot(self):
        """Write a snapshot where one is due.

        One that other records got before is written again: it would not reach back
        to its own place once retention has dropped them.
        """
        through = self._fold.through
        if not self._acting or through < 0:
            return
        if self._snapshot_at >= through and not self._snapshot_gap:
            return
        now_ms = self._context.clock.now_ms()
        many = through - self._snapshot_at >= SNAPSHOT_EVERY or self._snapshot_gap
        if not many and now_ms - self._snapshot_ms < SNAPSHOT_PERIOD_MS:
            return
        self._snapshot_at = through
        self._snapshot_gap = False
        self._snapshot_ms = now_ms
        body = json_text.dumps(
            {
                "schema": SCHEMA_VERSION,
                "snapshot": to_plain(self._fold.configuration),
            }
        )
        record = AppendRecord(
            STREAM, f"snapshot-{self._context.new_id()}", body, self.actor_ref
        )
        tell(self._appender, record)


def _snapshot_through(plain):
    """Return the offset that a snapshot stands for; None where it is no snapshot."""
    snapshot = plain.get("snapshot") if isinstance(plain, dict) else None
    offset = snapshot.get("offset") if isinstance(snapshot, dict) else None
    return offset if isinstance(offset, int) else None
