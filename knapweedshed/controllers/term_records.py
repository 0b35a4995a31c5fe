"""Records that the acting host writes to the work stream beside its decisions."""

from collections import Counter

from knapweedshed.controllers.load_reports import LoadReports
from knapweedshed.decisions.snapshots import SnapshotSchedule
from knapweedshed.decisions.work_ledger import shows_end
from knapweedshed.models.work import WorkState
from knapweedshed.models.work_records import SpeedsLearned, WorkCancelled

# Of one job in a term: late copies of its snapshots may come one after the other.
MAX_END_RECORDS_COUNT = 3
SPEEDS_RECORD_PERIOD_MS = 1_000  # bounds what a host that takes over has to learn again


class TermRecords:
    """Snapshots, speeds, loads and repeated ends; for the scheduling controller."""

    def __init__(self, context, ledger, settings, overload_policies):
        self._context = context
        self._clock = context.clock
        self._ledger = ledger
        self._reports_load = overload_policies.admission_control
        self._load_reports = None
        self._snapshot_schedule = SnapshotSchedule(settings.log_keep_ms)
        self._end_records = Counter()
        self._speeds_recorded_ms = 0

    def begin_term(self):
        """Forget what an earlier term has recorded again."""
        self._end_records = Counter()
        if self._reports_load:
            self._load_reports = LoadReports(self._context, self._ledger)

    def note_ends(self, ends):
        """Take the ends of runs that were read back from the log."""
        if self._load_reports is not None:
            self._load_reports.note_ends(ends)

    def due(self, dispatcher, now_ms):
        """Return the snapshots, learned speeds and loads to append now."""
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
        if self._load_reports is not None:
            records.extend(self._load_reports.due(dispatcher, now_ms))
        return records

    def last_snapshots(self, job_ids):
        """Return a last snapshot of jobs that have ended and were described again.

        An earlier snapshot may stand in the log after ends that were read after it was
        taken, and so may a second acceptance. A reader for whom the log begins between
        the two would run those tasks again. The last snapshot of a job that ended
        shortly before a term may not be in force.
        """
        records = []
        for job_id in set(job_ids):
            progress = self._ledger.jobs.get(job_id)
            if progress is None or progress.active or progress.is_end_written:
                continue
            if progress.was_described_again and job_id not in self._end_records:
                records.append(self._describe_end(progress))
        return records

    def ends_again(self, descriptions):
        """Return the ends of jobs that stand in the log before their jobs.

        A snapshot may be written just before its job's end is read, and a cancel may
        come before its acceptance. A reader for whom the log begins between the two
        would take the job for open. `descriptions` are acceptances and snapshots.
        """
        records = []
        for description in descriptions:
            job_id = description.job.job_id
            progress = self._ledger.jobs.get(job_id)
            if progress is None or progress.active or shows_end(description):
                continue
            is_cancelled = progress.state == WorkState.CANCELLED
            max_count = 1 if is_cancelled else MAX_END_RECORDS_COUNT
            if self._end_records[job_id] < max_count:
                records.append(self._describe_end(progress))
        return records

    def _describe_end(self, progress):
        """Return a record that ends a job for readers of its latest description."""
        job_id = progress.job.job_id
        self._end_records[job_id] += 1
        if progress.state == WorkState.CANCELLED:
            return WorkCancelled(job_id)
        return progress.snapshot(self._ledger.epoch, self._clock.wall_ms())
