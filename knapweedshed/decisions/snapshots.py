"""When an open job is written to the log again, so that retention does not drop it.

Ages are by the time of day that the records carry: it jumps by seconds, and the log
keeps records for minutes.
"""

RENEWALS_COUNT = 3  # in the time that the log keeps a record: two may fail
BATCH_COUNT = 20  # jobs a step: an append stays under a quarter of a megabyte
AGAIN_MS = 5_000  # a snapshot that isn't read back by then is written again


class SnapshotSchedule:
    """Which open jobs are due; the acting scheduler's."""

    def __init__(self, keep_ms):
        self._period_ms = keep_ms // RENEWALS_COUNT
        self._sent_ms = {}

    def due(self, ledger, wall_ms):
        """Return the ids of jobs to write now, and count them as sent."""
        self._sent_ms = {
            job_id: sent_ms
            for job_id, sent_ms in self._sent_ms.items()
            if wall_ms - sent_ms < AGAIN_MS
        }
        due = [
            job_id
            for job_id, progress in ledger.open_jobs.items()
            if wall_ms - progress.written_wall_ms >= self._period_ms
            and job_id not in self._sent_ms
        ][:BATCH_COUNT]
        for job_id in due:
            self._sent_ms[job_id] = wall_ms
        return due
