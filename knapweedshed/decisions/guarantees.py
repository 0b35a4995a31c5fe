"""Guarantees: what organisations are entitled to, and whether it can be packed."""

from collections import Counter
from functools import lru_cache
from typing import NamedTuple

from knapweedshed.decisions.cells import cell_size, free_block_counts
from knapweedshed.models.shapes import Adjacency


class Entitlement(NamedTuple):
    """The unused part of an organisation's guarantee in one data centre.

    Cell sizes are in accelerators. `cells` are (cell size, count) pairs. `rack_units`
    are (members, cell size) pairs; all cells of a unit must be in one rack.
    """

    cells: tuple[tuple[int, int], ...] = ()
    rack_units: tuple[tuple[int, int], ...] = ()

    @property
    def accelerators(self):
        """The number of unused guaranteed accelerators."""
        in_cells = sum(size * count for size, count in self.cells)
        return in_cells + sum(members * size for members, size in self.rack_units)


def full_entitlement(organisation, data_centre):
    """Return the whole guarantee of an organisation in a data centre."""
    cells = Counter()
    rack_units = []
    for guaranteed_centre, shape, count in organisation.guarantees:
        if guaranteed_centre != data_centre:
            continue
        size = cell_size(shape.accelerators)
        if shape.adjacency == Adjacency.RACK:
            rack_units.extend([(shape.members, size)] * count)
        else:
            cells[size] += shape.members * count
    return Entitlement(_sorted_counts(cells), tuple(sorted(rack_units, reverse=True)))


@lru_cache(maxsize=65_536)
def consume(entitlement, shape):
    """Return the entitlement without `shape`, or None if it doesn't cover the shape.

    A larger cell is split like a buddy block. A rack unit that a smaller shape uses
    is split into its cells.
    """
    size = cell_size(shape.accelerators)
    rack_units = list(entitlement.rack_units)
    cells = Counter(dict(entitlement.cells))
    if shape.adjacency == Adjacency.RACK:
        return _consume_rack_unit(rack_units, cells, shape.members, size)
    for _ in range(shape.members):
        if not _allocate_cell(cells, size) and not _split_rack_unit(
            rack_units, cells, size
        ):
            return None
    return Entitlement(_sorted_counts(cells), tuple(rack_units))


def split_running(organisation, data_centre, running, movable=frozenset()):
    """Return (unused entitlement, ids of the running jobs that it covers).

    Jobs whose ids are in `movable` count as not covered, even if the guarantee could
    cover them.

    The result depends only on facts that every scheduler sees alike: jobs that can't
    be reclaimed are covered first, then jobs by start time and id.
    """
    unused = full_entitlement(organisation, data_centre)
    covered_ids = set()
    order = sorted(
        running, key=lambda job: (job.reclaimable, job.started_ms, job.job_id)
    )
    for job in order:
        if job.job_id in movable:
            continue
        remaining = consume(unused, job.shape)
        if remaining is not None:
            unused = remaining
            covered_ids.add(job.job_id)
    return unused, covered_ids


class Capacity:
    """Counts of free or reclaimable blocks, by rack and block size."""

    def __init__(self, masks):
        """Count the blocks of `masks`, one (rack, mask) pair for each worker."""
        self._racks = {}
        for rack, mask in masks:
            self.add(rack, mask, 1)

    def add(self, rack, mask, sign):
        """Add (`sign` 1) or subtract (`sign` -1) the blocks of a worker's mask."""
        counts = self._racks.setdefault(rack, Counter())
        for size, count in free_block_counts(mask):
            counts[size] += sign * count

    def deficit(self, entitlements):
        """Return how many accelerators of all entitlements can't be packed together.

        Exact for cells. Rack units are packed greedily, the largest cells first, so
        the result can be too high for them.
        """
        racks = self._racks
        missing = 0
        units = sorted(
            (unit for entitlement in entitlements for unit in entitlement.rack_units),
            key=lambda unit: (unit[1], unit[0]),
            reverse=True,
        )
        if units:
            racks = {name: Counter(counts) for name, counts in racks.items()}
        for members, size in units:
            missing += _pack_rack_unit(racks, members, size)
        total = Counter()
        for counts in racks.values():
            total.update(counts)
        needs = Counter()
        for entitlement in entitlements:
            for size, count in entitlement.cells:
                needs[size] += count
        return missing + _missing_accelerators(total, needs)


def _pack_rack_unit(racks, members, size):
    """Take a unit's cells from the rack with the fewest such cells that holds it.

    Return the accelerators that are missing: 0, or all of them if no rack holds it.
    """
    best = None
    for name in sorted(racks):
        available = _count_cells(racks[name], size)
        if available >= members and (best is None or available < best[0]):
            best = (available, name)
    if best is None:
        return members * size
    counts = racks[best[1]]
    for _ in range(members):
        _allocate_cell(counts, size)
    return 0


def _count_cells(counts, size):
    """Return how many cells of `size` the counted blocks hold."""
    return sum(
        count * (block // size) for block, count in counts.items() if block >= size
    )


def _missing_accelerators(available, needs):
    """Return the accelerators of the needed cells that the blocks can't hold.

    Goes from the largest size down and splits surplus blocks in two.
    """
    sizes = [size for size in (*available, *needs)]
    missing = 0
    surplus = 0
    size = max(sizes, default=0)
    while size:
        have = available.get(size, 0) + 2 * surplus
        need = needs.get(size, 0)
        missing += max(0, need - have) * size
        surplus = max(0, have - need)
        size //= 2
    return missing


def _allocate_cell(counts, size):
    """Take one cell, splitting the smallest block that fits; return False if none."""
    fitting = [block for block, count in counts.items() if block >= size and count > 0]
    if not fitting:
        return False
    block = min(fitting)
    counts[block] -= 1
    while block > size:
        block //= 2
        counts[block] += 1
    return True


def _split_rack_unit(rack_units, cells, size):
    """Split the first rack unit that fits and take one cell; return False if none."""
    for index, (members, unit_size) in enumerate(rack_units):
        if unit_size >= size:
            del rack_units[index]
            cells[unit_size] += members
            return _allocate_cell(cells, size)
    return False


def _consume_rack_unit(rack_units, cells, members, size):
    """Return the entitlement without the smallest rack unit that fits, or None.

    Members and halves of cells that the shape doesn't use become single cells.
    """
    fitting = [u for u in rack_units if u[0] >= members and u[1] >= size]
    if not fitting:
        return None
    unit = min(fitting, key=lambda u: (u[0] * u[1], u))
    rack_units.remove(unit)
    if unit[0] > members:
        cells[unit[1]] += unit[0] - members
    block = unit[1]
    while block > size:
        block //= 2
        cells[block] += members
    return Entitlement(_sorted_counts(cells), tuple(rack_units))


def _sorted_counts(cells):
    """Return the positive counts as sorted (size, count) pairs."""
    return tuple(sorted((size, count) for size, count in cells.items() if count > 0))
