"""What a host's callers are told, by a fold of the log that may lag."""

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
from tests.work_world import make_job

JOB = "a" * 16


class FakeRef:
    """Collects what is told."""

    def __init__(self):
        self.told = []

    def tell(self, message):
        self.told.append(message)


class StateCallTest(unittest.TestCase):
    """A call for the state of a job that another host has just accepted."""

    def setUp(self):
        register_all()
        self.clock = ManualClock()
        context = create_test_context(clock=self.clock)
        self.jobs = JobsController(context, FakeRef())
        self.calls, self.tail = FakeRef(), FakeRef()
        self.jobs.receive(UseCallsController(self.calls))
        self.jobs.receive(UseLogTail(self.tail))
        self._read((), pause_ms=400)
        self.clock.advance(50)

    def _read(self, records, pause_ms=0):
        stored = tuple(
            StoredRecord(offset, f"r{offset}", json_text.dumps(record))
            for offset, record in enumerate(records)
        )
        now_ms = self.clock.now_ms()
        page = RecordsRead(WORK_STREAM, stored, 0, True, now_ms, pause_ms)
        self.jobs.receive(page)

    def _ask(self):
        call = WorkCall(
            "c1",
            CallKind.STATE,
            "host",
            "/",
            "key",
            self.clock.now_ms(),
            self.clock.now_ms() + 3_000,
            job_id=JOB,
        )
        self.jobs.receive(CallAdmitted(call))

    def test_unknown_job_is_looked_for_in_the_log_first(self):
        self._ask()
        self.assertEqual(self.calls.told, [])
        self.assertEqual(self.tail.told, [ReadNow()])
        self._read([WorkAccepted(make_job(JOB))])
        self.assertEqual(self.calls.told[0].reply.state, "pending")

    def test_job_that_the_log_lacks_is_said_to_be_unknown(self):
        self._ask()
        self._read(())
        self.assertEqual(self.calls.told[0].reply.result.code, ResultCode.NOT_FOUND)

    def test_slow_log_is_not_waited_for(self):
        self._ask()
        self.clock.advance(LOG_READ_TIMEOUT_MS)
        self.jobs.receive(Tick())
        self.assertEqual(len(self.calls.told), 1)

    def test_reader_that_does_not_pause_knows_enough(self):
        self._read((), pause_ms=0)
        self._ask()
        self.assertEqual(self.tail.told, [])
        self.assertEqual(len(self.calls.told), 1)


if __name__ == "__main__":
    unittest.main()
