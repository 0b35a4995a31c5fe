"""Chooses the waiting units that one planning pass looks at.

A planning pass takes time for each unit that it looks at, and the acting host sends no
heartbeat meanwhile. Millions of tasks may wait, of which the workers have
room for some thousands. So a pass looks at all waiting units only while they are few.
Otherwise it looks at some of each job, the first and last ones of each priority first,
and at a part of all others in turn, so that each unit is looked at again and again: the
first units of a job may need workers that are taken, while there is room for others.
"""

from itertools import chain, islice

from knapweedshed.decisions.units import ready_steps

MAX_UNITS_COUNT = 4_000  # a service starts some hundreds of runs a second
MAX_STEPS_COUNT = 1_000  # each is described and ranked on its own
MAX_UNITS_PER_STEP_COUNT = 500
TURN_SHARE = 0.25  # of both limits, for the units that are looked at in turn


class _Budget:
    """The units of one pass, while they stay within the limits."""

    def __init__(self, max_units, max_steps):
        self._max_units = max_units
        self._max_steps = max_steps
        self._steps = set()
        self.units = {}

    @property
    def is_spent(self):
        return len(self.units) >= self._max_units or (
            len(self._steps) >= self._max_steps
        )

    def add(self, units):
        """Add units of one step."""
        for unit in units:
            self.units[unit] = None
            self._steps.add(unit[:3])
            if len(self.units) >= self._max_units:
                return


class WaitingWindow:
    """The units that the next planning passes look at."""

    def __init__(self):
        self._turn = iter(())
        self._due_wall_ms = 0
        self._is_limited = False

    @property
    def is_limited(self):
        """Whether the last pass didn't look at all waiting units."""
        return self._is_limited

    def choose(self, ledger, due_wall_ms, is_waiting, claimed_units):
        """Return the units to look at, in the order of their jobs.

        `is_waiting` tells whether a unit that could start has not been started.
        `claimed_units` are looked at in any case if they wait.
        """
        self._due_wall_ms = due_wall_ms
        budget = _Budget(MAX_UNITS_COUNT, MAX_STEPS_COUNT)
        self._is_limited = False
        for progress in ledger.open_jobs.values():
            for occurrence, step in ready_steps(progress, due_wall_ms):
                if budget.is_spent:
                    self._is_limited = True
                    return self._choose_some(ledger, is_waiting, claimed_units)
                units = progress.done.units_left(occurrence, step)
                budget.add(filter(is_waiting, units))
        if budget.is_spent:
            self._is_limited = True
            return self._choose_some(ledger, is_waiting, claimed_units)
        return list(budget.units)

    def _choose_some(self, ledger, is_waiting, claimed_units):
        first = _Budget(
            int((1 - TURN_SHARE) * MAX_UNITS_COUNT),
            int((1 - TURN_SHARE) * MAX_STEPS_COUNT),
        )
        first.add(
            unit
            for unit in claimed_units
            if _is_ready(unit, ledger) and is_waiting(unit)
        )
        self._add_of_each_job(first, ledger, is_waiting)
        in_turn = _Budget(
            int(TURN_SHARE * MAX_UNITS_COUNT), int(TURN_SHARE * MAX_STEPS_COUNT)
        )
        self._add_in_turn(in_turn, ledger, is_waiting)
        return list(first.units | in_turn.units)

    def _add_of_each_job(self, budget, ledger, is_waiting):
        """Add the units of a step of each job, and of another one, until it is spent.

        The jobs come by priority, the oldest and the newest in turns.
        """
        by_priority = {}
        for progress in ledger.open_jobs.values():
            by_priority.setdefault(progress.job.priority, []).append(progress)
        iterators = [
            self._waiting_by_step(progress, is_waiting)
            for _, jobs in sorted(by_priority.items())
            for progress in _from_both_ends(jobs)
        ]
        while iterators and not budget.is_spent:
            remaining = []
            for iterator in iterators:
                units = next(iterator, None)
                if units is not None:
                    budget.add(units)
                    remaining.append(iterator)
                if budget.is_spent:
                    break
            iterators = remaining

    def _waiting_by_step(self, progress, is_waiting):
        """Yield the first waiting units of each step, oldest and newest in turns."""
        steps = ready_steps(progress, self._due_wall_ms)
        if progress.job.repeats > 1:
            newest = ready_steps(progress, self._due_wall_ms, newest_first=True)
            steps = chain.from_iterable(zip(steps, newest, strict=False))
        for occurrence, step in steps:
            units = progress.done.units_left(occurrence, step)
            waiting = tuple(islice(filter(is_waiting, units), MAX_UNITS_PER_STEP_COUNT))
            if waiting:
                yield waiting

    def _add_in_turn(self, budget, ledger, is_waiting):
        """Add the units whose turn it is; those of the next pass come after them."""
        for _ in range(MAX_UNITS_COUNT):
            unit = None if budget.is_spent else self._next_in_turn(ledger)
            if unit is None:
                return
            if _is_ready(unit, ledger) and is_waiting(unit):
                budget.add((unit,))

    def _next_in_turn(self, ledger):
        unit = next(self._turn, None)
        if unit is None:
            self._turn = self._all_ready(list(ledger.open_jobs.values()))
            unit = next(self._turn, None)
        return unit

    def _all_ready(self, jobs):
        for progress in jobs:
            for occurrence, step in ready_steps(progress, self._due_wall_ms):
                yield from progress.done.units_left(occurrence, step)


def _from_both_ends(items):
    """Return the items in turns from the beginning and the end."""
    half = (len(items) + 1) // 2
    ends = chain.from_iterable(zip(items[:half], reversed(items), strict=False))
    return list(ends)[: len(items)]


def _is_ready(unit, ledger):
    """Return whether a unit that was ready once still is."""
    progress = ledger.open_jobs.get(unit.job_id)
    return progress is not None and unit not in progress.done
