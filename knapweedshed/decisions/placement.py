"""Where a gang goes among free accelerators."""

from abc import ABC, abstractmethod

from knapweedshed.decisions.cells import cell_mask, indexes_of, starts
from knapweedshed.models.shapes import Adjacency, Placement

SPEED_SCALE = 100


class Board:
    """Free accelerators of each worker while a plan is made; masks by name."""

    def __init__(self, workers):
        self.workers = {worker.name: worker for worker in workers}
        self.free = {worker.name: worker.free for worker in workers}
        self.racks = {}
        for worker in workers:
            self.racks.setdefault(worker.rack, []).append(worker.name)

    def take(self, placements):
        """Mark the placements' accelerators as taken."""
        for place in placements:
            self.free[place.worker] &= ~mask(place)

    def give(self, placements):
        """Mark the placements' accelerators as free; lost workers are passed over."""
        for place in placements:
            if place.worker in self.free:
                self.free[place.worker] |= mask(place)


def mask(place):
    """Return the accelerator mask of a placement."""
    bits = 0
    for index in place.accelerators:
        bits |= 1 << index
    return bits


class PlacementPolicy(ABC):
    """Chooses accelerators for a shape."""

    @abstractmethod
    def place(self, shape, free, board, spare):
        """Return placements for all members, or None.

        `free` maps worker names to the masks that may be used; `spare` maps them to
        masks whose large blocks should stay whole.
        """


class FirstFit(PlacementPolicy):
    """Baseline: the first workers in order of name, at the first place that fits."""

    def place(self, shape, free, board, spare):
        """Return the first fitting placements."""
        for names in groups_for(shape, board):
            found = []
            for name in names:
                places = sorted(
                    start for _, start in starts(free[name], shape.accelerators)
                )
                found.extend(_placement(name, s, shape.accelerators) for s in places)
                if len(found) >= shape.members:
                    return tuple(found[: shape.members])
        return None


class BestFit(PlacementPolicy):
    """Takes places in the smallest enclosing blocks, then the fastest workers.

    A gang that must share a rack takes the fullest rack that still holds it.
    """

    def place(self, shape, free, board, spare):
        """Return the placements that break up the least."""
        best = None
        for names in groups_for(shape, board):
            ranked = self._ranked(shape, free, board, spare, names)
            if len(ranked) < shape.members:
                continue
            key = (len(ranked), ranked[shape.members - 1])
            if best is None or key < best[0]:
                best = (key, ranked)
        if best is None:
            return None
        chosen = best[1][: shape.members]
        return tuple(
            _placement(name, start, shape.accelerators) for *_, name, start in chosen
        )

    def _ranked(self, shape, free, board, spare, names):
        ranked = []
        for name in names:
            usable = free[name]
            if not usable:
                continue
            whole = {
                start: size for size, start in starts(spare[name], shape.accelerators)
            }
            speed = -int(board.workers[name].speed * SPEED_SCALE)
            for size, start in starts(usable, shape.accelerators):
                ranked.append((whole.get(start, size), size, speed, name, start))
        ranked.sort()
        return ranked


def groups_for(shape, board):
    """Return the lists of workers of which one must hold the whole shape."""
    if shape.adjacency == Adjacency.RACK:
        return [board.racks[rack] for rack in sorted(board.racks)]
    return [list(board.workers)]


def create_placement(name="best-fit"):
    """Return the placement policy called `name`."""
    return {"best-fit": BestFit, "first-fit": FirstFit}[name]()


def _placement(name, start, accelerators):
    return Placement(name, indexes_of(cell_mask(start, accelerators)))
