"""Adjacent accelerators in one worker, as aligned power-of-two cells of a bit mask.

Aligned cells split and merge like buddy blocks, so what can still be packed is
a matter of counting blocks of each size.
"""

from collections import Counter
from functools import lru_cache


def cell_size(accelerators):
    """Return the size of the smallest cell that holds `accelerators`."""
    return 1 << max(0, accelerators - 1).bit_length()


def full_mask(accelerators):
    """Return the mask of a worker with all accelerators free."""
    return (1 << accelerators) - 1


def mask_of(indexes):
    """Return the mask with these accelerator indexes set."""
    mask = 0
    for index in indexes:
        mask |= 1 << index
    return mask


def indexes_of(mask):
    """Return the accelerator indexes set in a mask, lowest first."""
    return tuple(index for index in range(mask.bit_length()) if mask >> index & 1)


def cell_mask(start, accelerators):
    """Return the mask of `accelerators` from `start` on."""
    return full_mask(accelerators) << start


@lru_cache(maxsize=65_536)
def starts(mask, accelerators):
    """Return (enclosing block size, start) of each place for `accelerators` in `mask`.

    Sorted so that the place in the smallest enclosing free block comes first: taking
    it spares the larger blocks.
    """
    size = cell_size(accelerators)
    found = []
    for start in range(0, mask.bit_length(), size):
        wanted = cell_mask(start, accelerators)
        if mask & wanted == wanted:
            found.append((_enclosing(mask, start, size), start))
    return tuple(sorted(found))


@lru_cache(maxsize=65_536)
def blocks(mask):
    """Return (size, count) pairs of the largest aligned free blocks of a mask."""
    counts = Counter()
    _count_blocks(mask, 0, cell_size(max(1, mask.bit_length())), counts)
    return tuple(counts.items())


def largest_block(mask):
    """Return the size of the largest aligned free block, 0 where none is free."""
    return max((size for size, _ in blocks(mask)), default=0)


def _enclosing(mask, start, size):
    while True:
        double = size * 2
        base = start - start % double
        wanted = cell_mask(base, double)
        if mask & wanted != wanted:
            return size
        size, start = double, base


def _count_blocks(mask, start, size, counts):
    wanted = cell_mask(start, size)
    if mask & wanted == wanted:
        counts[size] += 1
        return
    if size == 1 or not mask & wanted:
        return
    half = size // 2
    _count_blocks(mask, start, half, counts)
    _count_blocks(mask, start + half, half, counts)
