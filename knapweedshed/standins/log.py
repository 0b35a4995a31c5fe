"""Stand-in for the log service: streams with offsets, long polls and retention."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import Actor

REFUSED = "refused"


class Append(NamedTuple):
    """Append `[record_id, body]` pairs; `reply` gets the first offset."""

    stream: str
    records: tuple
    reply: Any


class Read(NamedTuple):
    """Read from an offset; `reply` gets (records, next offset, first offset).

    At the end of the stream a long poll waits for a record; any other read gets none.
    """

    stream: str
    from_offset: int
    limit: int
    is_long_poll: bool
    reply: Any


class SetFault(NamedTuple):
    """Make the log refuse all appends and reads (`down`), or serve them again."""

    down: bool


class DropRecordsBefore(NamedTuple):
    """Drop the records of a stream below an offset, as retention does."""

    stream: str
    offset: int


class _Stream:
    """The retained records of a stream, and the long polls that wait at its end."""

    def __init__(self):
        self.first_offset = 0
        self.records = []
        self.waiting_reads = []

    @property
    def next_offset(self):
        """Offset of the next record to be appended."""
        return self.first_offset + len(self.records)


class LogStandin(Actor):
    """Owns all streams, and the long polls that wait for a record."""

    def __init__(self, context, keep_records):
        super().__init__(context)
        self._keep_records = keep_records
        self._streams = {}
        self._is_down = False
        self._append_count = 0

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def append(self, message: Append):
        """Append records, and answer the waiting reads."""
        if self._is_down:
            message.reply.set(REFUSED)
            return
        self._append_count += 1
        stream = self._get_stream(message.stream)
        offset = stream.next_offset
        stream.records.extend(message.records)
        excess_count = len(stream.records) - self._keep_records
        if excess_count > 0:
            self._drop_oldest(stream, excess_count)
        message.reply.set(offset)
        waiting_reads, stream.waiting_reads = stream.waiting_reads, []
        for waiting_read in waiting_reads:
            self.read(waiting_read)

    @receive.register
    def read(self, message: Read):
        """Answer a read, or keep a long poll waiting at the end of the stream."""
        if self._is_down:
            message.reply.set(REFUSED)
            return
        stream = self._get_stream(message.stream)
        start_offset = max(message.from_offset, stream.first_offset)
        if start_offset >= stream.next_offset and message.is_long_poll:
            stream.waiting_reads.append(message)
            return
        message.reply.set(self._read_page(stream, start_offset, message.limit))

    @receive.register
    def set_fault(self, message: SetFault):
        """Set or clear the fault; setting it refuses the waiting reads."""
        self._is_down = message.down
        if not self._is_down:
            return
        for stream in self._streams.values():
            waiting_reads, stream.waiting_reads = stream.waiting_reads, []
            for waiting_read in waiting_reads:
                waiting_read.reply.set(REFUSED)

    @receive.register
    def drop_records_before(self, message: DropRecordsBefore):
        """Drop the records below an offset."""
        stream = self._get_stream(message.stream)
        self._drop_oldest(
            stream,
            max(0, min(message.offset, stream.next_offset) - stream.first_offset),
        )

    def create_empty_page(self, name, from_offset):
        """Return an empty page, for a read whose wait has timed out."""
        return (), from_offset, self._get_stream(name).first_offset

    def dump(self):
        """Return the number of appends, and [first, next] offset of each stream."""
        bounds = {
            name: [stream.first_offset, stream.next_offset]
            for name, stream in self._streams.items()
        }
        return {"appends": self._append_count, "streams": bounds}

    def _get_stream(self, name):
        return self._streams.setdefault(name, _Stream())

    def _read_page(self, stream, start_offset, limit):
        index = start_offset - stream.first_offset
        page_records = stream.records[index : index + limit]
        records = [
            [start_offset + position, *record]
            for position, record in enumerate(page_records)
        ]
        return records, start_offset + len(page_records), stream.first_offset

    def _drop_oldest(self, stream, count):
        del stream.records[:count]
        stream.first_offset += count
