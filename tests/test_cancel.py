"""A cancel that is acknowledged stops its job, whichever host was asked and when.

Guards against a 410 that rests on an old copy of the log: the job went on for all its
steps though its caller had been told that there was no such job.
"""

import unittest

from knapweedshed.clock import ManualClock
from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_test_context
from knapweedshed.controllers.jobs import (
    LOG_FRESHNESS_MS,
    LOG_READ_TIMEOUT_MS,
    JobsController,
)
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendRecord,
    ReadNow,
    RecordsRead,
    Tick,
)
from knapweedshed.controllers.work_messages import (
    CallAdmitted,
    UseCallsController,
    UseLogTail,
)
from knapweedshed.decisions.work_ledger import MAX_EARLY_CANCELS_COUNT, WorkLedger
from knapweedshed.models.calls import CallKind, LogState, WorkCall
from knapweedshed.models.outcomes import StoredRecord
from knapweedshed.models.work import EndKind, Task, TaskEnd, WorkState
from knapweedshed.models.work_records import (
    WORK_STREAM,
    ActingClaimed,
    TasksEnded,
    WorkAccepted,
    WorkCancelled,
    WorkSnapshot,
)
from knapweedshed.results import ResultCode
from tests.cancel_race import run_race
from tests.dispatch_harness import make_job
from tests.scheduling_harness import FakeActorRef, SchedulingHarness

JOB_ID = "a" * 16
RACE_JOBS = 120
RACE_SEED = 1


class CancelTest(unittest.TestCase):
    """Cancels at a host that doesn't know the job, or not yet."""

    def setUp(self):
        register_all()
        self.clock = ManualClock(60_000)
        self.appender, self.calls = FakeActorRef(), FakeActorRef()
        self.tail = FakeActorRef()
        context = create_test_context(clock=self.clock)
        self.jobs = JobsController(context, self.appender, 262_144)
        self.jobs.receive(UseCallsController(self.calls))
        self.jobs.receive(UseLogTail(self.tail))
        self.offset = 0
        self._read([])

    def _read(self, records, caught_up=True):
        """Deliver a page of the log; appends are given as they were sent."""
        stored = []
        for record in records:
            record_id, body = f"o{self.offset}", None
            if isinstance(record, AppendRecord):
                record_id, body = record.record_id, record.body
            body = body or json_text.dumps(record)
            stored.append(StoredRecord(self.offset, record_id, body))
            self.offset += 1
        now_ms = self.clock.now_ms()
        page = RecordsRead(WORK_STREAM, tuple(stored), 0, caught_up, now_ms)
        self.jobs.receive(page)

    def _call(self, kind=CallKind.CANCEL):
        now_ms = self.clock.now_ms()
        call = WorkCall(
            "c1", kind, "h", "/", "key", now_ms, now_ms + 3_000, job_id=JOB_ID
        )
        self.jobs.receive(CallAdmitted(call))

    def _codes(self):
        return [message.reply.result.code for message in self.calls.messages]

    def _appended(self):
        (append,) = self.appender.take(AppendRecord)
        return append

    def test_cancel_of_an_unknown_job_is_recorded_before_it_is_answered(self):
        self._call()
        append = self._appended()
        self.assertEqual(json_text.loads_message(append.body), WorkCancelled(JOB_ID))
        self.jobs.receive(AppendDone(append.record_id, 1))
        self.assertEqual(self._codes(), [])
        self.assertEqual(self.tail.messages, [ReadNow()])
        self._read([append])
        self.assertEqual(self._codes(), [ResultCode.NOT_FOUND])

    def test_job_that_another_host_accepted_before_is_cancelled(self):
        self._call()
        self._read([WorkAccepted(make_job(JOB_ID)), self._appended()])
        self.assertEqual(self._codes(), [ResultCode.OK])

    def test_nothing_is_acknowledged_while_the_log_does_not_answer(self):
        # A host that is cut off from the log answered 410 for 2.5 s.
        self._call()
        append = self._appended()
        self.clock.advance(LOG_FRESHNESS_MS - 100)
        self.jobs.receive(Tick())
        self.assertEqual(self._codes(), [])
        self.clock.advance(600)
        self.jobs.receive(Tick())
        self.assertEqual(self._codes(), [ResultCode.OUTCOME_UNKNOWN])
        self.calls.messages.clear()
        self._call()
        self.assertNotIn(ResultCode.NOT_FOUND, self._codes())
        self._read([append])

    def test_cancel_of_a_known_job_is_acknowledged_with_its_append(self):
        self._read([WorkAccepted(make_job(JOB_ID))])
        self._call()
        self.jobs.receive(AppendDone(self._appended().record_id, 1))
        self.assertEqual(self._codes(), [ResultCode.OK])

    def test_cancel_of_a_job_that_is_over_needs_no_record(self):
        self._read([WorkAccepted(make_job(JOB_ID)), WorkCancelled(JOB_ID)])
        self._call()
        self.assertEqual(self._codes(), [ResultCode.OK])
        self.assertEqual(self.appender.messages, [])

    def test_reply_says_how_far_the_log_was_read(self):
        self._read([WorkAccepted(make_job(JOB_ID)), WorkCancelled(JOB_ID)])
        self.clock.advance(70)
        self._call()
        self.assertEqual(self.calls.messages[0].reply.log_state, LogState(1, 70))

    def test_page_before_the_end_of_the_log_shows_no_job_as_unknown(self):
        self.clock.advance(LOG_FRESHNESS_MS)
        self._call(CallKind.STATE)
        self.assertEqual(self._codes(), [ResultCode.LOG_UNAVAILABLE])
        self.calls.messages.clear()
        self._read([WorkAccepted(make_job("b" * 16))], caught_up=False)
        self._call(CallKind.STATE)
        self.clock.advance(LOG_READ_TIMEOUT_MS)
        self.jobs.receive(Tick())
        self.assertEqual(self._codes(), [ResultCode.LOG_UNAVAILABLE])


class EarlyCancelTest(unittest.TestCase):
    """A cancel that is in the log before the acceptance of its job."""

    def _fold(self, *records):
        ledger = WorkLedger()
        for offset, record in enumerate(records):
            ledger.apply(offset, record)
        return ledger

    def test_job_that_is_accepted_after_its_cancel_is_cancelled(self):
        ledger = self._fold(WorkCancelled(JOB_ID), WorkAccepted(make_job(JOB_ID)))
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.CANCELLED)
        self.assertEqual(ledger.open_jobs, {})

    def test_job_that_a_snapshot_brings_after_its_cancel_is_cancelled(self):
        snapshot = WorkSnapshot(1, make_job(JOB_ID))
        ledger = self._fold(ActingClaimed(1, "h"), WorkCancelled(JOB_ID), snapshot)
        self.assertEqual(ledger.jobs[JOB_ID].state, WorkState.CANCELLED)

    def test_job_that_is_only_cancelled_is_not_shown(self):
        self.assertEqual(self._fold(WorkCancelled(JOB_ID)).jobs, {})

    def test_number_of_early_cancels_is_bounded(self):
        ids = [f"{n:016x}" for n in range(MAX_EARLY_CANCELS_COUNT + 1)]
        ledger = self._fold(*(WorkCancelled(job_id) for job_id in ids))
        for job_id in (ids[0], ids[-1]):
            ledger.apply(len(ids), WorkAccepted(make_job(job_id)))
        self.assertEqual(ledger.jobs[ids[0]].state, WorkState.PENDING)
        self.assertEqual(ledger.jobs[ids[-1]].state, WorkState.CANCELLED)


class EndBeforeJobTest(unittest.TestCase):
    """The log has the end of a job before a record that describes it as open."""

    def setUp(self):
        self.harness = SchedulingHarness()
        self.job = make_job(JOB_ID)
        self.harness.accept(self.job)

    def _appended(self, record_class):
        records = self.harness.appender.take(AppendRecord)
        messages = [json_text.loads_message(record.body) for record in records]
        return [item for item in messages if isinstance(item, record_class)]

    def test_cancel_is_recorded_again_once_after_a_snapshot_of_the_open_job(self):
        self.harness.read([WorkCancelled(JOB_ID), WorkSnapshot(1, self.job)])
        self.assertEqual(self._appended(WorkCancelled), [WorkCancelled(JOB_ID)])
        self.harness.read([WorkCancelled(JOB_ID), WorkSnapshot(1, self.job)])
        self.assertEqual(self._appended(WorkCancelled), [])

    def test_end_of_a_job_is_recorded_again_after_a_snapshot_of_the_open_job(self):
        end = TaskEnd(1, Task(JOB_ID, 0, 0, 0), 1, EndKind.DONE)
        self.harness.read([TasksEnded(1, (end,)), WorkSnapshot(1, self.job)])
        (snapshot,) = self._appended(WorkSnapshot)
        late_reader = WorkLedger()
        for offset, record in enumerate((WorkSnapshot(1, self.job), snapshot)):
            late_reader.apply(offset, record)
        self.assertEqual(late_reader.jobs[JOB_ID].state, WorkState.COMPLETED)

    def test_cancel_is_recorded_again_after_a_late_acceptance(self):
        early = make_job("b" * 16)
        self.harness.read([WorkCancelled(early.job_id), WorkAccepted(early)])
        self.assertEqual(self._appended(WorkCancelled), [WorkCancelled(early.job_id)])

    def test_open_job_is_not_touched(self):
        self.harness.read([WorkSnapshot(1, self.job)])
        self.assertEqual(self._appended((WorkCancelled, WorkSnapshot)), [])


class CancelRaceTest(unittest.TestCase):
    """Real hosts; callers cancel at another host than the one that has the job."""

    def _assert_kept(self, **race):
        report = run_race(RACE_SEED, RACE_JOBS, **race)
        self.assertEqual(report.broken, ())
        acknowledged = sum(report.statuses.get(status, 0) for status in (200, 410))
        self.assertGreater(acknowledged, RACE_JOBS / 2)

    def test_cancels_that_cross_their_submissions(self):
        self._assert_kept(crossing=True)

    def test_cancels_soon_after_the_acceptance_with_a_late_store(self):
        self._assert_kept(max_answer_delay_s=0.5)


if __name__ == "__main__":
    unittest.main()
