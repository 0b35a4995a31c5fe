"""The platform's store: its log, and the topics that keep the newest of each key."""

import struct
from typing import NamedTuple

from knapweedshed.codecs import json_text
from knapweedshed.links.http_client import HttpClient, Response
from knapweedshed.links.platform import LogService
from knapweedshed.models.outcomes import LogPage, NoAnswer, Refused, StoredRecord

CONNECT_MS = 500  # one way takes 1.4 ms at most; a lost opening packet takes 1 s
ANSWER_MS = 800  # a store that is 60 times slower answers in 250 ms
LENGTH_BYTES = 4
HEAD_BYTES = 16  # end and first retained offset, 8 bytes each
ONLY_PART = 0
MAX_KB = 512
NOTHING_DONE = (409, 412, 429, 503, 507)
GONE = 410
OK = 200


# What decoding of a body raises that is not what the page says it is.
UNREADABLE = (
    json_text.TextError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
)


class RawPage(NamedTuple):
    """Records as bytes, from `first_offset` on; `end` follows the last one stored."""

    first_offset: int
    bodies: tuple[bytes, ...]
    end: int
    first_retained: int


class Store:
    """Calls of the store, over one connection; for use by one thread."""

    def __init__(self, clock, address):
        self._client = HttpClient(clock, address, CONNECT_MS, ANSWER_MS)

    def close(self):
        """Close the connection."""
        self._client.close()

    def append(self, topic, bodies):
        """Return the first offset, or a failure."""
        body = b"".join(struct.pack(">I", len(item)) + item for item in bodies)
        found = self._call("POST", "/v1/log-append", _part(topic), body)
        if not isinstance(found, Response):
            return found
        try:
            return int(json_text.loads(found.body)["offset"])
        except UNREADABLE as error:
            return NoAnswer(f"append answer unreadable: {error}")

    def read(self, topic, from_offset, wait_ms):
        """Return a `RawPage`, or a failure; goes on where the history begins."""
        fields = {**_part(topic), "from": from_offset, "max_kb": MAX_KB}
        if wait_ms:
            fields["wait_ms"] = wait_ms
        found = self._call("GET", "/v1/log-read", fields, wait_ms=wait_ms, gone=True)
        if not isinstance(found, Response):
            return found
        if found.status == GONE:
            return _gone(found.body)
        return _raw_page(found.body, from_offset)

    def newest(self, topic):
        """Return ({key: value bytes}, offset to go on from), or a failure."""
        values, end, after = {}, -1, ""
        more = True
        while more:
            fields = _part(topic)
            if after:
                fields["depends_on"] = after  # here: the key that a page follows
            found = self._call("GET", "/v1/log-newest", fields)
            if not isinstance(found, Response):
                return found
            try:
                page = json_text.loads(found.body)
                for item in page["items"]:
                    values[item["key"]] = json_text.decode_base64(item["value"])
                    after = item["key"]
                end = page["end"] if end < 0 else end
                more = bool(page.get("more_pages")) and bool(page["items"])
            except UNREADABLE as error:
                return NoAnswer(f"list of keys unreadable: {error}")
        return values, end

    def _call(self, method, path, fields, body=b"", wait_ms=0, gone=False):
        found = self._client.request(method, path, body, fields, wait_ms)
        if not isinstance(found, Response) or found.status == OK:
            return found
        if gone and found.status == GONE:
            return found
        reason = f"HTTP status {found.status}"
        return Refused(reason) if found.status in NOTHING_DONE else NoAnswer(reason)


class StoredLog(LogService):
    """Our records in the store: each begins with its id, then a line break."""

    def __init__(self, clock, address):
        self._store = Store(clock, address)

    def append(self, stream, records):
        """Append records to a topic of ours, all or nothing."""
        bodies = [f"{item.record_id}\n{item.body}".encode() for item in records]
        return self._store.append(stream, bodies)

    def read(self, stream, from_offset, limit, wait_ms):
        """Return a `LogPage`."""
        page = self._store.read(stream, from_offset, wait_ms)
        if not isinstance(page, RawPage):
            return page
        records = []
        for index, body in enumerate(page.bodies[:limit]):
            record_id, _, content = body.decode("utf-8", "replace").partition("\n")
            offset = page.first_offset + index
            records.append(StoredRecord(offset, record_id, content))
        next_offset = page.first_offset + len(records)
        return LogPage(tuple(records), next_offset, page.first_retained, page.end)

    def close(self):
        """Close the connection."""
        self._store.close()


def _part(topic):
    return {"topic": topic, "part": ONLY_PART}


def _gone(body):
    try:
        first = int(json_text.loads(body)["first"])
    except UNREADABLE as error:
        return NoAnswer(f"answer unreadable: {error}")
    return RawPage(first, (), first + 1, first)


def _raw_page(body, from_offset):
    if len(body) < HEAD_BYTES:
        return NoAnswer("page without its head")
    end, first_retained = struct.unpack_from(">QQ", body)
    bodies = []
    position = HEAD_BYTES
    while position + LENGTH_BYTES <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += LENGTH_BYTES
        if position + length > len(body):
            return NoAnswer("page cut short")
        bodies.append(body[position : position + length])
        position += length
    return RawPage(from_offset, tuple(bodies), end, first_retained)
