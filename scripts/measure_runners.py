"""Measures routing and queueing of short work on runners, with a manual clock."""

import heapq
import random
from collections import deque
from typing import NamedTuple

from knapweedshed.decisions.overload import WaitingLimit
from knapweedshed.decisions.prediction import create_predictor
from knapweedshed.decisions.routing import (
    RunnerView,
    create_routing_policy,
    smooth_latency_ms,
)
from knapweedshed.decisions.short_queue import ShortQueue, ShortRequest
from knapweedshed.models.configuration import Urgency

RUNNERS = 24
SLOTS = 8
SPEEDS = (1.0, 1.5, 0.75)
ENTRIES = 4
HORIZON_MS = 20_000
SHORT_MS = 400
LONG_MS = 8_000
LONG_WORK_SHARE = 0.3
DEADLINE_MS = 5_000
REFUSED_PAUSE_MS = 25


class Outcome(NamedTuple):
    """One short request's end."""

    kind: str
    took_ms: int
    in_time: bool


class Sample(NamedTuple):
    """One run's results."""

    done: tuple
    over_slots_ms: float
    refused: int


class _Entry:
    def __init__(self, routing, shedding):
        self.routing = create_routing_policy(routing)
        self.limit = WaitingLimit() if shedding else None
        self.queue = ShortQueue(10**9)
        self.ours = [0] * RUNNERS
        self.others = [0] * RUNNERS
        self.latency = [50.0] * RUNNERS
        self.full_until = [0] * RUNNERS


class RunnersModel:
    """Plays arrivals at a multiple of capacity; `ours` lets entries hold requests back.

    Without it a runner queues what is over its slots, first in, first out.
    """

    def __init__(self, seed, routing, load, mixed, ours):
        self._rng = random.Random(seed)
        self._ours = ours
        self._entries = [_Entry(routing, ours) for _ in range(ENTRIES)]
        self._prediction = create_predictor()
        self._busy = [0] * RUNNERS
        self._queues = [deque() for _ in range(RUNNERS)]
        self._events = []
        self._count = 0
        self._requests = {}
        self._done = []
        self._refused = 0
        self._over_ms = 0.0
        self._now_ms = 0
        self._arrivals(load, mixed)

    def run(self):
        """Play to the end; return a `Sample`."""
        while self._events:
            at_ms, _, what, item = heapq.heappop(self._events)
            self._account(at_ms)
            self._now_ms = at_ms
            getattr(self, f"_{what}")(item)
        return Sample(tuple(self._done), self._over_ms / HORIZON_MS, self._refused)

    def _arrivals(self, load, mixed):
        capacity = sum(SPEEDS[i % 3] for i in range(RUNNERS)) * SLOTS * HORIZON_MS
        shares = [("short", SHORT_MS, load * (1 - (LONG_WORK_SHARE if mixed else 0)))]
        if mixed:
            shares.append(("long", LONG_MS, load * LONG_WORK_SHARE))
        for kind, median_ms, share in shares:
            left = capacity * share
            while left > 0:
                work_ms = max(5, median_ms * self._rng.lognormvariate(0, 0.6))
                left -= work_ms
                at_ms = int(self._rng.random() * HORIZON_MS)
                name = f"{kind}{self._count}"
                self._requests[name] = (kind, work_ms, at_ms, self._count % ENTRIES)
                self._push(at_ms, "arrive", name)

    def _push(self, at_ms, what, item):
        self._count += 1
        heapq.heappush(self._events, (at_ms, self._count, what, item))

    def _arrive(self, name):
        kind, _, at_ms, number = self._requests[name]
        urgency = Urgency.URGENT if kind == "short" else Urgency.NORMAL
        predicted_ms = self._prediction.total_ms(kind, SHORT_MS)
        deadline_ms = at_ms + (DEADLINE_MS if kind == "short" else 60_000)
        request = ShortRequest(name, kind, 1, urgency, predicted_ms, deadline_ms)
        entry = self._entries[number]
        if entry.limit is not None:
            entry.queue.set_limit(entry.limit.max_waiting)
        shed = entry.queue.push(request)
        if shed is not None:
            self._finish(shed.request_id, False)
        self._dispatch(number)

    def _dispatch(self, number):
        entry = self._entries[number]
        if self._ours:
            for late in entry.queue.expired(self._now_ms):
                self._finish(late.request_id, False)
        while len(entry.queue):
            request = entry.queue.pop()
            view = entry.routing.choose(self._views(entry), self._rng)
            if view is None:
                entry.queue.requeue(request)
                return
            entry.ours[int(view.name)] += 1
            self._push(self._now_ms + 1, "offer", (request, number, int(view.name)))

    def _views(self, entry):
        views = []
        for index in range(RUNNERS):
            busy = entry.ours[index] + entry.others[index]
            if self._ours and entry.full_until[index] > self._now_ms:
                busy = max(busy, SLOTS)
            views.append(RunnerView(str(index), SLOTS, busy, entry.latency[index]))
        return views

    def _offer(self, item):
        request, number, runner = item
        if self._busy[runner] < SLOTS:
            self._start(item)
        elif not self._ours:
            self._queues[runner].append(item)
        else:
            self._refused += 1
            entry = self._entries[number]
            entry.ours[runner] -= 1
            entry.full_until[runner] = self._now_ms + REFUSED_PAUSE_MS
            entry.queue.requeue(request)
            self._push(self._now_ms + REFUSED_PAUSE_MS, "dispatch", number)
            self._dispatch(number)

    def _start(self, item):
        request, _, runner = item
        self._busy[runner] += 1
        work_ms = self._requests[request.request_id][1]
        length_ms = max(1, int(work_ms / SPEEDS[runner % 3]))
        self._push(self._now_ms + length_ms, "ended", (*item, length_ms))

    def _ended(self, item):
        request, number, runner, length_ms = item
        self._busy[runner] -= 1
        entry = self._entries[number]
        entry.ours[runner] -= 1
        if entry.limit is not None:
            entry.limit.ended(self._now_ms)
        entry.others[runner] = max(0, self._busy[runner] - entry.ours[runner])
        entry.latency[runner] = smooth_latency_ms(entry.latency[runner], length_ms)
        kind, work_ms, at_ms, _ = self._requests[request.request_id]
        self._prediction.observe(kind, work_ms)
        self._finish(request.request_id, True)
        if self._queues[runner]:
            self._start(self._queues[runner].popleft())
        self._dispatch(number)

    def _finish(self, name, ran):
        kind, _, at_ms, _ = self._requests[name]
        took_ms = self._now_ms - at_ms
        limit_ms = DEADLINE_MS if kind == "short" else 60_000
        self._done.append(Outcome(kind, took_ms, ran and took_ms <= limit_ms))

    def _account(self, at_ms):
        if any(self._queues) and min(self._busy) < SLOTS:
            self._over_ms += at_ms - self._now_ms
