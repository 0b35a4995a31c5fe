"""One planning step: who starts where, and who gives way."""

import math
from typing import NamedTuple

from knapweedshed.decisions.preemption import Holding, choose_victims
from knapweedshed.decisions.room import RackWidths, Room
from knapweedshed.decisions.waiting import URGENT_PRIORITY, waiting_steps
from knapweedshed.decisions.work_order import work_of
from knapweedshed.models.work import GANG
from knapweedshed.models.work_orders import Preempted

MS_PER_SECOND = 1_000

LOSS_RATIO_IN_TIME = 0.5  # of its own work: what a place in time may cost
LOSS_RATIO_LATE = 0.1  # late work earns a fifth: site files
FAST_PATIENCE_MS = 800  # a stop takes 200; a guarantee is owed after 2,700: sheets


class UnitPlan(NamedTuple):
    """Units to start with the workers of their tasks, and `Preempted`s to stop."""

    starts: tuple
    preempted: tuple


class Situation(NamedTuple):
    """What a planning step looks at; nothing of it is changed.

    `waiting_since` has when each step was first seen to wait, by the steady clock.
    """

    waiting: list
    waiting_since: dict
    claims: dict
    ledger: object
    workers: dict
    runs: dict
    configuration: object
    speeds: object
    avoided: dict
    now_ms: int
    wall_ms: int


class UnitPlanner:
    """Places waiting units in the order of a `WorkOrder`, urgent work by preemption."""

    def __init__(self, order):
        self._order = order
        self._racks = RackWidths()

    def list_workers(self, entries):
        """Take the platform's list."""
        self._racks.list_workers(entries)

    def plan(self, situation):
        """Return a `UnitPlan`."""
        return _Step(situation, self._order, self._racks).plan()


class _Step:
    """One planning step under way."""

    def __init__(self, situation, order, racks):
        self._at = situation
        self._order = order
        self._racks = racks
        self._room = Room(
            situation.workers,
            situation.runs,
            situation.speeds,
            situation.avoided,
            situation.now_ms,
        )
        self._starts = []
        self._preempted = []
        self._stopped = set()
        self._full = set()
        self._hopeless = set()
        self._holdings = {}

    def plan(self):
        at = self._at
        found = waiting_steps(
            at.waiting, at.ledger, at.runs, at.configuration, at.now_ms, at.wall_ms
        )
        found.sort(key=self._key)
        for waiting in found:
            self._place_step(waiting)
        return UnitPlan(tuple(self._starts), tuple(self._preempted))

    def _key(self, waiting):
        """Return a sort key: guarantees, then work that others were stopped for.

        Otherwise the stopped would take their places again, as such work may have
        become late meanwhile.
        """
        claimed = any(unit in self._at.claims for unit in waiting.units)
        order = self._order.key(waiting, self._at.now_ms)
        return (not waiting.guaranteed, not claimed, order)

    def _place_step(self, waiting):
        """Place the units of a step; those that failed somewhere one by one."""
        plain = waiting.units
        if self._at.avoided:
            plain = tuple(unit for unit in plain if not self._is_avoiding(unit))
            for unit in waiting.units:
                if unit not in plain:
                    self._place_unit(waiting._replace(units=(unit,)), True)
        if waiting.priority == URGENT_PRIORITY or waiting.units[0].index == GANG:
            for unit in plain:
                self._place_unit(waiting._replace(units=(unit,)), False)
        elif plain:
            self._place_tasks(waiting._replace(units=plain))

    def _place_tasks(self, waiting):
        """Place as many single tasks of a step as there is room for."""
        units = waiting.units
        likeness = (waiting.step, waiting.count, False)
        if likeness in self._full:
            return
        chosen = self._room.take_some(waiting, len(units))
        self._starts.extend(
            (unit, (worker_id,)) for unit, worker_id in zip(units, chosen, strict=False)
        )
        if len(chosen) < len(units):
            self._full.add(likeness)

    def _place_unit(self, waiting, avoiding):
        likeness = (waiting.step, waiting.count, avoiding)
        spread = self._racks.spreads(waiting)
        if likeness not in self._full:
            if self._place_in_time(waiting, spread):
                return
            if self._start(waiting, self._room.take_now(waiting, spread)):
                return
        self._full.add(likeness)
        if waiting.priority == URGENT_PRIORITY:
            self._make_way(waiting, spread)

    def _start(self, waiting, placed):
        if placed:
            self._starts.append((waiting.units[0], placed))
        return bool(placed)

    def _place_in_time(self, waiting, spread):
        """Place urgent work where it ends in time, or wait a moment for such a place.

        A slow worker that is free would end it late, which earns a fifth.
        """
        now_ms = self._at.now_ms
        if waiting.priority != URGENT_PRIORITY or now_ms >= waiting.due_ms:
            return False
        needed = waiting.chain_ms / (waiting.due_ms - now_ms)
        if self._start(waiting, self._room.take_now(waiting, spread, needed)):
            return True
        seen_ms = self._at.waiting_since.get(waiting.units[0][:3], now_ms)
        if now_ms - min(seen_ms, waiting.since_ms) > FAST_PATIENCE_MS:
            return False
        if self._room.reserve(waiting, spread, needed):
            return True
        sites = self._room.sites_soon(waiting, needed, all_workers=True)
        chosen = self._victims(
            waiting, sites, spread, LOSS_RATIO_IN_TIME * waiting.work
        )
        if not chosen:
            return False
        self._preempt(waiting, chosen)
        self._room.reserve(waiting, spread, needed)
        return True

    def _make_way(self, waiting, spread):
        """Wait for what is being stopped; stop more for urgent work that needs it."""
        if self._room.reserve(waiting, spread):
            return
        shape = (waiting.step, waiting.count, waiting.guaranteed)
        if shape in self._hopeless:
            return
        sites = self._room.sites_soon(waiting, all_workers=True)
        most = most_loss(waiting, self._at.now_ms)
        chosen = self._victims(waiting, sites, spread, most)
        if not chosen:
            self._hopeless.add(shape)
            return
        self._preempt(waiting, chosen)
        self._room.reserve(waiting, spread)

    def _victims(self, waiting, sites, spread, most_cost):
        return choose_victims(
            waiting.step,
            waiting.count,
            sites,
            self._holdings_below(waiting.priority),
            spread,
            most_cost,
        )

    def _preempt(self, waiting, chosen):
        units = tuple(holding.unit for holding in chosen)
        lost = sum(holding.cost for holding in chosen)
        self._preempted.append(
            Preempted(units, waiting.units[0], waiting.guaranteed, lost)
        )
        self._stopped.update(units)
        self._room.give_back(units)

    def _is_avoiding(self, unit):
        until = self._at.avoided.get(unit)
        return bool(until) and max(until.values()) > self._at.now_ms

    def _holdings_below(self, priority):
        """Return the running units that may give way to work of `priority`."""
        if priority not in self._holdings:
            at = self._at
            self._holdings[priority] = _holdings(
                priority, at.ledger, at.runs, at.now_ms
            )
        return [
            holding
            for holding in self._holdings[priority]
            if holding.unit not in self._stopped
        ]


def most_loss(waiting, now_ms):
    """Return the core-seconds that may be lost by stopping others for this unit.

    A guarantee is met at any cost; otherwise the loss must be worth the gain.
    """
    if waiting.guaranteed:
        return math.inf
    if now_ms + waiting.chain_ms <= waiting.due_ms:
        return LOSS_RATIO_IN_TIME * waiting.work
    if now_ms + waiting.chain_ms <= waiting.late_ms:
        return LOSS_RATIO_LATE * waiting.work
    return 0.0


def _holdings(priority, ledger, runs, now_ms):
    holdings = []
    for unit, run in runs.items():
        job = ledger.jobs[unit.job_id].job
        if run.ending or not run.launched or job.priority <= priority:
            continue
        step = job.steps[unit.step]
        places = tuple(
            (worker_id, step.need) for worker_id in run.workers_by_task.values()
        )
        ran_ms = now_ms - run.started_ms
        if step.checkpoints:
            ran_ms = min(ran_ms, MS_PER_SECOND)
        lost = work_of(step._replace(estimate_ms=ran_ms), len(places))
        holdings.append(Holding(unit, places, lost))
    return holdings
