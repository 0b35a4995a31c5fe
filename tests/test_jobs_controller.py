"""Replies to callers from a host whose copy of the log may lag."""

import unittest

from knapweedshed.clock import ManualClock
from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_test_context
from knapweedshed.controllers.jobs import LOG_READ_TIMEOUT_MS, JobsController
from knapweedshed.controllers.messages import ReadNow, RecordsRead, Tick
from knapweedshed.controllers.work_messages import (
    CallAdmitted,
    UseCallsController,
    UseLogTail,
)
from knapweedshed.models.calls import CallKind, WorkCall
from knapweedshed.models.outcomes import StoredRecord
from knapweedshed.models.work_records import WORK_STREAM, WorkAccepted
from knapweedshed.results import ResultCode
from tests.dispatch_harness import make_job
from tests.scheduling_harness import FakeActorRef

JOB_ID = "a" * 16


class StateQueryTest(unittest.TestCase):
    """A query for the state of a job that another host has just accepted."""

    def setUp(self):
        register_all()
        self.clock = ManualClock()
        context = create_test_context(clock=self.clock)
        self.jobs = JobsController(context, FakeActorRef(), 262_144)
        self.calls, self.tail = FakeActorRef(), FakeActorRef()
        self.jobs.receive(UseCallsController(self.calls))
        self.jobs.receive(UseLogTail(self.tail))
        self._deliver_records((), pause_ms=400)
        self.clock.advance(50)

    def _deliver_records(self, records, pause_ms=0):
        stored = tuple(
            StoredRecord(offset, f"r{offset}", json_text.dumps(record))
            for offset, record in enumerate(records)
        )
        now_ms = self.clock.now_ms()
        page = RecordsRead(WORK_STREAM, stored, 0, True, now_ms, pause_ms)
        self.jobs.receive(page)

    def _query_state(self):
        call = WorkCall(
            "c1",
            CallKind.STATE,
            "host",
            "/",
            "key",
            self.clock.now_ms(),
            self.clock.now_ms() + 3_000,
            job_id=JOB_ID,
        )
        self.jobs.receive(CallAdmitted(call))

    def test_log_is_read_before_a_job_is_reported_as_unknown(self):
        self._query_state()
        self.assertEqual(self.calls.messages, [])
        self.assertEqual(self.tail.messages, [ReadNow()])
        self._deliver_records([WorkAccepted(make_job(JOB_ID))])
        self.assertEqual(self.calls.messages[0].reply.state, "pending")

    def test_job_missing_from_the_log_is_reported_as_not_found(self):
        self._query_state()
        self._deliver_records(())
        self.assertEqual(self.calls.messages[0].reply.result.code, ResultCode.NOT_FOUND)

    def test_reply_does_not_wait_longer_than_the_read_timeout(self):
        self._query_state()
        self.clock.advance(LOG_READ_TIMEOUT_MS)
        self.jobs.receive(Tick())
        self.assertEqual(len(self.calls.messages), 1)

    def test_no_extra_read_if_the_log_reader_does_not_pause(self):
        self._deliver_records((), pause_ms=0)
        self._query_state()
        self.assertEqual(self.tail.messages, [])
        self.assertEqual(len(self.calls.messages), 1)


if __name__ == "__main__":
    unittest.main()
