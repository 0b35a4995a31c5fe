"""Which units of a job are done.

A job has up to 100,000 tasks, or as many occurrences. The units that are done are
mostly consecutive, so they are kept as ranges: finding the first ones that are left,
or telling whether a step is done, takes no look at each of them.
"""

from collections.abc import Set

from knapweedshed.decisions.number_ranges import NumberRanges
from knapweedshed.models.work import GANG_INDEX, Unit
from knapweedshed.models.work_records import ALL_STEPS, DoneRange


class DoneUnits(Set):
    """The set of a job's done units; those that the job doesn't have are ignored."""

    def __init__(self, job):
        self._job = job
        self._occurrence_count = max(1, job.repeats)
        self._unit_counts = tuple(
            1 if step.gang else step.count for step in job.steps
        )  # by step
        self._ended_occurrences = NumberRanges()
        self._indexes = {}  # by (occurrence, step) of the other occurrences
        self._ended_steps = {}  # by occurrence, of the other occurrences
        self._count = 0

    def __len__(self):
        return self._count

    def __contains__(self, unit):
        if unit.job_id != self._job.job_id:
            return False
        if unit.occurrence in self._ended_occurrences:
            return self._has_index(unit.step, unit.index)
        indexes = self._indexes.get((unit.occurrence, unit.step))
        return indexes is not None and self._position(unit.index) in indexes

    def __iter__(self):
        for first, last in self._ended_occurrences.ranges():
            for occurrence in range(first, last + 1):
                for step, count in enumerate(self._unit_counts):
                    yield from self._units(occurrence, step, ((0, count - 1),))
        for (occurrence, step), indexes in self._indexes.items():
            yield from self._units(occurrence, step, indexes.ranges())

    def add(self, unit):
        """Add a unit; return whether that is new."""
        if not self._has_index(unit.step, unit.index):
            return False
        position = self._position(unit.index)
        return self._add(unit.occurrence, unit.step, position, position) > 0

    def add_range(self, done_range):
        """Add the units of a `DoneRange`."""
        occurrences = range(
            max(0, done_range.first_occurrence),
            min(done_range.last_occurrence, self._occurrence_count - 1) + 1,
        )
        if done_range.step == ALL_STEPS:
            self._end_occurrences(occurrences)
            return
        if not 0 <= done_range.step < len(self._unit_counts):
            return
        first = max(0, done_range.first_index)
        last = min(done_range.last_index, self._unit_counts[done_range.step] - 1)
        if first <= last:
            for occurrence in occurrences:
                self._add(occurrence, done_range.step, first, last)

    def to_ranges(self):
        """Return the units as `DoneRange`s."""
        whole = [
            DoneRange(first, last) for first, last in self._ended_occurrences.ranges()
        ]
        return (
            *whole,
            *(
                DoneRange(occurrence, occurrence, step, first, last)
                for (occurrence, step), indexes in self._indexes.items()
                for first, last in indexes.ranges()
            ),
        )

    def has_step(self, occurrence, step):
        """Return whether all units of a step are done."""
        if occurrence in self._ended_occurrences:
            return True
        return step in self._ended_steps.get(occurrence, ())

    def is_untouched(self, occurrence):
        """Return whether no step of an occurrence is done."""
        if occurrence in self._ended_occurrences:
            return False
        return not self._ended_steps.get(occurrence)

    def open_occurrences(self, count, newest_first=False):
        """Yield the first `count` occurrences that aren't done."""
        gaps = self._ended_occurrences.gaps(count)
        step = -1 if newest_first else 1
        for first, last in gaps[::step]:
            for occurrence in range(first, last + 1)[::step]:
                # Some may have ended since the caller took the one before.
                if occurrence not in self._ended_occurrences:
                    yield occurrence

    def units_left(self, occurrence, step):
        """Yield the units of a step that aren't done."""
        count = self._unit_counts[step]
        indexes = self._indexes.get((occurrence, step))
        gaps = ((0, count - 1),) if indexes is None else indexes.gaps(count)
        yield from self._units(occurrence, step, gaps)

    def _has_index(self, step, index):
        if not 0 <= step < len(self._unit_counts):
            return False
        if self._job.steps[step].gang:
            return index == GANG_INDEX
        return 0 <= index < self._unit_counts[step]

    def _position(self, index):
        """Return the position of a unit in its step; a gang is one unit."""
        return 0 if index == GANG_INDEX else index

    def _units(self, occurrence, step, ranges):
        job_id, gang = self._job.job_id, self._job.steps[step].gang
        for first, last in ranges:
            for position in range(first, last + 1):
                index = GANG_INDEX if gang else position
                yield Unit(job_id, occurrence, step, index)

    def _add(self, occurrence, step, first, last):
        if not 0 <= occurrence < self._occurrence_count:
            return 0
        if occurrence in self._ended_occurrences:
            return 0
        indexes = self._indexes.setdefault((occurrence, step), NumberRanges())
        added = indexes.add(first, last)
        self._count += added
        if len(indexes) == self._unit_counts[step]:
            ended_steps = self._ended_steps.setdefault(occurrence, set())
            ended_steps.add(step)
            if len(ended_steps) == len(self._unit_counts):
                self._end_occurrences((occurrence,))
        return added

    def _end_occurrences(self, occurrences):
        for occurrence in occurrences:
            if occurrence in self._ended_occurrences:
                continue
            for step, count in enumerate(self._unit_counts):
                indexes = self._indexes.pop((occurrence, step), ())
                self._count += count - len(indexes)
            self._ended_steps.pop(occurrence, None)
            self._ended_occurrences.add(occurrence, occurrence)
