"""Free capacity of the workers, as one planning step uses it up."""

from typing import NamedTuple

from knapweedshed.decisions.packing import Site, copies_at, place, place_some
from knapweedshed.decisions.tracked_workers import RunPhase
from knapweedshed.models.work import Resources

RACK_MARK = "r"


class Spot(NamedTuple):
    """What of a worker doesn't change within one planning step."""

    worker_id: str
    service: str
    rack: str
    labels: tuple[str, ...]
    speed: float


class Room:
    """Free capacity now, and once everything that is being stopped has ended."""

    def __init__(self, workers, runs, speeds, avoided, now_ms):
        self._avoided = avoided
        self._now_ms = now_ms
        self._runs = runs
        self._workers = {
            worker_id: belief
            for worker_id, belief in workers.items()
            if belief.accepts_work(now_ms)
        }
        self._spots = []
        self._now = {}
        self._soon = {}
        for worker_id, belief in self._workers.items():
            entry = belief.entry
            rack = rack_of(entry.labels)
            speed = speeds.speed(worker_id)
            self._spots.append(
                Spot(worker_id, entry.service, rack, entry.labels, speed)
            )
            self._now[worker_id] = belief.free_capacity()
            self._soon[worker_id] = self._now[worker_id].plus(
                belief.stopping_capacity()
            )
        self._resident = None

    def take_now(self, waiting, spread, least_speed=0.0):
        """Place all tasks of a unit on what is free and not reserved; or return ()."""
        sites = self._sites(waiting, self._now, self._soon, least_speed)
        chosen = place(waiting.step, waiting.count, sites, spread, waiting.wanted_speed)
        self._subtract(waiting, chosen, now=True)
        return chosen

    def take_some(self, waiting, most):
        """Place up to `most` single tasks of a step; return their worker ids."""
        sites = self._sites(waiting, self._now, self._soon)
        chosen = place_some(waiting.step, most, sites, waiting.wanted_speed)
        self._subtract(waiting, chosen, now=True)
        return chosen

    def reserve(self, waiting, spread, least_speed=0.0):
        """Keep places that will be free soon; return them, or ()."""
        sites = self.sites_soon(waiting, least_speed)
        chosen = place(waiting.step, waiting.count, sites, spread, waiting.wanted_speed)
        self._subtract(waiting, chosen, now=False)
        return chosen

    def sites_soon(self, waiting, least_speed=0.0, all_workers=False):
        """Return the sites as they are once all stops have ended.

        Those that can't take a task are left out, unless `all_workers` are asked for.
        """
        return self._sites(waiting, self._soon, self._soon, least_speed, all_workers)

    def give_back(self, units):
        """Count what victims hold as free soon."""
        for unit in units:
            run = self._runs[unit]
            for task, worker_id in run.workers_by_task.items():
                if worker_id not in self._workers:
                    continue
                member = self._workers[worker_id].assigned_runs.get((task, run.run))
                if member is not None and member.phase != RunPhase.STOPPING:
                    self._soon[worker_id] = self._soon[worker_id].plus(member.need)

    def _sites(self, waiting, some, others, least_speed=0.0, all_workers=False):
        """Return sites whose free capacity is the least of two views of it."""
        need = waiting.step.need
        avoided = self._avoided.get(waiting.units[0], {})
        resident = self._residents_of(waiting)
        sites = []
        for spot in self._spots:
            if spot.service != waiting.service or spot.speed < least_speed:
                continue
            one, other = some[spot.worker_id], others[spot.worker_id]
            if not all_workers and not (one.holds(need) and other.holds(need)):
                continue
            if avoided and avoided.get(spot.worker_id, 0) > self._now_ms:
                continue
            free = one if one is other else least(one, other)
            there = resident.get(spot.worker_id, 0)
            sites.append(
                Site(spot.worker_id, spot.rack, spot.labels, free, spot.speed, there)
            )
        return sites

    def _subtract(self, waiting, chosen, now):
        resident = self._residents_of(waiting)
        need = waiting.step.need
        for worker_id in chosen:
            self._soon[worker_id] = self._soon[worker_id].minus(need)
            if now:
                self._now[worker_id] = self._now[worker_id].minus(need)
            if waiting.step.most_per_worker:
                resident[worker_id] = resident.get(worker_id, 0) + 1

    def _residents_of(self, waiting):
        """Return how many tasks of a step are at each worker, where that matters."""
        if not waiting.step.most_per_worker:
            return {}
        if self._resident is None:
            self._resident = _residents(self._workers)
        return self._resident.setdefault(waiting.units[0][:3], {})


class RackWidths:
    """Which gangs that want one rack are wider than every rack, even an empty one.

    One rack is a wish that saves time: such a gang runs over several. Workers that are
    left out for a while count; what is known is kept until the list changes.
    """

    def __init__(self):
        self._listed = ()
        self._wider = {}

    def list_workers(self, entries):
        """Take the platform's list."""
        listed = sorted(
            (entry.service, entry.labels, entry.capacity)
            for entry in entries
            if not entry.draining
        )
        if listed != self._listed:
            self._listed = listed
            self._wider = {}

    def spreads(self, waiting):
        """Return whether a unit must run over several racks."""
        step = waiting.step
        if not (step.gang and step.same_rack):
            return False
        key = (waiting.service, step.need, step.label, step.most_per_worker)
        if key not in self._wider:
            self._wider[key] = self._widest(waiting)
        return waiting.count > self._wider[key]

    def _widest(self, waiting):
        copies = {}
        for service, labels, capacity in self._listed:
            if service == waiting.service:
                rack = rack_of(labels)
                there = copies_at(Site("", rack, labels, capacity), waiting.step)
                copies[rack] = copies.get(rack, 0) + there
        return max(copies.values(), default=0)


def rack_of(labels):
    """Return the rack among a worker's labels, or ""."""
    for label in labels:
        if label.startswith(RACK_MARK) and "-" in label:
            return label
    return ""


def least(one, other):
    """Return the least of two resources, entry by entry."""
    return Resources(
        min(one.cpu_milli, other.cpu_milli),
        min(one.memory_mb, other.memory_mb),
        min(one.accelerators, other.accelerators),
    )


def _residents(workers):
    """Return {(job id, occurrence, step): {worker id: count}}."""
    found = {}
    for worker_id, belief in workers.items():
        for member in belief.assigned_runs.values():
            there = found.setdefault(member.task[:3], {})
            there[worker_id] = there.get(worker_id, 0) + 1
    return found
