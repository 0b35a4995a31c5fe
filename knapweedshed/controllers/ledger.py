"""Owns the fold over the data centre's job stream; appends to it until it stands."""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.codecs import json_text
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    ActingChanged,
    AppendDone,
    AppendFailed,
    AppendRecord,
    JobsFolded,
    LedgerState,
    LedgerStateAsked,
    LogUnreadable,
    RecordFact,
    RecordsRead,
    TakeDirect,
    Tick,
    UseAppender,
)
from knapweedshed.decisions.ledger import Ledger
from knapweedshed.models.ledger import JobAccepted, LedgerSnapshot

RETRY_MS = 500
SNAPSHOT_EVERY = 5_000
SNAPSHOT_PERIOD_MS = 1_800_000


def jobs_stream(data_centre):
    """Return the name of a data centre's job stream."""
    return f"jobs-{data_centre}"


class LedgerController(Controller):
    """Folds the stream and tells facts; a record of ours is retried until it stands.

    A retry carries the same record: a second copy changes nothing in any fold.
    """

    def __init__(self, context, timer, receivers):
        super().__init__(context)
        self._timer = timer
        self._receivers = receivers
        self._appender = None
        self._stream = jobs_stream(context.settings.data_centre)
        self._ledger = Ledger()
        self._caught_up = False
        self._asked = []
        self._unsure = {}
        self._held = []
        self._acting = False
        self._snapshot_at = -1
        self._snapshot_ms = context.clock.now_ms()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def use_appender(self, message: UseAppender):
        """Learn which actor appends."""
        self._appender = message.appender

    @receive.register
    def append_again(self, message: AppendRecord):
        """Try an append of ours again."""
        tell(self._appender, message)

    @receive.register
    def acting(self, message: ActingChanged):
        """Only an acting scheduler writes snapshots."""
        self._acting = message.acting

    @receive.register
    def records(self, message: RecordsRead):
        """Fold records, and say what they brought."""
        facts = []
        for record in message.records:
            facts.extend(self._take(record))
        facts.extend(self._adopt_from_held())
        if message.caught_up and not self._held:
            self._caught_up = True
        self._tell_facts(facts)
        self._answer_asked()
        self._write_snapshot()

    @receive.register
    def tick(self, message: Tick):
        """Write a snapshot when the last one grows old, before retention drops it."""
        self._write_snapshot()

    @receive.register
    def unreadable(self, message: LogUnreadable):
        """Wait: the tail tries again."""

    @receive.register
    def state_asked(self, message: LedgerStateAsked):
        """Tell the state once the stream has been read to its end."""
        self._asked.append(message.receiver)
        self._answer_asked()

    @receive.register
    def record_fact(self, message: RecordFact):
        """Append a record until it stands."""
        record = AppendRecord(
            self._stream,
            self._context.new_id(),
            json_text.dumps(message.record),
            self.actor_ref,
        )
        self._unsure[record.record_id] = record
        tell(self._appender, record)

    @receive.register
    def take_direct(self, message: TakeDirect):
        """Take a job without the log, and put it there when that is back."""
        facts = self._ledger.take_direct(message.job)
        self._tell_facts(facts)
        if facts:
            self.record_fact(RecordFact(JobAccepted(message.job)))

    @receive.register
    def appended(self, message: AppendDone):
        """The record stands; the tail will bring it."""
        self._unsure.pop(message.record_id, None)

    @receive.register
    def not_appended(self, message: AppendFailed):
        """Try again later with the same record."""
        record = self._unsure.get(message.record_id)
        if record is not None:
            self._timer.after(RETRY_MS, self.actor_ref, record)

    def dump(self):
        """Return the bounds of the fold."""
        return {
            "through": self._ledger.through,
            "open": len(self._ledger.open),
            "closed": len(self._ledger.closed),
            "unsure_appends": len(self._unsure),
            "caught_up": self._caught_up,
        }

    def _take(self, record):
        try:
            message = json_text.loads_message(record.body)
        except json_text.TextError as error:
            self._context.logger.error("bad ledger record", extra={"why": str(error)})
            return ()
        if isinstance(message, LedgerSnapshot):
            self._snapshot_at = record.offset
        if self._held or record.offset > self._ledger.through + 1:
            self._held.append((record.offset, message))
            return ()
        return self._ledger.apply(record.offset, message)

    def _adopt_from_held(self):
        """Close a gap left by retention with the newest whole snapshot."""
        if not self._held:
            return ()
        first = self._held[0][0]
        parts = self._whole_snapshot(first)
        facts = list(self._ledger.adopt(parts))
        if self._ledger.through < first - 1:
            self._context.metrics.count("ledger.gap")
            return facts
        held, self._held = self._held, []
        for offset, message in held:
            facts.extend(self._ledger.apply(offset, message))
        return facts

    def _whole_snapshot(self, first):
        by_through = {}
        for _, message in self._held:
            if isinstance(message, LedgerSnapshot) and message.through >= first - 1:
                by_through.setdefault(message.through, {})[message.part] = message
        for through in sorted(by_through, reverse=True):
            parts = by_through[through]
            if len(parts) == next(iter(parts.values())).parts:
                return [parts[index] for index in sorted(parts)]
        return []

    def _tell_facts(self, facts):
        if not facts:
            return
        for receiver in self._receivers:
            tell(receiver, JobsFolded(tuple(facts)))

    def _answer_asked(self):
        if not self._caught_up:
            return
        for receiver in self._asked:
            state = LedgerState(dict(self._ledger.open), dict(self._ledger.closed))
            tell(receiver, state)
        self._asked = []

    def _write_snapshot(self):
        through = self._ledger.through
        if not self._acting or through < 0:
            return
        now_ms = self._context.clock.now_ms()
        many = through - self._snapshot_at >= SNAPSHOT_EVERY
        if not many and now_ms - self._snapshot_ms < SNAPSHOT_PERIOD_MS:
            return
        self._snapshot_at = through
        self._snapshot_ms = now_ms
        for part in self._ledger.snapshot():
            self.record_fact(RecordFact(part))
