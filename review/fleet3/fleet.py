"""Stand-ins of the users' platform for the cases 11 to 15: store, runners, callers.

One asyncio loop serves the store and all runners, sends the callers' requests, and
starts the hosts as processes with the command of the deploy file. Everything listens
on loopback addresses. The formats are those of PROTOCOL.md; where it is silent, the
stand-ins behave like a sound server.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LENGTH_BYTES = 4
MAX_LISTED_ENDS = 500
NEWEST_PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000
MAX_HOLD_WAIT_MS = 2_000
HOST_NAME = "plans.example"
SERVICE = "planner"
TENANT_KEYS = {"sahel": "key-sahel", "djerba": "key-djerba"}
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


def now_ms():
    """Return milliseconds on the steady clock."""
    return int(time.monotonic() * 1_000)


def free_ports(count):
    """Return unused ports on the loopback address, below those of connections."""
    ports, candidate = [], 20_000 + os.getpid() * 37 % 9_000
    while len(ports) < count:
        candidate += 1
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", candidate))
            except OSError:
                continue
        ports.append(candidate)
    return ports


class HttpServer:
    """Serves `handle(method, path, query, headers, body) -> (status, body)`."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self, port):
        """Listen on a loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    def close(self):
        """Stop listening and reset all connections, as a process that ends does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first_line, headers, body = request
                method, target, _ = first_line.split(" ", 2)
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query))
                answer = await self._handle(method, parts.path, query, headers, body)
                if answer is None:
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def read_message(reader):
    """Return (first line, headers by lower-case name, body); None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if length := int(headers.get("content-length", "0") or 0):
        body = await reader.readexactly(length)
    return lines[0], headers, body


class Store:
    """The platform's store: topics of one partition each.

    Topics whose name does not begin with `keyed.` drop records after `keep_s`.
    """

    def __init__(self, keep_s):
        self._keep_s = keep_s
        self._records = {}
        self._first = {}
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)
        self.port = 0
        self.appended_bytes = 0

    async def start(self, port):
        """Listen on a loopback port."""
        self.port = port
        await self._server.start(port)

    def close(self):
        """Stop listening."""
        self._server.close()

    async def put(self, topic, key, value):
        """Write a keyed record; a value of None drops the key."""
        raw = b"" if value is None else json.dumps(value).encode()
        await self._append_records(topic, [bytes([len(key)]) + key.encode() + raw])

    def first_offset(self, topic):
        """Return the first offset that is retained."""
        self._expire(topic)
        return self._first.get(topic, 0)

    async def _append_records(self, topic, records):
        async with self._changed:
            stored = self._records.setdefault(topic, deque())
            first = self._first.setdefault(topic, 0)
            offset = first + len(stored)
            stored.extend((time.monotonic(), record) for record in records)
            self.appended_bytes += sum(map(len, records))
            self._changed.notify_all()
            return offset, offset + len(records)

    def _expire(self, topic):
        if topic.startswith("keyed."):
            return
        stored = self._records.get(topic, deque())
        oldest_s = time.monotonic() - self._keep_s
        while stored and stored[0][0] < oldest_s:
            stored.popleft()
            self._first[topic] += 1

    async def _handle(self, method, path, query, headers, body):
        topic = query.get("topic", "")
        if (method, path) == ("POST", "/v1/log-append"):
            return await self._append(topic, body)
        if (method, path) == ("GET", "/v1/log-read"):
            return await self._read(topic, query)
        if (method, path) == ("GET", "/v1/log-newest"):
            return self._newest(topic, query.get("depends_on", ""))
        return 404, {}

    async def _append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, {}
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            position += LENGTH_BYTES
            records.append(body[position : position + length])
            position += length
        await asyncio.sleep(0.001)
        offset, end = await self._append_records(topic, records)
        return 200, {"offset": offset, "end": end}

    async def _read(self, topic, query):
        start = int(query["from"])
        wait_s = min(int(query.get("wait_ms", 0)), MAX_WAIT_MS) / 1_000
        max_bytes = int(query.get("max_kb", 1_024)) * 1_024
        if wait_s and self._end(topic) <= start:
            try:
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(lambda: self._end(topic) > start)
            except TimeoutError:
                pass
        first = self.first_offset(topic)
        if start < first:
            return 410, {"first": first}
        page = [struct.pack(">QQ", self._end(topic), first)]
        size = 0
        stored = self._records.get(topic, deque())
        for index in range(start - first, len(stored)):
            record = stored[index][1]
            size += LENGTH_BYTES + len(record)
            if size > max_bytes and len(page) > 1:
                break
            page.append(struct.pack(">I", len(record)) + record)
        return 200, b"".join(page)

    def _end(self, topic):
        return self._first.get(topic, 0) + len(self._records.get(topic, ()))

    def _newest(self, topic, after_key):
        newest = {}
        first = self._first.get(topic, 0)
        for index, (_, record) in enumerate(self._records.get(topic, ())):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = (record[1 + record[0] :], first + index)
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value and key > after_key
        ]
        page = items[:NEWEST_PAGE_ITEMS]
        return 200, {
            "items": page,
            "more_pages": len(page) < len(items),
            "end": self._end(topic),
        }


@dataclass
class Run:
    """A run at a runner; `work_ms` is None for a task that lasts."""

    number: int
    started_ms: int
    work_ms: int | None
    startup_ms: int


@dataclass
class TaskHistory:
    """What the runners saw of one task; times are on the steady clock."""

    starts: list = field(default_factory=list)
    ends: list = field(default_factory=list)
    done_acked_ms: int = 0


class Fleet:
    """All runners, and what they saw; `record` gets a line for each event."""

    def __init__(self, store, record, hold_max_ms, gang_ms):
        self.store = store
        self.record = record
        self.hold_max_ms = hold_max_ms
        self.gang_ms = gang_ms
        self.runners = {}
        self.tasks = {}
        self.work_ms = {}
        self.gangs = {}
        self._members = {}

    def join_gang(self, runner, task, number, count, work_ms):
        """Add a member of a gang; it works once all members are present."""
        key = (task.rpartition(".")[0], number)
        members = self._members.setdefault(key, {})
        members[task] = runner
        if len(members) < count:
            runner.end_later(task, number, self.gang_ms, "alone")
        elif work_ms is not None:
            for member, other in members.items():
                other.end_later(member, number, work_ms, "done")
        else:
            for member, other in members.items():
                other.keep(member)

    async def break_gang(self, task, number):
        """End the other members of a gang of which one has ended without success."""
        members = self._members.pop((task.rpartition(".")[0], number), {})
        for member, runner in members.items():
            if member != task and member in runner.runs:
                if runner.runs[member].number == number:
                    await runner.end(member, "broken")

    async def add(self, name, port, gpu=8, cpu=64_000, rack="r1-1"):
        """Start a runner and write its entry."""
        runner = Runner(self, name, port, {"cpu": cpu, "mem_mb": 131_072, "gpu": gpu})
        runner.rack = rack
        self.runners[name] = runner
        await runner.start()
        return runner

    def history(self, task):
        """Return the `TaskHistory` of a task's name."""
        return self.tasks.setdefault(task, TaskHistory())

    def running(self, job_id):
        """Return how many runs of a job there are."""
        return sum(
            task.startswith(job_id)
            for runner in self.runners.values()
            for task in runner.runs
        )

    def close(self):
        """Stop all runners."""
        for runner in self.runners.values():
            runner.close()


class Runner:
    """One runner: leases, fences, run numbers, ends; it writes its entry regularly."""

    def __init__(self, fleet, name, port, capacity):
        self.fleet = fleet
        self.name = name
        self.port = port
        self.capacity = capacity
        self.rack = "r1-1"
        self.runs = {}
        self.is_up = False
        self._server = HttpServer(self._handle)
        self._changed = asyncio.Condition()
        self._timers = {}

    async def start(self):
        """Begin a life: empty, with a new `born`."""
        self.born = int(time.time() * 1_000)
        self.clock_start_ms = now_ms()
        self.fence = 0
        self.lease_end_ms = 0
        self.last_end = 0
        self.runs, self.ended, self.barred = {}, [], {}
        self.is_up = True
        self.seq = 0
        await self._server.start(self.port)
        self._beats = asyncio.create_task(self._beat())
        self._lease = asyncio.create_task(self._watch_lease())

    def close(self):
        """End the process of the runner; everything that runs there ends."""
        if not self.is_up:
            return
        self.is_up = False
        self._beats.cancel()
        self._lease.cancel()
        self._server.close()
        for timer in self._timers.values():
            timer.cancel()
        self._timers = {}
        self.runs = {}

    def clock_ms(self):
        """Return this life's steady clock."""
        return now_ms() - self.clock_start_ms

    async def _beat(self):
        while True:
            self.seq += 1
            entry = {
                "service": SERVICE,
                "addr": f"127.0.0.1:{self.port}",
                "zone": "tunis",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "capacity": self.capacity,
                "labels": ["a", self.rack],
                "seq": self.seq,
                "born": self.born,
            }
            await self.fleet.store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(1.5)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.lease_end_ms:
                for task in list(self.runs):
                    await self.end(task, "lapsed")

    async def _handle(self, method, path, query, headers, body):
        fields = json.loads(body or b"{}")
        if headers.get("x-knapweedshed-expect-instance", self.name) != self.name:
            return self._answer(421, {})
        if fields.get("fence", 0) < self.fence:
            return self._answer(409, {"reason": "fence"})
        self.fence = fields.get("fence", 0)
        if deadline_ms := fields.get("deadline_ms"):
            limit_ms = self.clock_ms() + self.fleet.hold_max_ms
            self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, limit_ms))
        if path == "/v1/run-start":
            return await self._start_run(fields)
        if path == "/v1/run-stop":
            return await self._stop_run(fields)
        if path == "/v1/hold":
            return await self._hold(fields)
        return self._answer(404, {})

    async def _start_run(self, fields):
        task, number = fields["task"], fields["run"]
        if task in self.runs and self.runs[task].number == number:
            return self._answer(200, {})
        if number <= self.barred.get(task, 0):
            return self._answer(409, {"reason": "old"})
        if fields["deadline_ms"] < self.clock_ms():
            return self._answer(409, {"reason": "late"})
        job_id, _, step, _ = task.split(".")
        work_ms = self.fleet.work_ms[job_id][int(step)]
        self.runs[task] = Run(number, now_ms(), work_ms, 300)
        self.fleet.history(task).starts.append((now_ms(), self.name, number))
        self.fleet.record("start", task, number, self.name)
        gang_count = self.fleet.gangs.get((job_id, int(step)))
        if gang_count:
            self.fleet.join_gang(self, task, number, gang_count, work_ms)
        elif work_ms is not None:
            self.end_later(task, number, work_ms, "done")
        return self._answer(200, {})

    def keep(self, task):
        """Let a run go on until it is ended."""
        if timer := self._timers.pop(task, None):
            timer.cancel()

    def end_later(self, task, number, after_ms, how):
        """End a run by itself after some time, unless it has ended by then."""

        async def end():
            if task in self.runs and self.runs[task].number == number:
                await self.end(task, how)

        if task in self._timers:
            self._timers[task].cancel()
        loop = asyncio.get_running_loop()
        self._timers[task] = loop.call_later(
            after_ms / 1_000, lambda: asyncio.ensure_future(end())
        )

    async def _stop_run(self, fields):
        task, number = fields["task"], fields["run"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        if task in self.runs and self.runs[task].number == number:
            await self.end(task, "stopped")
        return self._answer(200, {})

    async def _hold(self, fields):
        for row in self.ended:
            if row[0] <= fields["acked_upto"] and row[3] == "done":
                history = self.fleet.history(row[1])
                history.done_acked_ms = history.done_acked_ms or now_ms()
        self.ended = [row for row in self.ended if row[0] > fields["acked_upto"]]
        wait_s = min(fields.get("wait_ms", 0), MAX_HOLD_WAIT_MS) / 1_000
        if wait_s and not self.ended:
            try:
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(lambda: self.ended)
            except TimeoutError:
                pass
        running = [
            [task, run.number, "", self._percent(run)]
            for task, run in self.runs.items()
        ]
        ended = self.ended[:MAX_LISTED_ENDS]
        return self._answer(200, {"running": running, "ended": ended})

    def _percent(self, run):
        total_ms = run.startup_ms if run.work_ms is None else run.work_ms
        return min(100, 100 * (now_ms() - run.started_ms) // max(1, total_ms))

    async def end(self, task, how):
        """End a run; it is listed until it is acknowledged."""
        run = self.runs.pop(task)
        if timer := self._timers.pop(task, None):
            timer.cancel()
        self.barred[task] = max(run.number, self.barred.get(task, 0))
        self.fleet.history(task).ends.append((now_ms(), self.name, run.number, how))
        self.fleet.record("end", task, run.number, self.name, how)
        self.last_end += 1
        async with self._changed:
            self.ended.append([self.last_end, task, run.number, how, ""])
            self._changed.notify_all()
        if how not in ("done", "broken"):
            await self.fleet.break_gang(task, run.number)

    def _answer(self, status, fields):
        return status, {**fields, "clock_ms": self.clock_ms(), "born": self.born}


class Host:
    """A process of the deploy file's role, with its settings file."""

    def __init__(self, name, store_port, folder, ports, bounds, platform, limits):
        front, ready, self.metrics_port = ports
        self.name = name
        self.front_port, self.ready_port = front, ready
        self._folder = folder
        self._path = os.path.join(folder, f"{name}.yaml")
        settings = {
            "node": name,
            "role": "host",
            "class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": "tunis",
            "region": "north",
            "zones": {"tunis": "north"},
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "limits": limits,
            "heartbeat_ms": 1500,
            "bounds": bounds,
            "orders": "call",
            "platform": {"addr": f"127.0.0.1:{store_port}", "form": "log", **platform},
        }
        with open(self._path, "w", encoding="utf-8") as file:
            json.dump(settings, file)  # JSON is YAML
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["host"]["run"])
        command[command.index("--metrics-port") + 1] = str(self.metrics_port)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["KNAPWEEDSHED_CONFIG"] = self._path
        environment["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        with open(os.path.join(self._folder, f"{self.name}.log"), "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """End the process at once, and wait for that."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log_lines(self, message):
        """Return the decoded log lines with this message."""
        found = []
        path = os.path.join(self._folder, f"{self.name}.log")
        with open(path, encoding="utf-8") as file:
            for line in file:
                try:
                    fields = json.loads(line)
                except ValueError:
                    continue
                if isinstance(fields, dict) and fields.get("message") == message:
                    found.append(fields)
        return found

    def rss_mb(self):
        """Return the resident memory of the process in MB, 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return 0.0


class Callers:
    """Callers with open connections to hosts; each request names its host."""

    def __init__(self, record):
        self._record = record
        self._idle = {}

    async def send(self, host, method, path, body=None, key="sahel", timeout_s=3.0):
        """Return (status, decoded body); status 0 if there was no answer."""
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
            f"Authorization: Token {TENANT_KEYS[key]}\r\n"
            f"X-Knapweedshed-Deadline-Ms: {int(timeout_s * 1_000)}\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        ).encode()
        pool = self._idle.setdefault(host.front_port, [])
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                if pool:
                    reader, writer = pool.pop()
                else:
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", host.front_port
                    )
                writer.write(head + content)
                await writer.drain()
                answer = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = None
        if answer is None:
            if writer is not None:
                writer.transport.abort()
            return 0, {}
        status = int(answer[0].split(" ")[1])
        if answer[1].get("connection", "").lower() == "close":
            writer.transport.abort()
        else:
            pool.append((reader, writer))
        return status, json.loads(answer[2] or b"{}")

    async def is_ready(self, host):
        """Return whether a host's readiness check answers 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", host.ready_port
                )
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                answer = await read_message(reader)
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return answer is not None and " 200 " in answer[0]


class Scene:
    """A small deployment in a temporary folder; ends all that it started."""

    def __init__(self, case_folder, seed=1):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random = random.Random(seed)
        self._file = open(
            os.path.join(case_folder, "record.txt"), "w", encoding="utf-8"
        )
        self._began_ms = now_ms()
        self._folder = tempfile.TemporaryDirectory()
        self.hosts = []
        self.store = None
        self.fleet = None
        self.callers = Callers(self.record)

    def record(self, *words):
        """Write a line with the time in seconds."""
        passed_s = (now_ms() - self._began_ms) / 1_000
        self._file.write(f"{passed_s:8.3f} {' '.join(map(str, words))}\n")

    def say(self, text):
        """Write a line to the record and to standard output."""
        self.record(text)
        print(text, flush=True)

    async def begin(
        self, host_count, runner_count, bounds, platform, routes, limits, **runner
    ):
        """Start the store, the runners and the hosts; wait until all are ready."""
        ports = free_ports(1 + runner_count + 3 * host_count)
        self.store = Store(platform["keep_s"])
        await self.store.start(ports.pop())
        configuration = {
            "version": 1,
            "routes": routes,
            "services": [{"name": SERVICE, "admission_control": False}],
            "tenants": [
                {"name": name, "api_keys": [key], "guaranteed": {"gpu": 0}}
                for name, key in TENANT_KEYS.items()
            ],
            "limits": {"max_body_bytes": 262_144},
        }
        await self.store.put("keyed.op", "config", configuration)
        self.fleet = Fleet(
            self.store, self.record, bounds["hold_max_ms"], bounds["gang_ms"]
        )
        for number in range(runner_count):
            await self.fleet.add(f"i-{number:04x}", ports.pop(), **runner)
        for number in range(host_count):
            name = f"edge-tunis-{number + 1}"
            own_ports = [ports.pop() for _ in range(3)]
            host = Host(
                name,
                self.store.port,
                self._folder.name,
                own_ports,
                bounds,
                platform,
                limits,
            )
            host.start()
            self.hosts.append(host)
        for host in self.hosts:
            if not await self.until_ready(host, 20):
                raise NotRunError(f"{host.name} isn't ready after 20 s")

    async def until_ready(self, host, limit_s):
        """Wait until a host is ready; return whether it is in time."""
        return await self.until(lambda: self.callers.is_ready(host), limit_s)

    async def until(self, condition, limit_s):
        """Poll an async condition; return whether it became true in time."""
        end_ms = now_ms() + limit_s * 1_000
        while now_ms() < end_ms:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def submit(self, job_id, steps, work_ms, prefix="/plans/", host=None, **more):
        """Submit a job, again at another host after no answer; return the status."""
        self.fleet.work_ms[job_id] = work_ms
        for number, step in enumerate(steps):
            if step.get("gang"):
                self.fleet.gangs[job_id, number] = step.get("count", 1)
        body = {"spec": f"spec of {job_id}", "steps": steps, **more}
        status = 0
        for attempt in range(5):
            chosen = host or self.random.choice(self.hosts)
            status, _ = await self.callers.send(chosen, "POST", prefix + job_id, body)
            self.record("POST", prefix + job_id, "at", chosen.name, "->", status)
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.3 * (attempt + 1))
        return status

    async def state(self, host, job_id, prefix="/plans/"):
        """Return (status, state) of a job as a host says it."""
        status, fields = await self.callers.send(host, "GET", prefix + job_id)
        return status, fields.get("state", "")

    def close(self):
        """End all processes and close all sockets."""
        for host in self.hosts:
            host.kill()
        if self.fleet is not None:
            self.fleet.close()
        if self.store is not None:
            self.store.close()
        if keep := os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(self._folder.name, keep, dirs_exist_ok=True)
        self._folder.cleanup()
        self._file.close()


class NotRunError(Exception):
    """The case couldn't run."""


def route(name, priority=1, prefix=None, **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path_prefix": prefix or f"/{name}/",
        "service": SERVICE,
        "priority": priority,
        "max_attempts": 3,
        "slo_factor": 3.0,
        "slo_ms": 1_000,
        **more,
    }


def run_case(case_folder, play, seed=1):
    """Play a case and exit with 0 (held), 1 (broken) or 2 (not run).

    `play(scene)` is a coroutine that returns the broken rules as texts.
    """

    async def main():
        scene = Scene(case_folder, seed)
        try:
            async with asyncio.timeout(116):
                broken = await play(scene)
        except (NotRunError, TimeoutError) as error:
            scene.say(f"not run: {error!r}")
            return EXIT_NOT_RUN
        else:
            for text in broken:
                scene.say(text)
            scene.say("BROKEN" if broken else "held")
            return EXIT_BROKEN if broken else EXIT_HELD
        finally:
            scene.close()

    sys.exit(asyncio.run(main()))
