"""Client of the platform's store: its log, and topics with the newest value per key."""

import struct
from typing import NamedTuple

from knapweedshed.codecs import json_text
from knapweedshed.codecs.json_text import DECODE_ERRORS
from knapweedshed.links.blocking_connection import BlockingConnection
from knapweedshed.links.http_messages import Response
from knapweedshed.links.platform import LogService
from knapweedshed.models.outcomes import (
    LogPage,
    NoAnswer,
    Refused,
    Rejected,
    StoredRecord,
)

# One-way latency is at most 1.4 ms; a lost SYN is retransmitted after 1 s.
CONNECT_TIMEOUT_MS = 400
READ_MARGIN_MS = 800  # a store that is 60 times slower than usual answers in 250 ms
# An append without an answer is repeated on a new connection, with twice the timeout.
APPEND_TIMEOUT_MS = 400
MAX_APPEND_TIMEOUT_MS = 1_600
LENGTH_PREFIX_BYTES = 4
PAGE_HEADER_BYTES = 16  # end offset and first retained offset, 8 bytes each
ONLY_PARTITION = 0
MAX_PAGE_KB = 512
NO_EFFECT_STATUSES = (409, 412, 429, 503, 507)
FINAL_STATUSES = (400, 403, 404, 413)
HTTP_GONE = 410
HTTP_OK = 200


class RawPage(NamedTuple):
    """Encoded records from `first_offset` on.

    `end` is the offset after the last stored record.
    """

    first_offset: int
    bodies: tuple[bytes, ...]
    end: int
    first_retained: int


class Store:
    """Client of the store over one connection; for use by one thread."""

    def __init__(self, clock, address):
        self._client = BlockingConnection(clock, address, CONNECT_TIMEOUT_MS)
        self._append_timeout_ms = APPEND_TIMEOUT_MS

    def close(self):
        """Close the connection."""
        self._client.close()

    def append(self, topic, bodies):
        """Append encoded records; return the first offset or a failure."""
        body = b"".join(struct.pack(">I", len(item)) + item for item in bodies)
        response = self._request(
            "POST",
            "/v1/log-append",
            _partition_fields(topic),
            body,
            timeout_ms=self._append_timeout_ms,
        )
        if isinstance(response, NoAnswer):
            self._append_timeout_ms = min(
                2 * self._append_timeout_ms, MAX_APPEND_TIMEOUT_MS
            )
        else:
            self._append_timeout_ms = APPEND_TIMEOUT_MS
        if not isinstance(response, Response):
            return response
        try:
            return int(json_text.loads(response.body)["offset"])
        except DECODE_ERRORS as error:
            return NoAnswer(f"append response can't be decoded: {error}")

    def read(self, topic, from_offset, wait_ms):
        """Wait up to `wait_ms` for records; return a `RawPage` or a failure.

        If `from_offset` is no longer retained, the page is empty and starts at the
        first offset that is.
        """
        query = {
            **_partition_fields(topic),
            "from": from_offset,
            "max_kb": MAX_PAGE_KB,
        }
        if wait_ms:
            query["wait_ms"] = wait_ms
        response = self._request(
            "GET",
            "/v1/log-read",
            query,
            timeout_ms=wait_ms + READ_MARGIN_MS,
            accept_gone=True,
        )
        if not isinstance(response, Response):
            return response
        if response.status == HTTP_GONE:
            return _decode_gone(response.body)
        return _decode_page(response.body, from_offset)

    def read_newest(self, topic):
        """Return ({key: value bytes}, offset to read on from), or a failure."""
        values, end, last_key = {}, -1, ""
        has_more = True
        while has_more:
            query = _partition_fields(topic)
            if last_key:
                query["depends_on"] = last_key  # here the last key of the page before
            response = self._request("GET", "/v1/log-newest", query)
            if not isinstance(response, Response):
                return response
            try:
                page = json_text.loads(response.body)
                for item in page["items"]:
                    values[item["key"]] = json_text.decode_base64(item["value"])
                    last_key = item["key"]
                end = int(page["end"]) if end < 0 else end
                has_more = bool(page.get("more_pages"))
                if has_more and not page["items"]:
                    return NoAnswer("list of keys ends before its last page")
            except DECODE_ERRORS as error:
                return NoAnswer(f"list of keys can't be decoded: {error}")
        return values, end

    def _request(
        self,
        method,
        path,
        query,
        body=b"",
        timeout_ms=READ_MARGIN_MS,
        accept_gone=False,
    ):
        response = self._client.request(method, path, body, query, timeout_ms)
        if not isinstance(response, Response) or response.status == HTTP_OK:
            return response
        if accept_gone and response.status == HTTP_GONE:
            return response
        reason = f"HTTP status {response.status}"
        if response.status in NO_EFFECT_STATUSES:
            return Refused(reason)
        if response.status in FINAL_STATUSES:
            return Rejected(reason)
        return NoAnswer(reason)


class StoreLog(LogService):
    """The log in the store; each record starts with its id and a line feed."""

    def __init__(self, clock, address):
        self._store = Store(clock, address)

    def append(self, stream, records):
        """Append records, all or none; return the first offset or a failure."""
        bodies = [f"{item.record_id}\n{item.body}".encode() for item in records]
        return self._store.append(stream, bodies)

    def read(self, stream, from_offset, limit, wait_ms):
        """Return a `LogPage` or a failure."""
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


def _partition_fields(topic):
    return {"topic": topic, "part": ONLY_PARTITION}


def _decode_gone(body):
    try:
        first = int(json_text.loads(body)["first"])
    except DECODE_ERRORS as error:
        return NoAnswer(f"response can't be decoded: {error}")
    return RawPage(first, (), first + 1, first)


def _decode_page(body, from_offset):
    if len(body) < PAGE_HEADER_BYTES:
        return NoAnswer("page is shorter than its header")
    end, first_retained = struct.unpack_from(">QQ", body)
    bodies = []
    position = PAGE_HEADER_BYTES
    while position + LENGTH_PREFIX_BYTES <= len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += LENGTH_PREFIX_BYTES
        if position + length > len(body):
            return NoAnswer("page ends within a record")
        bodies.append(body[position : position + length])
        position += length
    return RawPage(from_offset, tuple(bodies), end, first_retained)
