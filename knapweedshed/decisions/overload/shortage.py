"""Detects a shortage: more waiting work than its service can finish in time."""

import math
from bisect import bisect_right
from itertools import accumulate
from typing import NamedTuple

from knapweedshed.decisions.work_order import MILLI_PER_UNIT
from knapweedshed.models.work import Resources

MS_PER_SECOND = 1_000
# Gangs and mixed needs leave some of the room unused even when work waits.
USABLE_SHARE = 0.85


class RunningWork(NamedTuple):
    """What a run occupies, and for how long it still will by its estimate.

    `remaining_ms` is infinite for long-running work.
    """

    service: str
    need: Resources
    remaining_ms: float


class Shortage(NamedTuple):
    """More work is due within `within_ms` than there is room for until then.

    `needed_s` and `room_s` are core-seconds or accelerator-seconds.
    """

    resource: str
    needed_s: float
    room_s: float
    within_ms: int


def service_capacities(workers, now_ms):
    """Return {service: `Resources`} of the workers that accept work."""
    capacities = {}
    for worker in workers.values():
        if worker.accepts_work(now_ms):
            service = worker.entry.service
            total = capacities.get(service, Resources())
            capacities[service] = total.plus(worker.entry.capacity)
    return capacities


def running_work(ledger, runs, now_ms):
    """Return a `RunningWork` for each run of a unit; long-running work never ends."""
    running = []
    for unit, unit_run in runs.items():
        job = ledger.jobs[unit.job_id].job
        step = job.steps[unit.step]
        remaining_ms = max(0, step.estimate_ms - (now_ms - unit_run.started_ms))
        if step.lasting:
            remaining_ms = math.inf
        need = step.need.times(len(unit_run.workers_by_task))
        running.append(RunningWork(job.service, need, remaining_ms))
    return running


def find_shortages(waiting_steps, running, capacities, now_ms):
    """Return {service: `Shortage`} of those that can't finish their work in time.

    Work that can still end on time is due by its objective. Other work is due as soon
    as it can end; if that is after three times its objective, it isn't counted. A
    service is short if, up to any of these times, its cores or its accelerators have
    less room than the work that is due by then needs.
    """
    waiting_by_service = {}
    for waiting in waiting_steps:
        waiting_by_service.setdefault(waiting.service, []).append(waiting)
    running_by_service = {}
    for item in running:
        running_by_service.setdefault(item.service, []).append(item)
    shortages = {}
    for service, steps in waiting_by_service.items():
        shortage = _find_shortage(
            steps,
            running_by_service.get(service, ()),
            capacities.get(service, Resources()),
            now_ms,
        )
        if shortage is not None:
            shortages[service] = shortage
    return shortages


def _find_shortage(waiting_steps, running, capacity, now_ms):
    due = sorted(
        (due_ms, waiting.units[0], waiting)
        for waiting in waiting_steps
        if (due_ms := _due_ms(waiting, now_ms)) is not None
    )
    for resource, amount_of in _AMOUNTS.items():
        occupied = _Occupied(running, amount_of)
        usable = USABLE_SHARE * amount_of(capacity)
        needed = 0.0
        for due_ms, _, waiting in due:
            count = waiting.count * len(waiting.units)
            added = amount_of(waiting.step.need) * count * waiting.step.estimate_ms
            needed += added
            left_ms = due_ms - now_ms
            room = usable * left_ms - occupied.until(left_ms)
            if added and needed > room:
                return Shortage(
                    resource, needed / MS_PER_SECOND, room / MS_PER_SECOND, left_ms
                )
    return None


class _Occupied:
    """How much of the room the runs occupy up to a time from now."""

    def __init__(self, running, amount_of):
        items = sorted((item.remaining_ms, amount_of(item.need)) for item in running)
        self._ends_ms = [remaining_ms for remaining_ms, _ in items]
        self._ended = [
            0.0,
            *accumulate(amount * remaining_ms for remaining_ms, amount in items),
        ]
        self._amounts = [0.0, *accumulate(amount for _, amount in items)]

    def until(self, left_ms):
        """Return the room, times milliseconds, that is occupied up to `left_ms`."""
        index = bisect_right(self._ends_ms, left_ms)
        still_running = self._amounts[-1] - self._amounts[index]
        return self._ended[index] + still_running * left_ms


def _due_ms(waiting, now_ms):
    """Return by when a step should end; None if it is too late, or has no end."""
    if waiting.step.lasting:
        return None
    end_ms = now_ms + waiting.critical_path_ms
    if end_ms > waiting.late_limit_ms:
        return None
    return max(end_ms, waiting.due_ms)


_AMOUNTS = {
    "cores": lambda resources: resources.cpu_milli / MILLI_PER_UNIT,
    "accelerators": lambda resources: resources.accelerators,
}
