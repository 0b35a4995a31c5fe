"""Remembers in a planning pass which searches for room have found none."""

from typing import NamedTuple


class SearchKey(NamedTuple):
    """All that the room for a unit depends on, beside the capacity of the workers.

    `min_speed` is the lowest speed of a worker that is fast enough, or 0.0 if all are.
    `avoided` has the ids of the workers that the unit avoids now. `limited_step` has
    (job id, occurrence, step) if the step limits its tasks on one worker: the limit
    counts the tasks of that step alone. `excludes_kept` means that the unit may not use
    the workers kept for urgent work.
    """

    service: str
    step: object
    count: int
    multi_rack: bool
    min_speed: float
    avoided: frozenset
    limited_step: tuple
    excludes_kept: bool = False


class FailedSearches:
    """Searches that have found nothing.

    A key holds all that the answer depends on, the version of the capacity included if
    it may grow before the next search.
    """

    def __init__(self):
        self._keys = set()

    def has(self, key):
        """Return whether a search with this key has found nothing."""
        return key in self._keys

    def add(self, key):
        """Remember a search that has found nothing."""
        self._keys.add(key)

    def clear(self):
        """Forget all, as capacity has grown."""
        self._keys.clear()
