"""One planning pass: which units start on which workers, and which are preempted."""

import math
from typing import NamedTuple

from knapweedshed.decisions.failed_searches import FailedSearches
from knapweedshed.decisions.free_capacity import FreeCapacity, RackCapacities
from knapweedshed.decisions.overload.headroom import create_headroom
from knapweedshed.decisions.overload.stop_costs import create_stop_rules
from knapweedshed.decisions.preemption import choose_victims
from knapweedshed.decisions.unit_runs import DEFAULT_TIME_LIMITS
from knapweedshed.decisions.waiting import (
    URGENT_PRIORITY,
    collect_waiting_steps,
    find_borrowing_units,
)
from knapweedshed.models.dispatch_actions import Preempted
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES
from knapweedshed.models.work import GANG_INDEX

# Preemption may lose this share of the work of the unit that it lets start.
MAX_LOSS_RATIO_ON_TIME = 0.5
MAX_LOSS_RATIO_LATE = 0.1  # late work earns a fifth of the credit of work on time
# How long an urgent unit waits for fast workers: a stop takes 200 ms, and a guarantee
# must be met after 2,700 ms.
FAST_WORKER_WAIT_MS = 800
# How long a guaranteed unit leaves the places that others have claimed to them.
GUARANTEE_PATIENCE_MS = 1_000
# How long a guaranteed unit waits for room that other urgent work lends, before it is
# taken back: most of that work ends meanwhile, and a stop takes up to 900 ms.
BORROWED_ROOM_WAIT_MS = 800
# How long a gang waits for a rack of its own while much of the service is idle. On
# several racks it takes about three times as long.
RACK_WAIT_MS = 1_500
MAX_USED_SHARE_FOR_SEVERAL_RACKS = 0.6


class UnitPlan(NamedTuple):
    """Result of a planning pass.

    `starts` has (unit, worker ids of its tasks); `preempted` has `Preempted` entries;
    `events` has what else is to be logged.
    """

    starts: tuple
    preempted: tuple
    events: tuple = ()


class UnitPlanningInput(NamedTuple):
    """State that a planning pass reads and doesn't change.

    `waiting_since_ms` has when each (job id, occurrence, step) was first seen waiting.
    `preemption_claims` has the places that others were preempted for.
    `avoided_workers` has, for each unit, the workers that it avoids and until when.
    `runs` has the `UnitRun`s by unit. Nothing is placed in `closed_data_centres`, which
    are silent or evacuated. Times are in milliseconds; `wall_ms` is on the wall clock,
    the others are on the monotonic clock.
    """

    waiting_units: list
    waiting_since_ms: dict
    preemption_claims: object
    ledger: object
    workers: dict
    runs: dict
    configuration: object
    speeds: object
    avoided_workers: dict
    now_ms: int
    wall_ms: int
    closed_data_centres: frozenset = frozenset()


class UnitPlanner:
    """Places waiting units in the order of a policy; preempts for urgent work."""

    def __init__(
        self, ordering_policy, limits=DEFAULT_TIME_LIMITS, policies=NO_OVERLOAD_POLICIES
    ):
        self._ordering_policy = ordering_policy
        self._stop_rules = create_stop_rules(policies, limits)
        self._headroom = create_headroom(policies)
        self._rack_capacities = RackCapacities()

    def update_workers(self, entries):
        """Take the platform's whole list of workers."""
        self._rack_capacities.update_workers(entries)

    def plan(self, planning_input):
        """Return a `UnitPlan` for a `UnitPlanningInput`."""
        self._stop_rules.forget_ended_jobs(planning_input.ledger.open_jobs)
        return _PlanningPass(
            planning_input,
            self._ordering_policy,
            self._rack_capacities,
            self._stop_rules,
            self._headroom,
        ).plan()


class _PlanningPass:
    """State of one planning pass."""

    def __init__(
        self, planning_input, ordering_policy, rack_capacities, stop_rules, headroom
    ):
        self._planning_input = planning_input
        self._ordering_policy = ordering_policy
        self._rack_capacities = rack_capacities
        self._stop_rules = stop_rules
        self._headroom = headroom
        self._capacity = FreeCapacity(
            planning_input.workers,
            planning_input.runs,
            planning_input.speeds,
            planning_input.avoided_workers,
            planning_input.now_ms,
            planning_input.closed_data_centres,
        )
        self._starts = []
        self._preempted = []
        self._preempted_units = set()
        self._failed_units = FailedSearches()
        self._no_victims = FailedSearches()
        self._candidates_by_priority = {}
        self._borrowers = None
        self._counted_ends = False

    def plan(self):
        planning_input = self._planning_input
        waiting_steps = collect_waiting_steps(
            planning_input.waiting_units,
            planning_input.ledger,
            planning_input.runs,
            planning_input.configuration,
            planning_input.now_ms,
            planning_input.wall_ms,
        )
        kept_rooms, events = self._headroom.update(
            planning_input, waiting_steps, self._capacity
        )
        self._capacity.keep_rooms(kept_rooms)
        self._ordering_policy.start_pass(waiting_steps, planning_input)
        waiting_steps.sort(key=self._sort_key)
        for waiting in waiting_steps:
            if not (self._counted_ends or self._is_overdue(waiting)):
                self._count_expected_ends()
            self._place_step(waiting)
        return UnitPlan(tuple(self._starts), tuple(self._preempted), events)

    def _sort_key(self, waiting):
        """Return a sort key: units that others were preempted for, then guaranteed.

        Otherwise the preempted units would take the freed capacity again, as the unit
        that they were stopped for may have become late in the meantime. Guaranteed
        units that have waited for long go first of all.
        """
        planning_input = self._planning_input
        overdue = self._is_overdue(waiting)
        claimed = any(
            unit in planning_input.preemption_claims for unit in waiting.units
        )
        policy_key = self._ordering_policy.key(waiting, planning_input.now_ms)
        return (not overdue, not claimed, not waiting.guaranteed, policy_key)

    def _is_overdue(self, waiting):
        """Return whether a guaranteed unit has waited for long."""
        waited_ms = self._planning_input.now_ms - waiting.arrival_ms
        return waiting.guaranteed and waited_ms > GUARANTEE_PATIENCE_MS

    def _count_expected_ends(self):
        """Count what is about to end by itself as if it was being stopped.

        Not for overdue guaranteed units, which precede all others: a guarantee doesn't
        depend on a prediction.
        """
        self._counted_ends = True
        planning_input = self._planning_input
        ending = set(
            self._stop_rules.units_about_to_end(
                planning_input.runs,
                planning_input.ledger,
                planning_input.workers,
                planning_input.now_ms,
            )
        )
        ending -= self._preempted_units
        if ending:
            self._preempted_units |= ending
            self._capacity.release_preempted(ending)

    def _place_step(self, waiting):
        """Place the units of a step; those that avoid workers one at a time."""
        unrestricted = waiting.units
        if self._planning_input.avoided_workers:
            unrestricted = []
            for unit in waiting.units:
                if self._avoids_workers(unit):
                    self._place_unit(waiting._replace(units=(unit,)))
                else:
                    unrestricted.append(unit)
        if not unrestricted:
            return
        waiting = waiting._replace(units=tuple(unrestricted))
        if waiting.priority == URGENT_PRIORITY or waiting.units[0].index == GANG_INDEX:
            self._place_one_by_one(waiting)
        else:
            self._place_single_tasks(waiting)

    def _place_one_by_one(self, waiting):
        """Place units that avoid no workers; skip those that must fail like others.

        The units of a step differ in nothing but what was preempted for them.
        """
        claims = self._planning_input.preemption_claims
        for unit in waiting.units:
            alike = not claims.has_preempted(unit)
            key = (unit[:3], self._capacity.version)
            if alike and self._failed_units.has(key):
                continue
            placed = self._place_unit(waiting._replace(units=(unit,)))
            if alike and not placed:
                self._failed_units.add((unit[:3], self._capacity.version))

    def _place_single_tasks(self, waiting):
        """Place as many single tasks of a step as there is room for."""
        units = waiting.units
        worker_ids = self._capacity.allocate_up_to(waiting, len(units))
        self._starts.extend(
            (unit, (worker_id,))
            for unit, worker_id in zip(units, worker_ids, strict=False)
        )

    def _place_unit(self, waiting):
        """Place one unit if it fits; preempt for it if it is urgent.

        Returns whether it has started, or has room reserved for it.
        """
        if self._place_at_claim(waiting):
            return True
        multi_rack = self._rack_capacities.needs_multiple_racks(waiting)
        if self._place_on_time(waiting, multi_rack):
            return True
        if self._add_start(waiting, self._capacity.allocate(waiting, multi_rack)):
            return True
        if waiting.priority == URGENT_PRIORITY:
            if self._place_by_preemption(waiting, multi_rack):
                return True
        if self._may_use_several_racks(waiting):
            return self._add_start(waiting, self._capacity.allocate(waiting, True))
        return False

    def _place_at_claim(self, waiting):
        """Use or reserve the place that a unit has claimed; return whether it can."""
        worker_ids = self._planning_input.preemption_claims.place(waiting.units[0])
        if not worker_ids:
            return False
        if self._capacity.allocate_at(waiting, worker_ids):
            return self._add_start(waiting, worker_ids)
        return self._capacity.reserve_at(waiting, worker_ids)

    def _may_use_several_racks(self, waiting):
        """Return whether a gang has waited for one rack while much is idle.

        Other work keeps taking parts of each rack, so a wide gang could wait for ever.
        """
        step = waiting.step
        if not (step.gang and step.same_rack):
            return False
        now_ms = self._planning_input.now_ms
        seen_ms = self._planning_input.waiting_since_ms.get(
            waiting.units[0][:3], now_ms
        )
        if now_ms - seen_ms < RACK_WAIT_MS:
            return False
        used_share = self._capacity.used_share(waiting.service)
        return used_share <= MAX_USED_SHARE_FOR_SEVERAL_RACKS

    def _add_start(self, waiting, worker_ids):
        """Add a start if there are workers for it; return whether there are."""
        if worker_ids:
            self._starts.append((waiting.units[0], worker_ids))
        return bool(worker_ids)

    def _place_on_time(self, waiting, multi_rack):
        """Place urgent work on workers that are fast enough for it to end on time.

        Waits briefly for such workers, and preempts for them: on a slow worker that is
        free the work would end late, which earns a fifth of the credit. Returns whether
        the unit was placed or waits for reserved capacity.
        """
        now_ms = self._planning_input.now_ms
        if waiting.priority != URGENT_PRIORITY or now_ms >= waiting.due_ms:
            return False
        min_speed = waiting.critical_path_ms / (waiting.due_ms - now_ms)
        if self._add_start(
            waiting, self._capacity.allocate(waiting, multi_rack, min_speed)
        ):
            return True
        if self._waited_ms(waiting) > FAST_WORKER_WAIT_MS:
            return False
        if self._capacity.reserve(waiting, multi_rack, min_speed):
            return True
        victims = self._choose_victims(
            waiting, multi_rack, MAX_LOSS_RATIO_ON_TIME * waiting.work_core_s, min_speed
        )
        if not victims:
            return False
        self._preempt(waiting, victims, multi_rack, min_speed)
        return True

    def _place_by_preemption(self, waiting, multi_rack):
        """Reserve capacity that stops will free; preempt more units if it is short.

        Returns whether capacity is reserved for the unit.
        """
        if self._capacity.reserve(waiting, multi_rack):
            return True
        max_cost = max_preemption_cost(waiting, self._planning_input.now_ms)
        victims = self._choose_victims(waiting, multi_rack, max_cost)
        if not victims and self._may_reclaim(waiting):
            victims = self._choose_victims(
                waiting, multi_rack, max_cost, from_borrowers=True
            )
        if not victims:
            return False
        self._preempt(waiting, victims, multi_rack)
        return True

    def _may_reclaim(self, waiting):
        """Return whether a unit may take back room that its guarantee has lent.

        Work without accelerators is covered by no guarantee and must not take them.
        """
        if not (waiting.guaranteed and waiting.step.need.accelerators):
            return False
        return self._waited_ms(waiting) >= BORROWED_ROOM_WAIT_MS

    def _waited_ms(self, waiting):
        """Return how long a step has waited, also if the wall clock was set back."""
        now_ms = self._planning_input.now_ms
        seen_ms = self._planning_input.waiting_since_ms.get(
            waiting.units[0][:3], now_ms
        )
        return now_ms - min(seen_ms, waiting.arrival_ms)

    def _choose_victims(
        self, waiting, multi_rack, max_cost, min_speed=0.0, from_borrowers=False
    ):
        """Return victims that cost `max_cost` core-seconds at most, or None.

        What earlier preemptions for the unit have cost counts too. Guaranteed work may
        preempt spared units: leaving them out made it stop runs that had done far more
        (docs/design/preemption-and-headroom.md). With `from_borrowers` the victims may
        be urgent units that no guarantee covers.
        """
        claims = self._planning_input.preemption_claims
        max_cost -= claims.lost_core_s(waiting.units[0])
        key = (
            self._capacity.search_key(waiting, multi_rack, min_speed),
            waiting.priority,
            waiting.guaranteed,
            from_borrowers,
            max_cost,
            self._capacity.version,
        )
        if self._no_victims.has(key):
            return None
        candidates = self._candidates_below(waiting.priority)
        if from_borrowers:
            candidates = candidates + self._borrowing_candidates()
        if not waiting.guaranteed:
            candidates = [item for item in candidates if not item.spared]
        victims = choose_victims(
            waiting.step,
            waiting.count,
            self._capacity.workers_after_stops(waiting, min_speed),
            candidates,
            multi_rack,
            max_cost,
        )
        if not victims:
            self._no_victims.add(key)
        return victims

    def _preempt(self, waiting, victims, multi_rack, min_speed=0.0):
        """Preempt units, and reserve the capacity that this frees."""
        units = tuple(victim.unit for victim in victims)
        lost_core_s, again = self._stop_rules.record_stops(victims)
        self._preempted_units.update(units)
        self._capacity.release_preempted(units)
        worker_ids = self._capacity.reserve(waiting, multi_rack, min_speed)
        self._preempted.append(
            Preempted(
                units,
                waiting.units[0],
                waiting.guaranteed,
                lost_core_s,
                worker_ids,
                again,
            )
        )

    def _avoids_workers(self, unit):
        until_ms = self._planning_input.avoided_workers.get(unit)
        return bool(until_ms) and max(until_ms.values()) > self._planning_input.now_ms

    def _candidates_below(self, priority):
        """Return the running units that may be preempted for work of `priority`."""
        if priority not in self._candidates_by_priority:
            ledger, runs = self._planning_input.ledger, self._planning_input.runs
            units = [
                unit
                for unit in runs
                if ledger.jobs[unit.job_id].job.priority > priority
            ]
            self._candidates_by_priority[priority] = self._candidates(units)
        return self._not_preempted(self._candidates_by_priority[priority])

    def _borrowing_candidates(self):
        """Return the urgent running units that no guarantee covers."""
        if self._borrowers is None:
            planning_input = self._planning_input
            self._borrowers = self._candidates(
                find_borrowing_units(
                    planning_input.ledger,
                    planning_input.runs,
                    planning_input.configuration,
                )
            )
        return self._not_preempted(self._borrowers)

    def _candidates(self, units):
        """Return a `PreemptionCandidate` for each of the units that has started."""
        candidates = []
        for unit in units:
            unit_run = self._planning_input.runs[unit]
            if unit_run.ending or not unit_run.launched:
                continue
            step = self._planning_input.ledger.jobs[unit.job_id].job.steps[unit.step]
            candidates.append(
                self._stop_rules.candidate(
                    unit_run,
                    step,
                    self._planning_input.workers,
                    self._planning_input.now_ms,
                )
            )
        return candidates

    def _not_preempted(self, candidates):
        return [
            candidate
            for candidate in candidates
            if candidate.unit not in self._preempted_units
        ]


def max_preemption_cost(waiting, now_ms):
    """Return the core-seconds that preemption for this unit may lose.

    A guarantee is met at any cost; otherwise the loss must be worth the credit gained.
    """
    if waiting.guaranteed:
        return math.inf
    if now_ms + waiting.critical_path_ms <= waiting.due_ms:
        return MAX_LOSS_RATIO_ON_TIME * waiting.work_core_s
    if now_ms + waiting.critical_path_ms <= waiting.late_limit_ms:
        return MAX_LOSS_RATIO_LATE * waiting.work_core_s
    return 0.0
