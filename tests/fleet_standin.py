"""Stand-ins of the users' platform: its store and its workers, over HTTP.

They speak the published formats, and can lose answers, carry orders out late, drop
history, start anew, and write entries that can't be read.
"""

import base64
import json
import logging
import struct
import threading
import time

from knapweedshed.links.http_server import HttpResponse, HttpServer

LONGEST_READ_S = 2.0
STANDIN_THREADS_COUNT = 16
_LOGGER = logging.getLogger("knapweedshed.silent")


def serve(handle, port):
    """Return a started server of `handle` on the loopback address."""
    server = HttpServer((f"127.0.0.1:{port}",), handle, STANDIN_THREADS_COUNT, _LOGGER)
    server.start()
    return server


def json_of(status, value):
    """Return a JSON answer."""
    return HttpResponse(status, json.dumps(value).encode())


class FakeStore:
    """Topics of one partition; `lose` counts appends whose answers are lost."""

    def __init__(self, port):
        self.address = f"127.0.0.1:{port}"
        self.topics = {}
        self.firsts = {}
        self.lose = 0
        self.down = False
        self._changed = threading.Condition()
        self._server = serve(self._handle, port)

    def close(self):
        """Stop serving."""
        self._server.close()

    def put(self, topic, key, value):
        """Write a keyed record; `value` is bytes, or a value for JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._add(topic, [bytes([len(key)]) + key.encode() + raw])

    def drop_history(self, topic):
        """Forget all records but the newest of each key."""
        with self._changed:
            self.firsts[topic] = len(self.topics.get(topic, ()))

    def _add(self, topic, records):
        with self._changed:
            stored = self.topics.setdefault(topic, [])
            first = len(stored)
            stored.extend(records)
            self._changed.notify_all()
            return first, len(stored)

    def _handle(self, call):
        if self.down:
            return json_of(503, {"error": "down"})
        topic = call.query.get("topic", "")
        if call.path == "/v1/log-append":
            return self._append(topic, call.body)
        if call.path == "/v1/log-read":
            return self._read(topic, call.query)
        if call.path == "/v1/log-newest":
            return self._newest(topic)
        return json_of(404, {})

    def _append(self, topic, body):
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        first, end = self._add(topic, records)
        if self.lose:
            self.lose -= 1
            return json_of(502, {"error": "the answer is lost"})
        return json_of(200, {"offset": first, "end": end})

    def _read(self, topic, query):
        begin = int(query["from"])
        wait_s = min(int(query.get("wait_ms", 0)) / 1_000, LONGEST_READ_S)
        with self._changed:
            if begin < self.firsts.get(topic, 0):
                return json_of(410, {"first": self.firsts[topic]})
            self._changed.wait_for(
                lambda: len(self.topics.get(topic, ())) > begin, wait_s
            )
            stored = self.topics.get(topic, [])
            head = struct.pack(">QQ", len(stored), self.firsts.get(topic, 0))
            parts = [struct.pack(">I", len(r)) + r for r in stored[begin:]]
        return HttpResponse(200, head + b"".join(parts))

    def _newest(self, topic):
        with self._changed:
            stored = self.topics.get(topic, [])
            newest = {}
            for offset, record in enumerate(stored):
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                newest[key] = (value, offset)
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (value, offset) in newest.items()
                if value
            ]
            return json_of(
                200, {"items": items, "more_pages": False, "end": len(stored)}
            )


class FakeWorker:
    """Runs tasks for `run_s` each, under a fence; starts anew when told to."""

    def __init__(self, store, name, port, run_s=0.2):
        self.name = name
        self.starts = []
        self.fence = 0
        self.lose_starts = 0
        self._store = store
        self.run_s = run_s
        self._address = f"127.0.0.1:{port}"
        self._lock = threading.Lock()
        self._born = 1
        self._running = {}
        self._ended = []
        self._number = 0
        self._server = serve(self._handle, port)
        self.register()

    def close(self):
        """Stop serving."""
        self._server.close()

    def register(self, state="ready"):
        """Write the worker's own entry."""
        entry = {
            "service": "planner",
            "addr": self._address,
            "zone": "tunis",
            "state": state,
            "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
            "labels": ["a", "r1-1"],
            "born": self._born,
        }
        self._store.put("keyed.servers", self.name, entry)

    def start_anew(self):
        """Forget everything, as after a crash."""
        with self._lock:
            self._born += 1
            self._running, self._ended = {}, []
            self._number = self.fence = 0
        self.register()

    def _handle(self, call):
        body = json.loads(call.body)
        with self._lock:
            self._end_due()
            if body.get("fence", 0) < self.fence:
                return self._say(409, {"reason": "fence"})
            self.fence = body.get("fence", 0)
            act = {
                "/v1/run-start": self._start,
                "/v1/run-stop": self._stop,
                "/v1/hold": self._hold,
            }[call.path]
            return act(body)

    def _start(self, body):
        name = body["task"]
        if name not in self._running:
            self._running[name] = (body["run"], time.monotonic())
            self.starts.append((name, body["run"]))
        if self.lose_starts:
            self.lose_starts -= 1
            return self._say(500, {})
        return self._say(200, {})

    def _stop(self, body):
        if body["task"] in self._running:
            self._end(body["task"], "stopped")
        return self._say(200, {})

    def _hold(self, body):
        acked = body["acked_upto"]
        self._ended = [row for row in self._ended if row[0] > acked]
        now = time.monotonic()
        running = [
            [name, run, "", int(100 * (now - since) / self.run_s)]
            for name, (run, since) in self._running.items()
        ]
        return self._say(200, {"running": running, "ended": self._ended})

    def _end_due(self):
        now = time.monotonic()
        for name, (_, since) in list(self._running.items()):
            if now - since > self.run_s:
                self._end(name, "done")

    def _end(self, name, how):
        run, _ = self._running.pop(name)
        self._number += 1
        self._ended.append([self._number, name, run, how, ""])

    def _say(self, status, value):
        clock_ms = int(time.monotonic() * 1_000)
        return json_of(status, {**value, "clock_ms": clock_ms, "born": self._born})
