"""Which borrowers to stop so that a shape becomes free at the least lost work."""

from typing import NamedTuple

from knapweedshed.decisions.cells import cell_mask, cell_size, indexes_of
from knapweedshed.decisions.placement import groups_for, mask
from knapweedshed.models.shapes import Placement


class Victims(NamedTuple):
    """Jobs to stop, and the placements that this frees."""

    job_ids: tuple[str, ...]
    placements: tuple[Placement, ...]


class _Choice(NamedTuple):
    cost: int
    worker: str
    start: int
    job_ids: frozenset


def choose_victims(shape, usable, borrowers, board):
    """Return the cheapest `Victims` for `shape`, or None if none suffices.

    `usable` maps workers to masks that may be used; `borrowers` are the
    `RunningView`s that may be stopped. A gang is stopped whole, and counted once.
    """
    occupants = _occupants(borrowers, board)
    costs = {job.job_id: job.reclaim_cost for job in borrowers}
    best = None
    for names in groups_for(shape, board):
        found = _cheapest_cells(shape, usable, occupants, costs, names)
        if found is None:
            continue
        cost = sum(costs[job_id] for job_id in found[0])
        if best is None or cost < best[0]:
            best = (cost, found)
    if best is None:
        return None
    chosen, cells = best[1]
    placements = tuple(
        Placement(name, indexes_of(cell_mask(start, shape.accelerators)))
        for name, start in cells
    )
    return Victims(tuple(sorted(chosen)), placements)


def _occupants(borrowers, board):
    occupants = {}
    for job in borrowers:
        for place in job.placements:
            if place.worker in board.workers:
                entry = (mask(place), job.job_id)
                occupants.setdefault(place.worker, []).append(entry)
    return occupants


def _cheapest_cells(shape, usable, occupants, costs, names):
    """Pick cells one by one; victims that are already chosen cost nothing more."""
    choices = _choices(shape, usable, occupants, names)
    if len(choices) < shape.members:
        return None
    chosen = set()
    cells = []
    for _ in range(shape.members):
        choice = min(
            choices,
            key=lambda c: (sum(costs[j] for j in c.job_ids - chosen), c.cost, c.worker),
        )
        choices.remove(choice)
        chosen |= choice.job_ids
        cells.append((choice.worker, choice.start))
    return chosen, cells


def _choices(shape, usable, occupants, names):
    size = cell_size(shape.accelerators)
    choices = []
    for name in names:
        here = occupants.get(name, ())
        reachable = usable[name]
        for bits, _ in here:
            reachable |= bits
        for start in range(0, reachable.bit_length(), size):
            wanted = cell_mask(start, shape.accelerators)
            if reachable & wanted != wanted:
                continue
            needed = wanted & ~usable[name]
            job_ids = frozenset(job_id for bits, job_id in here if bits & needed)
            choices.append(_Choice(len(job_ids), name, start, job_ids))
    return choices
