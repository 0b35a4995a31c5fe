"""One planning step: who starts where, and who gives way."""

import math
from typing import NamedTuple

from knapweedshed.decisions.fleet import MemberPhase
from knapweedshed.decisions.packing import Site, copies_at, place
from knapweedshed.decisions.preemption import Holding, choose_victims
from knapweedshed.decisions.units import chain_left_ms, chain_ms, step_of
from knapweedshed.decisions.work_order import LATE_FACTOR, WaitingUnit, work_of
from knapweedshed.models.work import GANG, Resources
from knapweedshed.models.work_orders import Preempted

URGENT_PRIORITY = 0
MS_PER_SECOND = 1_000
RACK_MARK = "r"
LOSS_RATIO_IN_TIME = 4.0  # urgent work earns four times what its core-seconds cost
LOSS_RATIO_LATE = 0.8  # and a fifth of that once it is late: site files
SPEED_MARGIN = 1.25  # estimates are rough; also covers restores and stops
HIGHEST_SPEED = 4.0  # beyond any worker: work that is late takes the fastest


class UnitPlan(NamedTuple):
    """Units to start with the workers of their tasks, and `Preempted`s to stop."""

    starts: tuple
    preempted: tuple


class UnitPlanner:
    """Places waiting units in the order of a `WorkOrder`, urgent work by preemption."""

    def __init__(self, order):
        self._order = order

    def plan(
        self,
        waiting,
        ledger,
        workers,
        runs,
        configuration,
        speeds,
        avoided,
        now_ms,
        wall_ms,
    ):
        """Return a `UnitPlan`."""
        views = _waiting_views(waiting, ledger, runs, configuration, now_ms, wall_ms)
        views.sort(key=lambda view: self._order.key(view, now_ms))
        room = Room(workers, runs, speeds, avoided, now_ms)
        starts = []
        preempted = []
        full = set()
        hopeless = set()
        for view in views:
            likeness = (view.step, view.count, view.unit in avoided)
            placed = () if likeness in full else room.take_now(view)
            if placed:
                starts.append((view.unit, placed))
                continue
            full.add(likeness)
            if view.priority == URGENT_PRIORITY and not room.reserve(view):
                shape = (view.step, view.count, view.guaranteed)
                if shape in hopeless:
                    continue
                found = _make_room(view, room, ledger, runs, preempted, now_ms)
                if found is None:
                    hopeless.add(shape)
                    continue
                preempted.append(found)
                room.give_back(found.units)
                room.reserve(view)
        return UnitPlan(tuple(starts), tuple(preempted))


def _make_room(view, room, ledger, runs, preempted, now_ms):
    """Return whom to stop for `view`, or None where that is not to be had."""
    stopped = {unit for item in preempted for unit in item.units}
    chosen = choose_victims(
        view.step,
        view.count,
        room.sites_soon(view),
        _holdings(view, ledger, runs, stopped, now_ms),
        room.spreads(view),
        most_loss(view, now_ms),
    )
    if not chosen:
        return None
    lost = sum(holding.cost for holding in chosen)
    units = tuple(holding.unit for holding in chosen)
    return Preempted(units, view.unit, view.guaranteed, lost)


class Room:
    """Free capacity now, and once everything that is being stopped has ended."""

    def __init__(self, workers, runs, speeds, avoided, now_ms):
        self._avoided = avoided
        self._now_ms = now_ms
        self._runs = runs
        self._speeds = speeds
        self._listed = [
            belief
            for belief in workers.values()
            if belief.entry is not None and not belief.entry.draining
        ]
        self._workers = {
            worker_id: belief
            for worker_id, belief in workers.items()
            if belief.usable(now_ms)
        }
        self._now = {}
        self._soon = {}
        for worker_id, belief in self._workers.items():
            free = belief.free()
            self._now[worker_id] = free
            for member in belief.members.values():
                if member.phase == MemberPhase.STOPPING:
                    free = free.plus(member.need)
            self._soon[worker_id] = free
        self._residents = _residents(self._workers)
        self._spreads = {}

    def spreads(self, view):
        """Return whether a gang that wants one rack is wider than every rack.

        One rack is a wish that saves time: a gang that no rack could hold even when
        empty runs over several. Workers that are left out for a while count here.
        """
        step = view.step
        if not (step.gang and step.same_rack):
            return False
        key = (view.service, step)
        if key not in self._spreads:
            self._spreads[key] = not self._some_rack_holds(view)
        return self._spreads[key]

    def _some_rack_holds(self, view):
        copies = {}
        for belief in self._listed:
            if belief.entry.service != view.service:
                continue
            site = Site("", "", belief.entry.labels, belief.entry.capacity)
            rack = rack_of(belief.entry.labels)
            copies[rack] = copies.get(rack, 0) + copies_at(site, view.step)
        return any(count >= view.count for count in copies.values())

    def take_now(self, view):
        """Take places that are free now and not reserved; return worker ids or ()."""
        sites = self._sites(view, self._both)
        chosen = place(
            view.step, view.count, sites, self.spreads(view), view.wanted_speed
        )
        if chosen:
            self._subtract(view, chosen, now=True)
        return chosen

    def reserve(self, view):
        """Keep places that will be free soon; return them, or ()."""
        chosen = place(
            view.step,
            view.count,
            self.sites_soon(view),
            self.spreads(view),
            view.wanted_speed,
        )
        if chosen:
            self._subtract(view, chosen, now=False)
        return chosen

    def sites_soon(self, view):
        """Return the sites as they are once all stops have ended."""
        return self._sites(view, self._soon.get)

    def give_back(self, units):
        """Count what victims hold as free soon."""
        for unit in units:
            run = self._runs[unit]
            for task, worker_id in run.where.items():
                if worker_id not in self._workers:
                    continue
                member = self._workers[worker_id].members.get((task, run.run))
                if member is not None and member.phase != MemberPhase.STOPPING:
                    self._soon[worker_id] = self._soon[worker_id].plus(member.need)

    def _both(self, worker_id):
        now, soon = self._now[worker_id], self._soon[worker_id]
        return Resources(*(min(pair) for pair in zip(now, soon, strict=True)))

    def _sites(self, view, free_of):
        key = (view.unit.job_id, view.unit.occurrence, view.unit.step)
        avoided = self._avoided.get(view.unit, {})
        return [
            Site(
                worker_id,
                rack_of(belief.entry.labels),
                belief.entry.labels,
                free_of(worker_id),
                self._speeds.speed(worker_id),
                self._residents.get((worker_id, *key), 0),
            )
            for worker_id, belief in self._workers.items()
            if belief.entry.service == view.service
            and avoided.get(worker_id, 0) <= self._now_ms
        ]

    def _subtract(self, view, chosen, now):
        key = (view.unit.job_id, view.unit.occurrence, view.unit.step)
        for worker_id in chosen:
            self._soon[worker_id] = self._soon[worker_id].minus(view.step.need)
            if now:
                self._now[worker_id] = self._now[worker_id].minus(view.step.need)
            resident = self._residents.get((worker_id, *key), 0)
            self._residents[worker_id, *key] = resident + 1


def rack_of(labels):
    """Return the rack among a worker's labels, or ""."""
    for label in labels:
        if label.startswith(RACK_MARK) and "-" in label:
            return label
    return ""


def most_loss(view, now_ms):
    """Return the core-seconds that may be lost by stopping others for this unit.

    A guarantee is met at any cost; otherwise the loss must be worth the gain.
    """
    if view.guaranteed:
        return math.inf
    if now_ms + view.chain_ms <= view.due_ms:
        return LOSS_RATIO_IN_TIME * view.work
    if now_ms + view.chain_ms <= view.late_ms:
        return LOSS_RATIO_LATE * view.work
    return 0.0


def wanted_speed(chain_left_ms, time_left_ms):
    """Return the speed at which work ends in time, the highest where none does."""
    if time_left_ms <= chain_left_ms / HIGHEST_SPEED:
        return HIGHEST_SPEED
    return SPEED_MARGIN * chain_left_ms / time_left_ms


def _residents(workers):
    count = {}
    for worker_id, belief in workers.items():
        for member in belief.members.values():
            task = member.task
            key = (worker_id, task.job_id, task.occurrence, task.step)
            count[key] = count.get(key, 0) + 1
    return count


def _waiting_views(waiting, ledger, runs, configuration, now_ms, wall_ms):
    held = _urgent_holdings(ledger, runs)
    chains = {}
    views = []
    for unit in waiting:
        progress = ledger.jobs[unit.job_id]
        job = progress.job
        key = (unit.job_id, unit.occurrence)
        if key not in chains:
            chains[key] = chain_left_ms(progress, unit.occurrence)
        step = step_of(job, unit)
        count = step.count if unit.index == GANG else 1
        begun_ms = job.accepted_wall_ms
        if job.repeats:
            begun_ms = job.first_wall_ms + unit.occurrence * job.period_ms
        objective_ms = job.objective_factor * chain_ms(job) + job.objective_ms
        since_ms = now_ms - (wall_ms - begun_ms)
        need = count * step.need.accelerators
        guaranteed = job.priority == URGENT_PRIORITY and held.get(
            job.organisation, 0
        ) + need <= configuration.guaranteed(job.organisation)
        views.append(
            WaitingUnit(
                unit,
                step,
                count,
                job.priority,
                guaranteed,
                since_ms,
                since_ms + int(objective_ms),
                since_ms + int(LATE_FACTOR * objective_ms),
                chains[key],
                work_of(step, count),
                job.service,
                HIGHEST_SPEED
                if job.priority == URGENT_PRIORITY
                else wanted_speed(chains[key], since_ms + objective_ms - now_ms),
            )
        )
    return views


def _urgent_holdings(ledger, runs):
    held = {}
    for unit, run in runs.items():
        job = ledger.jobs[unit.job_id].job
        if job.priority == URGENT_PRIORITY and not run.over:
            need = job.steps[unit.step].need.accelerators * len(run.where)
            held[job.organisation] = held.get(job.organisation, 0) + need
    return held


def _holdings(view, ledger, runs, victims, now_ms):
    """Return the running units that may give way to `view`."""
    holdings = []
    for unit, run in runs.items():
        job = ledger.jobs[unit.job_id].job
        if run.over or not run.launched or unit in victims:
            continue
        if job.priority <= view.priority:
            continue
        step = job.steps[unit.step]
        places = tuple((worker_id, step.need) for worker_id in run.where.values())
        ran_ms = now_ms - run.started_ms
        if step.checkpoints:
            ran_ms = min(ran_ms, MS_PER_SECOND)
        lost = work_of(step._replace(estimate_ms=ran_ms), len(places))
        holdings.append(Holding(unit, places, lost))
    return holdings
