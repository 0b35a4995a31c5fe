"""A stand-in of the platform's store: its log, and topics with a newest value per key.

It follows the published protocol. `append_fault`, if set, is called for each append
with (topic, records) and returns None, `Refused(status)` or `Lost(execute_after_s)`.
"""

import base64
import json
import struct
import threading
import time
from typing import NamedTuple

from review.peers.http_service import Answer, HttpService, json_answer

MAX_READ_WAIT_S = 30.0
SILENCE_S = 8.0  # how long a connection stays open on which a response was lost


class Refused(NamedTuple):
    """The store refuses the call with this status; nothing was done."""

    status: int


class Lost(NamedTuple):
    """The call gets no answer; it is executed after a time, or never (None)."""

    execute_after_s: float | None


class Store:
    """Topics of one partition each."""

    def __init__(self, record):
        self._record = record
        self._topics = {}
        self._changed = threading.Condition()
        self.append_fault = None
        self._service = HttpService(self._handle)
        self.address = self._service.address

    def close(self):
        """Stop serving."""
        self._service.close()

    def put(self, topic, key, value):
        """Write a keyed record, as the operator and the runners do."""
        raw = json.dumps(value).encode() if value is not None else b""
        self.add(topic, [bytes([len(key)]) + key.encode() + raw])

    def add(self, topic, records):
        """Append records; return the first offset and the end."""
        with self._changed:
            stored = self._topics.setdefault(topic, [])
            first = len(stored)
            stored.extend(records)
            self._changed.notify_all()
            return first, len(stored)

    def _handle(self, call):
        topic = call.query.get("topic", "")
        if call.path == "/v1/log-append":
            return self._append(topic, call.body)
        if call.path == "/v1/log-read":
            return self._read(topic, call.query)
        if call.path == "/v1/log-newest":
            return self._newest(topic, call.query.get("depends_on", ""))
        return json_answer(404, {})

    def _append(self, topic, body):
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        fault = self.append_fault(topic, records) if self.append_fault else None
        names = ",".join(sorted({_record_type(item) for item in records}))
        if isinstance(fault, Refused):
            self._record(f"store: append refused with {fault.status} ({names})")
            return json_answer(fault.status, {})
        if isinstance(fault, Lost):
            self._record(
                f"store: append unanswered ({names}), executed after"
                f" {fault.execute_after_s} s"
            )
            if fault.execute_after_s is not None:
                threading.Timer(
                    fault.execute_after_s, self._execute_late, (topic, records, names)
                ).start()
            time.sleep(SILENCE_S)
            return Answer(0)
        first, end = self.add(topic, records)
        if self.append_fault is not None:
            self._record(f"store: append at offset {first} ({names})")
        return json_answer(200, {"offset": first, "end": end})

    def _execute_late(self, topic, records, names):
        first, _ = self.add(topic, records)
        self._record(f"store: late append executed at offset {first} ({names})")

    def _read(self, topic, query):
        start = int(query["from"])
        wait_s = min(int(query.get("wait_ms", 0)) / 1_000, MAX_READ_WAIT_S)
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._topics.get(topic, ())) > start, wait_s
            )
            stored = self._topics.get(topic, [])
            page, size = [], 0
            for record in stored[start:]:
                size += 4 + len(record)
                if page and size > int(query.get("max_kb", 1_024)) * 1_024:
                    break
                page.append(struct.pack(">I", len(record)) + record)
            return Answer(200, struct.pack(">QQ", len(stored), 0) + b"".join(page))

    def _newest(self, topic, after_key):
        with self._changed:
            stored = self._topics.get(topic, [])
            newest = {}
            for offset, item in enumerate(stored):
                newest[item[1 : 1 + item[0]].decode()] = (item[1 + item[0] :], offset)
            items = [
                {"key": k, "value": base64.b64encode(v).decode(), "offset": offset}
                for k, (v, offset) in sorted(newest.items())
                if v and k > after_key
            ]
            more = len(items) > 500
            value = {"items": items[:500], "more_pages": more, "end": len(stored)}
            return json_answer(200, value)


def _record_type(raw):
    """Return the type that a record of the work stream names, for the record file."""
    try:
        return json.loads(raw.partition(b"\n")[2]).get("_", "?")
    except ValueError:
        return "?"
