"""Records and appends stay within the log's limits, and rejections are final."""

import time
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.actors import stop_all, tell
from knapweedshed.clock import create_clock
from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_test_context
from knapweedshed.controllers.jobs import JobsController
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    RecordsRead,
)
from knapweedshed.controllers.work_messages import (
    CallAdmitted,
    OrderRequest,
    UseCallsController,
)
from knapweedshed.controllers.work_stream import encode_in_parts
from knapweedshed.decisions.job_limits import MAX_GANG_TASKS_COUNT, find_fault
from knapweedshed.decisions.work_ledger import JobProgress, WorkLedger
from knapweedshed.links.log import LogAppender
from knapweedshed.models.calls import CallKind, JobDraft, WorkCall
from knapweedshed.models.dispatch_actions import StartRun
from knapweedshed.models.outcomes import LogRecord, Refused, Rejected
from knapweedshed.models.service_configuration import Queue
from knapweedshed.models.work import EndKind, Resources, Task, TaskEnd, Unit
from knapweedshed.models.work_records import (
    WORK_STREAM,
    ActingClaimed,
    Launched,
    RunsLaunched,
    TasksEnded,
)
from knapweedshed.platform.settings import decode_settings
from knapweedshed.platform.store import StoreLog
from knapweedshed.results import ResultCode
from tests.dispatch_harness import make_job, make_step
from tests.fleet_standin import MAX_RECORD_BYTES, FakeStore
from tests.ports import free_port
from tests.scheduling_harness import FakeActorRef, SchedulingHarness
from tests.test_fleet_platform import SETTINGS
from tests.worker_harness import OUTCOME_TIMEOUT_S, Collector, received_messages

SMALL_TASK = Resources(100, 64, 0)
TASK_COUNT = 600
SMALL_RECORD_BYTES = 16_384
JOB_ID = "a" * 16


def launches_of(records):
    """Return all launches in appended records."""
    messages = [json_text.loads_message(record.body) for record in records]
    return [
        launched
        for message in messages
        if isinstance(message, RunsLaunched)
        for launched in message.launches
    ]


class ManyLaunchesTest(unittest.TestCase):
    """A plan has more launches than fit in one record."""

    def setUp(self):
        self.harness = SchedulingHarness(max_record_bytes=SMALL_RECORD_BYTES)
        self.harness.accept(make_job(steps=(make_step(TASK_COUNT, SMALL_TASK),)))

    def _started(self):
        orders = self.harness.connections.take(OrderRequest)
        return [item.order for item in orders if isinstance(item.order, StartRun)]

    def test_launches_are_recorded_in_records_that_the_log_takes(self):
        # LOST: a record of 300 kB was appended for ever, and nothing was launched.
        records = self.harness.plan()
        self.assertLessEqual(
            max(len(item.body) for item in records), SMALL_RECORD_BYTES
        )
        self.assertEqual(len(launches_of(records)), TASK_COUNT)
        self.harness.append(records)
        self.assertEqual(len(self._started()), TASK_COUNT)

    def test_rejected_record_is_appended_again_in_smaller_parts(self):
        self.harness.max_record_bytes = SMALL_RECORD_BYTES // 2
        records, rounds = self.harness.plan(), 0
        while records and rounds < 5:
            self.harness.append(records)
            records, rounds = self.harness.appender.take(AppendRecord), rounds + 1
        self.assertEqual(rounds, 2)
        self.assertEqual(len(self._started()), TASK_COUNT)

    def test_launch_that_the_log_rejects_alone_keeps_no_other_back(self):
        rejected, others = [], []
        records = self.harness.plan()
        while records:
            for record in records:
                indexes = {launched.unit.index for launched in launches_of([record])}
                if 7 in indexes:
                    rejected.append(indexes)
                    self.harness.reject(record)
                else:
                    others.append(record)
            records = self.harness.appender.take(AppendRecord)
        self.harness.append(others)
        self.assertEqual(rejected[-1], {7})
        started = self._started()
        self.assertEqual(len(started), TASK_COUNT - 1)
        self.assertNotIn(7, {order.task.index for order in started})
        self.assertEqual(launches_of(self.harness.plan()), [])  # no loop


class EncodeInPartsTest(unittest.TestCase):
    """The parts of a record say together what the record says."""

    def setUp(self):
        register_all()

    def test_ends_are_recorded_in_parts(self):
        ends = tuple(
            TaskEnd(n, Task(JOB_ID, 0, 0, n), 1, EndKind.DONE) for n in range(500)
        )
        parts = encode_in_parts(TasksEnded(3, ends), SMALL_RECORD_BYTES)
        self.assertGreater(len(parts), 1)
        self.assertEqual(tuple(end for part, _ in parts for end in part.ends), ends)

    def test_item_that_does_not_fit_alone_has_no_text(self):
        workers = tuple((f"worker-{n}", 1) for n in range(2_000))
        gang = Launched(Unit(JOB_ID, 0, 0, -1), 1, workers)
        small = Launched(Unit(JOB_ID, 0, 1, 0), 1, (("worker-1", 1),))
        parts = encode_in_parts(RunsLaunched(1, (gang, small)), SMALL_RECORD_BYTES)
        self.assertEqual([text is None for _, text in parts], [True, False])

    @settings(max_examples=30, deadline=None, derandomize=True)
    @given(st.lists(st.integers(0, 499), unique=True, max_size=300), st.integers(1, 9))
    def test_parts_of_a_snapshot_fold_to_the_whole(self, done, run):
        job = make_job(JOB_ID, steps=(make_step(500, SMALL_TASK),))
        progress = JobProgress(job, 0)
        for index in range(0, 500, 3):
            unit = Unit(JOB_ID, 0, 0, index)
            progress.record_launch(Launched(unit, run, (("w1", 1),)))
        for index in done:
            task = Task(JOB_ID, 0, 0, index)
            progress.record_end(
                TaskEnd(index + 1, task, run, EndKind.DONE, f"s{index}")
            )
        snapshot = progress.snapshot(1, 5_000)
        ledger = WorkLedger()
        ledger.apply(0, ActingClaimed(1, "h"))
        parts = encode_in_parts(snapshot, SMALL_RECORD_BYTES)
        for offset, (_, text) in enumerate(parts, start=1):
            self.assertLessEqual(len(text), SMALL_RECORD_BYTES)
            ledger.apply(offset, json_text.loads_message(text))
        folded = ledger.jobs[JOB_ID].snapshot(1, 5_000)
        self.assertEqual(
            [sorted(part) for part in folded[2:6]],
            [sorted(part) for part in snapshot[2:6]],
        )


class LargeJobTest(unittest.TestCase):
    """A job whose record doesn't fit is refused when it is submitted."""

    def _submit(self, steps):
        register_all()
        appender, calls = FakeActorRef(), FakeActorRef()
        jobs = JobsController(create_test_context(), appender, MAX_RECORD_BYTES)
        jobs.receive(UseCallsController(calls))
        jobs.receive(RecordsRead(WORK_STREAM, (), 0, True))
        queue = Queue("plans", "h", "/", "planner", 1, 3, 3.0, 1_000, False)
        call = WorkCall(
            "c1", CallKind.SUBMIT, "h", "/", "key", 0, 1 << 60, job_id=JOB_ID
        )
        jobs.receive(
            CallAdmitted(call._replace(draft=JobDraft("text", steps), queue=queue))
        )
        return appender.messages, calls.messages

    def test_job_with_too_many_steps_for_a_record_is_refused_at_once(self):
        chain = tuple(make_step(after=(n - 1,) if n else ()) for n in range(1_000))
        self.assertEqual(find_fault(JobDraft("text", chain)), "")
        appended, answered = self._submit(chain)
        self.assertEqual(appended, [])
        self.assertEqual(answered[0].reply.result.code, ResultCode.BODY_TOO_LARGE)

    def test_ordinary_job_is_appended(self):
        appended, answered = self._submit((make_step(128),))
        self.assertEqual(len(appended), 1)
        self.assertEqual(answered, [])

    def test_gang_whose_launch_does_not_fit_in_a_record_is_refused(self):
        step = make_step(MAX_GANG_TASKS_COUNT + 1, SMALL_TASK, gang=True)
        self.assertIn("gang", find_fault(JobDraft("text", (step,))))
        workers = tuple((f"i-{n:028}", 1 << 41) for n in range(MAX_GANG_TASKS_COUNT))
        launch = RunsLaunched(1, (Launched(Unit(JOB_ID, 0, 0, -1), 1, workers),))
        register_all()
        ((_, text),) = encode_in_parts(launch, MAX_RECORD_BYTES)
        self.assertIsNotNone(text)


class AppenderTest(unittest.TestCase):
    """The appender keeps the limit of a call, and isolates rejected records."""

    def setUp(self):
        register_all()
        self.store = FakeStore(free_port())
        self.addCleanup(self.store.close)
        self.log = StoreLog(create_clock(), self.store.address)
        self.addCleanup(self.log.close)

    def _append(self, bodies, log=None, **limits):
        context, received = create_test_context(), received_messages()
        receiver = Collector.start(context, received)
        appender = LogAppender.start(context, log or self.log, **limits)
        for number, body in enumerate(bodies):
            tell(appender, AppendRecord(WORK_STREAM, f"r{number}", body, receiver))
        outcomes = [received.get(timeout=OUTCOME_TIMEOUT_S) for _ in bodies]
        stop_all((appender, receiver))
        return outcomes

    def test_batch_stays_within_the_bytes_of_a_call(self):
        batches = []

        def append(stream, records):
            time.sleep(0.05)  # the next records arrive meanwhile
            batches.append(sum(len(record.body) for record in records))
            return 0

        log = mock.Mock(append=append)
        limit_bytes = 1_000_000
        self._append(["x" * 200_000] * 30, log, max_batch_bytes=limit_bytes)
        self.assertLessEqual(max(batches), limit_bytes)
        self.assertLess(len(batches), 30)

    def test_rejected_record_fails_alone(self):
        bodies = ["a", "x" * (MAX_RECORD_BYTES + 1), "b"]
        outcomes = self._append(bodies)
        self.assertEqual(
            {item.record_id: type(item) for item in outcomes},
            {"r0": AppendDone, "r1": AppendFailed, "r2": AppendDone},
        )
        failure = next(item for item in outcomes if isinstance(item, AppendFailed))
        self.assertTrue(failure.final)
        self.assertFalse(failure.unknown)

    def test_store_tells_rejections_from_refusals(self):
        record = LogRecord("r", "x" * (MAX_RECORD_BYTES + 1))
        self.assertIsInstance(self.log.append("work", [record]), Rejected)
        self.store.down = True
        self.assertIsInstance(self.log.append("work", [record]), Refused)


class SettingsTest(unittest.TestCase):
    """The limits come from the platform's settings."""

    def test_limits_of_the_log(self):
        fields = {**SETTINGS, "platform": {**SETTINGS["platform"]}}
        self.assertEqual(self._limits(fields), (262_144, 2_097_152))
        fields["platform"] |= {"record_bytes": 20_000, "call_bytes": 90_000}
        self.assertEqual(self._limits(fields), (20_000, 90_000))

    def _limits(self, fields):
        found, _ = decode_settings(fields)
        return found.log_record_bytes, found.log_append_bytes

    def test_limits_that_no_job_fits_in_are_refused(self):
        fields = {**SETTINGS, "platform": {**SETTINGS["platform"], "record_bytes": 10}}
        with self.assertRaisesRegex(ValueError, "platform.record_bytes"):
            decode_settings(fields)


if __name__ == "__main__":
    unittest.main()
