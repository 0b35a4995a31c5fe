"""Ends of runs that must be in the log before the scheduler acts on them."""

from knapweedshed.models.dispatch_actions import RecordTaskEnds

END_READ_BACK_TIMEOUT_MS = 1_500  # an end not read back from the log by then is resent


class UnrecordedEnds:
    """Ends that workers reported and that are not read back from the log yet."""

    def __init__(self):
        self._ends = {}
        self._sent_ms = {}

    def add(self, end):
        """Add an end that a worker reported."""
        self._ends[end.task, end.run] = end

    def confirm(self, end):
        """Remove an end that was read back from the log."""
        self._ends.pop((end.task, end.run), None)
        self._sent_ms.pop((end.task, end.run), None)

    def tasks(self):
        """Return the tasks that have an unrecorded end."""
        return {task for task, _ in self._ends}

    def take_unsent(self, now_ms):
        """Return [`RecordTaskEnds`] of the ends not sent yet, or []; mark them sent."""
        ends = [end for key, end in self._ends.items() if key not in self._sent_ms]
        return self._mark_sent(ends, now_ms)

    def take_overdue(self, now_ms):
        """Return [`RecordTaskEnds`] of the ends not read back in time, or []."""
        ends = [
            end
            for key, end in self._ends.items()
            if now_ms - self._sent_ms.get(key, 0) > END_READ_BACK_TIMEOUT_MS
        ]
        return self._mark_sent(ends, now_ms)

    def _mark_sent(self, ends, now_ms):
        for end in ends:
            self._sent_ms[end.task, end.run] = now_ms
        return [RecordTaskEnds(tuple(ends))] if ends else []
