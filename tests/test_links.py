"""Links and codecs: behaviour on lost responses, refusals and invalid input."""

import unittest

from knapweedshed.codecs import cbor, json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_test_context
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    ReadNow,
    RecordsRead,
    SetReadPause,
    Tick,
)
from knapweedshed.controllers.work_messages import SetWorkerPolling
from knapweedshed.links import log as log_links
from knapweedshed.links.feeds import WorkerFeedLink
from knapweedshed.links.http_client import HttpClient
from knapweedshed.links.platform import LogService, create_platform
from knapweedshed.models.outcomes import LogPage, NoAnswer, NotSent, StoredRecord
from knapweedshed.models.shapes import Adjacency, Shape
from knapweedshed.models.wire import Watch


class FakeLog(LogService):
    """A log service that returns prepared responses and records its requests."""

    def __init__(self, responses):
        self.responses = responses
        self.requests = []

    def append(self, stream, records):
        self.requests.append([record.record_id for record in records])
        return self.responses.pop(0)

    def read(self, stream, from_offset, limit, wait_ms):
        self.requests.append(from_offset)
        return self.responses.pop(0)

    def close(self):
        pass


class FakeActorRef:
    """Records the messages sent to an actor."""

    def __init__(self):
        self.messages = []

    def tell(self, message):
        self.messages.append(message)


class FakeTimer:
    """Records timers as (delay in ms, message); none expires."""

    def __init__(self):
        self.timers = []

    def after(self, delay_ms, receiver, message):
        self.timers.append((delay_ms, message))


class FakeFeed:
    """An empty list of workers; counts its reads."""

    reads = 0

    def read(self):
        self.reads += 1
        return ()


def create_actor_without_thread(actor_class, *arguments):
    """Return an actor whose handlers the test calls directly, in its own thread."""
    actor = actor_class(create_test_context(), *arguments)
    actor._actor_ref = FakeActorRef()
    return actor


class LogTailTests(unittest.TestCase):
    """Reading pages of a stream."""

    def test_empty_page_does_not_skip_unread_records(self):
        record = StoredRecord(5, "r", "{}")
        log = FakeLog([LogPage((), 132, 0), LogPage((record,), 6, 0)])
        receiver = FakeActorRef()
        tail = create_actor_without_thread(
            log_links.LogTail, log, FakeTimer(), "s", receiver
        )
        tail.read_next(log_links.ReadNext())
        tail.read_next(log_links.ReadNext())
        self.assertEqual(log.requests, [0, 0])
        self.assertEqual(
            receiver.messages[1][:4], RecordsRead("s", (record,), 0, True)[:4]
        )

    def test_paced_reader_pauses_after_records_and_reads_on_request(self):
        record = StoredRecord(0, "r", "{}")
        log = FakeLog([LogPage((record,), 1, 0, 1), LogPage((), 1, 0, 1)])
        receiver = FakeActorRef()
        timer = FakeTimer()
        tail = create_actor_without_thread(log_links.LogTail, log, timer, "s", receiver)
        tail.set_pause(SetReadPause(400))
        tail.read_next(log_links.ReadNext())
        self.assertEqual(receiver.messages[0].pause_ms, 400)
        self.assertEqual(timer.timers, [(400, log_links.ReadNext(0))])
        self.assertEqual(tail._actor_ref.messages, [])
        tail.read_now(ReadNow())
        self.assertEqual(log.requests, [0, 1])
        self.assertEqual(receiver.messages[1].pause_ms, 0)

    def test_cancelled_pause_triggers_no_read_when_its_timer_expires(self):
        record = StoredRecord(0, "r", "{}")
        log = FakeLog([LogPage((record,), 1, 0, 1), LogPage((), 1, 0, 1)])
        tail = create_actor_without_thread(
            log_links.LogTail, log, FakeTimer(), "s", FakeActorRef()
        )
        tail.set_pause(SetReadPause(400))
        tail.read_next(log_links.ReadNext())
        tail.read_now(ReadNow())
        tail.read_next(log_links.ReadNext(0))
        tail.read_now(ReadNow())
        self.assertEqual(log.requests, [0, 1])


class WorkerFeedTests(unittest.TestCase):
    """Polling of the list of workers."""

    def test_worker_list_is_polled_only_while_polling_is_enabled(self):
        feed = FakeFeed()
        link = create_actor_without_thread(
            WorkerFeedLink, feed, FakeTimer(), FakeActorRef()
        )
        link.poll(Tick())
        self.assertEqual(feed.reads, 0)
        link.set_polling(SetWorkerPolling(True))
        link.set_polling(SetWorkerPolling(True))
        self.assertEqual(link._actor_ref.messages, [Tick()])
        link.poll(Tick())
        link.set_polling(SetWorkerPolling(False))
        link.poll(Tick())
        self.assertEqual(feed.reads, 1)
        link.set_polling(SetWorkerPolling(True))
        self.assertEqual(len(link._actor_ref.messages), 2)


class LogAppenderTests(unittest.TestCase):
    """Batched appends, and their success or failure."""

    def test_queued_records_are_appended_in_one_batch_and_report_their_offsets(self):
        log = FakeLog([7])
        appender = create_actor_without_thread(log_links.LogAppender, log)
        receiver = FakeActorRef()
        for name in ("a", "b"):
            appender.append(AppendRecord("s", name, "{}", receiver))
        appender.flush(None)
        self.assertEqual(log.requests, [["a", "b"]])
        self.assertEqual(receiver.messages, [AppendDone("a", 7), AppendDone("b", 8)])

    def test_lost_response_is_unknown_and_refusal_is_not(self):
        for response, unknown in ((NoAnswer("lost"), True), (NotSent("down"), False)):
            appender = create_actor_without_thread(
                log_links.LogAppender, FakeLog([response])
            )
            receiver = FakeActorRef()
            appender.append(AppendRecord("s", "a", "{}", receiver))
            appender.flush(None)
            self.assertEqual(
                receiver.messages, [AppendFailed("a", unknown, response.reason)]
            )


class CodecTests(unittest.TestCase):
    """Encoding and decoding of messages."""

    def setUp(self):
        register_all()

    def test_message_round_trips_in_both_encodings(self):
        shape = Shape(3, 8, Adjacency.RACK)
        self.assertEqual(cbor.decode(cbor.encode(shape)), shape)
        self.assertEqual(json_text.loads_message(json_text.dumps(shape)), shape)

    def test_unknown_fields_of_a_later_release_are_ignored(self):
        plain = {"_": "Watch", "job_id": "x", "colour": "red"}
        self.assertEqual(json_text.message_from_plain(plain), Watch("x"))

    def test_invalid_messages_raise_the_codecs_errors(self):
        with self.assertRaises(cbor.MessageError):
            cbor.decode(b"\xff\x00")
        with self.assertRaises(json_text.TextError):
            json_text.loads_message('{"_": "NoSuchMessage"}')


class HttpClientTests(unittest.TestCase):
    """Failures of an exchange: known not to be sent, or unknown."""

    def test_request_to_a_closed_port_is_reported_as_not_sent(self):
        context = create_test_context()
        response = HttpClient(context.clock, "127.0.0.1:1").exchange("GET", "/")
        self.assertIsInstance(response, NotSent)

    def test_unknown_platform_raises_an_error_with_the_known_ones(self):
        with self.assertRaisesRegex(ValueError, "expected one of"):
            create_platform("nowhere", create_test_context().clock)
