"""Guaranteed shapes: who is entitled to what, and whether all of it can be packed."""

from collections import Counter
from functools import lru_cache
from typing import NamedTuple

from knapweedshed.decisions.cells import blocks, cell_size
from knapweedshed.models.shapes import Adjacency


class Entitlement(NamedTuple):
    """What is left of an organisation's guarantee in one data centre.

    `cells` counts cells by size; `racks` are (members, cell size) units that must
    come from one rack.
    """

    cells: tuple[tuple[int, int], ...] = ()
    racks: tuple[tuple[int, int], ...] = ()

    @property
    def accelerators(self):
        """Accelerators that are left."""
        in_cells = sum(size * count for size, count in self.cells)
        return in_cells + sum(members * size for members, size in self.racks)


def entitlement_of(organisation, data_centre):
    """Return the whole guarantee of an organisation in a data centre."""
    cells = Counter()
    racks = []
    for place, shape, count in organisation.guarantees:
        if place != data_centre:
            continue
        size = cell_size(shape.accelerators)
        if shape.adjacency == Adjacency.RACK:
            racks.extend([(shape.members, size)] * count)
        else:
            cells[size] += shape.members * count
    return Entitlement(_sorted(cells), tuple(sorted(racks, reverse=True)))


@lru_cache(maxsize=65_536)
def consume(entitlement, shape):
    """Return what is left after `shape` runs guaranteed, or None if not covered.

    A larger cell is split like a buddy block; a rack unit that a smaller shape uses
    is broken into its cells.
    """
    size = cell_size(shape.accelerators)
    racks = list(entitlement.racks)
    cells = Counter(dict(entitlement.cells))
    if shape.adjacency == Adjacency.RACK:
        return _consume_rack(racks, cells, shape.members, size)
    for _ in range(shape.members):
        if not _take_cell(cells, size) and not _break_rack(racks, cells, size):
            return None
    return Entitlement(_sorted(cells), tuple(racks))


def split_running(organisation, data_centre, running, movable=frozenset()):
    """Return (entitlement left, ids of the jobs that run guaranteed).

    Jobs in `movable` are counted as borrowers, whatever is left.

    Settled from facts that every scheduler sees alike: jobs that can't be reclaimed
    first, then by start time and id.
    """
    left = entitlement_of(organisation, data_centre)
    guaranteed = set()
    order = sorted(
        running, key=lambda job: (job.reclaimable, job.started_ms, job.job_id)
    )
    for job in order:
        if job.job_id in movable:
            continue
        after = consume(left, job.shape)
        if after is not None:
            left = after
            guaranteed.add(job.job_id)
    return left, guaranteed


class Capacity:
    """Blocks that are free or reclaimable, counted for each rack."""

    def __init__(self, masks):
        """Count `masks`: (rack, mask) of each worker."""
        self._racks = {}
        for rack, mask in masks:
            self.add(rack, mask, 1)

    def add(self, rack, mask, sign):
        """Add (1) or remove (-1) a worker's mask."""
        counts = self._racks.setdefault(rack, Counter())
        for size, count in blocks(mask):
            counts[size] += sign * count

    def deficit(self, entitlements):
        """Return the accelerators of all entitlements that can't be packed together."""
        racks = self._racks
        missing = 0
        units = sorted(
            (unit for left in entitlements for unit in left.racks),
            key=lambda unit: (unit[1], unit[0]),
            reverse=True,
        )
        if units:
            racks = {name: Counter(counts) for name, counts in racks.items()}
        for members, size in units:
            missing += _pack_rack(racks, members, size)
        total = Counter()
        for counts in racks.values():
            total.update(counts)
        needs = Counter()
        for left in entitlements:
            for size, count in left.cells:
                needs[size] += count
        return missing + _missing_cells(total, needs)


def _pack_rack(racks, members, size):
    best = None
    for name in sorted(racks):
        room = _cells_in(racks[name], size)
        if room >= members and (best is None or room < best[0]):
            best = (room, name)
    if best is None:
        return members * size
    counts = racks[best[1]]
    for _ in range(members):
        _take_cell(counts, size)
    return 0


def _cells_in(counts, size):
    return sum(
        count * (block // size) for block, count in counts.items() if block >= size
    )


def _missing_cells(available, needs):
    sizes = [size for size in (*available, *needs)]
    missing = 0
    left = 0
    size = max(sizes, default=0)
    while size:
        have = available.get(size, 0) + 2 * left
        need = needs.get(size, 0)
        missing += max(0, need - have) * size
        left = max(0, have - need)
        size //= 2
    return missing


def _take_cell(counts, size):
    """Take one cell, splitting the smallest larger block; return whether it went."""
    fitting = [block for block, count in counts.items() if block >= size and count > 0]
    if not fitting:
        return False
    block = min(fitting)
    counts[block] -= 1
    while block > size:
        block //= 2
        counts[block] += 1
    return True


def _break_rack(racks, cells, size):
    for index, (members, unit_size) in enumerate(racks):
        if unit_size >= size:
            del racks[index]
            cells[unit_size] += members
            return _take_cell(cells, size)
    return False


def _consume_rack(racks, cells, members, size):
    fitting = [u for u in racks if u[0] >= members and u[1] >= size]
    if not fitting:
        return None
    unit = min(fitting, key=lambda u: (u[0] * u[1], u))
    racks.remove(unit)
    if unit[0] > members:
        cells[unit[1]] += unit[0] - members
    leftover = unit[1]
    while leftover > size:
        leftover //= 2
        cells[leftover] += members
    return Entitlement(_sorted(cells), tuple(racks))


def _sorted(cells):
    return tuple(sorted((size, count) for size, count in cells.items() if count > 0))
