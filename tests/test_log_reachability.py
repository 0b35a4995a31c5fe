"""Submissions at a host that loses its path to the log.

Guards against the load of a data centre that is cut off, or of hosts that the log turns
away: callers whose submissions wait for the log until their deadline can't ask another
host, and are not served at all.
"""

import unittest

from knapweedshed.clock import ManualClock
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_test_context
from knapweedshed.controllers.jobs import MIN_APPEND_WAIT_MS, JobsController
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    RecordsRead,
    Tick,
)
from knapweedshed.controllers.work_messages import (
    CallAdmitted,
    ReadinessAsked,
    ServiceConfigurationUpdated,
    UseCallsController,
)
from knapweedshed.decisions.acceptance import (
    APPEND_RETRY_DELAY_MS,
    UNKNOWN_OUTCOME_MEMORY_MS,
)
from knapweedshed.decisions.log_reachability import (
    FAILURE_VALIDITY_MS,
    MAX_CONTACT_AGE_MS,
    MIN_SILENCE_MS,
    SILENT_FAILURE_MS,
    LogReachability,
)
from knapweedshed.models.calls import CallKind, JobDraft, WorkCall
from knapweedshed.models.outcomes import StoredRecord
from knapweedshed.models.service_configuration import Queue, ServiceConfiguration
from knapweedshed.models.work import Resources, Step
from knapweedshed.models.work_records import WORK_STREAM
from knapweedshed.results import ResultCode
from tests.test_jobs_controller import FakeActorRef

JOB_ID = "b" * 16
QUEUE = Queue(
    name="q",
    host="h",
    path_prefix="/q/",
    service="s",
    public=True,
    priority=0,
    max_failures=2,
    objective_factor=1.5,
    objective_ms=250,
)


class ReachabilityTest(unittest.TestCase):
    """What appends and reads tell about the path to the log."""

    def setUp(self):
        self.log = LogReachability()
        self.log.note_read(10_000)

    def test_log_that_answers_is_reachable(self):
        self.assertTrue(self.log.is_reachable(10_000 + MAX_CONTACT_AGE_MS))
        self.assertFalse(self.log.is_silent(10_000 + MAX_CONTACT_AGE_MS))

    def test_log_without_answers_is_not_reachable(self):
        self.assertFalse(self.log.is_reachable(10_000 + MAX_CONTACT_AGE_MS + 1))

    def test_unanswered_append_shows_that_the_log_is_silent(self):
        self.log.note_append_sent("r", 10_000)
        self.assertFalse(self.log.is_silent(10_000 + MIN_SILENCE_MS))
        self.assertTrue(self.log.is_silent(10_001 + MIN_SILENCE_MS))

    def test_slow_log_is_not_silent(self):
        self.log.note_append_sent("r1", 10_000)
        self.log.note_append_done("r1", 10_500)
        self.log.note_append_sent("r2", 10_500)
        self.assertFalse(self.log.is_silent(11_600))

    def _fail(self, sent_ms, now_ms):
        self.log.note_append_sent("r", sent_ms)
        self.log.note_append_failed("r", now_ms)

    def test_append_that_timed_out_shows_that_the_log_is_silent(self):
        self._fail(10_000, 10_000 + SILENT_FAILURE_MS)
        self.assertTrue(self.log.is_silent(10_500))
        self.log.note_append_done("r2", 10_600)
        self.assertFalse(self.log.is_silent(10_700))

    def test_log_is_tried_again_unless_reads_fail_too(self):
        self._fail(10_000, 10_300)
        now_ms = 10_300 + FAILURE_VALIDITY_MS
        self.assertFalse(self.log.is_silent(now_ms))
        self.assertTrue(self.log.is_silent(10_001 + MAX_CONTACT_AGE_MS))
        self.log.note_read(10_002 + MAX_CONTACT_AGE_MS)
        self.assertFalse(self.log.is_silent(10_003 + MAX_CONTACT_AGE_MS))

    def test_log_that_refuses_at_once_is_tried_with_each_submission(self):
        self._fail(10_000, 10_010)
        self.assertFalse(self.log.is_silent(10_011))
        self.assertFalse(self.log.is_silent(10_000 + 3 * MAX_CONTACT_AGE_MS))


class SubmissionTest(unittest.TestCase):
    """Replies to submissions at a host that loses its path to the log."""

    def setUp(self):
        register_all()
        self.clock = ManualClock()
        self.clock.advance(60_000)
        self.appender, self.calls = FakeActorRef(), FakeActorRef()
        context = create_test_context(clock=self.clock)
        self.jobs = JobsController(context, self.appender, 262_144)
        self.jobs.receive(UseCallsController(self.calls))
        self.jobs.receive(ServiceConfigurationUpdated(ServiceConfiguration()))
        self._read_log()

    def _read_log(self, records=()):
        stored = tuple(
            StoredRecord(offset, item.record_id, item.body)
            for offset, item in enumerate(records)
        )
        now_ms = self.clock.now_ms()
        self.jobs.receive(RecordsRead(WORK_STREAM, stored, 0, True, now_ms, 0))

    def _submit(self, job_id=JOB_ID, time_left_ms=3_000):
        now_ms = self.clock.now_ms()
        call = WorkCall(
            f"c{len(self.calls.messages)}",
            CallKind.SUBMIT,
            "h",
            f"/q/{job_id}",
            "key",
            now_ms,
            now_ms + time_left_ms,
            draft=JobDraft("spec", (Step(1, Resources(1_000, 100, 1), 1_000),)),
            queue=QUEUE,
            job_id=job_id,
        )
        self.jobs.receive(CallAdmitted(call))

    def _fail_last_append(self, unknown, after_ms=0):
        self.clock.advance(after_ms)
        append = [m for m in self.appender.messages if isinstance(m, AppendRecord)][-1]
        self.jobs.receive(AppendFailed(append.record_id, unknown, "no answer"))
        return append

    def _last_result(self):
        return self.calls.messages[-1].reply.result.code

    def _is_ready(self):
        asked = FakeReply()
        self.jobs.receive(ReadinessAsked(asked))
        return asked.value

    def test_caller_is_told_at_once_when_the_log_can_not_be_reached_again(self):
        self._submit()
        self._fail_last_append(unknown=True)
        self.assertEqual(self.calls.messages, [])
        self.clock.advance(APPEND_RETRY_DELAY_MS)
        self.jobs.receive(Tick())
        self._fail_last_append(unknown=False)
        self.assertEqual(self._last_result(), ResultCode.OUTCOME_UNKNOWN)
        self.assertGreater(self.calls.messages[-1].reply.retry_after_ms, 0)

    def test_append_that_starts_just_before_the_deadline_is_waited_for(self):
        self._submit(time_left_ms=60)
        self.clock.advance(MIN_APPEND_WAIT_MS - 1)
        self.jobs.receive(Tick())
        self.assertEqual(self.calls.messages, [])
        append = self.appender.messages[-1]
        self.jobs.receive(AppendDone(append.record_id, 0))
        self.assertEqual(self._last_result(), ResultCode.OK)

    def test_later_call_for_the_job_is_not_answered_at_the_first_ones_deadline(self):
        self._submit(time_left_ms=500)
        self.clock.advance(300)
        self._submit(time_left_ms=2_000)
        self.clock.advance(400)
        self.jobs.receive(Tick())
        self.assertEqual(self.calls.messages, [])
        append = self.appender.messages[-1]
        self.jobs.receive(AppendDone(append.record_id, 0))
        self.assertEqual(len(self.calls.messages), 2)
        self.assertEqual(self._last_result(), ResultCode.OK)

    def test_submission_behind_a_silent_append_is_rejected_without_an_append(self):
        self._submit()
        self.clock.advance(MIN_SILENCE_MS + 1)
        appends = len(self.appender.messages)
        self._submit("c" * 16)
        self.assertEqual(self._last_result(), ResultCode.LOG_UNAVAILABLE)
        self.assertEqual(len(self.appender.messages), appends)

    def test_host_leaves_the_load_balancer_soon_after_the_last_answer(self):
        self.assertTrue(self._is_ready())
        self.clock.advance(MAX_CONTACT_AGE_MS + 1)
        self.assertFalse(self._is_ready())
        self._read_log()
        self.assertTrue(self._is_ready())

    def test_acknowledged_append_proves_that_the_log_is_reachable(self):
        self._submit()
        self.clock.advance(MAX_CONTACT_AGE_MS)
        append = self.appender.messages[-1]
        self.jobs.receive(AppendDone(append.record_id, 0))
        self.clock.advance(10)
        self.assertTrue(self._is_ready())


class LostAnswerTest(unittest.TestCase):
    """A caller is never told that a job isn't accepted whose record may be written."""

    setUp = SubmissionTest.setUp
    _read_log = SubmissionTest._read_log
    _submit = SubmissionTest._submit
    _fail_last_append = SubmissionTest._fail_last_append
    _last_result = SubmissionTest._last_result

    def _lose_answer(self):
        """Lose the answer of an append, then the connection to the log."""
        self._submit()
        append = self._fail_last_append(True, SILENT_FAILURE_MS)
        self.clock.advance(APPEND_RETRY_DELAY_MS)
        self.jobs.receive(Tick())
        self._fail_last_append(False, SILENT_FAILURE_MS)
        return append

    def test_retry_while_the_log_is_silent_is_not_rejected(self):
        self._lose_answer()
        self._submit()
        self.assertEqual(len(self.calls.messages), 2)
        self.assertEqual(self._last_result(), ResultCode.OUTCOME_UNKNOWN)

    def test_retry_whose_own_append_is_refused_is_not_rejected(self):
        self._lose_answer()
        self.clock.advance(FAILURE_VALIDITY_MS)
        self._submit()
        self._fail_last_append(unknown=False)
        self.assertEqual(self._last_result(), ResultCode.OUTCOME_UNKNOWN)

    def test_retry_is_accepted_once_the_record_is_read_back(self):
        append = self._lose_answer()
        self._read_log([append])
        self._submit()
        self.assertEqual(self._last_result(), ResultCode.OK)

    def test_other_jobs_are_rejected_while_the_log_is_silent(self):
        self._lose_answer()
        self._submit("c" * 16)
        self.assertEqual(self._last_result(), ResultCode.LOG_UNAVAILABLE)

    def test_job_is_remembered_longer_than_a_request_can_be_delayed(self):
        self._lose_answer()
        self.clock.advance(UNKNOWN_OUTCOME_MEMORY_MS - 1)
        self._submit()
        self._fail_last_append(unknown=False)
        self.assertEqual(self._last_result(), ResultCode.OUTCOME_UNKNOWN)


class FakeReply:
    """Receives the value of a reply."""

    value = None

    def set(self, value):
        self.value = value


if __name__ == "__main__":
    unittest.main()
