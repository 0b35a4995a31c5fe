"""Simulates planners on seeded shifts of jobs: the daemons' decision code, no I/O."""

import heapq
import random
from typing import NamedTuple

from knapweedshed.decisions.cells import free_block_counts, mask_of
from knapweedshed.decisions.guarantees import consume, split_running
from knapweedshed.decisions.health import HealthTracker
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
LOAD_FACTOR = 0.9
HORIZON_MS = 2 * 3_600_000
WAVE_PERIOD_MS = 20 * 60_000
PLAN_DELAY_MS = 50
BURST_DURATION_MS = 5_000
WAVE_PEAK_MS = 60_000  # start of a wave that counts as its peak
FAILING_WORKER_COUNT = 1
TIME_TO_FAILURE_MS = 1_000
CANCEL_SHARE = 0.03
RECLAIM_BOUND_MS = 6_100  # within this time, a guarantee must be served
STOP_DELAY_MS = 500
DATA_CENTRE = "north"


class JobKind(NamedTuple):
    """A kind of job.

    Run times are lognormal with median `median_ms` and deviation `sigma` of the
    logarithm; `share` is the share of the load.
    """

    name: str
    shape: Shape
    urgency: Urgency
    median_ms: int
    sigma: float
    share: float
    checkpoints: bool = False


JOB_KINDS = (
    JobKind("cart-check", Shape(1, 1), Urgency.URGENT, 3_000, 0.4, 0.005),
    JobKind("proof", Shape(1, 2), Urgency.NORMAL, 60_000, 1.2, 0.295),
    JobKind("plan", Shape(1, 8), Urgency.NORMAL, 240_000, 1.0, 0.25, True),
    JobKind("mockup", Shape(1, 4), Urgency.BATCH, 180_000, 1.3, 0.25, True),
    JobKind(
        "sweep", Shape(3, 8, Adjacency.RACK), Urgency.BATCH, 300_000, 0.8, 0.20, True
    ),
)
ORGANISATIONS = (
    Organisation(
        "o1",
        (DATA_CENTRE,),
        ((DATA_CENTRE, Shape(1, 8), 6), (DATA_CENTRE, Shape(1, 2), 4)),
    ),
    Organisation(
        "o2",
        (DATA_CENTRE,),
        ((DATA_CENTRE, Shape(1, 8), 4), (DATA_CENTRE, Shape(1, 4), 4)),
    ),
    Organisation("o3", (DATA_CENTRE,), ((DATA_CENTRE, Shape(1, 4), 3),)),
    Organisation("o4", (DATA_CENTRE,), ((DATA_CENTRE, Shape(1, 2), 3),)),
)
DEMAND_SHARES = (0.35, 0.3, 0.2, 0.15)


class Arrival(NamedTuple):
    """One job of a shift; `work_ms` is its run time at speed 1.

    `declared_ms` is the run time that its caller declares.

    `cancelled_ms` is the time at which it is cancelled if still waiting, 0 for never.
    """

    job_id: str
    at_ms: int
    organisation: str
    kind: JobKind
    work_ms: int
    declared_ms: int
    cancelled_ms: int


class JobOutcome(NamedTuple):
    """The waiting and completion time of one finished job, from its arrival."""

    arrival: Arrival
    wait_ms: int
    completion_ms: int


class SimulationResult(NamedTuple):
    """The results of one simulation.

    `usable_share` is the mean of `usable_share()` over time. `shortfall_share` is the
    share of time with demand covered by a guarantee in which this waits beyond the
    reclaim bound.
    `unfinished` counts jobs that still wait at the end.
    """

    outcomes: tuple
    usable_share: float
    shortfall_share: float
    unfinished: int


def draw_arrivals(seed):
    """Return the jobs of a shift, ordered by arrival.

    Most arrive in a burst at the start of a wave, as when a bus brings a shift's
    staff; the rest are spread over the wave.
    """
    rng = random.Random(seed)
    capacity_ms = sum(SPEEDS[i % 3] for i in range(WORKERS)) * ACCELERATORS * HORIZON_MS
    jobs = []
    for kind in JOB_KINDS:
        remaining_ms = capacity_ms * LOAD_FACTOR * kind.share
        while remaining_ms > 0:
            work_ms = int(
                min(
                    kind.median_ms * 30,
                    kind.median_ms * rng.lognormvariate(0, kind.sigma),
                )
            )
            remaining_ms -= work_ms * kind.shape.total_accelerators
            jobs.append(_draw_arrival(rng, len(jobs), kind, work_ms))
    return sorted(jobs, key=lambda job: (job.at_ms, job.job_id))


def _draw_arrival(rng, number, kind, work_ms):
    wave_start_ms = rng.randrange(HORIZON_MS // WAVE_PERIOD_MS) * WAVE_PERIOD_MS
    in_burst = rng.random() < 0.8
    at_ms = wave_start_ms + int(
        rng.random() * (BURST_DURATION_MS if in_burst else WAVE_PERIOD_MS)
    )
    cancelled_ms = 0
    if rng.random() < CANCEL_SHARE:
        cancelled_ms = wave_start_ms + WAVE_PERIOD_MS // 2
    return Arrival(
        f"j{number:05d}",
        at_ms,
        rng.choices(
            [organisation.name for organisation in ORGANISATIONS], DEMAND_SHARES
        )[0],
        kind,
        max(500, work_ms),
        max(500, int(work_ms * 10 ** rng.uniform(-1, 1))),
        cancelled_ms,
    )


class _Run(NamedTuple):
    """A running job; `token` tells its end event from those of its earlier runs."""

    arrival: Arrival
    launch: object
    started_ms: int
    speed: float
    token: int


class JobsSimulation:
    """Simulates one shift with one planner."""

    def __init__(self, seed, planner_name, prediction_name="learned"):
        self._planner = create_planner(planner_name)
        self._predictor = create_predictor(prediction_name)
        self._health = HealthTracker()
        rng = random.Random(seed + 1_000)
        self._failing = set(rng.sample(range(WORKERS), FAILING_WORKER_COUNT))
        self._speeds = {f"w{i:02d}": SPEEDS[i % 3] for i in range(WORKERS)}
        self._free = dict.fromkeys(self._speeds, (1 << ACCELERATORS) - 1)
        self._waiting = {}
        self._running = {}
        self._first_start_ms = {}
        self._work_done_ms = {}
        self._pending_reclaims = {}
        self._stopping = set()
        self._outcomes = []
        self._events = []
        self._sequence = 0
        # Each pair: time weighted by the share, and the time in which it was counted.
        self._usable_totals_ms = [0.0, 0.0]
        self._shortfall_totals_ms = [0.0, 0.0]
        self._now_ms = 0
        self._accounted_ms = 0
        self._covered_since_ms = {}
        for job in draw_arrivals(seed):
            self._schedule(job.at_ms, "arrive", job)

    def run(self):
        """Process all events; return a `SimulationResult`."""
        plan_at = None
        while self._events:
            self._now_ms, _, event, item = heapq.heappop(self._events)
            if event == "plan":
                plan_at = None
                self._accumulate_usage()
                self._plan()
                continue
            getattr(self, f"_{event}")(item)
            if plan_at is None:
                plan_at = self._now_ms + PLAN_DELAY_MS
                self._schedule(plan_at, "plan", None)
        usable = self._usable_totals_ms[0] / max(1, self._usable_totals_ms[1])
        shortfall = self._shortfall_totals_ms[0] / max(1, self._shortfall_totals_ms[1])
        return SimulationResult(
            tuple(self._outcomes), usable, shortfall, len(self._waiting)
        )

    def _schedule(self, at_ms, event, item):
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, event, item))

    def _arrive(self, job):
        self._waiting[job.job_id] = job
        if job.cancelled_ms > job.at_ms:
            self._schedule(job.cancelled_ms, "cancel", job)

    def _cancel(self, job):
        if job.job_id in self._waiting:
            del self._waiting[job.job_id]
            self._pending_reclaims.pop(job.job_id, None)

    def _end(self, item):
        job_id, token = item
        run = self._running.get(job_id)
        if run is None or run.token != token:
            return
        self._release(job_id)
        if self._uses_failing_worker(run):
            for placement in run.launch.placements:
                if int(placement.worker[1:]) in self._failing:
                    self._health.record_failure(placement.worker, self._now_ms)
            self._waiting[job_id] = run.arrival
            return
        for placement in run.launch.placements:
            self._health.record_success(placement.worker)
        job = run.arrival
        self._predictor.observe((job.organisation, job.kind.name), job.work_ms)
        wait_ms = self._first_start_ms[job_id] - job.at_ms
        self._outcomes.append(JobOutcome(job, wait_ms, self._now_ms - job.at_ms))

    def _stopped(self, job_id):
        self._stopping.discard(job_id)
        run = self._running.get(job_id)
        if run is None:
            return
        if run.arrival.kind.checkpoints:
            done_ms = (self._now_ms - run.started_ms - STOP_DELAY_MS) * run.speed
            self._work_done_ms[job_id] = self._work_done_ms.get(job_id, 0) + max(
                0, done_ms
            )
        self._release(job_id)
        self._waiting[job_id] = run.arrival

    def _release(self, job_id):
        run = self._running.pop(job_id)
        for placement in run.launch.placements:
            self._free[placement.worker] |= mask_of(placement.accelerators)

    def _uses_failing_worker(self, run):
        return any(int(p.worker[1:]) in self._failing for p in run.launch.placements)

    def _plan(self):
        plan = self._planner.plan(self._planning_input())
        for reclaim in plan.reclaims:
            self._pending_reclaims[reclaim.job_id] = reclaim.placements
            for job_id in reclaim.victims:
                if job_id not in self._stopping:
                    self._stopping.add(job_id)
                    self._schedule(self._now_ms + STOP_DELAY_MS, "stopped", job_id)
        for launch in plan.launches:
            self._launch(launch)

    def _launch(self, launch):
        job = self._waiting.pop(launch.job_id)
        self._pending_reclaims.pop(launch.job_id, None)
        self._covered_since_ms.pop(job.organisation, None)
        for placement in launch.placements:
            mask = mask_of(placement.accelerators)
            assert self._free[placement.worker] & mask == mask, (
                "accelerators are already allocated"
            )
            self._free[placement.worker] &= ~mask
            self._health.record_assignment(placement.worker)
        speed = min(self._speeds[placement.worker] for placement in launch.placements)
        self._sequence += 1
        run = _Run(job, launch, self._now_ms, speed, self._sequence)
        self._running[launch.job_id] = run
        remaining_ms = job.work_ms - self._work_done_ms.get(job.job_id, 0)
        run_time_ms = (
            TIME_TO_FAILURE_MS
            if self._uses_failing_worker(run)
            else max(1, remaining_ms) / speed
        )
        if not self._uses_failing_worker(run):
            self._first_start_ms.setdefault(job.job_id, self._now_ms)
        self._schedule(
            self._now_ms + int(run_time_ms), "end", (launch.job_id, run.token)
        )

    def _planning_input(self):
        usable = self._health.usable(sorted(self._free), self._now_ms)
        workers = tuple(
            WorkerView(
                name,
                f"r{int(name[1:]) // RACK_SIZE}",
                8,
                self._speeds[name],
                self._free[name],
            )
            for name in usable
        )
        return PlanningInput(
            self._now_ms,
            DATA_CENTRE,
            workers,
            tuple(self._running_view(run) for run in self._running.values()),
            tuple(self._waiting_view(job) for job in self._waiting.values()),
            ORGANISATIONS,
            tuple(
                PendingReclaim(job_id, placements)
                for job_id, placements in self._pending_reclaims.items()
            ),
            (),
        )

    def _running_view(self, run):
        job = run.arrival
        elapsed_ms = int((self._now_ms - run.started_ms) * run.speed)
        kind = (job.organisation, job.kind.name)
        remaining_ms = self._predictor.remaining_ms(kind, job.declared_ms, elapsed_ms)
        lost_ms = STOP_DELAY_MS if job.kind.checkpoints else elapsed_ms
        return RunningView(
            job.job_id,
            job.organisation,
            job.kind.shape,
            run.launch.placements,
            run.started_ms,
            self._now_ms + int(remaining_ms / run.speed),
            job.job_id not in self._stopping,
            lost_ms * job.kind.shape.total_accelerators,
            job.kind.urgency,
        )

    def _waiting_view(self, job):
        kind = (job.organisation, job.kind.name)
        predicted_ms = self._predictor.total_ms(kind, job.declared_ms)
        return WaitingView(
            job.job_id,
            job.organisation,
            job.kind.shape,
            job.kind.urgency,
            job.at_ms,
            predicted_ms,
            True,
        )

    def _accumulate_usage(self):
        """Add the state since the last plan to the totals, weighted by its duration."""
        elapsed_ms = self._now_ms - self._accounted_ms
        self._accounted_ms = self._now_ms
        if elapsed_ms <= 0 or self._now_ms > HORIZON_MS:
            return
        share = usable_share(self._free.values())
        if share is not None:
            self._usable_totals_ms[0] += share * elapsed_ms
            self._usable_totals_ms[1] += elapsed_ms
        self._accumulate_shortfall(elapsed_ms)

    def _accumulate_shortfall(self, elapsed_ms):
        """Add the time in which covered demand waits beyond the reclaim bound.

        Covered demand is a waiting job that fits in the unused part of its
        organisation's guarantee. The wait counts from when such demand arose or the
        organisation's last job was launched.
        """
        running = [self._running_view(run) for run in self._running.values()]
        for organisation in ORGANISATIONS:
            own_running = [r for r in running if r.organisation == organisation.name]
            remaining_guarantee, _ = split_running(
                organisation, DATA_CENTRE, own_running
            )
            shapes = {
                job.kind.shape
                for job in self._waiting.values()
                if job.organisation == organisation.name
            }
            if not any(
                consume(remaining_guarantee, shape) is not None for shape in shapes
            ):
                self._covered_since_ms.pop(organisation.name, None)
                continue
            covered_since_ms = self._covered_since_ms.setdefault(
                organisation.name, self._now_ms
            )
            self._shortfall_totals_ms[1] += elapsed_ms
            late_ms = self._now_ms - covered_since_ms - RECLAIM_BOUND_MS
            late_ms = min(elapsed_ms, max(0, late_ms))
            self._shortfall_totals_ms[0] += late_ms


def usable_share(masks):
    """Return the usable share of the free accelerators, or None if none is free.

    The block size is the largest aligned block that a perfect packing would leave; the
    share is the blocks of this size over those of a perfect packing.
    """
    masks = list(masks)
    free = sum(mask.bit_count() for mask in masks)
    if free == 0:
        return None
    block_size = min(ACCELERATORS, 1 << (free.bit_length() - 1))
    ideal_blocks = free // block_size
    free_blocks = sum(
        count * (size // block_size)
        for mask in masks
        for size, count in free_block_counts(mask)
        if size >= block_size
    )
    return free_blocks / ideal_blocks
