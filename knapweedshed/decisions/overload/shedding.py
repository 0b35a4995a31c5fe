"""Order of the waiting work when there is more of it than can end in time.

What waits then is the work whose delay costs callers least.
"""

from enum import IntEnum
from typing import NamedTuple

from knapweedshed.decisions.overload.queue_sizes import SizeClass, job_core_seconds
from knapweedshed.decisions.overload.service_floors import ServedShares
from knapweedshed.decisions.overload.shortage import (
    find_shortages,
    running_work,
    service_capacities,
)
from knapweedshed.decisions.overload.worth import (
    LATE_WORTH,
    job_worth,
    worth_per_core_s,
)
from knapweedshed.decisions.waiting import URGENT_PRIORITY
from knapweedshed.decisions.work_order import (
    DeadlineAware,
    OrderingPolicy,
    core_seconds,
    create_ordering_policy,
)

CHECK_PERIOD_MS = 200  # a tick; the check reads every run
# A shortage lasts for this long after it was last found, a caller's deadline. Without
# it, the order changes several times a second under a load that is just too high, and
# the floors don't hold.
HOLD_MS = 3_000
# An organisation or a queue gets a turn after this share of the time in which its first
# work can wait.
TURN_SHARE = 0.5


class Lateness(IntEnum):
    """How late work ends if it starts now."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


class Rank(IntEnum):
    """Ranks in the order, after guaranteed work; the lowest is placed first."""

    URGENT = 0
    TURN = 1
    ON_TIME = 2
    LATE = 3
    TOO_LATE = 4


class _Candidate(NamedTuple):
    """A waiting step of a service that is short, as this pass sees it.

    `cost` is what its delay costs for each core-second that it needs. Each of `groups`
    gets turns.
    """

    waiting: object
    lateness: Lateness
    cost: float
    groups: tuple
    queue: str
    size_class: SizeClass


class LoadShedding(OrderingPolicy):
    """Orders by the cost of delay in services that are short, else by deadline.

    Guaranteed work goes first, then urgent work that can end on time, then turns. A
    turn goes to the first work of an organisation or a queue that has waited for long,
    or of a size class that is served too rarely beside its queue.
    """

    def __init__(self):
        self._by_deadline = DeadlineAware()
        self._shortages = {}
        self._found_ms = {}
        self._checked_ms = None
        self._candidates = {}
        self._unstarted = {}
        self._turns = frozenset()
        self._last_start_ms = {}
        self._served_shares = ServedShares()

    @property
    def shortages(self):
        """The services whose waiting work is ordered by what its delay costs."""
        return self._shortages

    def start_pass(self, waiting_steps, planning_input):
        """Find the services that are short, and rank their waiting steps."""
        now_ms = planning_input.now_ms
        if self._checked_ms is None or now_ms - self._checked_ms >= CHECK_PERIOD_MS:
            self._checked_ms = now_ms
            self._update_shortages(waiting_steps, planning_input)
        candidates = self._find_candidates(waiting_steps, planning_input)
        if candidates or self._unstarted:
            self._note_changes(candidates, waiting_steps, now_ms)
        self._candidates = candidates
        self._turns = self._find_turns(now_ms)

    def key(self, waiting, now_ms):
        """Return (not guaranteed, ordered by cost, rank, -cost, arrival, unit)."""
        candidate = self._candidates.get(waiting.units[0][:3])
        if candidate is None:
            not_guaranteed, *rest = self._by_deadline.key(waiting, now_ms)
            return (not_guaranteed, False, *rest, waiting.units[0])
        rank = _RANKS[candidate.lateness]
        if waiting.priority == URGENT_PRIORITY and rank == Rank.ON_TIME:
            rank = Rank.URGENT
        elif waiting.units[0][:3] in self._turns:
            rank = Rank.TURN
        cost = 0.0 if rank == Rank.TURN else candidate.cost
        return (
            not waiting.guaranteed,
            True,
            rank,
            -cost,
            waiting.arrival_ms,
            waiting.units[0],
        )

    def _update_shortages(self, waiting_steps, planning_input):
        now_ms = planning_input.now_ms
        found = find_shortages(
            waiting_steps,
            running_work(planning_input.ledger, planning_input.runs, now_ms),
            service_capacities(planning_input.workers, now_ms),
            now_ms,
        )
        self._found_ms.update(dict.fromkeys(found, now_ms))
        self._shortages = {
            service: shortage
            for service, shortage in {**self._shortages, **found}.items()
            if now_ms - self._found_ms[service] < HOLD_MS
        }

    def _find_candidates(self, waiting_steps, planning_input):
        """Return {(job id, occurrence, step): `_Candidate`} of the short services."""
        affected = [
            waiting for waiting in waiting_steps if waiting.service in self._shortages
        ]
        ledger, now_ms = planning_input.ledger, planning_input.now_ms
        return {
            waiting.units[0][:3]: _create_candidate(waiting, ledger, now_ms)
            for waiting in affected
        }

    def _note_changes(self, candidates, waiting_steps, now_ms):
        """Note which work has arrived, and which has started, since the last pass.

        What still waits when a shortage ends is not served, and has arrived already
        when the next one begins.
        """
        if not candidates:
            self._last_start_ms = {}
        for key, candidate in candidates.items():
            if key not in self._unstarted:
                self._served_shares.note_arrival(candidate.queue, candidate.size_class)
        waiting_by_key = {waiting.units[0][:3]: waiting for waiting in waiting_steps}
        unstarted = dict(candidates)
        for key, before in self._unstarted.items():
            waiting = waiting_by_key.get(key)
            if waiting and key not in candidates:
                unstarted[key] = before._replace(waiting=waiting)
            if waiting and len(waiting.units) >= len(before.waiting.units):
                continue
            for group in before.groups:
                self._last_start_ms[group] = now_ms
            if waiting is None:
                self._served_shares.note_served(
                    before.queue, before.size_class, _SERVED_SHARES[before.lateness]
                )
        self._unstarted = unstarted

    def _find_turns(self, now_ms):
        """Return the keys of the steps whose turn it is."""
        first = {}
        for key, candidate in self._candidates.items():
            place = (candidate.lateness, -candidate.cost, key)
            for group in candidate.groups:
                first[group] = min(first.get(group, place), place)
        return frozenset(
            key
            for group, (_, _, key) in first.items()
            if self._is_turn(group, key, now_ms)
        )

    def _is_turn(self, group, key, now_ms):
        candidate = self._candidates[key]
        waiting = candidate.waiting
        if group == _size_group(candidate.queue, candidate.size_class):
            return candidate.lateness != Lateness.TOO_LATE and (
                self._served_shares.is_behind(candidate.queue, candidate.size_class)
            )
        since_ms = max(waiting.arrival_ms, self._last_start_ms.get(group, 0))
        return now_ms - since_ms >= _turn_after_ms(candidate)


_RANKS = {
    Lateness.ON_TIME: Rank.ON_TIME,
    Lateness.LATE: Rank.LATE,
    Lateness.TOO_LATE: Rank.TOO_LATE,
}


_SERVED_SHARES = {
    Lateness.ON_TIME: 1.0,
    Lateness.LATE: LATE_WORTH,
    Lateness.TOO_LATE: 0.0,
}


def create_overload_ordering(policies):
    """Return the ordering policy of a host that follows `OverloadPolicies`."""
    return LoadShedding() if policies.load_shedding else create_ordering_policy()


def _size_group(queue, size_class):
    return ("size", queue, size_class)


def _create_candidate(waiting, ledger, now_ms):
    progress = ledger.jobs[waiting.units[0].job_id]
    job, sizes = progress.job, ledger.queue_sizes
    size = job_core_seconds(job.steps)
    worth = job_worth(job.priority, size, sizes.mean_core_s(job.queue))
    end_ms = now_ms + waiting.critical_path_ms
    lateness, lost_share = Lateness.TOO_LATE, 0.0
    if end_ms <= waiting.due_ms:
        lateness, lost_share = Lateness.ON_TIME, 1.0 - LATE_WORTH
    elif end_ms <= waiting.late_limit_ms:
        lateness, lost_share = Lateness.LATE, LATE_WORTH
    cost = lost_share * worth_per_core_s(worth, _remaining_core_s(waiting, progress))
    size_class = sizes.size_class(job.queue, size)
    return _Candidate(
        waiting,
        lateness,
        cost,
        (
            ("organisation", waiting.service, job.organisation),
            ("queue", job.queue),
            _size_group(job.queue, size_class),
        ),
        job.queue,
        size_class,
    )


def _remaining_core_s(waiting, progress):
    """Return the core-seconds of the waiting units, and of other steps not done yet."""
    first = waiting.units[0]
    step = progress.job.steps[first.step]
    others_core_s = progress.work_left(first.occurrence).core_s - core_seconds(
        step, step.count
    )
    return waiting.work_core_s * len(waiting.units) + others_core_s


def _turn_after_ms(candidate):
    """Return how long a group waits for a turn, by its first work."""
    waiting = candidate.waiting
    limit_ms = waiting.late_limit_ms
    if candidate.lateness == Lateness.TOO_LATE:
        return limit_ms - waiting.arrival_ms
    if candidate.lateness == Lateness.ON_TIME:
        limit_ms = waiting.due_ms
    latest_start_ms = limit_ms - waiting.critical_path_ms
    return TURN_SHARE * (latest_start_ms - waiting.arrival_ms)
