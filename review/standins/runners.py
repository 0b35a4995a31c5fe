"""Stand-ins for runners, as PROTOCOL.md describes them. Gangs are not played."""

import asyncio
import time

from standins.http import json_answer, serve

HEARTBEAT_S = 1.5
MAX_LEASE_MS = 6_000
MAX_HOLD_WAIT_MS = 2_000
MAX_LISTED_ENDS = 500


def now_ms():
    """Return milliseconds on the steady clock of the stand-ins."""
    return int(time.monotonic() * 1_000)


class Run:
    """A run of a task at a runner; `work_ms` is None for a task that lasts."""

    def __init__(self, task, run, need, work_ms):
        self.task = task
        self.run = run
        self.need = need
        self.work_ms = work_ms
        self.lasts = work_ms is None
        self.started_ms = now_ms()


class Fleet:
    """All runners; tells every start and end to the case's `observer`.

    The observer has `need(task)`, `work_ms(task)`, `outcome(task)`,
    `started(runner, run)`,
    `ended(runner, run, how, number)`, `noted(runner, task, run, how)`,
    `refuses(runner)` and `delay_order(runner, body)`.
    """

    def __init__(self, store, service, observer):
        self.store = store
        self.service = service
        self.observer = observer
        self.runners = []

    async def add(self, name, zone, **traits):
        """Start a runner and register it."""
        runner = Runner(self, name, zone, **traits)
        self.runners.append(runner)
        await runner.start()
        return runner

    def run_until_cancelled(self):
        """Return the task that registers, ends and lapses runs."""
        return asyncio.create_task(self._work())

    async def _work(self):
        while True:
            for runner in self.runners:
                await runner.advance()
            await asyncio.sleep(0.01)


class Runner:
    """One runner. `crash` ends its life, `start` begins the next one."""

    def __init__(self, fleet, name, zone, capacity, labels):
        self.name = name
        self.zone = zone
        self.capacity = dict(capacity)
        self.labels = list(labels)
        self.draining = False
        self.alive = False
        self.port = 0
        self._fleet = fleet
        self._server = None
        self._reset()

    def _reset(self):
        self.born = int(time.time() * 1_000)
        self.born_ms = now_ms()
        self.fence = 0
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.listed_end = 0
        self.barred = {}
        self.lease_end = 0
        self._seq = 0
        self._beat_due = 0.0
        self._new_end = asyncio.Event()

    async def start(self):
        """Begin a life: listen, and write the entry into the store."""
        self._reset()
        self._server = await serve(self._handle, self.port)
        self.port = self._server.port
        self.alive = True
        await self.register()

    async def crash(self):
        """End the life; all that runs is gone, and nothing is said."""
        self.alive = False
        self.running = {}
        self._server.close()

    async def register(self):
        """Write the entry, as at each heartbeat."""
        self._beat_due = time.monotonic() + HEARTBEAT_S
        self._seq += 1
        entry = {
            "service": self._fleet.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clock_ms": self.clock(),
            "seq": self._seq,
            "born": self.born,
        }
        if self.draining:
            entry["remaining_ms"] = 2_000
        await self._fleet.store.put("keyed.servers", self.name, entry)

    def clock(self):
        """Return the runner's own steady clock."""
        return now_ms() - self.born_ms + 1_000

    def used(self):
        """Return the resources of all runs here."""
        total = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        for run in self.running.values():
            for key in total:
                total[key] += run.need.get(key, 0)
        return total

    async def advance(self):
        """End runs that are done or have lapsed; send the heartbeat."""
        if not self.alive:
            return
        if self.running and self.clock() > self.lease_end:
            for run in list(self.running.values()):
                self._end(run, "lapsed")
        now = now_ms()
        for run in list(self.running.values()):
            if not run.lasts and now - run.started_ms >= run.work_ms:
                self._end(run, self._fleet.observer.outcome(run.task))
        if time.monotonic() >= self._beat_due:
            await self.register()

    def _end(self, run, how):
        del self.running[run.task]
        self.barred[run.task] = max(run.run, self.barred.get(run.task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, run.task, run.run, how, ""])
        self._fleet.observer.ended(self, run, how, self.last_end)
        self._new_end.set()

    async def _handle(self, call):
        body = call.json()
        if not self.alive or call.headers.get("x-knapweedshed-expect-instance") not in (
            None,
            self.name,
        ):
            return self._answer(421, {})
        if body.get("fence", 0) < self.fence:
            return self._answer(409, {"reason": "fence"})
        self.fence = body.get("fence", 0)
        if body.get("deadline_ms"):
            until = min(body["deadline_ms"], self.clock() + MAX_LEASE_MS)
            self.lease_end = max(self.lease_end, until)
        if call.path == "/v1/hold":
            return await self._hold(body)
        if call.path == "/v1/run-start":
            if self._fleet.observer.refuses(self):
                return self._answer(503, {})
            delay_s = self._fleet.observer.delay_order(self, body)
            if delay_s is not None:
                asyncio.create_task(self._start_late(body, delay_s))
                return None
            return self._start_run(body)
        if call.path == "/v1/run-stop":
            return self._stop_run(body)
        return self._answer(404, {})

    async def _hold(self, body):
        for number, task, run, how, _ in self.ended:
            if number <= body["acked_upto"]:
                self._fleet.observer.noted(self, task, run, how)
        self.ended = [row for row in self.ended if row[0] > body["acked_upto"]]
        wait_ms = min(body.get("wait_ms", 0), MAX_HOLD_WAIT_MS)
        if wait_ms and self.last_end <= self.listed_end:
            self._new_end.clear()
            try:
                await asyncio.wait_for(self._new_end.wait(), wait_ms / 1_000)
            except TimeoutError:
                pass
        if not self.alive:
            return None
        now = now_ms()
        running = [
            [
                run.task,
                run.run,
                "",
                100
                if run.lasts
                else min(99, 100 * (now - run.started_ms) // run.work_ms),
            ]
            for run in self.running.values()
        ]
        ended = self.ended[:MAX_LISTED_ENDS]
        self.listed_end = max([self.listed_end, *(row[0] for row in ended)])
        return self._answer(200, {"running": running, "ended": ended})

    async def _start_late(self, body, delay_s):
        """Carry out an order that got no answer, unless it is barred by then."""
        born = self.born
        await asyncio.sleep(delay_s)
        if self.alive and self.born == born and body["fence"] >= self.fence:
            self._start_run(body)

    def _start_run(self, body):
        task, number = body["task"], body["run"]
        current = self.running.get(task)
        if current is not None and current.run == number:
            return self._answer(200, {})
        if number <= self.barred.get(task, 0):
            return self._answer(409, {"reason": "old"})
        if body["deadline_ms"] < self.clock():
            return self._answer(409, {"reason": "late"})
        observer = self._fleet.observer
        run = Run(task, number, observer.need(task), observer.work_ms(task))
        self.running[task] = run
        observer.started(self, run)
        return self._answer(200, {})

    def _stop_run(self, body):
        task, number = body["task"], body["run"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        current = self.running.get(task)
        if current is not None and current.run == number:
            self._end(current, "stopped")
        return self._answer(200, {})

    def _answer(self, status, value):
        return json_answer(
            status, {**value, "clock_ms": self.clock(), "born": self.born}
        )
