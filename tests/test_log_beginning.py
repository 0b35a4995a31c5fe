"""Readers whose log has dropped its first records know what a reader of all knows.

A host that started when the log was older than its retention dropped the ends that
stood before the first heartbeat, and ran those jobs again (review/11).
"""

import random
import unittest

from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_test_context
from knapweedshed.controllers.jobs import JobsController
from knapweedshed.controllers.messages import AppendRecord, RecordsRead, Tick
from knapweedshed.controllers.work_messages import (
    CallAdmitted,
    ReadinessAsked,
    ServiceConfigurationUpdated,
    UseCallsController,
    UseLogTail,
)
from knapweedshed.controllers.work_stream import apply_records
from knapweedshed.decisions.leadership import LEADER_TIMEOUT_MS
from knapweedshed.decisions.units import ready_steps
from knapweedshed.decisions.work_ledger import WorkLedger, shows_end
from knapweedshed.links.log import LogTail, ReadNext
from knapweedshed.models.calls import CallKind, WorkCall
from knapweedshed.models.outcomes import LogPage, StoredRecord
from knapweedshed.models.service_configuration import ServiceConfiguration
from knapweedshed.models.work import (
    EndKind,
    Task,
    TaskEnd,
    Unit,
    WorkState,
    tasks_of_unit,
)
from knapweedshed.models.work_records import (
    WORK_STREAM,
    ActingBeat,
    ActingClaimed,
    ActingEnded,
    Launched,
    RunsLaunched,
    TasksEnded,
    WorkAccepted,
    WorkCancelled,
    WorkSnapshot,
)
from knapweedshed.results import ResultCode
from tests.dispatch_harness import make_job, make_step
from tests.scheduling_harness import (
    HOST_ID,
    FakeActorRef,
    FakeTimer,
    SchedulingHarness,
)
from tests.test_links import create_actor_without_thread

JOB_ID = "a" * 16
FIRST_UNIT = Unit(JOB_ID, 0, 0, 0)
FIRST_END = TaskEnd(1, Task(*FIRST_UNIT), 1, EndKind.DONE)
STREAM_RECORDS = 500
SNAPSHOT_PERIOD_RECORDS = 60
HEARTBEAT_PERIOD_RECORDS = 5
TERM_RECORDS = 90
MAX_DELAY_RECORDS = 8
FIRST_STEP = 20  # records between those that are tried as the first left
# Streams that showed a job as open that had ended, in this order: a snapshot after the
# last one; a last one of a replaced epoch; a second acceptance; a late stale snapshot.
FAILED_SEEDS = (3922, 7919, 7983, 8)


class RecordedStream:
    """Records as hosts write them, some of them late, and the ledger of all of them."""

    def __init__(self, seed):
        self.records = []
        self.ledger = WorkLedger()
        self._random = random.Random(seed)
        self._delayed = []
        self._written_at = {}
        self._described_again = set()
        self._described = set()
        self._job_count = 0
        self._append(ActingClaimed(1, "h1"))
        while len(self.records) < STREAM_RECORDS:
            self._write_next()
        while self._delayed:
            self._flush(len(self.records) + MAX_DELAY_RECORDS)

    def _append(self, record):
        changed = self.ledger.apply(len(self.records), record)
        self.records.append(record)
        if isinstance(record, (WorkAccepted, WorkSnapshot)):
            job_id = record.job.job_id
            if not changed and job_id in self.ledger.jobs:
                self._described_again.add(job_id)
            # A snapshot that isn't in force is written again.
            self._written_at[job_id] = len(self.records) if changed else 0
            if not shows_end(record):
                self._describe_ended(job_id)
        else:
            for job_id in changed:
                if job_id in self._described_again and job_id not in self._described:
                    self._describe_ended(job_id)

    def _describe_ended(self, job_id):
        """Write the end of a job again, like `TermRecords`."""
        progress = self.ledger.jobs[job_id]
        if progress.active:
            return
        self._described.add(job_id)
        if progress.state == WorkState.CANCELLED:
            self._delay(WorkCancelled(job_id))
        else:
            self._delay(progress.snapshot(self.ledger.epoch, 0))

    def _delay(self, record, max_records=MAX_DELAY_RECORDS):
        due = len(self.records) + self._random.randint(0, max_records)
        self._delayed.append((due, record))

    def _flush(self, until):
        due = [item for item in self._delayed if item[0] <= until]
        self._delayed = [item for item in self._delayed if item[0] > until]
        for _, record in due:
            self._append(record)

    def _write_next(self):
        number = len(self.records)
        self._flush(number)
        epoch = self.ledger.epoch
        if number % HEARTBEAT_PERIOD_RECORDS == 0:
            lag = self._random.randint(0, 2)
            read_offset = max(self.ledger.claimed_offset, number - 1 - lag)
            self._delay(ActingBeat(epoch, f"h{epoch}", read_offset))
        for job_id, progress in self.ledger.open_jobs.items():
            if number - self._written_at[job_id] >= SNAPSHOT_PERIOD_RECORDS:
                self._written_at[job_id] = number
                self._described_again.add(job_id)
                self._delay(progress.snapshot(epoch, 0))
        if number % TERM_RECORDS == 0:
            self._change_acting_host(epoch)
            return
        write = self._random.choice(
            (self._accept, self._accept, self._launch, self._launch, self._end)
            + (self._end, self._end, self._cancel)
        )
        write(epoch)

    def _change_acting_host(self, epoch):
        self._append(ActingClaimed(epoch + 1, f"h{epoch + 1}"))
        self._described = set()
        for job_id in self._described_again:
            if not self.ledger.jobs[job_id].is_end_written:
                self._describe_ended(job_id)
        self._delay(ActingClaimed(epoch + 1, "loser"))
        self._delay(ActingBeat(epoch, f"h{epoch}", self.ledger.claimed_offset - 2))
        for unit, launched in self._running():
            self._delay(self._end_record(epoch, unit, launched.run, EndKind.DONE))
            self._delay(RunsLaunched(epoch, (launched._replace(run=launched.run + 1),)))

    def _accept(self, epoch):
        self._job_count += 1
        steps = self._random.choice(
            (
                (make_step(1),),
                (make_step(3),),
                (make_step(2, gang=True), make_step(1, after=(0,))),
            )
        )
        job = make_job(f"{self._job_count:016x}", steps, max_failures=2)
        self._append(WorkAccepted(job))
        if self._random.random() < 0.1:
            self._delay(WorkAccepted(job))

    def _launch(self, epoch):
        for progress in self.ledger.open_jobs.values():
            for unit in self._ready_units(progress):
                if unit not in progress.launched:
                    self._append(
                        RunsLaunched(epoch, (Launched(unit, 1, (("w0", 1),)),))
                    )
                    return

    def _ready_units(self, progress):
        for _, step in ready_steps(progress, 0):
            yield from progress.done.units_left(0, step)

    def _end(self, epoch):
        running = self._running()
        if running:
            unit, launched = self._random.choice(running)
            kind = self._random.choice((EndKind.DONE, EndKind.DONE, EndKind.FAILED))
            self._append(self._end_record(epoch, unit, launched.run, kind))
            if kind == EndKind.FAILED:
                again = launched._replace(run=launched.run + 1)
                self._append(RunsLaunched(epoch, (again,)))

    def _cancel(self, epoch):
        if self.ledger.open_jobs and self._random.random() < 0.3:
            self._append(WorkCancelled(self._random.choice([*self.ledger.open_jobs])))

    def _running(self):
        return [
            (unit, launched)
            for progress in self.ledger.open_jobs.values()
            for unit, launched in progress.launched.items()
            if unit not in progress.done
        ]

    def _end_record(self, epoch, unit, run, kind):
        step = self.ledger.jobs[unit.job_id].job.steps[unit.step]
        task = tasks_of_unit(unit, step)[0]
        return TasksEnded(epoch, (TaskEnd(1, task, run, kind),))


class RetainedLog:
    """A log of `StoredRecord`s that has dropped those before `first`."""

    def __init__(self, stored, first):
        self._stored = stored
        self._first = first

    def read(self, stream, from_offset, limit, wait_ms):
        if from_offset < self._first:
            return LogPage((), self._first, self._first, self._first + 1)
        records = self._stored[from_offset : from_offset + limit]
        next_offset = from_offset + len(records)
        return LogPage(records, next_offset, self._first, len(self._stored))


def store(records):
    """Return the records as the log has them."""
    return tuple(
        StoredRecord(offset, f"r{offset}", json_text.dumps(record))
        for offset, record in enumerate(records)
    )


def read_pages(stored, first):
    """Return the pages that a new reader gets of a log that begins at `first`."""
    receiver = FakeActorRef()
    log = RetainedLog(stored, first)
    tail = create_actor_without_thread(LogTail, log, FakeTimer(), WORK_STREAM, receiver)
    while not receiver.messages or not receiver.messages[-1].caught_up:
        tail.read_next(ReadNext())
    return receiver.messages


def read_ledger(stored, first):
    """Return the ledger of a reader for whom the log begins at `first`."""
    ledger = WorkLedger()
    context = create_test_context()
    for page in read_pages(stored, first):
        for _ in apply_records(context, ledger, page):
            pass
    return ledger


def read_stream(records, first):
    """Return the ledger of a reader of `records` for whom they begin at `first`."""
    return read_ledger(store(records), first)


def state_of(progress):
    """Return what a host that takes over needs to know of an open job."""
    launched = {
        unit: launched
        for unit, launched in progress.launched.items()
        if unit not in progress.done
    }
    return set(progress.done), progress.failed_runs, launched, progress.state


class LateReaderTest(unittest.TestCase):
    """One recorded stream, read from each record on that may be the first left."""

    @classmethod
    def setUpClass(cls):
        register_all()

    def _assert_same_jobs(self, late, full, first):
        self.assertEqual((late.epoch, late.acting_host), (full.epoch, full.acting_host))
        ended = set(full.jobs) - set(full.open_jobs)
        self.assertEqual(ended & set(late.open_jobs), set(), f"first: {first}")
        for job_id, progress in full.open_jobs.items():
            known = late.jobs.get(job_id)
            self.assertIsNotNone(known, f"{job_id}, first: {first}")
            self.assertEqual(
                state_of(known), state_of(progress), f"{job_id}, first: {first}"
            )

    def test_late_reader_knows_what_a_reader_of_the_whole_log_knows(self):
        for seed in (*range(7), *FAILED_SEEDS):
            stream = RecordedStream(seed)
            stored = store(stream.records)
            last_first = len(stream.records) - 3 * SNAPSHOT_PERIOD_RECORDS
            for first in range(1 + seed % FIRST_STEP, last_first, FIRST_STEP):
                with self.subTest(seed=seed, first=first):
                    late = read_ledger(stored, first)
                    self._assert_same_jobs(late, stream.ledger, first)

    def test_job_that_ended_before_the_first_heartbeat_is_not_open(self):
        late = read_stream(
            [
                ActingClaimed(1, "h1"),
                WorkAccepted(make_job()),
                RunsLaunched(1, (Launched(FIRST_UNIT, 1, (("w0", 1),)),)),
                TasksEnded(1, (FIRST_END,)),
                ActingBeat(1, "h1", 3),
            ],
            1,
        )
        self.assertEqual(late.jobs[JOB_ID].state, WorkState.COMPLETED)
        self.assertEqual((late.epoch, late.acting_host), (1, "h1"))

    def test_snapshot_before_the_first_heartbeat_is_kept(self):
        late = read_stream(
            [
                ActingClaimed(1, "h1"),
                WorkAccepted(make_job()),
                WorkSnapshot(1, make_job()),
                ActingBeat(1, "h1", 2),
            ],
            2,
        )
        self.assertEqual(list(late.open_jobs), [JOB_ID])

    def test_claims_among_the_first_records_tell_the_epochs_before_them(self):
        late = read_stream(
            [
                ActingClaimed(1, "h1"),
                WorkAccepted(make_job()),
                TasksEnded(1, (FIRST_END,)),
                ActingClaimed(2, "h2"),
                ActingClaimed(3, "h3"),
                ActingBeat(3, "h3", 4),
            ],
            1,
        )
        self.assertEqual(late.jobs[JOB_ID].state, WorkState.COMPLETED)
        self.assertEqual((late.epoch, late.acting_host), (3, "h3"))

    def test_late_records_of_a_replaced_host_do_not_decide_the_epoch(self):
        late = read_stream(
            [
                ActingClaimed(1, "h1"),
                ActingClaimed(2, "h2"),
                ActingBeat(1, "h1", 0),
                ActingBeat(2, "h2", 2),
                WorkAccepted(make_job()),
                TasksEnded(2, (FIRST_END,)),
            ],
            2,
        )
        self.assertEqual(late.jobs[JOB_ID].state, WorkState.COMPLETED)

    def test_end_between_a_snapshot_and_its_record_is_kept(self):
        # The snapshot was taken before the end was read, and appended after it.
        job = make_job(steps=(make_step(2),))
        late = read_stream(
            [
                WorkAccepted(job),
                ActingBeat(1, "h1", 0),
                TasksEnded(1, (FIRST_END,)),
                WorkSnapshot(1, job),
            ],
            1,
        )
        self.assertEqual(set(late.jobs[JOB_ID].done), {FIRST_UNIT})

    def test_second_claim_of_the_epoch_in_force_does_not_begin_the_log(self):
        late = read_stream(
            [
                ActingClaimed(1, "h1"),
                ActingClaimed(2, "h2"),
                TasksEnded(1, (FIRST_END,)),
                ActingClaimed(2, "h3"),
                ActingBeat(2, "h2", 1),
                WorkSnapshot(2, make_job()),
            ],
            2,
        )
        self.assertEqual(late.acting_host, "h2")
        self.assertEqual(list(late.open_jobs), [JOB_ID])

    def test_log_without_heartbeats_begins_with_all_its_jobs_at_a_claim(self):
        ledger = read_stream([ActingBeat(4, "h1", 0), WorkAccepted(make_job())], 1)
        self.assertFalse(ledger.has_begun)
        self.assertEqual(dict(ledger.jobs), {})
        ledger.apply(2, ActingClaimed(ledger.next_epoch, "h2"))
        self.assertEqual(list(ledger.open_jobs), [JOB_ID])
        self.assertEqual((ledger.epoch, ledger.acting_host), (1, "h2"))

    def test_claim_of_a_past_epoch_does_not_begin_a_log(self):
        ledger = read_stream(
            [ActingClaimed(4, "h1"), WorkAccepted(make_job()), ActingBeat(4, "h1", 0)],
            2,
        )
        ledger.apply(3, ActingClaimed(3, "h2"))
        self.assertFalse(ledger.has_begun)
        ledger.apply(4, ActingClaimed(5, "h3"))
        self.assertEqual((ledger.epoch, ledger.acting_host), (5, "h3"))


class GapTest(unittest.TestCase):
    """Controllers whose reader was away for longer than the log keeps its records."""

    def setUp(self):
        register_all()
        self.harness = SchedulingHarness()

    def _miss_records(self, receiver, first, *records):
        gap = RecordsRead(WORK_STREAM, (), first, False, is_gap=True)
        stored = tuple(
            StoredRecord(first + index, f"g{index}", json_text.dumps(record))
            for index, record in enumerate(records)
        )
        receiver.receive(gap)
        receiver.receive(RecordsRead(WORK_STREAM, stored, first, True))

    def _appended(self, record_class):
        messages = [
            json_text.loads_message(record.body)
            for record in self.harness.appender.take(AppendRecord)
        ]
        return [item for item in messages if isinstance(item, record_class)]

    def test_acting_host_that_missed_records_gives_up_the_role(self):
        self._miss_records(self.harness.controller, 900, ActingBeat(7, "h7", 899))
        self.assertFalse(self.harness.controller.dump()["acts"])
        self.assertEqual([item.epoch for item in self._appended(ActingEnded)], [1])

    def test_host_that_does_not_know_the_epoch_waits_before_it_claims(self):
        self._miss_records(self.harness.controller, 900)
        self.harness.tick()
        self.assertEqual(self._appended(ActingClaimed), [])
        self._miss_records(self.harness.controller, 900, ActingBeat(7, "h7", 3))
        for _ in range(30):
            self.harness.tick(after_ms=100)
            self.harness.read([])
            if claims := self._appended(ActingClaimed):
                break
        self.assertEqual(claims, [ActingClaimed(8, HOST_ID)])

    def test_host_that_still_reads_missed_time_does_not_claim(self):
        harness = self.harness
        harness.controller.receive(
            RecordsRead(WORK_STREAM, (), 900, False, is_gap=True)
        )
        for _ in range(30):
            harness.tick(after_ms=100)
            harness.controller.receive(RecordsRead(WORK_STREAM, (), 900, False))
        self.assertEqual(self._appended(ActingClaimed), [])

    def test_host_hears_the_acting_host_after_a_gap_and_does_not_claim(self):
        self._miss_records(self.harness.controller, 900, ActingBeat(7, "h7", 899))
        self.harness.tick(after_ms=LEADER_TIMEOUT_MS // 2)
        self.assertEqual(self._appended(ActingClaimed), [])

    def test_job_that_ends_after_a_snapshot_gets_a_last_one(self):
        job = make_job()
        self.harness.accept(job, make_job("b" * 16))
        self.harness.read([WorkSnapshot(1, job, written_wall_ms=5)])
        self._appended(WorkSnapshot)
        other_end = FIRST_END._replace(task=FIRST_END.task._replace(job_id="b" * 16))
        self.harness.read([TasksEnded(1, (FIRST_END, other_end))])
        snapshots = self._appended(WorkSnapshot)
        self.assertEqual(
            [(item.job, item.done) for item in snapshots], [(job, (FIRST_UNIT,))]
        )

    def test_job_that_ends_after_a_second_acceptance_gets_a_last_snapshot(self):
        job = make_job()
        self.harness.accept(job, job)
        self.harness.read([TasksEnded(1, (FIRST_END,))])
        self.assertEqual(
            [item.done for item in self._appended(WorkSnapshot)], [(FIRST_UNIT,)]
        )

    def test_successor_writes_the_last_snapshot_that_is_not_in_force(self):
        job = make_job()
        self.harness.accept(job)
        self.harness.read(
            [WorkSnapshot(1, job, written_wall_ms=5), TasksEnded(1, (FIRST_END,))]
        )
        (last,) = self._appended(WorkSnapshot)
        self.harness.read([ActingClaimed(2, "h2"), last])
        self.harness.read([ActingClaimed(3, HOST_ID)])
        (again,) = self._appended(WorkSnapshot)
        self.assertEqual((again.epoch, again.done), (3, (FIRST_UNIT,)))
        self.harness.read([again, ActingClaimed(4, "h2"), ActingClaimed(5, HOST_ID)])
        self.assertEqual(self._appended(WorkSnapshot), [])

    def test_end_is_written_again_after_a_late_copy_of_an_older_snapshot(self):
        job = make_job()
        self.harness.accept(job)
        stale = WorkSnapshot(1, job, written_wall_ms=5)
        self.harness.read([stale, TasksEnded(1, (FIRST_END,))])
        (last,) = self._appended(WorkSnapshot)
        self.harness.read([last])
        self.assertEqual(self._appended(WorkSnapshot), [])
        self.harness.read([stale])
        self.assertEqual(
            [item.done for item in self._appended(WorkSnapshot)], [(FIRST_UNIT,)]
        )

    def test_heartbeat_tells_how_far_its_writer_has_read(self):
        self.harness.tick(after_ms=1_000)
        (heartbeat,) = self._appended(ActingBeat)
        self.assertEqual(heartbeat, ActingBeat(1, HOST_ID, self.harness.offset - 1))

    def test_host_serves_no_state_from_before_a_gap(self):
        context = create_test_context()
        jobs = JobsController(context, FakeActorRef(), 262_144)
        calls = FakeActorRef()
        jobs.receive(UseCallsController(calls))
        jobs.receive(UseLogTail(FakeActorRef()))
        jobs.receive(ServiceConfigurationUpdated(ServiceConfiguration(1, (), ())))
        accepted = StoredRecord(0, "r0", json_text.dumps(WorkAccepted(make_job())))
        jobs.receive(RecordsRead(WORK_STREAM, (accepted,), 0, True))
        self._miss_records(jobs, 900, WorkAccepted(make_job("b" * 16)))
        now_ms = context.clock.now_ms()
        call = WorkCall(
            "c1", CallKind.STATE, "h", "/", "k", now_ms, now_ms + 3_000, job_id=JOB_ID
        )
        jobs.receive(CallAdmitted(call))
        jobs.receive(Tick())
        for message in calls.messages:
            code = message.reply.result.code
            self.assertEqual(code, ResultCode.LOG_UNAVAILABLE)
        ready = FakeReply()
        jobs.receive(ReadinessAsked(ready))
        self.assertEqual(ready.values, [False])


class FakeReply:
    """Records what a reply is set to."""

    def __init__(self):
        self.values = []

    def set(self, value):
        self.values.append(value)


if __name__ == "__main__":
    unittest.main()
