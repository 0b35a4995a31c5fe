"""Tells which data centres have fallen silent as a whole.

A data centre that is cut off shows in the first workers that don't answer. A run placed
on its other workers would be lost to view until the cut ends or the lease expires.
"""

MIN_SILENT_WORKERS_COUNT = 2  # one worker may be silent for reasons of its own


class SilenceObserver:
    """Counts the workers of each data centre that failed since its last answer."""

    def __init__(self):
        self._silent_workers = {}

    @property
    def silent_data_centres(self):
        """Return the data centres of which several workers and none else answered."""
        return frozenset(
            data_centre
            for data_centre, worker_ids in self._silent_workers.items()
            if len(worker_ids) >= MIN_SILENT_WORKERS_COUNT
        )

    def note_silence(self, entry):
        """Note that a worker, given by its entry, didn't answer a hold or an order."""
        if entry is not None:
            silent = self._silent_workers.setdefault(entry.data_centre, set())
            silent.add(entry.worker_id)

    def note_answer(self, entry):
        """Note that a worker answered; return whether its data centre was silent."""
        if entry is None:
            return False
        silent = self._silent_workers.pop(entry.data_centre, ())
        return len(silent) >= MIN_SILENT_WORKERS_COUNT
