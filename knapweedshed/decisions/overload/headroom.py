"""Keeps room free of other work for the next wave of urgent work (waves of 13 s).

A wave that finds the service full waits for ends or stops others. The room is sized by
recent urgent work, kept on whole workers, and shrinks to nothing within a window after
urgent work has stopped coming. The state is only in this process: a new acting host
learns it again.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple

from knapweedshed.decisions.free_capacity import priced_cores
from knapweedshed.decisions.overload.run_forecasts import forecast_run
from knapweedshed.decisions.overload.urgent_demand import (
    DEMAND_WINDOW_MS,
    GangShape,
    UrgentArrival,
    UrgentDemand,
)
from knapweedshed.decisions.waiting import SPEED_SAFETY_FACTOR, URGENT_PRIORITY
from knapweedshed.models.dispatch_actions import HeadroomChanged

# A burst of 2 to 2.6 times adds 0.1 to 0.16 to urgent work that uses a tenth of a
# service. Other work earns less for a core-second, but idle room earns nothing.
MAX_KEPT_SHARE = 0.15
MIN_KEPT_WORKER_SHARE = 0.5  # a worker is kept if the need fills this much of it
REPORT_PERIOD_MS = 500
REPORT_CHANGE_SHARE = 0.1


class KeptRoom(NamedTuple):
    """The workers that are kept for urgent work in one planning pass.

    `urgent_waits` tells whether urgent work waits that can still earn credit.
    """

    worker_ids: frozenset = frozenset()
    urgent_waits: bool = False
    now_ms: int = 0

    def excludes(self, waiting):
        """Return whether a `WaitingStep` may not start on the kept workers.

        Work that would miss its objective by waiting longer may, or its late limit if
        it has missed that, unless urgent work waits too. What has waited for as long
        as the window of the demand may in any case, so that nothing starves.
        """
        if not self.worker_ids or waiting.priority == URGENT_PRIORITY:
            return False
        if self.now_ms - waiting.arrival_ms >= DEMAND_WINDOW_MS:
            return False
        if self.urgent_waits:
            return True
        path_ms = waiting.critical_path_ms
        limit_ms = waiting.due_ms
        if self.now_ms + path_ms > limit_ms:
            limit_ms = waiting.late_limit_ms
        return self.now_ms + SPEED_SAFETY_FACTOR * path_ms < limit_ms


class Headroom(ABC):
    """Chooses in each planning pass the workers that only urgent work may use."""

    @abstractmethod
    def update(self, planning_input, waiting_steps, capacity):
        """Return ({service: `KeptRoom`}, events to log) for a planning pass."""


class NoHeadroom(Headroom):
    """Keeps nothing."""

    def update(self, planning_input, waiting_steps, capacity):
        """Return that nothing is kept."""
        return {}, ()


class UrgentHeadroom(Headroom):
    """Keeps whole workers for urgent work, as much as recently came at once."""

    def __init__(self):
        self._services = {}

    def update(self, planning_input, waiting_steps, capacity):
        """Learn from a planning pass; return ({service: `KeptRoom`}, events)."""
        now_ms = planning_input.now_ms
        urgent_by_service = {}
        for waiting in waiting_steps:
            if waiting.priority == URGENT_PRIORITY:
                urgent_by_service.setdefault(waiting.service, []).append(waiting)
        for service in urgent_by_service:
            self._services.setdefault(service, _ServiceHeadroom(service))
        if not self._services:
            return {}, ()
        usage = _measure_usage(planning_input)
        kept, events = {}, []
        for service, headroom in list(self._services.items()):
            waiting_urgent = urgent_by_service.get(service, ())
            headroom.observe(planning_input, waiting_urgent, usage)
            worker_ids = headroom.choose_workers(planning_input, capacity, usage)
            urgent_waits = any(
                now_ms + waiting.critical_path_ms <= waiting.late_limit_ms
                for waiting in waiting_urgent
            )
            kept[service] = KeptRoom(worker_ids, urgent_waits, now_ms)
            events.extend(headroom.take_report(now_ms))
            if headroom.is_over:
                del self._services[service]
        return kept, tuple(events)


class _Usage(NamedTuple):
    """What runs now: priced cores of urgent work by worker, and the other units."""

    urgent_cores: dict
    other_units: dict


class _ServiceHeadroom:
    """The headroom of one service."""

    def __init__(self, service):
        self.is_over = False
        self._service = service
        self._demand = UrgentDemand()
        self._kept = frozenset()
        self._report = HeadroomChanged(service, 0, 0.0, 0.0, 0.0, 0.0, 0.0, 0)
        self._reported_count = 0
        self._reported_ms = 0

    def observe(self, planning_input, waiting_urgent, usage):
        """Add what urgent work needs now: what runs, and what waits in time."""
        now_ms = planning_input.now_ms
        need_cores = self._used_cores(planning_input, usage)
        arrivals = []
        for waiting in waiting_urgent:
            shape = GangShape(waiting.count, waiting.step.need)
            if now_ms + waiting.critical_path_ms <= waiting.due_ms:
                need_cores += len(waiting.units) * shape.size_cores
            first_seen_ms = planning_input.waiting_since_ms.get(waiting.units[0][:3])
            if first_seen_ms == now_ms:
                allowed_ms = max(1, waiting.due_ms - waiting.arrival_ms)
                arrivals.append(
                    UrgentArrival(
                        shape,
                        waiting.critical_path_ms / allowed_ms,
                        allowed_ms - waiting.critical_path_ms,
                    )
                )
        self._demand.observe(need_cores, arrivals, now_ms)

    def choose_workers(self, planning_input, capacity, usage):
        """Return the ids of the workers to keep.

        The room wanted is the highest recent need, less what urgent work uses now and
        what ends by itself while urgent work may still wait, at most `MAX_KEPT_SHARE`
        of the service.
        """
        now_ms = planning_input.now_ms
        profile = self._demand.profile(now_ms)
        if profile is None:
            self.is_over = True
            self._kept = frozenset()
            self._report = HeadroomChanged(self._service, 0, 0.0, 0.0, 0.0, 0.0, 0.0, 0)
            return self._kept
        workers = capacity.workers_of(self._service)
        total_cores = sum(worker.total_cores for worker in workers)
        max_cores = MAX_KEPT_SHARE * total_cores
        used_cores = self._used_cores(planning_input, usage)
        wanted_cores = profile.peak_cores - used_cores
        freed_cores = 0.0
        if wanted_cores > 0:
            until_ms = now_ms + profile.slack_ms
            freed_cores = self._freed_cores(planning_input, usage, until_ms)
        target_cores = min(max_cores, wanted_cores - freed_cores)
        self._kept = self._choose(workers, profile, usage, target_cores)
        self._report = HeadroomChanged(
            self._service,
            len(self._kept),
            max(0.0, target_cores),
            profile.peak_cores,
            used_cores,
            freed_cores,
            max_cores,
            profile.peak_age_ms,
        )
        return self._kept

    def take_report(self, now_ms):
        """Return [`HeadroomChanged`] if the kept workers have changed much, or []."""
        count, reported = self._report.worker_count, self._reported_count
        if count == reported:
            return []
        if bool(count) == bool(reported):
            if now_ms - self._reported_ms < REPORT_PERIOD_MS:
                return []
            if abs(count - reported) <= REPORT_CHANGE_SHARE * reported:
                return []
        self._reported_count, self._reported_ms = count, now_ms
        return [self._report]

    def _choose(self, workers, profile, usage, target_cores):
        """Return the ids of whole workers that hold `target_cores` between them.

        Racks that hold the largest urgent unit come first, then those with most kept
        workers and most room; within a rack, workers kept before and emptier ones.
        """
        if target_cores <= 0:
            return frozenset()
        fast = [worker for worker in workers if worker.speed >= profile.min_speed]
        racks = {}
        for worker in fast:
            rack = racks.setdefault(worker.rack, _Rack())
            rack.fitting_tasks += worker.capacity.copies_that_fit(profile.shape.need)
            rack.kept += worker.worker_id in self._kept
            rack.free_cores += worker.free_cores
        fast.sort(
            key=lambda worker: (
                racks[worker.rack].fitting_tasks < profile.shape.count,
                -racks[worker.rack].kept,
                -racks[worker.rack].free_cores,
                worker.rack,
                worker.worker_id not in self._kept,
                -worker.free_cores,
                worker.worker_id,
            )
        )
        kept = []
        for worker in fast:
            if target_cores < MIN_KEPT_WORKER_SHARE * worker.total_cores:
                break
            kept.append(worker.worker_id)
            target_cores -= worker.total_cores - usage.urgent_cores.get(
                worker.worker_id, 0.0
            )
        return frozenset(kept)

    def _used_cores(self, planning_input, usage):
        workers = planning_input.workers
        return sum(
            cores
            for worker_id, cores in usage.urgent_cores.items()
            if workers[worker_id].entry is not None
            and workers[worker_id].entry.service == self._service
        )

    def _freed_cores(self, planning_input, usage, until_ms):
        """Return the priced cores of other work that is expected to end by then."""
        freed_cores = 0.0
        for unit_run, job in usage.other_units.values():
            step = job.steps[unit_run.unit.step]
            if job.service != self._service:
                continue
            forecast = forecast_run(
                unit_run, step, planning_input.workers, planning_input.now_ms
            )
            if forecast.ends_by(until_ms, unit_run.started_ms, planning_input.now_ms):
                freed_cores += len(unit_run.workers_by_task) * priced_cores(step.need)
        return freed_cores


class _Rack:
    """The fast workers of a rack: tasks that fit when empty, kept ones, free cores."""

    def __init__(self):
        self.fitting_tasks = 0
        self.kept = 0
        self.free_cores = 0.0


def _measure_usage(planning_input):
    """Return the `_Usage` by what runs now and isn't being stopped."""
    urgent_cores, other_units = {}, {}
    for unit, unit_run in planning_input.runs.items():
        if unit_run.ending:
            continue
        job = planning_input.ledger.jobs[unit.job_id].job
        if job.priority != URGENT_PRIORITY:
            other_units[unit] = (unit_run, job)
            continue
        cores = priced_cores(job.steps[unit.step].need)
        for worker_id in unit_run.workers_by_task.values():
            urgent_cores[worker_id] = urgent_cores.get(worker_id, 0.0) + cores
    return _Usage(urgent_cores, other_units)


def create_headroom(policies):
    """Return the `Headroom` that `OverloadPolicies` ask for."""
    return UrgentHeadroom() if policies.headroom else NoHeadroom()
