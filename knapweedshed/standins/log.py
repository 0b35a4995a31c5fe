"""The stand-in log service: streams with offsets, long reads and retention."""

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
    """Read from an offset; `reply` gets (records, next, first).

    Past the end a read that `parks` waits for a record; another gets none.
    """

    stream: str
    from_offset: int
    limit: int
    parks: bool
    reply: Any


class SetFault(NamedTuple):
    """Make the log refuse everything (`down`), or serve again."""

    down: bool


class DropBefore(NamedTuple):
    """Retention: drop the records of a stream below an offset."""

    stream: str
    offset: int


class _Stream:
    def __init__(self):
        self.first = 0
        self.records = []
        self.readers = []

    @property
    def next(self):
        return self.first + len(self.records)


class LogStandin(Actor):
    """Owns all streams; a read past the end is parked until a record comes."""

    def __init__(self, context, keep_records):
        super().__init__(context)
        self._keep_records = keep_records
        self._streams = {}
        self._down = False
        self._appends = 0

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def append(self, message: Append):
        """Append and wake the parked readers."""
        if self._down:
            message.reply.set(REFUSED)
            return
        self._appends += 1
        stream = self._stream(message.stream)
        offset = stream.next
        stream.records.extend(message.records)
        excess = len(stream.records) - self._keep_records
        if excess > 0:
            self._drop(stream, excess)
        message.reply.set(offset)
        readers, stream.readers = stream.readers, []
        for reader in readers:
            self.read(reader)

    @receive.register
    def read(self, message: Read):
        """Answer a read, or park it."""
        if self._down:
            message.reply.set(REFUSED)
            return
        stream = self._stream(message.stream)
        start = max(message.from_offset, stream.first)
        if start >= stream.next and message.parks:
            stream.readers.append(message)
            return
        message.reply.set(self._page(stream, start, message.limit))

    @receive.register
    def set_fault(self, message: SetFault):
        """Go down or come back; parked readers are refused."""
        self._down = message.down
        if not self._down:
            return
        for stream in self._streams.values():
            readers, stream.readers = stream.readers, []
            for reader in readers:
                reader.reply.set(REFUSED)

    @receive.register
    def drop_before(self, message: DropBefore):
        """Drop old records now."""
        stream = self._stream(message.stream)
        self._drop(stream, max(0, min(message.offset, stream.next) - stream.first))

    def empty_page(self, name, from_offset):
        """Return an empty page; called by readers whose wait has ended."""
        return (), from_offset, self._stream(name).first

    def dump(self):
        """Return the appends so far and each stream's bounds."""
        bounds = {n: [s.first, s.next] for n, s in self._streams.items()}
        return {"appends": self._appends, "streams": bounds}

    def _stream(self, name):
        return self._streams.setdefault(name, _Stream())

    def _page(self, stream, start, limit):
        index = start - stream.first
        taken = stream.records[index : index + limit]
        records = [[start + i, *record] for i, record in enumerate(taken)]
        return records, start + len(taken), stream.first

    def _drop(self, stream, count):
        del stream.records[:count]
        stream.first += count
