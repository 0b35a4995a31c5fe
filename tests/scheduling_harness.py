"""A host's scheduling controller over a simulated log, without sockets and threads."""

from unittest import mock

from knapweedshed.clock import ManualClock
from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_test_context
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    RecordsRead,
    Tick,
)
from knapweedshed.controllers.scheduling import SchedulingController
from knapweedshed.controllers.work_messages import (
    EvacuationsRead,
    HoldRequest,
    HoldResponse,
    PlanNow,
    ServiceConfigurationUpdated,
    UseLogTail,
    UseWorkerFeed,
    WorkersListed,
)
from knapweedshed.links import worker_links
from knapweedshed.models.host_settings import HostSettings
from knapweedshed.models.outcomes import StoredRecord
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES
from knapweedshed.models.service_configuration import (
    ConfiguredOrganisation,
    ServiceConfiguration,
)
from knapweedshed.models.work import HoldAnswer
from knapweedshed.models.work_records import WORK_STREAM, ActingClaimed, WorkAccepted
from tests.dispatch_harness import make_entry

SETTINGS = HostSettings(
    "edge-1", "tunis", "127.0.0.1:1", "127.0.0.1:2", 6_000, 6_000, 250
)
HOST_ID = "edge-1/test"


class FakeActorRef:
    """Records the messages sent to an actor."""

    def __init__(self):
        self.messages = []

    def tell(self, message):
        """Record a message."""
        self.messages.append(message)

    def take(self, message_class):
        """Return the recorded messages of a class, and forget all."""
        messages, self.messages = self.messages, []
        return [item for item in messages if isinstance(item, message_class)]


class FakeTimer:
    """Drops what is due later; tests send those messages themselves."""

    def after(self, delay_ms, receiver, message):
        """Ignore a message that is due later."""


class SchedulingHarness:
    """An acting host with `workers` idle workers.

    `appender` and `connections` record what it appends, and what it sends to workers.
    The log takes records of at most `max_record_bytes`. `evacuation_ms` is the time
    limit of evacuations, which the host hasn't read yet.
    """

    def __init__(
        self,
        workers=2,
        max_record_bytes=SETTINGS.log_record_bytes,
        evacuation_ms=SETTINGS.evacuation_ms,
        overload_policies=NO_OVERLOAD_POLICIES,
    ):
        register_all()
        self.clock = ManualClock(60_000)
        self.appender = FakeActorRef()
        self.connections = FakeActorRef()
        self.max_record_bytes = max_record_bytes
        self.offset = 0
        self.entries = tuple(make_entry(number) for number in range(workers))
        settings = SETTINGS._replace(
            log_record_bytes=max_record_bytes, evacuation_ms=evacuation_ms
        )
        with mock.patch.object(worker_links, "WorkerConnections") as connections:
            connections.start.return_value = self.connections
            self.controller = SchedulingController(
                create_test_context(clock=self.clock),
                FakeTimer(),
                mock.Mock(),
                self.appender,
                settings,
                overload_policies,
            )
        for message in (UseLogTail(FakeActorRef()), UseWorkerFeed(FakeActorRef())):
            self.controller.receive(message)
        organisation = ConfiguredOrganisation("sahel", ("key",), 0)
        configuration = ServiceConfiguration(1, (), (organisation,))
        self.controller.receive(ServiceConfigurationUpdated(configuration))
        self.read([ActingClaimed(1, HOST_ID)])
        self.list_workers()

    def read(self, records):
        """Deliver records as read from the log; each is a message or an append."""
        stored = []
        for record in records:
            if isinstance(record, AppendRecord):
                stored.append(StoredRecord(self.offset, record.record_id, record.body))
            else:
                text = json_text.dumps(record)
                stored.append(StoredRecord(self.offset, f"o{self.offset}", text))
            self.offset += 1
        now_ms = self.clock.now_ms()
        page = RecordsRead(WORK_STREAM, tuple(stored), 0, True, now_ms)
        self.controller.receive(page)

    def list_workers(self):
        """Deliver the list of workers, and their answers to the first holds."""
        self.controller.receive(WorkersListed(self.entries))
        for hold in self.connections.take(HoldRequest):
            self.answer_hold(hold.worker_id)

    def answer_hold(self, worker_id, running=(), ended=()):
        """Deliver a worker's complete answer to a hold that was just sent."""
        now_ms = self.clock.now_ms()
        answer = HoldAnswer(now_ms, 1, tuple(running), tuple(ended), True)
        epoch = self.controller.dump()["epoch"]
        self.controller.receive(HoldResponse(worker_id, epoch, answer, now_ms))

    def accept(self, *jobs):
        """Deliver the acceptance of jobs."""
        self.read([WorkAccepted(job) for job in jobs])

    def plan(self):
        """Plan once; return the records to append as `AppendRecord`s."""
        self.controller.receive(PlanNow())
        return self.appender.take(AppendRecord)

    def append(self, records):
        """Append records one by one like the log, and read back those that it takes."""
        taken = []
        for record in records:
            if len(record.body) > self.max_record_bytes:
                self.reject(record)
            else:
                self.controller.receive(AppendDone(record.record_id, self.offset))
                taken.append(record)
        self.read(taken)

    def reject(self, record):
        """Reject a record for good."""
        failure = AppendFailed(record.record_id, False, "HTTP status 400", True)
        self.controller.receive(failure)

    def read_evacuations(self, *data_centres):
        """Deliver the names of the evacuated data centres, as read at this moment."""
        message = EvacuationsRead(frozenset(data_centres), self.clock.now_ms())
        self.controller.receive(message)

    def tick(self, after_ms=0):
        """Let the controller do its periodic work."""
        self.clock.advance(after_ms)
        self.controller.receive(Tick())
