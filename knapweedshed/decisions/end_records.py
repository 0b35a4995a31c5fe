"""Ends that must stand in the log before anything follows from them."""

from knapweedshed.models.work_orders import RecordEnds

RECORD_AGAIN_MS = 1_500  # an end whose record isn't read back by then is written again


class EndRecords:
    """Ends that workers listed and that were not read back from the log yet."""

    def __init__(self):
        self._ends = {}
        self._sent_ms = {}

    def add(self, end):
        """Count an end as not recorded."""
        self._ends[end.task, end.run] = end

    def read_back(self, end):
        """An end stands in the log."""
        self._ends.pop((end.task, end.run), None)
        self._sent_ms.pop((end.task, end.run), None)

    def tasks(self):
        """Return the tasks that have an end which is not recorded."""
        return {task for task, _ in self._ends}

    def fresh(self, now_ms):
        """Return a record of the ends that were not sent yet, or none."""
        ends = [end for key, end in self._ends.items() if key not in self._sent_ms]
        return self._record(ends, now_ms)

    def overdue(self, now_ms):
        """Return a record of the ends that should have been read back, or none."""
        ends = [
            end
            for key, end in self._ends.items()
            if now_ms - self._sent_ms.get(key, 0) > RECORD_AGAIN_MS
        ]
        return self._record(ends, now_ms)

    def _record(self, ends, now_ms):
        for end in ends:
            self._sent_ms[end.task, end.run] = now_ms
        return [RecordEnds(tuple(ends))] if ends else []
