"""The ledger of the work stream: first record wins, stale epochs are ignored."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.decisions.snapshots import SnapshotSchedule
from knapweedshed.decisions.work_ledger import MAX_ENDED_JOBS, WorkLedger
from knapweedshed.models.work import GANG_INDEX, EndKind, Task, TaskEnd, Unit, WorkState
from knapweedshed.models.work_records import (
    ActingBeat,
    ActingClaimed,
    ActingResigned,
    Launched,
    RunsLaunched,
    TasksEnded,
    WorkAccepted,
    WorkCancelled,
)
from tests.dispatch_harness import make_job, make_step

JOB_ID = "a" * 16


def make_ledger(*records):
    """Return a ledger that has applied the records in order."""
    ledger = WorkLedger()
    for offset, record in enumerate(records):
        ledger.apply(offset, record)
    return ledger


def make_end(index, kind=EndKind.DONE, run=1, saved=""):
    """Return the end of a run of a task of the first step."""
    return TaskEnd(1, Task(JOB_ID, 0, 0, index), run, kind, saved)


class WorkLedgerTest(unittest.TestCase):
    """One stream, applied in order."""

    def test_first_record_of_a_job_id_wins(self):
        other = make_job(priority=0)
        ledger = make_ledger(WorkAccepted(make_job()), WorkAccepted(other))
        self.assertEqual(ledger.jobs[JOB_ID].job.priority, 1)

    def test_ends_under_a_replaced_epoch_are_ignored(self):
        ledger = make_ledger(
            WorkAccepted(make_job()),
            ActingClaimed(1, "h1"),
            ActingClaimed(2, "h2"),
            TasksEnded(1, (make_end(0),)),
        )
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.PENDING)
        ledger.apply(9, TasksEnded(2, (make_end(0),)))
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.COMPLETED)

    def test_second_claim_of_an_epoch_is_ignored(self):
        ledger = make_ledger(ActingClaimed(1, "h1"), ActingClaimed(1, "h2"))
        self.assertEqual((ledger.epoch, ledger.acting_host), (1, "h1"))

    def test_resignation_keeps_the_epoch(self):
        ledger = make_ledger(ActingClaimed(1, "h1"), ActingResigned(1))
        self.assertEqual((ledger.epoch, ledger.acting_host), (1, ""))

    def test_late_duplicate_of_a_launch_does_not_replace_a_later_run(self):
        unit = Unit(JOB_ID, 0, 0, 0)
        first = RunsLaunched(1, (Launched(unit, 1, (("w0", 1),)),))
        second = RunsLaunched(1, (Launched(unit, 2, (("w1", 1),)),))
        ledger = make_ledger(
            WorkAccepted(make_job()), ActingClaimed(1, "h"), first, second, first
        )
        self.assertEqual(ledger.jobs[JOB_ID].launched[unit].run, 2)

    def test_cancelled_job_stays_cancelled(self):
        ledger = make_ledger(
            WorkAccepted(make_job()),
            ActingClaimed(1, "h"),
            WorkCancelled(JOB_ID),
            TasksEnded(1, (make_end(0),)),
        )
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.CANCELLED)

    def test_end_of_one_member_completes_a_gang(self):
        job = make_job(steps=(make_step(3, gang=True),))
        ledger = make_ledger(
            WorkAccepted(job), ActingClaimed(1, "h"), TasksEnded(1, (make_end(2),))
        )
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.COMPLETED)
        self.assertIn(Unit(JOB_ID, 0, 0, GANG_INDEX), ledger.jobs[JOB_ID].done)

    def test_failures_of_several_members_of_one_run_count_once(self):
        job = make_job(steps=(make_step(3, gang=True),), max_failures=2)
        ends = (make_end(0, EndKind.FAILED), make_end(1, EndKind.FAILED))
        ledger = make_ledger(
            WorkAccepted(job), ActingClaimed(1, "h"), TasksEnded(1, ends)
        )
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.PENDING)
        ledger.apply(9, TasksEnded(1, (make_end(2, EndKind.FAILED, run=2),)))
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.FAILED)

    def test_only_failures_count_towards_the_failure_limit(self):
        ends = tuple(
            make_end(0, kind, run)
            for run, kind in enumerate(
                (EndKind.STOPPED, EndKind.LAPSED, EndKind.BROKEN, EndKind.ALONE), 1
            )
        )
        job = make_job(max_failures=1)
        ledger = make_ledger(
            WorkAccepted(job), ActingClaimed(1, "h"), TasksEnded(1, ends)
        )
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.PENDING)

    def test_late_reader_knows_open_jobs_and_the_acting_host(self):
        unit = Unit(JOB_ID, 0, 0, 0)
        job = make_job(steps=(make_step(2),), max_failures=2)
        full_ledger = make_ledger(
            WorkAccepted(job),
            ActingClaimed(1, "h1"),
            RunsLaunched(1, (Launched(unit, 4, (("w0", 1),)),)),
            TasksEnded(1, (make_end(0, saved="s3"), make_end(1, EndKind.FAILED))),
        )
        snapshot = full_ledger.jobs[JOB_ID].snapshot(1, 7_000)
        late_ledger = make_ledger(ActingBeat(1, "h1"), snapshot)
        self.assertEqual((late_ledger.epoch, late_ledger.acting_host), (1, "h1"))
        for name in ("done", "failed_runs", "saved", "launched", "state"):
            self.assertEqual(
                getattr(late_ledger.jobs[JOB_ID], name),
                getattr(full_ledger.jobs[JOB_ID], name),
                name,
            )

    def test_old_snapshot_does_not_revert_progress(self):
        early_snapshot = (
            make_ledger(WorkAccepted(make_job())).jobs[JOB_ID].snapshot(1, 5_000)
        )
        ledger = make_ledger(
            WorkAccepted(make_job()),
            ActingClaimed(1, "h"),
            TasksEnded(1, (make_end(0),)),
        )
        ledger.apply(9, early_snapshot)
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.COMPLETED)

    def test_snapshot_of_a_replaced_epoch_is_ignored(self):
        snapshot = make_ledger(WorkAccepted(make_job())).jobs[JOB_ID].snapshot(1, 5_000)
        ledger = make_ledger(ActingClaimed(1, "h1"), ActingClaimed(2, "h2"), snapshot)
        self.assertEqual(ledger.jobs, {})

    def test_open_jobs_are_written_again_well_before_their_records_expire(self):
        schedule = SnapshotSchedule(retention_ms=300_000)
        ledger = make_ledger(WorkAccepted(make_job()), ActingClaimed(1, "h"))
        self.assertEqual(schedule.take_due(ledger, 99_999), [])
        self.assertEqual(schedule.take_due(ledger, 100_000), [JOB_ID])
        self.assertEqual(schedule.take_due(ledger, 100_200), [])
        self.assertEqual(schedule.take_due(ledger, 105_300), [JOB_ID])
        ledger.apply(9, ledger.jobs[JOB_ID].snapshot(1, 105_300))
        self.assertEqual(schedule.take_due(ledger, 200_000), [])

    def test_number_of_ended_jobs_kept_is_limited(self):
        ledger = WorkLedger()
        for number in range(MAX_ENDED_JOBS + 10):
            job_id = f"{number:016x}"
            ledger.apply(0, WorkAccepted(make_job(job_id)))
            ledger.apply(1, WorkCancelled(job_id))
        self.assertEqual(len(ledger.jobs), MAX_ENDED_JOBS)
        self.assertNotIn(f"{0:016x}", ledger.jobs)

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 7), max_size=20), st.integers(1, 3))
    def test_duplicate_records_change_nothing(self, order, copies):
        records = [
            WorkAccepted(make_job(steps=(make_step(2),))),
            ActingClaimed(1, "h1"),
            TasksEnded(1, (make_end(0),)),
            TasksEnded(1, (make_end(1, EndKind.FAILED),)),
            ActingClaimed(2, "h2"),
            TasksEnded(2, (make_end(1, run=2),)),
            WorkCancelled(JOB_ID),
            ActingResigned(1),
        ]
        stream = [records[index] for index in order]
        repeated = [record for record in stream for _ in range(copies)]
        from_single, from_repeated = make_ledger(*stream), make_ledger(*repeated)
        self.assertEqual(from_single.epoch, from_repeated.epoch)
        for job_id, progress in from_single.jobs.items():
            self.assertEqual(progress.state, from_repeated.jobs[job_id].state)
            self.assertEqual(progress.done, from_repeated.jobs[job_id].done)


if __name__ == "__main__":
    unittest.main()
