"""Chooses which running units to preempt so that a waiting unit can start."""

import math
from typing import NamedTuple

from knapweedshed.decisions.packing import count_fitting_tasks
from knapweedshed.models.work import Resources

MAX_REPRIEVE_ATTEMPTS = 12  # only reprieving the costliest victims saves much
MIN_SIZE_ACCELERATORS = 0.001  # keeps the ratio finite for a unit that uses nothing


class PreemptionCandidate(NamedTuple):
    """A running unit that may be preempted.

    `allocations` has (worker id, resources) for each task; `cost` is the work
    that a stop would lose, in core-seconds. A `spared` unit is only preempted for
    guaranteed work.
    """

    unit: object
    allocations: tuple
    cost: float
    spared: bool = False


def choose_victims(
    step, count, workers, candidates, multi_rack=False, max_cost=math.inf
):
    """Return the candidates to preempt so that `count` tasks fit.

    Returns None if no choice makes enough room at a cost of `max_cost` core-seconds or
    less. Candidates are added by cost for the capacity they free, cheapest first,
    until the tasks fit; then victims that prove unnecessary are reprieved, costliest
    first. For a gang with `same_rack` each rack is tried by itself, unless
    `multi_rack` is set.
    """
    groups = [workers]
    if step.gang and step.same_rack and not multi_rack:
        racks = {}
        for worker in workers:
            racks.setdefault(worker.rack, []).append(worker)
        groups = list(racks.values())
    by_worker = _group_by_worker(candidates)
    best = None
    for group in groups:
        victims = _choose_victims_at(step, count, group, by_worker)
        if victims is None:
            continue
        cost = sum(victim.cost for victim in victims)
        if cost <= max_cost and (best is None or cost < best[0]):
            best = (cost, victims)
    return None if best is None else best[1]


def _choose_victims_at(step, count, workers, by_worker):
    """Return victims that make room at these workers, or None if none suffice."""
    simulation = _PreemptionSimulation(step, workers)
    relevant = {
        candidate.unit: candidate
        for worker in workers
        for candidate in by_worker.get(worker.worker_id, ())
    }
    cheapest_first = sorted(relevant.values(), key=simulation.cost_per_accelerator)
    victims = {}
    for candidate in cheapest_first:
        if simulation.fitting_count >= count:
            break
        simulation.preempt(candidate)
        victims[candidate.unit] = candidate
    if simulation.fitting_count < count:
        return None
    costliest_first = sorted(victims.values(), key=lambda victim: -victim.cost)
    for victim in costliest_first[:MAX_REPRIEVE_ATTEMPTS]:
        simulation.reprieve(victim)
        if simulation.fitting_count >= count:
            del victims[victim.unit]
        else:
            simulation.preempt(victim)
    return list(victims.values())


class _PreemptionSimulation:
    """Tracks how many tasks of a step fit at some workers as units are preempted.

    `fitting_count` is the number of tasks that fit at all of them together.
    """

    def __init__(self, step, workers):
        self._step = step
        self._workers = {worker.worker_id: worker for worker in workers}
        self._fitting_by_worker = {
            worker.worker_id: count_fitting_tasks(worker, step) for worker in workers
        }
        self.fitting_count = sum(self._fitting_by_worker.values())

    def cost_per_accelerator(self, candidate):
        """Return the cost of a stop per accelerator that it frees at these workers.

        8 cores count as one accelerator, as both cost the same.
        """
        size = sum(
            need.accelerators + need.cpu_milli / 8_000
            for worker_id, need in candidate.allocations
            if worker_id in self._workers
        )
        return candidate.cost / (size or MIN_SIZE_ACCELERATORS)

    def preempt(self, candidate):
        """Count the resources of a unit as free."""
        self._apply(candidate, Resources.plus)

    def reprieve(self, candidate):
        """Count the resources of a unit as used again."""
        self._apply(candidate, Resources.minus)

    def _apply(self, candidate, operation):
        for worker_id, need in candidate.allocations:
            worker = self._workers.get(worker_id)
            if worker is None:
                continue
            worker = worker._replace(free=operation(worker.free, need))
            self._workers[worker_id] = worker
            fitting = count_fitting_tasks(worker, self._step)
            self.fitting_count += fitting - self._fitting_by_worker[worker_id]
            self._fitting_by_worker[worker_id] = fitting


def _group_by_worker(candidates):
    grouped = {}
    for candidate in candidates:
        for worker_id in {worker_id for worker_id, _ in candidate.allocations}:
            grouped.setdefault(worker_id, []).append(candidate)
    return grouped
