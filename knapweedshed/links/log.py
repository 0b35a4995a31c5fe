"""Actors for the platform's log: one appends, and one tails each stream."""

import collections
from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    LogUnreadable,
    ReadNow,
    RecordsRead,
    SetReadPause,
)
from knapweedshed.models.outcomes import FAILURE_TYPES, LogRecord, NoAnswer, Rejected

MAX_PAGE_RECORDS = 500
MAX_READ_WAIT_MS = 5_000
RETRY_DELAY_MS = 250
# After the first failure in a row: the connection may have gone silent, not the log.
FIRST_RETRY_DELAY_MS = 50
MAX_BATCH_RECORDS = 200
MAX_BATCH_BYTES = 4_000_000
RECORD_OVERHEAD_BYTES = 64  # a length and the id of the record


class _Flush(NamedTuple):
    pass


class ReadNext(NamedTuple):
    """Read the next page, after the pause with this number.

    A pause that was cut short leaves its timer behind. Its message has an old number
    and is ignored, as it would start a second read loop.
    """

    pause_number: int = 0


class LogAppender(Actor):
    """Appends records in batches of at most `max_batch_bytes`.

    Records that arrive during an append go into the next batch. The records of a batch
    that the log rejects are appended one by one, so that one of them doesn't keep the
    others out.
    """

    def __init__(self, context, log, max_batch_bytes=MAX_BATCH_BYTES):
        super().__init__(context)
        self._log = log
        self._max_batch_bytes = max_batch_bytes
        self._pending = []
        self._separate = collections.deque()
        self._in_flight = ()
        self._flush_scheduled = False

    def on_stop(self):
        """Close the connection to the log."""
        self._log.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def append(self, message: AppendRecord):
        """Add a record to the next batch."""
        self._pending.append(message)
        self._schedule_flush()

    @receive.register
    def flush(self, message: _Flush):
        """Append the next batch, of records of one stream, and report the outcomes."""
        self._flush_scheduled = False
        batch = self._in_flight = self._next_batch()
        if not batch:
            return
        records = [LogRecord(item.record_id, item.body) for item in batch]
        result = self._log.append(batch[0].stream, records)
        self._context.metrics.count("log.appends")
        if isinstance(result, Rejected) and len(batch) > 1:
            self._separate.extend(batch)
        else:
            for index, item in enumerate(batch):
                tell(item.receiver, self._outcome(item, index, result))
        self._in_flight = ()
        if self._pending or self._separate:
            self._schedule_flush()

    def recover(self, message):
        """Report the records of an append that raised an error; send the others."""
        batch, self._in_flight = self._in_flight, ()
        for item in batch:
            failure = NoAnswer("the append raised an error")
            tell(item.receiver, self._outcome(item, 0, failure))
        if self._pending or self._separate:
            self._schedule_flush()

    def _schedule_flush(self):
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.actor_ref.tell(_Flush())

    def _next_batch(self):
        if self._separate:
            return [self._separate.popleft()]
        batch = []
        deferred = []
        size = 0
        for item in self._pending:
            same_stream = not batch or item.stream == batch[0].stream
            item_bytes = RECORD_OVERHEAD_BYTES + len(item.body)
            fits = not batch or size + item_bytes <= self._max_batch_bytes
            if not deferred and same_stream and fits and len(batch) < MAX_BATCH_RECORDS:
                batch.append(item)
                size += item_bytes
            else:
                deferred.append(item)
        self._pending = deferred
        return batch

    def _outcome(self, item, index, result):
        if isinstance(result, FAILURE_TYPES):
            unknown = isinstance(result, NoAnswer)
            self._context.metrics.count("log.append_failures")
            final = isinstance(result, Rejected)
            return AppendFailed(item.record_id, unknown, result.reason, final)
        return AppendDone(item.record_id, result + index)


class LogTail(Actor):
    """Reads a stream continuously from `from_offset` on; sends pages to its receiver.

    A read waits up to `max_wait_ms` at the log for new records; the first read doesn't
    wait. Once caught up, the tail pauses for `pause_ms` after a page with records: this
    saves reads where no one waits for the records.
    """

    def __init__(
        self,
        context,
        log,
        timer,
        stream,
        receiver,
        from_offset=0,
        max_wait_ms=MAX_READ_WAIT_MS,
        pause_ms=0,
    ):
        super().__init__(context)
        self._pause_ms = pause_ms
        self._pause_number = 0
        self._paused = False
        self._max_wait_ms = max_wait_ms
        self._log = log
        self._timer = timer
        self._stream = stream
        self._receiver = receiver
        self._next_offset = from_offset
        self._wait_ms = 0
        self._failed_before = False

    def on_start(self):
        """Start reading."""
        self.actor_ref.tell(ReadNext())

    def on_stop(self):
        """Close the connection to the log."""
        self._log.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def read_next(self, message: ReadNext):
        """Read one page, unless the message belongs to a pause that was cut short."""
        if message.pause_number == self._pause_number:
            self._paused = False
            self._read(self._wait_ms)

    @receive.register
    def read_now(self, message: ReadNow):
        """End a pause early and read at once."""
        if self._paused:
            self._paused = False
            self._pause_number += 1
            self._read(0)

    @receive.register
    def set_pause(self, message: SetReadPause):
        """Set the pause after each page with records; 0 also ends a current pause."""
        self._pause_ms = message.pause_ms
        if not self._pause_ms:
            self.read_now(ReadNow())

    def recover(self, message):
        """Read again later."""
        self._timer.after(RETRY_DELAY_MS, self.actor_ref, ReadNext(self._pause_number))

    def _read(self, wait_ms):
        requested_ms = self._context.clock.now_ms()
        page = self._log.read(
            self._stream, self._next_offset, MAX_PAGE_RECORDS, wait_ms
        )
        if isinstance(page, FAILURE_TYPES):
            tell(self._receiver, LogUnreadable(self._stream, page.reason))
            delay_ms = RETRY_DELAY_MS if self._failed_before else FIRST_RETRY_DELAY_MS
            self._failed_before = True
            self._wait_ms = 0
            self._timer.after(delay_ms, self.actor_ref, ReadNext(self._pause_number))
            return
        self._failed_before = False
        self._wait_ms = self._max_wait_ms
        is_gap = not page.records and page.first_retained > self._next_offset
        if page.records:
            self._next_offset = page.records[-1].offset + 1
        elif is_gap:
            self._context.logger.warning(
                "log records missed",
                extra={
                    "stream": self._stream,
                    "from": self._next_offset,
                    "first_retained": page.first_retained,
                },
            )
            self._context.metrics.count("log.gaps")
            self._next_offset = page.first_retained
        caught_up = len(page.records) < MAX_PAGE_RECORDS
        if page.end >= 0:
            caught_up = self._next_offset >= page.end
        pause_ms = self._pause_ms if page.records and caught_up else 0
        tell(
            self._receiver,
            RecordsRead(
                self._stream,
                page.records,
                page.first_retained,
                caught_up,
                requested_ms,
                pause_ms,
                is_gap,
            ),
        )
        if pause_ms:
            self._paused = True
            self._timer.after(pause_ms, self.actor_ref, ReadNext(self._pause_number))
        else:
            self.actor_ref.tell(ReadNext(self._pause_number))
