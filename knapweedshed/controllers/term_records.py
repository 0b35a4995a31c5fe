"""Records that the acting host writes to the work stream beside its decisions."""

from knapweedshed.decisions.snapshots import SnapshotSchedule
from knapweedshed.models.work import WorkState
from knapweedshed.models.work_records import SpeedsLearned, WorkCancelled

SPEEDS_RECORD_PERIOD_MS = 1_000  # bounds what a host that takes over has to learn again


class TermRecords:
    """Snapshots, learned speeds and repeated ends; for the scheduling controller."""

    def __init__(self, clock, ledger, settings):
        self._clock = clock
        self._ledger = ledger
        self._snapshot_schedule = SnapshotSchedule(settings.log_keep_ms)
        self._ends_recorded_again = set()
        self._speeds_recorded_ms = 0

    def begin_term(self):
        """Forget what an earlier term has recorded again."""
        self._ends_recorded_again = set()

    def due(self, dispatcher, now_ms):
        """Return the snapshots and the learned speeds to append now."""
        epoch = self._ledger.epoch
        wall_ms = self._clock.wall_ms()
        records = [
            self._ledger.jobs[job_id].snapshot(epoch, wall_ms)
            for job_id in self._snapshot_schedule.take_due(self._ledger, wall_ms)
        ]
        if now_ms - self._speeds_recorded_ms >= SPEEDS_RECORD_PERIOD_MS:
            self._speeds_recorded_ms = now_ms
            speeds = dispatcher.take_speed_report(now_ms)
            if speeds:
                records.append(SpeedsLearned(epoch, speeds))
        return records

    def ends_again(self, job_ids):
        """Return the ends of jobs that stand in the log before their jobs.

        A snapshot may be written just before its job's end is read, and a cancel may
        come before its acceptance. A reader for whom the log begins between the two
        would take the job for open.
        """
        records = []
        for job_id in set(job_ids) - self._ends_recorded_again:
            progress = self._ledger.jobs.get(job_id)
            if progress is None or progress.active:
                continue
            self._ends_recorded_again.add(job_id)
            if progress.state == WorkState.CANCELLED:
                records.append(WorkCancelled(job_id))
            else:
                wall_ms = self._clock.wall_ms()
                records.append(progress.snapshot(self._ledger.epoch, wall_ms))
        return records
