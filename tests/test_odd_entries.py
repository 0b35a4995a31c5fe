"""Entries and messages of other writers stop nothing but themselves.

Guards against one odd entry among those of the workers (nested too deeply, a number too
large, a port out of range, a name that no header can carry) that ends the processes
which read the list, or makes them stop following it.
"""

import copy
import json
import logging
import math
import tempfile
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.clock import create_clock
from knapweedshed.codecs import cbor, json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.codecs.json_text import DECODE_ERRORS
from knapweedshed.context import create_test_context
from knapweedshed.controllers.messages import RecordsRead
from knapweedshed.controllers.work_stream import apply_records
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.links.http_messages import Response
from knapweedshed.links.http_platform import decode_host_listing
from knapweedshed.links.worker_connections import OrderChannel
from knapweedshed.models.dispatch_actions import StopRun
from knapweedshed.models.outcomes import NoAnswer, StoredRecord
from knapweedshed.models.work import HoldAnswer, Task
from knapweedshed.models.work_records import WORK_STREAM, ActingClaimed, WorkAccepted
from knapweedshed.platform.feeds import (
    StoreWorkerFeed,
    decode_configuration,
    decode_worker,
)
from knapweedshed.platform.workers import JsonWorkerCodec, decode_hold_answer
from knapweedshed.settings import parse_address
from tests.dispatch_harness import DispatchHarness, make_job
from tests.fleet_standin import FakeStore, FakeWorker
from tests.host_harness import HostProcess, wait_until
from tests.ports import free_port
from tests.test_fleet_platform import CONFIGURATION
from tests.test_host_program import JOB_BODY
from tests.test_malformed import VALUES

JOB_ID = "a" * 16
FOLLOW_TIMEOUT_S = 15
ENTRY = {
    "service": "planner",
    "addr": "127.0.0.1:9000",
    "zone": "tunis",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
    "labels": ["a", "r1-1"],
    "seq": 1,
    "born": 1_700_000_000_000,
}
LISTS = {
    "clock_ms": 5_000,
    "born": 1_700_000_000_000,
    "running": [[f"{JOB_ID}.0.0.0", 1, "", 40]],
    "ended": [[1, f"{JOB_ID}.0.0.1", 1, "done", ""]],
}
ODD_VALUES = (
    None,
    True,
    -1,
    0,
    0.5,
    10**15,
    10**30,
    10**400,
    -(10**400),
    math.inf,
    -math.inf,
    math.nan,
    "",
    "x",
    "\x00",
    "\ud800",
    "\N{SNOWMAN}",
    "x" * 100_000,
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-5",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:\N{SUPERSCRIPT TWO}",
    "localhost:80",
    "[::1]:80",
    "::1:80",
    ":80",
    [],
    [[]],
    {},
    {"base64": 5},
    {"base64": "AAAA"},
)
ODD_KEYS = (
    b"\x00",
    b"\xff\xfe",
    "\N{SNOWMAN}".encode(),
    b"i 1",
    b"i\r\nX: 1",
    b"i" * 255,
)
ODD_BODIES = (
    b"",
    b"null",
    b"{",
    b"\xff",
    b"[" * 100_000,
    b'{"a":' * 900 + b"1" + b"}" * 900,
    b"1" * 100_000,
    b"1e999999",
)
seeded = settings(max_examples=300, derandomize=True, deadline=None)


def odd_variants(sound):
    """Yield copies of a sound value with one part left out or replaced by another."""
    for path in _paths(sound):
        for odd in ODD_VALUES:
            changed = copy.deepcopy(sound)
            parent = changed
            for step in path[:-1]:
                parent = parent[step]
            parent[path[-1]] = odd
            yield changed
        if isinstance(path[-1], str):
            changed = copy.deepcopy(sound)
            parent = changed
            for step in path[:-1]:
                parent = parent[step]
            del parent[path[-1]]
            yield changed


def _paths(value, path=()):
    items = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    for step, item in items:
        yield (*path, step)
        yield from _paths(item, (*path, step))


class WorkerEntryTest(unittest.TestCase):
    """An entry is refused when it is read, or it can be used."""

    def _check(self, worker_id, fields):
        try:
            entry = decode_worker(worker_id, fields)
        except DECODE_ERRORS:
            return False
        parse_address(entry.address)
        order = StopRun(entry.worker_id, Task(JOB_ID, 0, 0, 0), 1)
        call = JsonWorkerCodec().encode_order(entry, order, 1)
        for name, value in call.headers:
            f"{name}: {value}".encode("latin-1")
            self.assertTrue(value.isprintable())
        harness = DispatchHarness(entries=[entry._replace(service="planner")])
        harness.accept(make_job(JOB_ID))
        harness.start_term()
        harness.pass_time(1_000)
        harness.hold_all()
        return True

    def test_odd_values_in_each_place(self):
        usable = [self._check("i-1", fields) for fields in odd_variants(ENTRY)]
        self.assertGreater(usable.count(False), usable.count(True) / 2)
        self.assertTrue(self._check("i-1", ENTRY))

    def test_odd_names(self):
        for key in ODD_KEYS:
            self.assertFalse(self._check(key.decode("utf-8", "replace"), ENTRY), key)

    @seeded
    @given(VALUES, st.text(max_size=8))
    def test_any_value(self, value, worker_id):
        self._check(worker_id, value)

    def test_channel_opens_for_each_entry_that_is_not_refused(self):
        class Inbox:
            def watch(self, *args):
                pass

        for fields in odd_variants(ENTRY):
            try:
                entry = decode_worker("i-1", fields)
            except DECODE_ERRORS:
                continue
            context = create_test_context()
            OrderChannel(context, Inbox(), JsonWorkerCodec(), entry, None).close()


class WorkerFeedTest(unittest.TestCase):
    """The feed skips odd entries, says so once, and goes on."""

    def setUp(self):
        self.store = FakeStore(free_port())
        self.addCleanup(self.store.close)
        self.logger = logging.getLogger("knapweedshed.odd")
        self.feed = StoreWorkerFeed(create_clock(), self.store.address, self.logger)
        self.addCleanup(self.feed.close)

    def _write_odd(self):
        for number, body in enumerate(ODD_BODIES):
            self.store.put("keyed.servers", f"odd-{number}", body)

    def test_all_others_are_followed(self):
        self._write_odd()
        self.store.put("keyed.servers", "i-1", ENTRY)
        with self.assertLogs(self.logger, "WARNING"):
            self.assertEqual([entry.worker_id for entry in self.feed.read()], ["i-1"])
        self._write_odd()
        self.store.put("keyed.servers", "i-2", ENTRY)
        found = [entry.worker_id for entry in self.feed.read()]
        self.assertEqual(found, ["i-1", "i-2"])

    def test_entry_that_stays_odd_is_logged_once(self):
        with self.assertLogs(self.logger, "WARNING") as logged:
            for _ in range(5):
                self.store.put("keyed.servers", "odd", b"[1]")
                self.feed.read()
            self.store.put("keyed.servers", "odd", ENTRY)
            self.feed.read()
            self.store.put("keyed.servers", "odd", b"[1]")
            self.feed.read()
        self.assertEqual(len(logged.records), 2)


class WorkerAnswerTest(unittest.TestCase):
    """A worker's lists are refused, or the scheduler can use them."""

    def _check(self, fields):
        try:
            answer = decode_hold_answer(fields)
        except DECODE_ERRORS:
            return
        harness = DispatchHarness(workers=1)
        harness.accept(make_job(JOB_ID))
        harness.start_term()
        worker_id = "w0"
        harness.now_ms += 10
        handle = harness.dispatcher.handle_hold_answer
        harness.apply_actions(handle(worker_id, answer, harness.now_ms, harness.now_ms))
        harness.dispatcher.hold_parameters(worker_id, harness.now_ms)
        harness.pass_time(1_000)
        harness.plan()
        for record in harness.records:
            json_text.dumps(record)

    def test_odd_values_in_each_place(self):
        for fields in odd_variants(LISTS):
            self._check(fields)

    @seeded
    @given(VALUES)
    def test_any_value(self, value):
        self._check(value)

    def test_odd_bodies(self):
        for body in ODD_BODIES:
            answer = JsonWorkerCodec().decode_hold(Response(200, {}, body))
            self.assertIsInstance(answer, NoAnswer)
        sound = JsonWorkerCodec().decode_hold(
            Response(200, {}, json.dumps(LISTS).encode())
        )
        self.assertIsInstance(sound, HoldAnswer)


class ConfigurationTest(unittest.TestCase):
    """A configuration is refused whole, or calls can be looked up in it."""

    def test_numbers_may_be_written_with_a_fraction(self):
        queue = decode_configuration(
            {**CONFIGURATION, "version": 8.0, "limits": {"max_body_bytes": 1000.0}}
        ).queues[0]
        self.assertEqual(queue.objective_ms, 1_000)

    def test_odd_values_in_each_place(self):
        for fields in odd_variants(CONFIGURATION):
            try:
                configuration = decode_configuration(fields)
            except DECODE_ERRORS:
                continue
            queue = configuration.queue_for("n.example", "/plans/ab")
            configuration.organisation_of_api_key("k1")
            configuration.guaranteed_accelerators("sahel")
            if queue is not None:
                self.assertLess(queue.objective_ms + queue.objective_factor, math.inf)


class WorkStreamTest(unittest.TestCase):
    """A record that can't be used changes nothing; all others are applied."""

    def setUp(self):
        register_all()
        self.sound = WorkAccepted(make_job(JOB_ID))

    def _apply(self, *bodies):
        stored = tuple(
            StoredRecord(offset, f"r{offset}", body)
            for offset, body in enumerate(bodies)
        )
        ledger = WorkLedger()
        page = RecordsRead(WORK_STREAM, stored, 0, True)
        for _ in apply_records(create_test_context(), ledger, page):
            pass
        return ledger

    def _check(self, *odd):
        claim = json_text.dumps(ActingClaimed(1, "h"))
        ledger = self._apply(claim, *odd, json_text.dumps(self.sound))
        self.assertIn(JOB_ID, ledger.jobs)

    def test_odd_values_in_each_place(self):
        other = json.loads(json_text.dumps(WorkAccepted(make_job("b" * 16))))
        self._check(*(json.dumps(fields) for fields in odd_variants(other)))

    def test_odd_bodies(self):
        self._check(*(body.decode("utf-8", "replace") for body in ODD_BODIES))

    @seeded
    @given(VALUES)
    def test_any_value_under_a_known_type(self, value):
        fields = {**value} if isinstance(value, dict) else {"job": value, "ends": value}
        for name in ("WorkAccepted", "TasksEnded", "RunsLaunched", "WorkSnapshot"):
            self._check(json.dumps({"epoch": 1, **fields, "_": name}))


class OwnInterfaceTest(unittest.TestCase):
    """Messages between our own processes, and the list of hosts."""

    def setUp(self):
        register_all()

    def test_messages_that_are_nested_deeply(self):
        for depth in (100, 300, 390, 600, 900, 50_000):
            try:
                cbor.decode(b"\x81" * depth + b"\x00")
            except cbor.MessageError:
                continue

    def test_text_that_is_not_a_message(self):
        for body in (*ODD_BODIES, b'{"base64":5}', b'{"_":[]}', b'{"_":"Host"}'):
            try:
                json_text.loads_message(body.decode("utf-8", "replace"))
            except json_text.TextError:
                continue

    @seeded
    @given(st.binary(max_size=100))
    def test_any_bytes(self, data):
        try:
            cbor.decode(data)
        except cbor.MessageError:
            return

    def test_odd_host_hides_no_other(self):
        sound = {
            "name": "w1",
            "role": "worker",
            "data_centre": "tunis",
            "rack": "r1",
            "address": "127.0.0.1:9000",
            "state": "live",
        }
        for odd in odd_variants(sound):
            listing = decode_host_listing({"hosts": [odd, sound]})
            self.assertIn("w1", [host.name for host in listing.hosts])
            for host in listing.hosts:
                parse_address(host.address)
            self.assertEqual(len(listing.hosts) + len(listing.unreadable), 2)


class HostTest(unittest.TestCase):
    """A real host among odd entries stays alive and follows what comes after them."""

    def test_host_serves_and_follows_the_list(self):
        store = FakeStore(free_port())
        self.addCleanup(store.close)
        store.put("keyed.op", "config", CONFIGURATION)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        host = HostProcess("edge-1", store, folder.name)
        self.addCleanup(host.close)
        for number, fields in enumerate(odd_variants(ENTRY)):
            store.put("keyed.servers", f"odd-{number}", fields)
        for number, body in enumerate(ODD_BODIES):
            store.put("keyed.servers", f"body-{number}", body)
        for key in ODD_KEYS:
            raw = bytes([len(key)]) + key + json.dumps(ENTRY).encode()
            store._append_records("keyed.servers", [raw])
        for number in range(2):
            worker = FakeWorker(store, f"i-{number}", free_port())
            self.addCleanup(worker.close)
        self.assertTrue(wait_until(host.is_ready, FOLLOW_TIMEOUT_S))
        path = f"/plans/{JOB_ID}"
        self.assertEqual(host.call("POST", path, JOB_BODY)[0], 200)

        def is_completed():
            return host.call("GET", path) == (200, {"state": "completed"})

        self.assertTrue(wait_until(is_completed, FOLLOW_TIMEOUT_S))
        time.sleep(1)  # some more rounds of holds and reads of the list
        self.assertIsNone(host.process.poll())
        self.assertNotIn("message failed", host.log())
        lines = host.log().count("worker entry unreadable")
        self.assertGreater(lines, 0)
        store.put("keyed.servers", "i-0", {**ENTRY, "addr": "127.0.0.1:99999"})
        self.assertTrue(
            wait_until(
                lambda: host.log().count("worker entry unreadable") > lines,
                FOLLOW_TIMEOUT_S,
            )
        )


if __name__ == "__main__":
    unittest.main()
