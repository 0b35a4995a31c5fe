"""Placement policies: choose free accelerators for the members of a gang."""

from abc import ABC, abstractmethod

from knapweedshed.decisions.cells import cell_mask, fitting_cells, indexes_of
from knapweedshed.models.shapes import Adjacency, Placement

SPEED_SCALE = 100  # speeds are compared in whole hundredths


class AcceleratorPool:
    """Free accelerators of each worker while a plan is computed.

    `free` maps worker names to bit masks; `racks` maps racks to worker names.
    """

    def __init__(self, workers):
        self.workers = {worker.name: worker for worker in workers}
        self.free = {worker.name: worker.free for worker in workers}
        self.racks = {}
        for worker in workers:
            self.racks.setdefault(worker.rack, []).append(worker.name)

    def allocate(self, placements):
        """Mark the accelerators of the placements as allocated."""
        for placement in placements:
            self.free[placement.worker] &= ~placement_mask(placement)

    def release(self, placements):
        """Mark the accelerators as free; skip workers that are not in the pool."""
        for placement in placements:
            if placement.worker in self.free:
                self.free[placement.worker] |= placement_mask(placement)


def placement_mask(placement):
    """Return the bit mask of a placement's accelerators."""
    bits = 0
    for index in placement.accelerators:
        bits |= 1 << index
    return bits


class PlacementPolicy(ABC):
    """Chooses free accelerators for all members of a shape."""

    @abstractmethod
    def choose(self, shape, free, pool, preserved):
        """Return one placement for each member, or None if the shape doesn't fit.

        `free` maps worker names to the masks that may be used; `preserved` maps them
        to masks whose large blocks should not be split.
        """


class FirstFit(PlacementPolicy):
    """Baseline: the lowest free cells of the first workers, in order of name."""

    def choose(self, shape, free, pool, preserved):
        """Return the first placements that fit."""
        for names in candidate_groups(shape, pool):
            found = []
            for name in names:
                cell_starts = sorted(
                    start for _, start in fitting_cells(free[name], shape.accelerators)
                )
                found.extend(
                    _create_placement(name, s, shape.accelerators) for s in cell_starts
                )
                if len(found) >= shape.members:
                    return tuple(found[: shape.members])
        return None


class BestFit(PlacementPolicy):
    """Prefers cells in the smallest enclosing free blocks, then the fastest workers.

    A gang that must share a rack gets the rack with the fewest fitting cells.
    """

    def choose(self, shape, free, pool, preserved):
        """Return the placements that split the smallest blocks."""
        best = None
        for names in candidate_groups(shape, pool):
            ranked = self._rank_cells(shape, free, pool, preserved, names)
            if len(ranked) < shape.members:
                continue
            key = (len(ranked), ranked[shape.members - 1])
            if best is None or key < best[0]:
                best = (key, ranked)
        if best is None:
            return None
        chosen = best[1][: shape.members]
        return tuple(
            _create_placement(name, start, shape.accelerators)
            for *_, name, start in chosen
        )

    def _rank_cells(self, shape, free, pool, preserved, names):
        """Return the fitting cells of the named workers as sort keys, best first."""
        ranked = []
        for name in names:
            usable = free[name]
            if not usable:
                continue
            preserved_sizes = {
                start: size
                for size, start in fitting_cells(preserved[name], shape.accelerators)
            }
            speed = -int(pool.workers[name].speed * SPEED_SCALE)
            for size, start in fitting_cells(usable, shape.accelerators):
                ranked.append(
                    (preserved_sizes.get(start, size), size, speed, name, start)
                )
        ranked.sort()
        return ranked


def candidate_groups(shape, pool):
    """Return lists of worker names; all members must fit on the workers of one list."""
    if shape.adjacency == Adjacency.RACK:
        return [pool.racks[rack] for rack in sorted(pool.racks)]
    return [list(pool.workers)]


def create_placement_policy(name="best-fit"):
    """Return the placement policy of this name; raises KeyError if there is none."""
    return {"best-fit": BestFit, "first-fit": FirstFit}[name]()


def _create_placement(name, start, accelerators):
    return Placement(name, indexes_of(cell_mask(start, accelerators)))
