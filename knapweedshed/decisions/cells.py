"""Cells: aligned power-of-two ranges of a worker's accelerators, as bit masks.

Bit i of a mask stands for accelerator i. Cells split and merge as in a buddy
allocator. A block is a free cell that is not part of a larger free cell; the number of
blocks of each size is enough to tell what can still be packed.
"""

from collections import Counter
from functools import lru_cache


def cell_size(accelerators):
    """Return the size of the smallest cell that holds this many accelerators."""
    return 1 << max(0, accelerators - 1).bit_length()


def full_mask(accelerators):
    """Return the mask with the lowest `accelerators` bits set."""
    return (1 << accelerators) - 1


def mask_of(indexes):
    """Return the mask of these accelerator indexes."""
    mask = 0
    for index in indexes:
        mask |= 1 << index
    return mask


def indexes_of(mask):
    """Return the accelerator indexes of a mask, lowest first."""
    return tuple(index for index in range(mask.bit_length()) if mask >> index & 1)


def cell_mask(start, accelerators):
    """Return the mask of `accelerators` adjacent bits from bit `start` on."""
    return full_mask(accelerators) << start


@lru_cache(maxsize=65_536)
def fitting_cells(mask, accelerators):
    """Return (enclosing block size, start) of each cell of `mask` that fits.

    A cell fits if its first `accelerators` bits are free. The cell in the smallest
    enclosing free block comes first: using it leaves the larger blocks whole.
    """
    size = cell_size(accelerators)
    found = []
    for start in range(0, mask.bit_length(), size):
        wanted = cell_mask(start, accelerators)
        if mask & wanted == wanted:
            found.append((_enclosing_block_size(mask, start, size), start))
    return tuple(sorted(found))


@lru_cache(maxsize=65_536)
def free_block_counts(mask):
    """Return (size, count) pairs of the maximal aligned free blocks of a mask."""
    counts = Counter()
    _count_blocks(mask, 0, cell_size(max(1, mask.bit_length())), counts)
    return tuple(counts.items())


def largest_block(mask):
    """Return the size of the largest aligned free block, 0 if none is free."""
    return max((size for size, _ in free_block_counts(mask)), default=0)


def _enclosing_block_size(mask, start, size):
    """Return the size of the largest free block around the cell at `start`."""
    while True:
        double_size = size * 2
        base = start - start % double_size
        wanted = cell_mask(base, double_size)
        if mask & wanted != wanted:
            return size
        size, start = double_size, base


def _count_blocks(mask, start, size, counts):
    """Add the maximal free blocks of one aligned range to `counts`, by size."""
    wanted = cell_mask(start, size)
    if mask & wanted == wanted:
        counts[size] += 1
        return
    if size == 1 or not mask & wanted:
        return
    half = size // 2
    _count_blocks(mask, start, half, counts)
    _count_blocks(mask, start + half, half, counts)
