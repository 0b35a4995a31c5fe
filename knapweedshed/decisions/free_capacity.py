"""Free capacity of the workers, as one planning pass allocates it."""

import math
from bisect import bisect_left
from collections import Counter
from typing import NamedTuple

from knapweedshed.decisions.cold_workers import ranked_speed
from knapweedshed.decisions.failed_searches import FailedSearches, SearchKey
from knapweedshed.decisions.packing import (
    WorkerCapacity,
    count_fitting_tasks,
    place,
    place_up_to,
)
from knapweedshed.decisions.tracked_workers import RunPhase
from knapweedshed.decisions.work_order import CORES_PER_ACCELERATOR, MILLI_PER_UNIT
from knapweedshed.models.work import Resources

RACK_LABEL_PREFIX = "r"  # a rack label is like r1-2


class WorkerTraits(NamedTuple):
    """Properties of a worker that are fixed during one planning pass."""

    worker_id: str
    service: str
    rack: str
    labels: tuple[str, ...]
    speed: float


class WorkerRoom(NamedTuple):
    """A worker's capacity and what is free of it once all stops have ended.

    Cores are priced, with accelerators.
    """

    worker_id: str
    rack: str
    speed: float
    capacity: Resources
    total_cores: float
    free_cores: float


class FreeCapacity:
    """Capacity that is free now, and once all stops under way have ended."""

    def __init__(
        self, workers, runs, speeds, avoided_workers, now_ms, closed_data_centres=()
    ):
        self._avoided_workers = avoided_workers
        self._now_ms = now_ms
        self._runs = runs
        self._workers = {
            worker_id: worker
            for worker_id, worker in workers.items()
            if worker.accepts_work(now_ms)
            and worker.entry.data_centre not in closed_data_centres
        }
        self._traits = []
        self._free_now = {}
        self._free_after_stops = {}
        for worker_id, worker in self._workers.items():
            entry = worker.entry
            rack = rack_of(entry.labels)
            speed = ranked_speed(entry, speeds.speed(worker_id), now_ms)
            self._traits.append(
                WorkerTraits(worker_id, entry.service, rack, entry.labels, speed)
            )
            self._free_now[worker_id] = worker.free_capacity()
            self._free_after_stops[worker_id] = self._free_now[worker_id].plus(
                worker.stopping_capacity()
            )
        self._speeds = sorted({traits.speed for traits in self._traits})
        self._resident_tasks = None
        self._no_room_now = FailedSearches()
        self._no_room_after_stops = FailedSearches()
        self._version = 0
        self._kept_rooms = {}

    @property
    def version(self):
        """Return a number that rises with each change of the capacity."""
        return self._version

    def keep_rooms(self, kept_rooms):
        """Keep workers free of work that a `KeptRoom` excludes; the keys are services.

        Must be called before anything is placed.
        """
        self._kept_rooms = {
            service: kept for service, kept in kept_rooms.items() if kept.worker_ids
        }

    def workers_of(self, service):
        """Return the `WorkerRoom`s of a service."""
        return [
            WorkerRoom(
                traits.worker_id,
                traits.rack,
                traits.speed,
                self._workers[traits.worker_id].entry.capacity,
                priced_cores(self._workers[traits.worker_id].entry.capacity),
                priced_cores(self._free_after_stops[traits.worker_id]),
            )
            for traits in self._traits
            if traits.service == service
        ]

    def search_key(self, waiting, multi_rack, min_speed=0.0):
        """Return the `SearchKey` of a unit; units of equal keys find the same room."""
        step = waiting.step
        avoided = self._avoided_workers.get(waiting.units[0])
        if avoided:
            avoided = frozenset(
                worker_id
                for worker_id, until_ms in avoided.items()
                if until_ms > self._now_ms
            )
        return SearchKey(
            waiting.service,
            step,
            waiting.count,
            multi_rack,
            self._lowest_speed_from(min_speed),
            avoided or frozenset(),
            tuple(waiting.units[0][:3]) if step.most_per_worker else (),
            bool(self._excluded_workers(waiting)),
        )

    def allocate(self, waiting, multi_rack, min_speed=0.0):
        """Place all tasks of a unit on capacity that is free and not reserved.

        Returns the worker ids, or () if the tasks don't all fit.
        """
        key = self.search_key(waiting, multi_rack, min_speed)
        workers = self._workers_with_room(
            waiting, key, self._free_now, self._no_room_now
        )
        chosen = place(
            waiting.step, waiting.count, workers, multi_rack, waiting.target_speed
        )
        if not chosen:
            self._no_room_now.add(key)
        self._subtract(waiting, chosen, from_free_now=True)
        return chosen

    def allocate_up_to(self, waiting, max_count):
        """Place up to `max_count` single tasks of a step; return their worker ids."""
        key = self.search_key(waiting, False)
        workers = self._workers_with_room(
            waiting, key, self._free_now, self._no_room_now
        )
        chosen = place_up_to(waiting.step, max_count, workers, waiting.target_speed)
        if len(chosen) < max_count:
            self._no_room_now.add(key)
        self._subtract(waiting, chosen, from_free_now=True)
        return chosen

    def reserve(self, waiting, multi_rack, min_speed=0.0):
        """Reserve capacity that stops will free; return the worker ids, or ()."""
        key = self.search_key(waiting, multi_rack, min_speed)
        workers = self._workers_with_room(
            waiting, key, self._free_after_stops, self._no_room_after_stops
        )
        chosen = place(
            waiting.step, waiting.count, workers, multi_rack, waiting.target_speed
        )
        if not chosen:
            self._no_room_after_stops.add(key)
        self._subtract(waiting, chosen, from_free_now=False)
        return chosen

    def allocate_at(self, waiting, worker_ids):
        """Place the tasks of a unit at these workers; return whether they all fit."""
        if not self._fits_at(waiting, worker_ids, self._free_now):
            return False
        if not self._fits_at(waiting, worker_ids, self._free_after_stops):
            return False
        self._subtract(waiting, worker_ids, from_free_now=True)
        return True

    def reserve_at(self, waiting, worker_ids):
        """Reserve capacity that stops will free at these workers; return whether."""
        if not self._fits_at(waiting, worker_ids, self._free_after_stops):
            return False
        self._subtract(waiting, worker_ids, from_free_now=False)
        return True

    def workers_after_stops(self, waiting, min_speed=0.0):
        """Return all `WorkerCapacity`s as they will be once all stops have ended."""
        return self._worker_capacities(
            waiting, self._free_after_stops, min_speed, all_workers=True
        )

    def used_share(self, service):
        """Return the share of a service's capacity that is used or reserved.

        Accelerators and cores are added up by their price. Returns 1.0 without workers.
        """
        used = total = 0
        for traits in self._traits:
            if traits.service != service:
                continue
            capacity = priced_cores(self._workers[traits.worker_id].entry.capacity)
            free = min(
                priced_cores(self._free_now[traits.worker_id]),
                priced_cores(self._free_after_stops[traits.worker_id]),
            )
            total += capacity
            used += capacity - free
        return used / total if total else 1.0

    def release_preempted(self, units):
        """Count the resources of preempted units as free after their stops."""
        self._version += 1
        self._no_room_now.clear()
        self._no_room_after_stops.clear()
        for unit in units:
            unit_run = self._runs[unit]
            for task, worker_id in unit_run.workers_by_task.items():
                if worker_id not in self._workers:
                    continue
                assigned_run = self._workers[worker_id].assigned_runs.get(
                    (task, unit_run.run)
                )
                if assigned_run is not None and assigned_run.phase != RunPhase.STOPPING:
                    self._free_after_stops[worker_id] = self._free_after_stops[
                        worker_id
                    ].plus(assigned_run.need)

    def _fits_at(self, waiting, worker_ids, free_by_worker):
        """Return whether one task fits for each occurrence of a worker id."""
        step = waiting.step
        avoided = self._avoided_workers.get(waiting.units[0], {})
        resident_tasks = self._resident_tasks_of(waiting)
        for worker_id, count in Counter(worker_ids).items():
            free = free_by_worker.get(worker_id)
            if free is None or avoided.get(worker_id, 0) > self._now_ms:
                return False
            if free.copies_that_fit(step.need) < count:
                return False
            resident = resident_tasks.get(worker_id, 0)
            if step.most_per_worker and resident + count > step.most_per_worker:
                return False
        return True

    def _excluded_workers(self, waiting):
        """Return the ids of the workers kept for others than this unit."""
        kept = self._kept_rooms.get(waiting.service)
        return kept.worker_ids if kept and kept.excludes(waiting) else ()

    def _lowest_speed_from(self, min_speed):
        """Return the lowest speed of a worker that reaches `min_speed`.

        Returns 0.0 if all workers reach it, and infinity if none does.
        """
        index = bisect_left(self._speeds, min_speed)
        if not index:
            return 0.0
        return self._speeds[index] if index < len(self._speeds) else math.inf

    def _workers_with_room(self, waiting, key, free_by_worker, failed_searches):
        """Return the `WorkerCapacity`s with room for a task.

        Returns () if a search has failed already that was no more demanding.
        """
        any_task = (waiting.service, waiting.step.need, key.excludes_kept)
        if failed_searches.has(any_task) or failed_searches.has(key):
            return ()
        if key.min_speed and failed_searches.has(key._replace(min_speed=0.0)):
            return ()
        workers = self._worker_capacities(waiting, free_by_worker, key.min_speed)
        if not (workers or key.min_speed or key.avoided):
            failed_searches.add(any_task)
        return workers

    def _worker_capacities(self, waiting, free_by_worker, min_speed, all_workers=False):
        """Return `WorkerCapacity`s, limited by what is free and not reserved.

        Workers without room for a task are left out unless `all_workers` is set.
        """
        limits = self._free_after_stops
        need = waiting.step.need
        avoided = self._avoided_workers.get(waiting.units[0], {})
        resident_tasks = self._resident_tasks_of(waiting)
        excluded = self._excluded_workers(waiting)
        workers = []
        for traits in self._traits:
            if traits.service != waiting.service or traits.speed < min_speed:
                continue
            free, limit = free_by_worker[traits.worker_id], limits[traits.worker_id]
            if not all_workers and not (free.can_fit(need) and limit.can_fit(need)):
                continue
            if avoided and avoided.get(traits.worker_id, 0) > self._now_ms:
                continue
            if traits.worker_id in excluded:
                continue
            usable = free if free is limit else elementwise_min(free, limit)
            resident = resident_tasks.get(traits.worker_id, 0)
            workers.append(
                WorkerCapacity(
                    traits.worker_id,
                    traits.rack,
                    traits.labels,
                    usable,
                    traits.speed,
                    resident,
                )
            )
        return workers

    def _subtract(self, waiting, chosen, from_free_now):
        """Subtract one task per chosen worker from the capacity free after stops.

        With `from_free_now` also from the capacity that is free now.
        """
        if not chosen:
            return
        self._version += 1
        resident_tasks = self._resident_tasks_of(waiting)
        need = waiting.step.need
        for worker_id in chosen:
            self._free_after_stops[worker_id] = self._free_after_stops[worker_id].minus(
                need
            )
            if from_free_now:
                self._free_now[worker_id] = self._free_now[worker_id].minus(need)
            if waiting.step.most_per_worker:
                resident_tasks[worker_id] = resident_tasks.get(worker_id, 0) + 1

    def _resident_tasks_of(self, waiting):
        """Return {worker id: tasks of the step}, or {} if the step sets no limit."""
        if not waiting.step.most_per_worker:
            return {}
        if self._resident_tasks is None:
            self._resident_tasks = _count_resident_tasks(self._workers)
        return self._resident_tasks.setdefault(waiting.units[0][:3], {})


class RackCapacities:
    """Tells which gangs with `same_rack` exceed every rack, even an empty one.

    Such a gang runs over several racks, as `same_rack` only saves time. Workers that
    are temporarily excluded count; results are cached until the worker list changes.
    """

    def __init__(self):
        self._workers = ()
        self._max_tasks_per_rack = {}

    def update_workers(self, entries):
        """Take the platform's whole list of workers; draining ones don't count."""
        workers = sorted(
            (entry.service, entry.labels, entry.capacity)
            for entry in entries
            if not entry.draining
        )
        if workers != self._workers:
            self._workers = workers
            self._max_tasks_per_rack = {}

    def needs_multiple_racks(self, waiting):
        """Return whether a unit must run over several racks."""
        step = waiting.step
        if not (step.gang and step.same_rack):
            return False
        key = (waiting.service, step.need, step.label, step.most_per_worker)
        if key not in self._max_tasks_per_rack:
            self._max_tasks_per_rack[key] = self._compute_max_tasks(waiting)
        return waiting.count > self._max_tasks_per_rack[key]

    def _compute_max_tasks(self, waiting):
        """Return how many tasks of the step fit in the largest rack when empty."""
        tasks_by_rack = {}
        for service, labels, capacity in self._workers:
            if service == waiting.service:
                rack = rack_of(labels)
                fitting = count_fitting_tasks(
                    WorkerCapacity("", rack, labels, capacity), waiting.step
                )
                tasks_by_rack[rack] = tasks_by_rack.get(rack, 0) + fitting
        return max(tasks_by_rack.values(), default=0)


def rack_of(labels):
    """Return the rack among a worker's labels, or ""."""
    for label in labels:
        if label.startswith(RACK_LABEL_PREFIX) and "-" in label:
            return label
    return ""


def priced_cores(resources):
    """Return the price of `resources` in cores."""
    cores = resources.cpu_milli / MILLI_PER_UNIT
    return cores + resources.accelerators * CORES_PER_ACCELERATOR


def elementwise_min(first, second):
    """Return the minimum of two `Resources`, field by field."""
    return Resources(
        min(first.cpu_milli, second.cpu_milli),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )


def _count_resident_tasks(workers):
    """Return {(job id, occurrence, step): {worker id: count}}."""
    counts = {}
    for worker_id, worker in workers.items():
        for assigned_run in worker.assigned_runs.values():
            by_worker = counts.setdefault(assigned_run.task[:3], {})
            by_worker[worker_id] = by_worker.get(worker_id, 0) + 1
    return counts
