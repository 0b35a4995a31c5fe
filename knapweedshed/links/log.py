"""Links to the platform's log: one actor appends, one tails each stream."""

from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    LogUnreadable,
    PaceReads,
    ReadNow,
    RecordsRead,
)
from knapweedshed.models.outcomes import FAILURE_TYPES, LogRecord, NoAnswer

READ_LIMIT = 500
READ_WAIT_MS = 5_000
RETRY_MS = 400
BATCH_RECORDS = 200
BATCH_BYTES = 4_000_000


class _Flush(NamedTuple):
    pass


class ReadNext(NamedTuple):
    """Go on reading; `pause` is the number of the pause that this ends."""

    pause: int = 0


class LogAppender(Actor):
    """Appends records in batches: what arrives during one append goes with the next."""

    def __init__(self, context, log):
        super().__init__(context)
        self._log = log
        self._pending = []
        self._flushing = False

    def on_stop(self):
        """Close the connection."""
        self._log.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def append(self, message: AppendRecord):
        """Put a record into the next batch."""
        self._pending.append(message)
        self._flush_soon()

    @receive.register
    def flush(self, message: _Flush):
        """Append the next batch of one stream."""
        self._flushing = False
        batch = self._next_batch()
        if not batch:
            return
        records = [LogRecord(item.record_id, item.body) for item in batch]
        answer = self._log.append(batch[0].stream, records)
        self._context.metrics.count("log.appends")
        for index, item in enumerate(batch):
            tell(item.receiver, self._outcome(item, index, answer))
        if self._pending:
            self._flush_soon()

    def _flush_soon(self):
        if not self._flushing:
            self._flushing = True
            self.actor_ref.tell(_Flush())

    def _next_batch(self):
        batch = []
        rest = []
        size = 0
        for item in self._pending:
            same = not batch or item.stream == batch[0].stream
            fits = not batch or size + len(item.body) <= BATCH_BYTES
            if not rest and same and fits and len(batch) < BATCH_RECORDS:
                batch.append(item)
                size += len(item.body)
            else:
                rest.append(item)
        self._pending = rest
        return batch

    def _outcome(self, item, index, answer):
        if isinstance(answer, FAILURE_TYPES):
            unknown = isinstance(answer, NoAnswer)
            self._context.metrics.count("log.append_failures")
            return AppendFailed(item.record_id, unknown, answer.reason)
        return AppendDone(item.record_id, answer + index)


class LogTail(Actor):
    """Reads a stream from `from_offset` on, forever, and tells its receiver.

    `pause_ms` after each page with records saves reads where nobody waits for them.
    """

    def __init__(
        self,
        context,
        log,
        timer,
        stream,
        receiver,
        from_offset=0,
        longest_wait_ms=READ_WAIT_MS,
        pause_ms=0,
    ):
        super().__init__(context)
        self._pause_ms = pause_ms
        self._pause = 0
        self._pausing = False
        self._longest_wait_ms = longest_wait_ms
        self._log = log
        self._timer = timer
        self._stream = stream
        self._receiver = receiver
        self._next = from_offset
        self._wait_ms = 0

    def on_start(self):
        """Begin reading."""
        self.actor_ref.tell(ReadNext())

    def on_stop(self):
        """Close the connection."""
        self._log.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def read_next(self, message: ReadNext):
        """Read one page; wait at the log while there is none."""
        if message.pause == self._pause:
            self._pausing = False
            self._read(self._wait_ms)

    @receive.register
    def read_now(self, message: ReadNow):
        """Leave off pausing."""
        if self._pausing:
            self._pausing = False
            self._pause += 1
            self._read(0)

    @receive.register
    def pace(self, message: PaceReads):
        """Pause longer or shorter from now on."""
        self._pause_ms = message.pause_ms
        if not self._pause_ms:
            self.read_now(ReadNow())

    def _read(self, wait_ms):
        asked_ms = self._context.clock.now_ms()
        page = self._log.read(self._stream, self._next, READ_LIMIT, wait_ms)
        if isinstance(page, FAILURE_TYPES):
            tell(self._receiver, LogUnreadable(self._stream, page.reason))
            self._timer.after(RETRY_MS, self.actor_ref, ReadNext(self._pause))
            return
        self._wait_ms = self._longest_wait_ms
        if page.records:
            self._next = page.records[-1].offset + 1
        elif page.first_retained > self._next:
            self._next = page.first_retained
        caught_up = len(page.records) < READ_LIMIT
        if page.end >= 0:
            caught_up = self._next >= page.end
        pause_ms = self._pause_ms if page.records and caught_up else 0
        tell(
            self._receiver,
            RecordsRead(
                self._stream,
                page.records,
                page.first_retained,
                caught_up,
                asked_ms,
                pause_ms,
            ),
        )
        if pause_ms:
            self._pausing = True
            self._timer.after(pause_ms, self.actor_ref, ReadNext(self._pause))
        else:
            self.actor_ref.tell(ReadNext(self._pause))
