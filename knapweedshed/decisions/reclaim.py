"""Selects the borrowers to stop for a shape so that the least work is lost."""

from typing import NamedTuple

from knapweedshed.decisions.cells import cell_mask, cell_size, indexes_of
from knapweedshed.decisions.placement import candidate_groups, placement_mask
from knapweedshed.models.shapes import Placement


class Victims(NamedTuple):
    """Jobs to stop, and the placements that the shape gets in return."""

    job_ids: tuple[str, ...]
    placements: tuple[Placement, ...]


class _CellCandidate(NamedTuple):
    """A cell that one member could use once the jobs `job_ids` have stopped."""

    victim_count: int
    worker: str
    start: int
    job_ids: frozenset


def choose_victims(shape, usable, borrowers, pool):
    """Return the `Victims` that free `shape` at the least cost, or None.

    `usable` maps workers to masks of the free accelerators that may be used;
    `borrowers` are the `RunningView`s that may be stopped. A gang is stopped as a
    whole, so its cost counts once. The search is greedy within each group of workers.
    """
    jobs_by_worker = _jobs_by_worker(borrowers, pool)
    costs = {job.job_id: job.reclaim_cost for job in borrowers}
    best = None
    for names in candidate_groups(shape, pool):
        cheapest = _cheapest_cells(shape, usable, jobs_by_worker, costs, names)
        if cheapest is None:
            continue
        cost = sum(costs[job_id] for job_id in cheapest[0])
        if best is None or cost < best[0]:
            best = (cost, cheapest)
    if best is None:
        return None
    chosen, cells = best[1]
    placements = tuple(
        Placement(name, indexes_of(cell_mask(start, shape.accelerators)))
        for name, start in cells
    )
    return Victims(tuple(sorted(chosen)), placements)


def _jobs_by_worker(borrowers, pool):
    """Return lists of (accelerator mask, job id) by worker."""
    jobs_by_worker = {}
    for job in borrowers:
        for placement in job.placements:
            if placement.worker in pool.workers:
                entry = (placement_mask(placement), job.job_id)
                jobs_by_worker.setdefault(placement.worker, []).append(entry)
    return jobs_by_worker


def _cheapest_cells(shape, usable, jobs_by_worker, costs, names):
    """Return (job ids to stop, cells) by a greedy choice, or None if too few fit.

    A victim that is already chosen adds no cost to further cells.
    """
    candidates = _cell_candidates(shape, usable, jobs_by_worker, names)
    if len(candidates) < shape.members:
        return None
    chosen = set()
    cells = []
    for _ in range(shape.members):
        candidate = min(
            candidates,
            key=lambda c: (
                sum(costs[j] for j in c.job_ids - chosen),
                c.victim_count,
                c.worker,
            ),
        )
        candidates.remove(candidate)
        chosen |= candidate.job_ids
        cells.append((candidate.worker, candidate.start))
    return chosen, cells


def _cell_candidates(shape, usable, jobs_by_worker, names):
    """Return the cells that are free or become free when borrowers stop."""
    size = cell_size(shape.accelerators)
    candidates = []
    for name in names:
        worker_jobs = jobs_by_worker.get(name, ())
        obtainable = usable[name]
        for bits, _ in worker_jobs:
            obtainable |= bits
        for start in range(0, obtainable.bit_length(), size):
            wanted = cell_mask(start, shape.accelerators)
            if obtainable & wanted != wanted:
                continue
            needed = wanted & ~usable[name]
            job_ids = frozenset(job_id for bits, job_id in worker_jobs if bits & needed)
            candidates.append(_CellCandidate(len(job_ids), name, start, job_ids))
    return candidates
