"""Fakes of the users' platform: its store and its workers, over HTTP.

They implement the published formats, and can drop responses, drop history, be
down, restart, and write entries that can't be decoded.
"""

import base64
import bisect
import json
import logging
import random
import struct
import threading
import time
from typing import NamedTuple

from knapweedshed.links.http_server import HttpResponse, HttpServer

MAX_READ_WAIT_S = 2.0
SERVER_THREAD_COUNT = 16
MAX_LISTED_ENDS = 500
DEFAULT_READ_KB = 1_024
NEWEST_PAGE_ITEMS = 500
LENGTH_BYTES = 4
MAX_RECORD_BYTES = 262_144
MAX_APPEND_BYTES = 2_097_152
_SILENT_LOGGER = logging.getLogger("knapweedshed.silent")


def start_server(handle, port):
    """Start and return an HTTP server on the loopback address that calls `handle`."""
    server = HttpServer(
        (f"127.0.0.1:{port}",), handle, SERVER_THREAD_COUNT, _SILENT_LOGGER
    )
    server.start()
    return server


def json_response(status, value):
    """Return an HTTP response with `value` as its JSON body."""
    return HttpResponse(status, json.dumps(value).encode())


class AppendFault(NamedTuple):
    """An append that isn't stored at once: it is answered with `status`.

    With 502 its outcome is unknown. It is stored `stored_after_s` later, or never if
    that is None.
    """

    status: int
    stored_after_s: float | None = None


class FakeStore:
    """Stores topics of one partition.

    The next `append_responses_to_drop` appends are stored, but answered with status
    502, as if the response was lost. `append_fault`, if set, returns an `AppendFault`
    for the next append, or None. While `down` is set, every call fails with status 503.
    Answers come up to `max_answer_delay_s` late. Records that are older than `keep_s`
    are dropped, but for the newest of each key; 0 keeps all.
    """

    def __init__(self, port, keep_s=0):
        self.address = f"127.0.0.1:{port}"
        self.topics = {}
        self.first_offsets = {}
        self._keep_s = keep_s
        self._stored_s = {}  # by topic, when each record was stored
        self.append_responses_to_drop = 0
        self.append_fault = None
        self.down = False
        self.max_answer_delay_s = 0.0
        self._changed = threading.Condition()
        self._server = start_server(self._handle, port)

    def close(self):
        """Stop serving."""
        self._server.close()

    def put(self, topic, key, value):
        """Write a keyed record; `value` is bytes, or a value for JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._append_records(topic, [bytes([len(key)]) + key.encode() + raw])

    def drop_history(self, topic):
        """Drop the records so far; only the newest of each key can still be read."""
        with self._changed:
            self.first_offsets[topic] = len(self.topics.get(topic, ()))

    def _drop_old_records(self, topic):
        if not self._keep_s:
            return
        oldest_s = time.monotonic() - self._keep_s
        first = bisect.bisect_left(self._stored_s.get(topic, ()), oldest_s)
        self.first_offsets[topic] = max(first, self.first_offsets.get(topic, 0))

    def _append_records(self, topic, records):
        with self._changed:
            stored = self.topics.setdefault(topic, [])
            first_offset = len(stored)
            stored.extend(records)
            stored_s = self._stored_s.setdefault(topic, [])
            stored_s.extend([time.monotonic()] * len(records))
            self._changed.notify_all()
            return first_offset, len(stored)

    def _handle(self, call):
        if self.down:
            return json_response(503, {"error": "down"})
        time.sleep(random.uniform(0, self.max_answer_delay_s))
        topic = call.query.get("topic", "")
        if call.path == "/v1/log-append":
            return self._append(topic, call.body)
        if call.path == "/v1/log-read":
            return self._read(topic, call.query)
        if call.path == "/v1/log-newest":
            return self._newest(topic, call.query.get("depends_on", ""))
        return json_response(404, {})

    def _append(self, topic, body):
        records, position = [], 0
        if len(body) > MAX_APPEND_BYTES:
            return json_response(400, {"error": "too many bytes"})
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            if length > MAX_RECORD_BYTES:
                return json_response(400, {"error": "a record is too large"})
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        fault = self.append_fault and self.append_fault()
        if fault:
            if fault.stored_after_s is not None:
                timer = threading.Timer(
                    fault.stored_after_s, self._append_records, (topic, records)
                )
                timer.daemon = True
                timer.start()
            return json_response(fault.status, {"error": "the append has failed"})
        first_offset, end = self._append_records(topic, records)
        if self.append_responses_to_drop:
            self.append_responses_to_drop -= 1
            return json_response(502, {"error": "the answer is lost"})
        return json_response(200, {"offset": first_offset, "end": end})

    def _read(self, topic, query):
        from_offset = int(query["from"])
        wait_s = min(int(query.get("wait_ms", 0)) / 1_000, MAX_READ_WAIT_S)
        with self._changed:
            self._drop_old_records(topic)
            if from_offset < self.first_offsets.get(topic, 0):
                return json_response(410, {"first": self.first_offsets[topic]})
            self._changed.wait_for(
                lambda: len(self.topics.get(topic, ())) > from_offset, wait_s
            )
            stored = self.topics.get(topic, [])
            header = struct.pack(">QQ", len(stored), self.first_offsets.get(topic, 0))
            max_bytes = int(query.get("max_kb", DEFAULT_READ_KB)) * 1_024
            page = b"".join(_take_page(stored[from_offset:], max_bytes))
        return HttpResponse(200, header + page)

    def _newest(self, topic, after_key):
        with self._changed:
            stored = self.topics.get(topic, [])
            newest = {}
            for offset, record in enumerate(stored):
                key = record[1 : 1 + record[0]].decode("utf-8", "replace")
                value = record[1 + record[0] :]
                newest[key] = (value, offset)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (value, offset) in sorted(newest.items())
                if value and key > after_key
            ]
            page = items[:NEWEST_PAGE_ITEMS]
            return json_response(
                200,
                {
                    "items": page,
                    "more_pages": len(page) < len(items),
                    "end": len(stored),
                },
            )


def _take_page(records, max_bytes):
    """Yield framed records up to `max_bytes` in total, and at least one."""
    size = 0
    for record in records:
        size += LENGTH_BYTES + len(record)
        if size > max_bytes and size > LENGTH_BYTES + len(record):
            return
        yield struct.pack(">I", len(record)) + record


class FakeWorker:
    """Runs each task for `run_s` seconds and refuses calls with a lower fence.

    The next `start_responses_to_drop` starts are executed, but answered with status
    500, as if the response was lost.
    """

    def __init__(self, store, name, port, run_s=0.2):
        self.name = name
        self.starts = []
        self.fence = 0
        self.start_responses_to_drop = 0
        self._store = store
        self.run_s = run_s
        self._address = f"127.0.0.1:{port}"
        self._lock = threading.Lock()
        self._incarnation = 1
        self._running = {}
        self._ended = []
        self._last_end_number = 0
        self._server = start_server(self._handle, port)
        self.register()

    def close(self):
        """Stop serving."""
        self._server.close()

    def register(self, state="ready"):
        """Write the worker's entry to the store."""
        entry = {
            "service": "planner",
            "addr": self._address,
            "zone": "tunis",
            "state": state,
            "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
            "labels": ["a", "r1-1"],
            "born": self._incarnation,
        }
        self._store.put("keyed.servers", self.name, entry)

    def restart(self):
        """Lose all state and get a new incarnation, as after a crash."""
        with self._lock:
            self._incarnation += 1
            self._running, self._ended = {}, []
            self._last_end_number = self.fence = 0
        self.register()

    def _handle(self, call):
        body = json.loads(call.body)
        with self._lock:
            self._finish_due_tasks()
            if body.get("fence", 0) < self.fence:
                return self._respond(409, {"reason": "fence"})
            self.fence = body.get("fence", 0)
            handler = {
                "/v1/run-start": self._start,
                "/v1/run-stop": self._stop,
                "/v1/hold": self._hold,
            }[call.path]
            return handler(body)

    def _start(self, body):
        name = body["task"]
        if name not in self._running:
            self._running[name] = (body["run"], time.monotonic())
            self.starts.append((name, body["run"]))
        if self.start_responses_to_drop:
            self.start_responses_to_drop -= 1
            return self._respond(500, {})
        return self._respond(200, {})

    def _stop(self, body):
        if body["task"] in self._running:
            self._end_task(body["task"], "stopped")
        return self._respond(200, {})

    def _hold(self, body):
        acknowledged_upto = body["acked_upto"]
        self._ended = [row for row in self._ended if row[0] > acknowledged_upto]
        now_s = time.monotonic()
        running = [
            [name, run, "", int(100 * (now_s - started_s) / self.run_s)]
            for name, (run, started_s) in self._running.items()
        ]
        ended = self._ended[:MAX_LISTED_ENDS]
        return self._respond(200, {"running": running, "ended": ended})

    def _finish_due_tasks(self):
        now_s = time.monotonic()
        for name, (_, started_s) in list(self._running.items()):
            if now_s - started_s > self.run_s:
                self._end_task(name, "done")

    def _end_task(self, name, outcome):
        run, _ = self._running.pop(name)
        self._last_end_number += 1
        self._ended.append([self._last_end_number, name, run, outcome, ""])

    def _respond(self, status, value):
        clock_ms = int(time.monotonic() * 1_000)
        return json_response(
            status, {**value, "clock_ms": clock_ms, "born": self._incarnation}
        )
