"""Links and codecs: what they do when the other side misbehaves."""

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
from knapweedshed.links import log as links
from knapweedshed.links.feeds import WorkerFeedLink
from knapweedshed.links.http_client import HttpClient
from knapweedshed.links.platform import LogService, create_platform
from knapweedshed.models.outcomes import LogPage, NoAnswer, NotSent, StoredRecord
from knapweedshed.models.shapes import Adjacency, Shape
from knapweedshed.models.wire import Watch


class FakeLog(LogService):
    """Answers from a list."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    def append(self, stream, records):
        self.asked.append([record.record_id for record in records])
        return self.answers.pop(0)

    def read(self, stream, from_offset, limit, wait_ms):
        self.asked.append(from_offset)
        return self.answers.pop(0)

    def close(self):
        pass


class FakeRef:
    """Collects what is told."""

    def __init__(self):
        self.told = []

    def tell(self, message):
        self.told.append(message)


class FakeTimer:
    """Collects timers; none ever comes."""

    def __init__(self):
        self.added = []

    def after(self, delay_ms, receiver, message):
        self.added.append((delay_ms, message))


class FakeFeed:
    """A list without workers."""

    reads = 0

    def read(self):
        self.reads += 1
        return ()


def without_thread(actor_class, *arguments):
    """Return an actor that is called directly, in the test's own thread."""
    actor = actor_class(create_test_context(), *arguments)
    actor._actor_ref = FakeRef()
    return actor


class LogTailTests(unittest.TestCase):
    """Reading a stream."""

    def test_an_empty_page_never_moves_the_reader_past_unread_records(self):
        record = StoredRecord(5, "r", "{}")
        log = FakeLog([LogPage((), 132, 0), LogPage((record,), 6, 0)])
        receiver = FakeRef()
        tail = without_thread(links.LogTail, log, FakeTimer(), "s", receiver)
        tail.read_next(links.ReadNext())
        tail.read_next(links.ReadNext())
        self.assertEqual(log.asked, [0, 0])
        self.assertEqual(receiver.told[1][:4], RecordsRead("s", (record,), 0, True)[:4])

    def test_a_paced_reader_pauses_after_records_and_reads_when_asked(self):
        record = StoredRecord(0, "r", "{}")
        log = FakeLog([LogPage((record,), 1, 0, 1), LogPage((), 1, 0, 1)])
        receiver = FakeRef()
        timer = FakeTimer()
        tail = without_thread(links.LogTail, log, timer, "s", receiver)
        tail.set_pause(SetReadPause(400))
        tail.read_next(links.ReadNext())
        self.assertEqual(receiver.told[0].pause_ms, 400)
        self.assertEqual(timer.added, [(400, links.ReadNext(0))])
        self.assertEqual(tail._actor_ref.told, [])
        tail.read_now(ReadNow())
        self.assertEqual(log.asked, [0, 1])
        self.assertEqual(receiver.told[1].pause_ms, 0)

    def test_a_pause_that_was_left_off_reads_nothing_when_it_ends(self):
        record = StoredRecord(0, "r", "{}")
        log = FakeLog([LogPage((record,), 1, 0, 1), LogPage((), 1, 0, 1)])
        tail = without_thread(links.LogTail, log, FakeTimer(), "s", FakeRef())
        tail.set_pause(SetReadPause(400))
        tail.read_next(links.ReadNext())
        tail.read_now(ReadNow())
        tail.read_next(links.ReadNext(0))
        tail.read_now(ReadNow())
        self.assertEqual(log.asked, [0, 1])


class WorkerFeedTests(unittest.TestCase):
    """Following the list of workers."""

    def test_the_list_is_read_only_while_somebody_follows_it(self):
        feed = FakeFeed()
        link = without_thread(WorkerFeedLink, feed, FakeTimer(), FakeRef())
        link.tick(Tick())
        self.assertEqual(feed.reads, 0)
        link.follow(SetWorkerPolling(True))
        link.follow(SetWorkerPolling(True))
        self.assertEqual(link._actor_ref.told, [Tick()])
        link.tick(Tick())
        link.follow(SetWorkerPolling(False))
        link.tick(Tick())
        self.assertEqual(feed.reads, 1)
        link.follow(SetWorkerPolling(True))
        self.assertEqual(len(link._actor_ref.told), 2)


class LogAppenderTests(unittest.TestCase):
    """Appending in batches."""

    def test_what_waits_goes_in_one_append_and_each_learns_its_offset(self):
        log = FakeLog([7])
        appender = without_thread(links.LogAppender, log)
        receiver = FakeRef()
        for name in ("a", "b"):
            appender.append(AppendRecord("s", name, "{}", receiver))
        appender.flush(None)
        self.assertEqual(log.asked, [["a", "b"]])
        self.assertEqual(receiver.told, [AppendDone("a", 7), AppendDone("b", 8)])

    def test_a_lost_answer_is_unknown_and_a_refusal_is_not(self):
        for answer, unknown in ((NoAnswer("lost"), True), (NotSent("down"), False)):
            appender = without_thread(links.LogAppender, FakeLog([answer]))
            receiver = FakeRef()
            appender.append(AppendRecord("s", "a", "{}", receiver))
            appender.flush(None)
            self.assertEqual(receiver.told, [AppendFailed("a", unknown, answer.reason)])


class CodecTests(unittest.TestCase):
    """Messages there and back."""

    def setUp(self):
        register_all()

    def test_a_message_survives_both_encodings(self):
        shape = Shape(3, 8, Adjacency.RACK)
        self.assertEqual(cbor.decode(cbor.encode(shape)), shape)
        self.assertEqual(json_text.loads_message(json_text.dumps(shape)), shape)

    def test_unknown_fields_of_a_later_release_are_dropped(self):
        plain = {"_": "Watch", "job_id": "x", "colour": "red"}
        self.assertEqual(json_text.message_from_plain(plain), Watch("x"))

    def test_bytes_that_are_no_message_are_an_error_value(self):
        with self.assertRaises(cbor.MessageError):
            cbor.decode(b"\xff\x00")
        with self.assertRaises(json_text.TextError):
            json_text.loads_message('{"_": "NoSuchMessage"}')


class HttpClientTests(unittest.TestCase):
    """What is known of an exchange's effect."""

    def test_a_closed_port_is_never_sent(self):
        context = create_test_context()
        answer = HttpClient(context.clock, "127.0.0.1:1").exchange("GET", "/")
        self.assertIsInstance(answer, NotSent)

    def test_an_unknown_platform_is_named(self):
        with self.assertRaisesRegex(ValueError, "expected one of"):
            create_platform("nowhere", create_test_context().clock)
