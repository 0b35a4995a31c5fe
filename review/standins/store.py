"""A stand-in for the platform's store, as PROTOCOL.md describes it.

Every host has a port of its own, so that a fault can hit one host's path alone.
"""

import asyncio
import base64
import json
import struct

from standins.http import json_answer, serve

ANSWER_S = 0.004
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
MAX_WAIT_MS = 30_000
NEWEST_PAGE_KEYS = 500


class Path:
    """One host's path to the store: silent (a cut), or answering `status`."""

    def __init__(self):
        self.port = 0
        self.silent = False
        self.status = 0


class Store:
    """Topics of one partition each; nothing that was acknowledged is lost."""

    def __init__(self, record):
        self._record = record
        self._topics = {}
        self._changed = asyncio.Condition()
        self._servers = []
        self.paths = []
        self.too_large = 0

    async def add_path(self):
        """Open a further port; return its `Path`."""
        path = Path()
        server = await serve(lambda call: self._guard(path, call))
        path.port = server.port
        self._servers.append(server)
        self.paths.append(path)
        return path

    def set_down(self, down, status=503):
        """Let every call fail with 503 and without effect, or end that."""
        for path in self.paths:
            path.status = status if down else 0

    async def put(self, topic, key, value):
        """Write a record of a keyed topic, as the operator and the runners do."""
        raw = b"" if value is None else json.dumps(value).encode()
        await self._append_records(topic, [bytes([len(key)]) + key.encode() + raw])

    async def _guard(self, path, call):
        if path.silent:
            return None
        if path.status:
            return json_answer(path.status, {"error": "down"})
        answer = await self._handle(path, call)
        await asyncio.sleep(ANSWER_S)
        if path.silent:
            return None
        return answer

    async def _handle(self, path, call):
        topic = call.query.get("topic", "")
        if call.path == "/v1/log-append":
            return await self._append(topic, call)
        if call.path == "/v1/log-read":
            return await self._read(path, topic, call.query)
        if call.path == "/v1/log-newest":
            return self._newest(topic, call.query.get("depends_on", ""))
        return json_answer(404, {})

    async def _append_records(self, topic, records):
        async with self._changed:
            stored = self._topics.setdefault(topic, [])
            first = len(stored)
            stored.extend(records)
            self._changed.notify_all()
            return first, len(stored)

    async def _append(self, topic, call):
        if topic in ("keyed.op", "keyed.servers"):
            return json_answer(403, {})
        records, position = [], 0
        while position < len(call.body):
            (length,) = struct.unpack_from(">I", call.body, position)
            records.append(call.body[position + 4 : position + 4 + length])
            position += 4 + length
        largest = max((len(item) for item in records), default=0)
        if largest > RECORD_BYTES or len(call.body) > CALL_BYTES:
            self.too_large += 1
            if self.too_large <= 5 or self.too_large % 20 == 0:
                self._record(
                    f"store: append of {len(records)} records refused with 400, the"
                    f" largest has {largest} bytes ({self.too_large} such refusals)"
                )
            return json_answer(400, {"error": "a record is larger than record_bytes"})
        first, end = await self._append_records(topic, records)
        return json_answer(200, {"offset": first, "end": end})

    async def _read(self, path, topic, query):
        from_offset = int(query["from"])
        wait_s = min(int(query.get("wait_ms", 0)), MAX_WAIT_MS) / 1_000
        limit = int(query.get("max_kb", 1_024)) * 1_024
        if wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    async with self._changed:
                        await self._changed.wait_for(
                            lambda: len(self._topics.get(topic, ())) > from_offset
                        )
            except TimeoutError:
                pass
        if path.status:
            return json_answer(path.status, {"error": "down"})
        stored = self._topics.get(topic, [])
        parts, size = [struct.pack(">QQ", len(stored), 0)], 0
        for item in stored[from_offset : from_offset + 5_000]:
            size += 4 + len(item)
            if size > limit and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(item)) + item)
        return 200, b"".join(parts)

    def _newest(self, topic, after):
        stored = self._topics.get(topic, [])
        newest = {}
        for offset, item in enumerate(stored):
            key = item[1 : 1 + item[0]].decode()
            newest[key] = (item[1 + item[0] :], offset)
        keys = sorted(key for key, (value, _) in newest.items() if value)
        keys = [key for key in keys if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][0]).decode(),
                "offset": newest[key][1],
            }
            for key in keys[:NEWEST_PAGE_KEYS]
        ]
        more = len(keys) > NEWEST_PAGE_KEYS
        return json_answer(
            200, {"items": items, "more_pages": more, "end": len(stored)}
        )
