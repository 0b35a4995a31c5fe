"""Measures planners on seeded shifts of work: the daemons' decisions, no I/O."""

import heapq
import random
from typing import NamedTuple

from knapweedshed.decisions.cells import free_block_counts, mask_of
from knapweedshed.decisions.guarantees import consume, split_running
from knapweedshed.decisions.health import Health
from knapweedshed.decisions.planner_factory import create_planner
from knapweedshed.decisions.prediction import create_predictor
from knapweedshed.models.configuration import Organisation, Urgency
from knapweedshed.models.planning import (
    PendingReclaim,
    PlanningInput,
    RunningView,
    WaitingView,
    WorkerView,
)
from knapweedshed.models.shapes import Adjacency, Shape

WORKERS = 24
RACK_SIZE = 6
ACCELERATORS = 8
SPEEDS = (1.0, 1.5, 0.75)
LOAD = 0.9
HORIZON_MS = 2 * 3_600_000
WAVE_MS = 20 * 60_000
PLAN_DELAY_MS = 50
WAVE_SPREAD_MS = 5_000
CREST_MS = 60_000
FAILING_WORKERS = 1
FAIL_MS = 1_000
CANCEL_SHARE = 0.03
RECLAIM_BOUND_MS = 6_100
STOP_MS = 500
PLACE = "north"


class Kind(NamedTuple):
    """A kind of work: its shape, class, median run time and share of the load."""

    name: str
    shape: Shape
    urgency: Urgency
    median_ms: int
    tail: float
    share: float
    checkpoints: bool = False


KINDS = (
    Kind("cart-check", Shape(1, 1), Urgency.URGENT, 3_000, 0.4, 0.005),
    Kind("proof", Shape(1, 2), Urgency.NORMAL, 60_000, 1.2, 0.295),
    Kind("plan", Shape(1, 8), Urgency.NORMAL, 240_000, 1.0, 0.25, True),
    Kind("mockup", Shape(1, 4), Urgency.BATCH, 180_000, 1.3, 0.25, True),
    Kind("sweep", Shape(3, 8, Adjacency.RACK), Urgency.BATCH, 300_000, 0.8, 0.20, True),
)
ORGANISATIONS = (
    Organisation("o1", (PLACE,), ((PLACE, Shape(1, 8), 6), (PLACE, Shape(1, 2), 4))),
    Organisation("o2", (PLACE,), ((PLACE, Shape(1, 8), 4), (PLACE, Shape(1, 4), 4))),
    Organisation("o3", (PLACE,), ((PLACE, Shape(1, 4), 3),)),
    Organisation("o4", (PLACE,), ((PLACE, Shape(1, 2), 3),)),
)
DEMAND = (0.35, 0.3, 0.2, 0.15)


class Arrival(NamedTuple):
    """One job of a shift; `work_ms` is its run time at speed 1."""

    job_id: str
    at_ms: int
    organisation: str
    kind: Kind
    work_ms: int
    declared_ms: int
    cancelled_ms: int


class Done(NamedTuple):
    """What became of one job."""

    arrival: Arrival
    wait_ms: int
    completion_ms: int


class Sample(NamedTuple):
    """One run's results."""

    done: tuple
    usable: float
    short_of_guarantee: float
    unfinished: int


def arrivals(seed):
    """Return a shift's jobs: waves when a bus unloads, quiet between."""
    rng = random.Random(seed)
    capacity = sum(SPEEDS[i % 3] for i in range(WORKERS)) * ACCELERATORS * HORIZON_MS
    jobs = []
    for kind in KINDS:
        left = capacity * LOAD * kind.share
        while left > 0:
            work_ms = int(
                min(
                    kind.median_ms * 30,
                    kind.median_ms * rng.lognormvariate(0, kind.tail),
                )
            )
            left -= work_ms * kind.shape.total_accelerators
            jobs.append(_arrival(rng, len(jobs), kind, work_ms))
    return sorted(jobs, key=lambda job: (job.at_ms, job.job_id))


def _arrival(rng, number, kind, work_ms):
    wave = rng.randrange(HORIZON_MS // WAVE_MS) * WAVE_MS
    in_wave = rng.random() < 0.8
    at_ms = wave + int(rng.random() * (WAVE_SPREAD_MS if in_wave else WAVE_MS))
    cancelled_ms = 0
    if rng.random() < CANCEL_SHARE:
        cancelled_ms = wave + WAVE_MS // 2
    return Arrival(
        f"j{number:05d}",
        at_ms,
        rng.choices([o.name for o in ORGANISATIONS], DEMAND)[0],
        kind,
        max(500, work_ms),
        max(500, int(work_ms * 10 ** rng.uniform(-1, 1))),
        cancelled_ms,
    )


class _Run(NamedTuple):
    arrival: Arrival
    launch: object
    started_ms: int
    speed: float
    token: int


class JobsModel:
    """Plays one shift against one planner."""

    def __init__(self, seed, planner_name, prediction_name="learned"):
        self._planner = create_planner(planner_name)
        self._prediction = create_predictor(prediction_name)
        self._health = Health()
        rng = random.Random(seed + 1_000)
        self._failing = set(rng.sample(range(WORKERS), FAILING_WORKERS))
        self._speed = {f"w{i:02d}": SPEEDS[i % 3] for i in range(WORKERS)}
        self._free = dict.fromkeys(self._speed, (1 << ACCELERATORS) - 1)
        self._waiting = {}
        self._running = {}
        self._first_start = {}
        self._progress = {}
        self._claims = {}
        self._stopping = set()
        self._done = []
        self._events = []
        self._count = 0
        self._usable_ms = [0.0, 0.0]
        self._short_ms = [0.0, 0.0]
        self._now_ms = 0
        self._accounted_ms = 0
        self._covered_since = {}
        for job in arrivals(seed):
            self._push(job.at_ms, "arrive", job)

    def run(self):
        """Play to the end; return a `Sample`."""
        plan_at = None
        while self._events:
            self._now_ms, _, what, item = heapq.heappop(self._events)
            if what == "plan":
                plan_at = None
                self._account()
                self._plan()
                continue
            getattr(self, f"_{what}")(item)
            if plan_at is None:
                plan_at = self._now_ms + PLAN_DELAY_MS
                self._push(plan_at, "plan", None)
        usable = self._usable_ms[0] / max(1, self._usable_ms[1])
        short = self._short_ms[0] / max(1, self._short_ms[1])
        return Sample(tuple(self._done), usable, short, len(self._waiting))

    def _push(self, at_ms, what, item):
        self._count += 1
        heapq.heappush(self._events, (at_ms, self._count, what, item))

    def _arrive(self, job):
        self._waiting[job.job_id] = job
        if job.cancelled_ms > job.at_ms:
            self._push(job.cancelled_ms, "cancel", job)

    def _cancel(self, job):
        if job.job_id in self._waiting:
            del self._waiting[job.job_id]
            self._claims.pop(job.job_id, None)

    def _end(self, item):
        job_id, token = item
        run = self._running.get(job_id)
        if run is None or run.token != token:
            return
        self._release(job_id)
        if self._fails(run):
            for place in run.launch.placements:
                if int(place.worker[1:]) in self._failing:
                    self._health.failed(place.worker, self._now_ms)
            self._waiting[job_id] = run.arrival
            return
        for place in run.launch.placements:
            self._health.succeeded(place.worker)
        job = run.arrival
        self._prediction.observe((job.organisation, job.kind.name), job.work_ms)
        wait_ms = self._first_start[job_id] - job.at_ms
        self._done.append(Done(job, wait_ms, self._now_ms - job.at_ms))

    def _stopped(self, job_id):
        self._stopping.discard(job_id)
        run = self._running.get(job_id)
        if run is None:
            return
        if run.arrival.kind.checkpoints:
            spent = (self._now_ms - run.started_ms - STOP_MS) * run.speed
            self._progress[job_id] = self._progress.get(job_id, 0) + max(0, spent)
        self._release(job_id)
        self._waiting[job_id] = run.arrival

    def _release(self, job_id):
        run = self._running.pop(job_id)
        for place in run.launch.placements:
            self._free[place.worker] |= mask_of(place.accelerators)

    def _fails(self, run):
        return any(int(p.worker[1:]) in self._failing for p in run.launch.placements)

    def _plan(self):
        plan = self._planner.plan(self._situation())
        for reclaim in plan.reclaims:
            self._claims[reclaim.job_id] = reclaim.placements
            for job_id in reclaim.victims:
                if job_id not in self._stopping:
                    self._stopping.add(job_id)
                    self._push(self._now_ms + STOP_MS, "stopped", job_id)
        for launch in plan.launches:
            self._launch(launch)

    def _launch(self, launch):
        job = self._waiting.pop(launch.job_id)
        self._claims.pop(launch.job_id, None)
        self._covered_since.pop(job.organisation, None)
        for place in launch.placements:
            bits = mask_of(place.accelerators)
            assert self._free[place.worker] & bits == bits, "given twice"
            self._free[place.worker] &= ~bits
            self._health.probe_started(place.worker)
        speed = min(self._speed[place.worker] for place in launch.placements)
        self._count += 1
        run = _Run(job, launch, self._now_ms, speed, self._count)
        self._running[launch.job_id] = run
        left = job.work_ms - self._progress.get(job.job_id, 0)
        length_ms = FAIL_MS if self._fails(run) else max(1, left) / speed
        if not self._fails(run):
            self._first_start.setdefault(job.job_id, self._now_ms)
        self._push(self._now_ms + int(length_ms), "end", (launch.job_id, run.token))

    def _situation(self):
        usable = self._health.usable(sorted(self._free), self._now_ms)
        workers = tuple(
            WorkerView(
                n, f"r{int(n[1:]) // RACK_SIZE}", 8, self._speed[n], self._free[n]
            )
            for n in usable
        )
        return PlanningInput(
            self._now_ms,
            PLACE,
            workers,
            tuple(self._running_view(run) for run in self._running.values()),
            tuple(self._waiting_view(job) for job in self._waiting.values()),
            ORGANISATIONS,
            tuple(PendingReclaim(j, p) for j, p in self._claims.items()),
            (),
        )

    def _running_view(self, run):
        job = run.arrival
        elapsed_ms = int((self._now_ms - run.started_ms) * run.speed)
        kind = (job.organisation, job.kind.name)
        left_ms = self._prediction.remaining_ms(kind, job.declared_ms, elapsed_ms)
        lost_ms = STOP_MS if job.kind.checkpoints else elapsed_ms
        return RunningView(
            job.job_id,
            job.organisation,
            job.kind.shape,
            run.launch.placements,
            run.started_ms,
            self._now_ms + int(left_ms / run.speed),
            job.job_id not in self._stopping,
            lost_ms * job.kind.shape.total_accelerators,
            job.kind.urgency,
        )

    def _waiting_view(self, job):
        kind = (job.organisation, job.kind.name)
        predicted_ms = self._prediction.total_ms(kind, job.declared_ms)
        return WaitingView(
            job.job_id,
            job.organisation,
            job.kind.shape,
            job.kind.urgency,
            job.at_ms,
            predicted_ms,
            True,
        )

    def _account(self):
        """Weigh the state that stood since the last plan."""
        passed_ms = self._now_ms - self._accounted_ms
        self._accounted_ms = self._now_ms
        if passed_ms <= 0 or self._now_ms > HORIZON_MS:
            return
        share = usable_share(self._free.values())
        if share is not None:
            self._usable_ms[0] += share * passed_ms
            self._usable_ms[1] += passed_ms
        self._account_guarantees(passed_ms)

    def _account_guarantees(self, passed_ms):
        """Count the time in which covered demand waits beyond the reclaim bound.

        It counts from when the demand came or the organisation last got something.
        """
        running = [self._running_view(run) for run in self._running.values()]
        for organisation in ORGANISATIONS:
            mine = [r for r in running if r.organisation == organisation.name]
            left, _ = split_running(organisation, PLACE, mine)
            shapes = {
                job.kind.shape
                for job in self._waiting.values()
                if job.organisation == organisation.name
            }
            if not any(consume(left, shape) is not None for shape in shapes):
                self._covered_since.pop(organisation.name, None)
                continue
            since = self._covered_since.setdefault(organisation.name, self._now_ms)
            self._short_ms[1] += passed_ms
            late_ms = self._now_ms - since - RECLAIM_BOUND_MS
            late_ms = min(passed_ms, max(0, late_ms))
            self._short_ms[0] += late_ms


def usable_share(masks):
    """Return the share of the best use of the free accelerators that is there, or None.

    The best use is by the largest aligned cell that a perfect packing would leave.
    """
    masks = list(masks)
    free = sum(mask.bit_count() for mask in masks)
    if free == 0:
        return None
    cell = min(ACCELERATORS, 1 << (free.bit_length() - 1))
    best = free // cell
    found = sum(
        c * (size // cell)
        for m in masks
        for size, c in free_block_counts(m)
        if size >= cell
    )
    return found / best
