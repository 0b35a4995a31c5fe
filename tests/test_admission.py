"""Admission of submissions while work waits longer than callers accept."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.clock import ManualClock
from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_test_context
from knapweedshed.controllers.jobs import LOG_READ_TIMEOUT_MS, JobsController
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    ReadNow,
    RecordsRead,
    Tick,
)
from knapweedshed.controllers.work_messages import (
    CallAdmitted,
    CallAnswered,
    ServiceConfigurationUpdated,
    UseCallsController,
    UseLogTail,
)
from knapweedshed.decisions.overload.admission import (
    MAX_FIGURE_AGE_MS,
    decide,
    find_load,
    summarise_open_work,
)
from knapweedshed.decisions.overload.queue_sizes import SizeClass
from knapweedshed.decisions.overload.service_floors import ServedShares
from knapweedshed.decisions.units import critical_path_ms
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.models.calls import CallKind, JobDraft, WorkCall
from knapweedshed.models.outcomes import StoredRecord
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES, OverloadPolicies
from knapweedshed.models.service_configuration import (
    ConfiguredOrganisation,
    Queue,
    ServiceConfiguration,
)
from knapweedshed.models.work import Resources
from knapweedshed.models.work_records import (
    WORK_STREAM,
    ActingClaimed,
    LoadReported,
    PriorityLoad,
    WorkAccepted,
)
from knapweedshed.platform.callers import JsonCallerCodec
from knapweedshed.results import ResultCode
from tests.dispatch_harness import make_job, make_step
from tests.scheduling_harness import FakeActorRef

CONFIGURATION = ServiceConfiguration(
    1,
    (),
    (
        ConfiguredOrganisation("sahel", ("key",), 0),
        ConfiguredOrganisation("covered", ("other",), 8),
    ),
)
# Objective 3.75 s; the job is worth nothing after 11.25 s, of which it runs 2.3 s.
URGENT = {"priority": 0, "objective_factor": 1.5, "objective_ms": 300}
URGENT_STEP = make_step(1, Resources(3_700, 1_000, 1), 2_300)
LATEST_START_MS = 8_950
POLICIES = OverloadPolicies(admission_control=True)


def make_urgent_job(job_id="b" * 16, steps=(URGENT_STEP,), **fields):
    """Return an urgent job."""
    return make_job(job_id, steps, **{**URGENT, **fields})


class DecisionTest(unittest.TestCase):
    """A job would be rejected that can end in time, or one that must not be."""

    def setUp(self):
        self.ledger = WorkLedger()
        self.served_shares = ServedShares()
        self.accept(make_urgent_job("c" * 16))

    def accept(self, *jobs):
        for job in jobs:
            self.ledger.apply(len(self.ledger.jobs), WorkAccepted(job))

    def decide(self, job, start_in_ms, age_ms=0):
        load = PriorityLoad(job.service, job.priority, 500.0, 10.0, start_in_ms)
        return decide(
            job,
            load,
            age_ms,
            self.ledger,
            summarise_open_work(self.ledger),
            CONFIGURATION,
            self.served_shares,
        )

    def test_job_is_rejected_only_if_it_ends_too_late_for_certain(self):
        job = make_urgent_job()
        self.assertTrue(self.decide(job, LATEST_START_MS).admitted)
        self.assertTrue(self.decide(job, LATEST_START_MS + 4_000).admitted)
        self.assertFalse(self.decide(job, 2 * LATEST_START_MS).admitted)

    def test_wait_is_reckoned_from_the_time_of_the_figure(self):
        verdict = self.decide(make_urgent_job(), 2 * LATEST_START_MS, age_ms=2_900)
        self.assertEqual(verdict.start_in_ms, 2 * LATEST_START_MS - 2_900)

    @settings(max_examples=200, deadline=None)
    @given(
        st.integers(0, 3),
        st.integers(0, 20_000),
        st.floats(0.5, 5),
        st.integers(0, 5_000),
        st.integers(0, 200_000),
        st.integers(0, 3_000),
    )
    def test_every_rejected_job_would_end_too_late(
        self, priority, estimate_ms, factor, objective_ms, start_in_ms, age_ms
    ):
        job = make_job(
            steps=(make_step(1, estimate_ms=estimate_ms),),
            priority=priority,
            objective_factor=factor,
            objective_ms=objective_ms,
        )
        verdict = self.decide(job, start_in_ms, age_ms)
        if verdict.admitted:
            return
        limit_ms = 3 * (factor * estimate_ms + objective_ms)
        path_ms = critical_path_ms(job)
        self.assertGreater(start_in_ms - age_ms + path_ms, limit_ms)
        self.assertGreaterEqual(verdict.retry_after_ms, 1_000)
        self.assertEqual(verdict.retry_after_ms % 1_000, 0)
        self.assertLess(verdict.retry_after_ms, start_in_ms - age_ms)

    def test_job_with_an_objective_of_nothing_waits_if_a_retry_takes_as_long(self):
        job = make_urgent_job(objective_factor=0.0, objective_ms=0)
        self.assertTrue(self.decide(job, 1_000).admitted)

    def test_guaranteed_urgent_work_is_admitted(self):
        # Much work of another priority, so that the organisation has its fair share.
        self.accept(make_job("d" * 16, (make_step(50),), organisation="covered"))
        job = make_urgent_job(organisation="covered")
        self.assertTrue(self.decide(job, 10 * LATEST_START_MS).admitted)

    def test_urgent_work_beyond_the_guarantee_is_not_exempt(self):
        eight = make_step(1, Resources(1_000, 1_000, 8), 2_300)
        self.accept(make_urgent_job("d" * 16, (eight,), organisation="covered"))
        job = make_urgent_job(organisation="covered")
        self.assertFalse(self.decide(job, 10 * LATEST_START_MS).admitted)

    def test_scheduled_and_long_running_jobs_are_admitted(self):
        long_running = (URGENT_STEP._replace(lasting=True),)
        for job in (make_urgent_job(repeats=3), make_urgent_job(steps=long_running)):
            self.assertTrue(self.decide(job, 10 * LATEST_START_MS).admitted)

    def test_organisation_below_its_fair_share_is_admitted(self):
        job = make_urgent_job(organisation="newcomer")
        self.assertTrue(self.decide(job, 10 * LATEST_START_MS).admitted)

    def test_job_of_the_lowest_worth_is_rejected_first(self):
        big_step = make_step(50, Resources(3_700, 1_000, 1), 2_300)
        cheap = make_urgent_job("d" * 16, (big_step,))
        start_in_ms = int(LATEST_START_MS / 0.7)
        self.assertFalse(self.decide(cheap, start_in_ms).admitted)
        self.assertTrue(self.decide(make_urgent_job(), start_in_ms).admitted)

    def test_large_jobs_are_admitted_while_their_class_is_behind(self):
        self.accept(*(make_urgent_job(f"{n:016x}") for n in range(20)))
        large = make_urgent_job("d" * 16, (URGENT_STEP._replace(count=9),))
        self.assertFalse(self.decide(large, 10 * LATEST_START_MS).admitted)
        for _ in range(4):
            self.served_shares.note_arrival("plans", SizeClass.LARGEST)
            self.served_shares.note_arrival("plans", SizeClass.ORDINARY)
            self.served_shares.note_served("plans", SizeClass.ORDINARY)
        self.assertTrue(self.decide(large, 10 * LATEST_START_MS).admitted)

    def test_missing_old_or_unknown_figure_tells_nothing(self):
        job = make_urgent_job()
        load = PriorityLoad("planner", 0, 500.0, 10.0, 99_000)
        report = LoadReported(1, (load,))
        self.assertEqual(find_load(report, MAX_FIGURE_AGE_MS, job), load)
        self.assertIsNone(find_load(report, MAX_FIGURE_AGE_MS + 1, job))
        self.assertIsNone(find_load(report, None, job))
        self.assertIsNone(find_load(None, 0, job))
        self.assertIsNone(find_load(report, 0, job._replace(service="other")))
        unknown = LoadReported(1, (load._replace(start_in_ms=-1),))
        self.assertIsNone(find_load(unknown, 0, job))


class EntryHost:
    """A jobs controller with a log that takes what tests let it take."""

    QUEUE = Queue("plans", "host", "/", "planner", 0, 2, 1.5, 300)

    def __init__(self, policies=POLICIES):
        register_all()
        self.clock = ManualClock(60_000)
        self.appender, self.tail = FakeActorRef(), FakeActorRef()
        self.calls = FakeActorRef()
        context = create_test_context(clock=self.clock)
        self.metrics = context.metrics
        self.jobs = JobsController(context, self.appender, 262_144, policies)
        for message in (
            UseCallsController(self.calls),
            UseLogTail(self.tail),
            ServiceConfigurationUpdated(CONFIGURATION),
        ):
            self.jobs.receive(message)
        self.offset = 0
        self.accepted = []
        # Another job of the organisation, so that it isn't below its fair share.
        self.read([ActingClaimed(1, "acting"), WorkAccepted(make_urgent_job("c" * 16))])

    def read(self, records=(), requested_ago_ms=0):
        """Deliver a page of records."""
        stored = []
        for record in records:
            text = record
            record_id = f"o{self.offset}"
            if isinstance(record, AppendRecord):
                text, record_id = record.body, record.record_id
                self.accepted.append(json_text.loads_message(text).job.job_id)
            elif not isinstance(record, str):
                text = json_text.dumps(record)
            stored.append(StoredRecord(self.offset, record_id, text))
            self.offset += 1
        requested_ms = self.clock.now_ms() - requested_ago_ms
        page = RecordsRead(WORK_STREAM, tuple(stored), 0, True, requested_ms, 400)
        self.jobs.receive(page)

    def report_load(self, start_in_ms=99_000, epoch=1):
        """Deliver a load figure for urgent work."""
        load = PriorityLoad("planner", 0, 500.0, 10.0, start_in_ms)
        self.read([LoadReported(epoch, (load,))])

    def submit(self, job_id, steps=(URGENT_STEP,)):
        """Submit a job; return what was sent to the log for it."""
        now_ms = self.clock.now_ms()
        call = WorkCall(
            f"call-{job_id}",
            CallKind.SUBMIT,
            "host",
            f"/{job_id}",
            "key",
            now_ms,
            now_ms + 3_000,
            JobDraft("text", steps),
            queue=self.QUEUE,
            organisation="sahel",
            job_id=job_id,
        )
        self.jobs.receive(CallAdmitted(call))
        return self.appender.take(AppendRecord)

    def take_replies(self):
        """Return the replies since the last time."""
        return [message.reply for message in self.calls.take(CallAnswered)]

    def submit_and_read(self, job_id):
        """Submit a job and read the log once; return (appends, code of the reply)."""
        appends = self.submit(job_id)
        self.read()
        appends += self.appender.take(AppendRecord)
        replies = self.take_replies()
        return appends, replies[0].result.code if replies else None


JOB_IDS = tuple(f"{number:016x}" for number in range(3))
ACTION = st.tuples(
    st.sampled_from(
        ("submit", "taken", "refused", "unknown", "written", "load", "clear", "wait")
    ),
    st.sampled_from(JOB_IDS),
)


class RejectionTest(unittest.TestCase):
    """A caller who is told "not run" would see the job run, or the reverse."""

    def test_rejection_has_status_429_and_whole_seconds_to_wait(self):
        host = EntryHost()
        host.report_load(start_in_ms=30_000)
        host.submit(JOB_IDS[0])
        host.read()
        (reply,) = host.take_replies()
        self.assertEqual(reply.result.code, ResultCode.CAPACITY_SHORT)
        response = JsonCallerCodec().encode(reply)
        self.assertEqual(response.status, 429)
        # 30 s count as 18 s, of which 9.05 s are too much: 15.1 s of the backlog.
        self.assertIn(("Retry-After", "16"), response.headers)
        counts = host.metrics.snapshot()
        self.assertEqual(counts["admission.rejected.plans"], 1)

    def test_rejected_job_may_be_accepted_later(self):
        host = EntryHost()
        host.report_load()
        appends, code = host.submit_and_read(JOB_IDS[0])
        self.assertEqual((appends, code), ([], ResultCode.CAPACITY_SHORT))
        host.read([LoadReported(1)])
        self.assertEqual(len(host.submit(JOB_IDS[0])), 1)

    def test_old_figure_admits(self):
        host = EntryHost()
        host.report_load()
        host.clock.advance(MAX_FIGURE_AGE_MS + 1)
        self.assertEqual(len(host.submit(JOB_IDS[0])), 1)

    def test_figure_read_after_a_gap_is_as_old_as_the_gap(self):
        host = EntryHost()
        host.clock.advance(MAX_FIGURE_AGE_MS + 1)
        host.report_load()
        self.assertEqual(len(host.submit(JOB_IDS[0])), 1)

    def test_figure_of_an_earlier_epoch_admits(self):
        host = EntryHost()
        host.report_load()
        host.read([ActingClaimed(2, "next")])
        self.assertEqual(len(host.submit(JOB_IDS[0])), 1)
        host.report_load(epoch=1)
        self.assertEqual(len(host.submit(JOB_IDS[1])), 1)

    def test_malformed_figure_changes_nothing(self):
        host = EntryHost()
        load = PriorityLoad("planner", 0, 500.0, 10.0, 99_000)
        for loads in (7, (7,), (load._replace(start_in_ms="soon"),)):
            host.read([LoadReported(1, loads)])
        self.assertEqual(len(host.submit(JOB_IDS[0])), 1)

    def test_reader_without_the_record_type_reads_on(self):
        host = EntryHost()
        accepted = WorkAccepted(make_urgent_job(JOB_IDS[0]))
        host.read(['{"_":"RecordOfALaterRelease","epoch":1}', accepted])
        self.assertEqual(host.submit(JOB_IDS[0]), [])
        self.assertTrue(host.take_replies()[0].result.ok)

    def test_job_that_another_host_has_just_accepted_is_not_rejected(self):
        host = EntryHost()
        host.report_load()
        self.assertEqual(host.submit(JOB_IDS[0]), [])
        host.read([WorkAccepted(make_urgent_job(JOB_IDS[0]))])
        self.assertTrue(host.take_replies()[0].result.ok)

    def test_job_is_admitted_if_the_log_is_not_read_in_time(self):
        host = EntryHost()
        host.report_load()
        host.clock.advance(10)
        host.submit(JOB_IDS[0])
        host.tail.take(ReadNow)
        host.read(requested_ago_ms=20)
        self.assertEqual(host.take_replies(), [])
        self.assertEqual(host.tail.take(ReadNow), [ReadNow()])
        host.clock.advance(LOG_READ_TIMEOUT_MS)
        host.jobs.receive(Tick())
        self.assertEqual(len(host.appender.take(AppendRecord)), 1)

    def test_job_that_is_pending_here_is_not_rejected(self):
        host = EntryHost()
        host.submit(JOB_IDS[0])
        host.report_load()
        self.assertEqual(host.submit_and_read(JOB_IDS[0]), ([], None))

    def test_job_of_unknown_outcome_is_not_rejected(self):
        host = EntryHost()
        (append,) = host.submit(JOB_IDS[0])
        host.clock.advance(2_900)
        failure = AppendFailed(append.record_id, True, "no answer", False)
        host.jobs.receive(failure)
        (reply,) = host.take_replies()
        self.assertEqual(reply.result.code, ResultCode.OUTCOME_UNKNOWN)
        host.read()
        host.report_load()
        self.assertEqual(len(host.submit(JOB_IDS[0])), 1)

    def test_job_whose_append_fails_while_a_second_call_waits_is_not_rejected(self):
        host = EntryHost()
        host.report_load()
        host.submit(JOB_IDS[0])
        host.clock.advance(100)
        host.submit(JOB_IDS[0])
        host.clock.advance(LOG_READ_TIMEOUT_MS - 100)
        host.jobs.receive(Tick())
        (append,) = host.appender.take(AppendRecord)
        host.jobs.receive(AppendFailed(append.record_id, True, "", False))
        host.clock.advance(2_700)
        host.jobs._finish_with_unknown_outcome(
            host.jobs._pending_appends[append.record_id]
        )
        host.read()
        codes = [reply.result.code for reply in host.take_replies()]
        self.assertNotIn(ResultCode.CAPACITY_SHORT, codes)

    @settings(max_examples=200, deadline=None)
    @given(st.lists(ACTION, max_size=30))
    def test_no_rejected_job_is_in_the_log_or_may_get_there(self, actions):
        host = EntryHost()
        in_flight, maybe_written = {}, set()
        for action, job_id in actions:
            append = in_flight.get(job_id)
            if action == "submit":
                appends, code = host.submit_and_read(job_id)
                for sent in appends:
                    in_flight[job_id] = sent
                if code == ResultCode.CAPACITY_SHORT:
                    self.assertNotIn(job_id, host.accepted)
                    self.assertNotIn(job_id, in_flight)
                    self.assertNotIn(job_id, maybe_written)
            elif action == "load":
                host.report_load()
            elif action == "clear":
                host.read([LoadReported(1)])
            elif action == "wait":
                host.clock.advance(1_000)
                host.jobs.receive(Tick())
                for sent in host.appender.take(AppendRecord):
                    in_flight[json_text.loads_message(sent.body).job.job_id] = sent
            elif append and action == "written":
                host.read([append])
            elif append and action == "taken":
                del in_flight[job_id]
                host.jobs.receive(AppendDone(append.record_id, host.offset))
                host.read([append])
            elif append and action == "refused" and job_id not in maybe_written:
                del in_flight[job_id]
                host.jobs.receive(AppendFailed(append.record_id, False, "", False))
            elif append and action == "unknown":
                maybe_written.add(job_id)
                host.jobs.receive(AppendFailed(append.record_id, True, "", False))
            host.take_replies()

    def test_without_the_policy_replies_and_records_are_as_before(self):
        outcomes = []
        for has_load in (False, True):
            host = EntryHost(NO_OVERLOAD_POLICIES)
            if has_load:
                host.report_load()
            appends = host.submit(JOB_IDS[0])
            host.jobs.receive(AppendDone(appends[0].record_id, 9))
            outcomes.append(([a.body for a in appends], host.take_replies()[0].result))
            self.assertEqual(host.tail.messages, [])
        self.assertEqual(outcomes[0], outcomes[1])


if __name__ == "__main__":
    unittest.main()
