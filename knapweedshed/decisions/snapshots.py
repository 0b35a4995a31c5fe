"""Schedules snapshots of open jobs, so that log retention does not drop the jobs.

Ages are measured by the wall-clock times in the records. The wall clock may jump by
seconds, which does not matter: the log keeps records for minutes.
"""

SNAPSHOTS_PER_RETENTION_COUNT = 3  # two of them may fail before a record expires
MAX_BATCH_JOBS = 20  # per append: keeps it under a quarter of a megabyte
# A snapshot that is not read back by then is written again.
SNAPSHOT_READ_BACK_TIMEOUT_MS = 5_000


class SnapshotSchedule:
    """Decides for the acting scheduler which open jobs need a new snapshot.

    `retention_ms` is how long the log keeps a record.
    """

    def __init__(self, retention_ms):
        self._period_ms = retention_ms // SNAPSHOTS_PER_RETENTION_COUNT
        self._sent_ms = {}

    def take_due(self, ledger, wall_ms):
        """Return the ids of the jobs to write now, and mark them as sent."""
        self._sent_ms = {
            job_id: sent_ms
            for job_id, sent_ms in self._sent_ms.items()
            if wall_ms - sent_ms < SNAPSHOT_READ_BACK_TIMEOUT_MS
        }
        due = [
            job_id
            for job_id, progress in ledger.open_jobs.items()
            if wall_ms - progress.written_wall_ms >= self._period_ms
            and job_id not in self._sent_ms
        ][:MAX_BATCH_JOBS]
        for job_id in due:
            self._sent_ms[job_id] = wall_ms
        return due
