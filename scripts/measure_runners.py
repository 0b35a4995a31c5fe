"""Simulates routing and queueing of short requests on runners, with a manual clock."""

import heapq
import random
from collections import deque
from typing import NamedTuple

from knapweedshed.decisions.overload.waiting_limit import WaitingLimit
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
SHORT_MEDIAN_MS = 400
LONG_MEDIAN_MS = 8_000
LONG_WORK_SHARE = 0.3
SHORT_DEADLINE_MS = 5_000
REFUSAL_BACKOFF_MS = 25


class Outcome(NamedTuple):
    """The end of one request: its kind, latency and whether it met its deadline."""

    kind: str
    took_ms: int
    in_time: bool


class SimulationResult(NamedTuple):
    """The results of one simulation.

    `avoidable_queueing_share` is the time in which a runner has requests queued while
    another has a free slot, as a share of the arrival period. `refusals` counts the
    requests that a full runner refused.
    """

    outcomes: tuple
    avoidable_queueing_share: float
    refusals: int


class _Entry:
    """An entry's queue and, by index of the runner, its view of the runners' load."""

    def __init__(self, routing, shedding):
        self.routing = create_routing_policy(routing)
        self.waiting_limit = WaitingLimit() if shedding else None
        self.queue = ShortQueue(10**9)
        self.own_in_flight = [0] * RUNNERS
        self.other_in_flight = [0] * RUNNERS
        self.latency_ms = [50.0] * RUNNERS
        self.full_until_ms = [0] * RUNNERS


class RunnersSimulation:
    """Simulates arrivals at `load` times the capacity.

    With `entry_queueing`, entries queue and shed requests, and a full runner refuses
    them. Without it, a runner queues requests beyond its slots in FIFO order.
    """

    def __init__(self, seed, routing, load, mixed, entry_queueing):
        self._rng = random.Random(seed)
        self._entry_queueing = entry_queueing
        self._entries = [_Entry(routing, entry_queueing) for _ in range(ENTRIES)]
        self._predictor = create_predictor()
        self._busy_slots = [0] * RUNNERS
        self._runner_queues = [deque() for _ in range(RUNNERS)]
        self._events = []
        self._sequence = 0
        self._requests = {}
        self._outcomes = []
        self._refusals = 0
        self._avoidable_queueing_ms = 0.0
        self._now_ms = 0
        self._schedule_arrivals(load, mixed)

    def run(self):
        """Process all events; return a `SimulationResult`."""
        while self._events:
            at_ms, _, event, item = heapq.heappop(self._events)
            self._accumulate_avoidable_queueing(at_ms)
            self._now_ms = at_ms
            getattr(self, f"_{event}")(item)
        return SimulationResult(
            tuple(self._outcomes),
            self._avoidable_queueing_ms / HORIZON_MS,
            self._refusals,
        )

    def _schedule_arrivals(self, load, mixed):
        capacity = sum(SPEEDS[i % 3] for i in range(RUNNERS)) * SLOTS * HORIZON_MS
        load_shares = [
            ("short", SHORT_MEDIAN_MS, load * (1 - (LONG_WORK_SHARE if mixed else 0)))
        ]
        if mixed:
            load_shares.append(("long", LONG_MEDIAN_MS, load * LONG_WORK_SHARE))
        for kind, median_ms, share in load_shares:
            remaining_ms = capacity * share
            while remaining_ms > 0:
                work_ms = max(5, median_ms * self._rng.lognormvariate(0, 0.6))
                remaining_ms -= work_ms
                at_ms = int(self._rng.random() * HORIZON_MS)
                request_id = f"{kind}{self._sequence}"
                self._requests[request_id] = (
                    kind,
                    work_ms,
                    at_ms,
                    self._sequence % ENTRIES,
                )
                self._schedule(at_ms, "arrive", request_id)

    def _schedule(self, at_ms, event, item):
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, event, item))

    def _arrive(self, request_id):
        kind, _, at_ms, entry_index = self._requests[request_id]
        urgency = Urgency.URGENT if kind == "short" else Urgency.NORMAL
        predicted_ms = self._predictor.total_ms(kind, SHORT_MEDIAN_MS)
        deadline_ms = at_ms + (SHORT_DEADLINE_MS if kind == "short" else 60_000)
        request = ShortRequest(request_id, kind, 1, urgency, predicted_ms, deadline_ms)
        entry = self._entries[entry_index]
        if entry.waiting_limit is not None:
            entry.queue.set_limit(entry.waiting_limit.max_waiting)
        shed = entry.queue.push(request)
        if shed is not None:
            self._record_outcome(shed.request_id, False)
        self._dispatch(entry_index)

    def _dispatch(self, entry_index):
        entry = self._entries[entry_index]
        if self._entry_queueing:
            for expired in entry.queue.take_expired(self._now_ms):
                self._record_outcome(expired.request_id, False)
        while len(entry.queue):
            request = entry.queue.pop()
            runner_view = entry.routing.choose(self._runner_views(entry), self._rng)
            if runner_view is None:
                entry.queue.requeue(request)
                return
            entry.own_in_flight[int(runner_view.name)] += 1
            self._schedule(
                self._now_ms + 1, "offer", (request, entry_index, int(runner_view.name))
            )

    def _runner_views(self, entry):
        views = []
        for runner_index in range(RUNNERS):
            busy = (
                entry.own_in_flight[runner_index] + entry.other_in_flight[runner_index]
            )
            if (
                self._entry_queueing
                and entry.full_until_ms[runner_index] > self._now_ms
            ):
                busy = max(busy, SLOTS)
            views.append(
                RunnerView(
                    str(runner_index), SLOTS, busy, entry.latency_ms[runner_index]
                )
            )
        return views

    def _offer(self, item):
        request, entry_index, runner_index = item
        if self._busy_slots[runner_index] < SLOTS:
            self._start(item)
        elif not self._entry_queueing:
            self._runner_queues[runner_index].append(item)
        else:
            self._refusals += 1
            entry = self._entries[entry_index]
            entry.own_in_flight[runner_index] -= 1
            entry.full_until_ms[runner_index] = self._now_ms + REFUSAL_BACKOFF_MS
            entry.queue.requeue(request)
            self._schedule(self._now_ms + REFUSAL_BACKOFF_MS, "dispatch", entry_index)
            self._dispatch(entry_index)

    def _start(self, item):
        request, _, runner_index = item
        self._busy_slots[runner_index] += 1
        work_ms = self._requests[request.request_id][1]
        run_time_ms = max(1, int(work_ms / SPEEDS[runner_index % 3]))
        self._schedule(self._now_ms + run_time_ms, "ended", (*item, run_time_ms))

    def _ended(self, item):
        request, entry_index, runner_index, run_time_ms = item
        self._busy_slots[runner_index] -= 1
        entry = self._entries[entry_index]
        entry.own_in_flight[runner_index] -= 1
        if entry.waiting_limit is not None:
            entry.waiting_limit.record_end(self._now_ms)
        entry.other_in_flight[runner_index] = max(
            0, self._busy_slots[runner_index] - entry.own_in_flight[runner_index]
        )
        entry.latency_ms[runner_index] = smooth_latency_ms(
            entry.latency_ms[runner_index], run_time_ms
        )
        kind, work_ms, at_ms, _ = self._requests[request.request_id]
        self._predictor.observe(kind, work_ms)
        self._record_outcome(request.request_id, True)
        if self._runner_queues[runner_index]:
            self._start(self._runner_queues[runner_index].popleft())
        self._dispatch(entry_index)

    def _record_outcome(self, request_id, ran):
        kind, _, at_ms, _ = self._requests[request_id]
        took_ms = self._now_ms - at_ms
        limit_ms = SHORT_DEADLINE_MS if kind == "short" else 60_000
        self._outcomes.append(Outcome(kind, took_ms, ran and took_ms <= limit_ms))

    def _accumulate_avoidable_queueing(self, at_ms):
        if any(self._runner_queues) and min(self._busy_slots) < SLOTS:
            self._avoidable_queueing_ms += at_ms - self._now_ms
