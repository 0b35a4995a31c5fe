"""A stand-in of a runner: starts, stops, holds, leases, fences and numbered ends.

It follows the published protocol. A stop takes `stop_s`.
"""

import json
import threading
import time
from typing import NamedTuple

from review.peers.http_service import Answer, HttpService, json_answer

MAX_LISTED_ENDS = 500
STARTUP_S = 0.5  # of a task that lasts


class Work(NamedTuple):
    """What a run does: it works for `run_s`, then ends as `how`.

    A `lasting` run is at work (100%) after a short startup.
    """

    run_s: float
    how: str = "done"
    lasting: bool = False


class Interval(NamedTuple):
    """A run as it really was; `how` is "" while it goes on."""

    task: str
    run: int
    runner: str
    started_s: float
    ended_s: float = 0.0
    how: str = ""


class Runner:
    """One runner; `work_of(task, run)` returns the `Work` of a run."""

    def __init__(self, store, record, name, work_of, **fields):
        self.name = name
        self.intervals = []
        self.stop_s = fields.pop("stop_s", 0.15)
        self.hold_max_ms = fields.pop("hold_max_ms", 6_000)
        self.drain_s = fields.pop("drain_s", 2.0)
        self.entry = {
            "service": "planner",
            "zone": "tunis",
            "version": "v1",
            "slots": 8,
            "cold_left_ms": 0,
            "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
            "labels": ["a", "r1-1"],
            **fields,
        }
        self._store = store
        self._record = record
        self._work_of = work_of
        self._changed = threading.Condition()
        self._begin_life()
        self._closed = False
        self._service = HttpService(self._handle)
        self.register()
        threading.Thread(target=self._watch, daemon=True).start()

    def close(self):
        """Stop serving."""
        if not self._closed:
            self._closed = True
            self._service.close()

    def register(self, state="ready"):
        """Write the runner's entry, as it does at its start and when that changes."""
        self._store.put(
            "keyed.servers",
            self.name,
            {
                **self.entry,
                "addr": self._service.address,
                "state": state,
                **({"remaining_ms": 2_000} if state == "draining" else {}),
                "born": self.born,
                "seq": 1,
            },
        )

    def leave(self):
        """Drain for `drain_s`, then exit: what still runs is terminated."""
        self._record(f"{self.name}: draining")
        self.register("draining")
        threading.Timer(self.drain_s, self._exit).start()

    def _exit(self):
        with self._changed:
            for key in list(self._running):
                self._end(key, "terminated")
        self._record(f"{self.name}: exited")
        self._store.put("keyed.servers", self.name, None)
        self.close()

    def _begin_life(self):
        self.born = int(time.time() * 1_000)
        self._epoch_s = time.monotonic() - 1.0
        self._fence = 0
        self._lease_ms = 0
        self._running = {}
        self._ended = []
        self._last_end = 0
        self._barred = {}

    def _clock_ms(self):
        return int((time.monotonic() - self._epoch_s) * 1_000)

    def _handle(self, call):
        body = json.loads(call.body)
        if self._closed:
            return Answer(0)
        expected = call.headers.get("X-Knapweedshed-Expect-Instance")
        if expected not in (None, self.name):
            return json_answer(421, {})
        if call.path == "/v1/hold":
            return self._hold(body)
        handler = {"/v1/run-start": self._start, "/v1/run-stop": self._stop}[call.path]
        return handler(body)

    def _reply(self, status, value):
        value = {**value, "clock_ms": self._clock_ms(), "born": self.born}
        return json_answer(status, value)

    def _take_fence(self, body):
        fence = body.get("fence", 0)
        if fence < self._fence:
            return False
        self._fence = fence
        return True

    def _take_deadline(self, body):
        limit_ms = self._clock_ms() + self.hold_max_ms
        self._lease_ms = max(self._lease_ms, min(body.get("deadline_ms", 0), limit_ms))

    def _start(self, body):
        key = (body["task"], body["run"])
        with self._changed:
            if not self._take_fence(body):
                return self._reply(409, {"reason": "fence"})
            if body["deadline_ms"] <= self._clock_ms():
                return self._reply(409, {"reason": "late"})
            self._take_deadline(body)
            if key in self._running:
                return self._reply(200, {})
            if body["run"] <= self._barred.get(body["task"], 0):
                return self._reply(409, {"reason": "old"})
            interval = Interval(*key, self.name, time.monotonic())
            self._running[key] = (interval, None)
            self.intervals.append(interval)
            self._record(
                f"{self.name}: started {key[0]} run {key[1]}, fence {body['fence']},"
                f" saved {body.get('saved', '')!r}"
            )
            return self._reply(200, {})

    def _stop(self, body):
        key = (body["task"], body["run"])
        with self._changed:
            if not self._take_fence(body):
                return self._reply(409, {"reason": "fence"})
            self._bar(key)
            if key in self._running and self._running[key][1] is None:
                stop_at_s = time.monotonic() + self.stop_s
                self._running[key] = (self._running[key][0], stop_at_s)
            return self._reply(200, {})

    def _hold(self, body):
        with self._changed:
            if not self._take_fence(body):
                return self._reply(409, {"reason": "fence"})
            self._ended = [row for row in self._ended if row[0] > body["acked_upto"]]
            self._take_deadline(body)
            last_end = self._last_end
            self._changed.wait_for(
                lambda: self._last_end > last_end, body.get("wait_ms", 0) / 1_000
            )
            now_s = time.monotonic()
            running = []
            for (task, run), (interval, _) in self._running.items():
                work = self._work_of(task, run)
                span_s = STARTUP_S if work.lasting else work.run_s
                percent = min(100, int(100 * (now_s - interval.started_s) / span_s))
                running.append([task, run, "", percent, 0])
            ended = self._ended[:MAX_LISTED_ENDS]
            return self._reply(200, {"running": running, "ended": ended})

    def _bar(self, key):
        self._barred[key[0]] = max(self._barred.get(key[0], 0), key[1])

    def _end(self, key, how):
        interval, _ = self._running.pop(key)
        self.intervals[self.intervals.index(interval)] = interval._replace(
            ended_s=time.monotonic(), how=how
        )
        self._bar(key)
        self._last_end += 1
        self._ended.append([self._last_end, key[0], key[1], how, ""])
        self._record(f"{self.name}: {key[0]} run {key[1]} ended: {how}")
        self._changed.notify_all()

    def _watch(self):
        while not self._closed:
            time.sleep(0.01)
            with self._changed:
                now_s = time.monotonic()
                lapsed = self._clock_ms() > self._lease_ms
                for key, (interval, stop_at_s) in list(self._running.items()):
                    if stop_at_s is not None and now_s >= stop_at_s:
                        self._end(key, "stopped")
                    elif now_s - interval.started_s >= self._work_of(*key).run_s:
                        self._end(key, self._work_of(*key).how)
                    elif lapsed:
                        self._end(key, "lapsed")
