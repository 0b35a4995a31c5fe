"""A set of whole numbers that are mostly consecutive."""

from bisect import bisect_left, bisect_right


class NumberRanges:
    """Whole numbers, kept as disjoint ranges; memory and time follow their number."""

    def __init__(self):
        self._firsts = []
        self._lasts = []
        self._count = 0

    def __len__(self):
        return self._count

    def __contains__(self, number):
        index = bisect_right(self._firsts, number) - 1
        return index >= 0 and number <= self._lasts[index]

    def add(self, first, last):
        """Add the numbers from `first` to `last`; return how many are new."""
        start = bisect_left(self._lasts, first - 1)
        stop = bisect_right(self._firsts, last + 1)
        known = sum(
            self._lasts[index] - self._firsts[index] + 1 for index in range(start, stop)
        )
        if start < stop:
            first = min(first, self._firsts[start])
            last = max(last, self._lasts[stop - 1])
        self._firsts[start:stop] = [first]
        self._lasts[start:stop] = [last]
        added = last - first + 1 - known
        self._count += added
        return added

    def ranges(self):
        """Return the (first, last) of each range, in order."""
        return tuple(zip(self._firsts, self._lasts, strict=True))

    def gaps(self, count):
        """Return the (first, last) of each range below `count` outside of the set."""
        found = []
        start = 0
        for first, last in self.ranges():
            if first >= count:
                break
            if first > start:
                found.append((start, first - 1))
            start = last + 1
        if start < count:
            found.append((start, count - 1))
        return found
