"""The adapter to the users' platform, against fakes that implement its formats."""

import json
import logging
import unittest

from knapweedshed.clock import create_clock
from knapweedshed.filters.work_calls import JobValidationFilter
from knapweedshed.links.http_messages import Response
from knapweedshed.links.http_server import HttpRequest
from knapweedshed.models.calls import CallKind, WorkReply
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    ORDER_UNKNOWN,
    REASON_FENCE,
    REASON_UNREACHABLE,
    StartRun,
    StopRun,
)
from knapweedshed.models.outcomes import LogRecord, NoAnswer, Refused
from knapweedshed.models.service_configuration import ServiceConfiguration
from knapweedshed.models.work import Resources, Task, WorkState
from knapweedshed.platform.callers import JsonCallerCodec
from knapweedshed.platform.feeds import StoreConfigurationFeed, StoreWorkerFeed
from knapweedshed.platform.settings import decode_settings
from knapweedshed.platform.store import StoreLog
from knapweedshed.platform.workers import JsonWorkerCodec, decode_task, encode_task
from knapweedshed.results import Result, ResultCode
from tests.fleet_standin import FakeStore, FakeWorker
from tests.ports import free_port
from tests.worker_harness import ConnectedWorker

SILENT_LOGGER = logging.getLogger("knapweedshed.silent")
TASK = Task("a" * 16, 0, 1, 17)
SETTINGS = {
    "node": "edge-1",
    "zone": "tunis",
    "listen": {"front": "127.0.0.1:8521", "ready": "127.0.0.1:8523"},
    "bounds": {"grace_s": 6, "hold_max_ms": 6000, "early_ms": 250},
    "platform": {"addr": "127.0.0.1:8524", "keep_s": 300},
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "plans",
            "host": "n.example",
            "path_prefix": "/plans/",
            "service": "planner",
            "priority": 1,
            "max_attempts": 3,
            "slo_factor": 3.0,
            "slo_ms": 1000,
        }
    ],
    "tenants": [{"name": "sahel", "api_keys": ["k1"], "guaranteed": {"gpu": 32}}],
    "limits": {"max_body_bytes": 1000},
}


class StoreTest(unittest.TestCase):
    """Log, configuration and worker entries in the platform's store."""

    def setUp(self):
        self.store = FakeStore(free_port())
        self.addCleanup(self.store.close)
        self.clock = create_clock()

    def test_records_are_read_in_order_with_their_ids(self):
        log = StoreLog(self.clock, self.store.address)
        self.addCleanup(log.close)
        records = [LogRecord("r1", '{"a":1}'), LogRecord("r2", "é\nline")]
        self.assertEqual(log.append("work", records), 0)
        page = log.read("work", 0, 500, 0)
        found = [(item.offset, item.record_id, item.body) for item in page.records]
        self.assertEqual(found, [(0, "r1", '{"a":1}'), (1, "r2", "é\nline")])
        self.assertEqual(page.end, 2)

    def test_lost_response_is_unknown_and_refusal_is_not(self):
        log = StoreLog(self.clock, self.store.address)
        self.addCleanup(log.close)
        self.store.append_responses_to_drop = 1
        self.assertIsInstance(log.append("work", [LogRecord("r", "x")]), NoAnswer)
        self.store.down = True
        self.assertIsInstance(log.append("work", [LogRecord("r", "x")]), Refused)

    def test_reader_continues_at_the_first_retained_record(self):
        log = StoreLog(self.clock, self.store.address)
        self.addCleanup(log.close)
        log.append("work", [LogRecord(f"r{n}", "x") for n in range(4)])
        self.store.drop_history("work")
        log.append("work", [LogRecord("r4", "y")])
        dropped_page = log.read("work", 0, 500, 0)
        self.assertEqual(dropped_page.next_offset, 4)
        page = log.read("work", dropped_page.next_offset, 500, 0)
        self.assertEqual([item.record_id for item in page.records], ["r4"])

    def test_configuration_is_read_after_its_history_was_dropped(self):
        feed = StoreConfigurationFeed(self.clock, self.store.address, SILENT_LOGGER)
        self.addCleanup(feed.close)
        self.assertIsNone(feed.read(0))
        self.store.put("keyed.op", "config", CONFIGURATION)
        found = feed.read(100)
        self.assertEqual(found.version, 7)
        self.assertEqual(found.guaranteed_accelerators("sahel"), 32)
        self.assertEqual(found.organisation_of_api_key("k1"), "sahel")
        self.assertEqual(found.queue_for("n.example", "/plans/ab").name, "plans")
        self.store.put("keyed.op", "config", {**CONFIGURATION, "version": 9})
        self.store.drop_history("keyed.op")
        self.assertEqual(feed.read(100).version, 9)

    def test_malformed_configuration_changes_nothing(self):
        feed = StoreConfigurationFeed(self.clock, self.store.address, SILENT_LOGGER)
        self.addCleanup(feed.close)
        for malformed in (b"\xff", {"version": "x"}, {"routes": 3, "version": 1}):
            self.store.put("keyed.op", "config", malformed)
            self.assertIsNone(feed.read(0))

    def test_malformed_entries_are_skipped_and_valid_ones_kept(self):
        worker = FakeWorker(self.store, "i-1", free_port())
        self.addCleanup(worker.close)
        valid_entry = self.store.topics["keyed.servers"][0][4:]
        fields = json.loads(valid_entry)
        changes = {
            "i-2": {"state": "asleep"},
            "i-3": {"born": "x"},
            "i-4": {"capacity": 5},
            "i-5": {"labels": None},
            "i-6": {"addr": 7},
        }
        for key, change in changes.items():
            self.store.put("keyed.servers", key, {**fields, **change})
        self.store.put("keyed.servers", "i-7", b"\x00\xff")
        feed = StoreWorkerFeed(self.clock, self.store.address, SILENT_LOGGER)
        self.addCleanup(feed.close)
        self.assertEqual([entry.worker_id for entry in feed.read()], ["i-1"])

    def test_entry_without_a_value_removes_its_worker(self):
        feed = StoreWorkerFeed(self.clock, self.store.address, SILENT_LOGGER)
        self.addCleanup(feed.close)
        worker = FakeWorker(self.store, "i-1", free_port())
        self.addCleanup(worker.close)
        self.assertEqual(len(feed.read()), 1)
        self.store.put("keyed.servers", "i-1", b"")
        self.assertEqual(feed.read(), ())


class WorkerTest(unittest.TestCase):
    """Calls to one worker."""

    def setUp(self):
        store = FakeStore(free_port())
        self.addCleanup(store.close)
        self.fake_worker = FakeWorker(store, "i-1", free_port(), run_s=60)
        self.addCleanup(self.fake_worker.close)
        feed = StoreWorkerFeed(create_clock(), store.address, SILENT_LOGGER)
        self.addCleanup(feed.close)
        self.worker = ConnectedWorker(feed.read()[0], JsonWorkerCodec())
        self.addCleanup(self.worker.close)

    def _start(self, fence=1):
        return self.worker.order(StartRun("i-1", TASK, 2, "text", "", 9_000), fence)

    def test_started_task_is_listed_and_stop_ends_it(self):
        self.assertEqual(self._start().kind, ORDER_DONE)
        hold_reply = self.worker.hold(1, 9_000, 0, 0)
        self.assertEqual([(r.task, r.run) for r in hold_reply.running], [(TASK, 2)])
        self.assertEqual(self.worker.order(StopRun("i-1", TASK, 2), 1).kind, ORDER_DONE)
        hold_reply = self.worker.hold(1, 9_000, 0, 0)
        self.assertEqual([end.kind for end in hold_reply.ended], ["stopped"])

    def test_lower_fence_is_refused(self):
        self.worker.hold(5, 0, 0, 0)
        self.assertEqual(self._start(fence=4).reason, REASON_FENCE)
        self.assertEqual(self.worker.hold(4, 0, 0, 0), Refused(REASON_FENCE))

    def test_start_with_a_lost_response_is_not_reported_as_done(self):
        self.fake_worker.start_responses_to_drop = 1
        self.assertNotEqual(self._start().kind, ORDER_DONE)
        self.assertEqual(self.fake_worker.starts, [(encode_task(TASK), 2)])

    def test_start_on_an_unreachable_worker_is_refused_or_unknown(self):
        self.fake_worker.close()
        outcome = self._start()
        self.assertIn(outcome.kind, ("refused", ORDER_UNKNOWN))
        if outcome.kind == "refused":
            self.assertEqual(outcome.reason, REASON_UNREACHABLE)

    def test_encoded_task_names_decode_to_the_same_task(self):
        self.assertEqual(decode_task(encode_task(TASK)), TASK)
        with self.assertRaises(ValueError):
            decode_task("x.1")

    def test_lists_that_cannot_be_decoded_are_no_answer(self):
        codec = JsonWorkerCodec()
        deeply_nested = b"[" * 100_000
        for body in (b"", b"\xff", b"[]", b'{"clock_ms":"x"}', deeply_nested):
            answer = codec.decode_hold(Response(200, {}, body))
            self.assertIsInstance(answer, NoAnswer, body[:20])


class CallersTest(unittest.TestCase):
    """Decoding of requests and encoding of replies, in JSON."""

    def _decode(self, body, method="POST"):
        headers = {
            "Host": "n.example:80",
            "Authorization": "Token k1",
            "X-Knapweedshed-Deadline-Ms": "1500",
        }
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        call = HttpRequest(
            method, "/plans/ab", {}, lambda n: headers.get(n, ""), raw, 1
        )
        return JsonCallerCodec().decode(call, "id", 1_000)

    def test_job_body_is_decoded_into_model_types(self):
        step = {
            "count": 3,
            "cpu": 500,
            "mem_mb": 256,
            "gpu": 1,
            "est_ms": 900,
            "gang": True,
            "max_per_server": 2,
            "may_miss": 4,
        }
        call = self._decode({"spec": "s", "steps": [step]})
        self.assertEqual((call.host, call.api_key), ("n.example", "k1"))
        self.assertEqual(call.deadline_ms, 2_500)
        self.assertEqual(call.draft.steps[0].need, Resources(500, 256, 1))
        self.assertTrue(call.draft.steps[0].gang)
        self.assertEqual(call.draft.steps[0].most_per_worker, 2)
        self.assertEqual(call.draft.steps[0].may_miss, 4)
        call = self._decode({"spec": "s", "steps": [{}]})
        self.assertEqual(call.draft.steps[0].may_miss, 0)

    def test_malformed_bodies_are_rejected_with_a_reason(self):
        forward_dependency = {"count": 1, "depends_on": [0]}
        for body in (
            b"",
            b"\xff",
            b"[]",
            {"spec": 3, "steps": []},
            {"spec": "s", "steps": []},
            {"spec": "s", "steps": [forward_dependency]},
            {"spec": "s", "steps": [{"count": 0}]},
            {"spec": "s", "steps": [{"count": 1, "cpu": -5}]},
            {"spec": "s" * 4_001, "steps": [{"count": 1}]},
        ):
            call = self._decode(body)._replace(job_id="a" * 16)
            reply = JobValidationFilter(ServiceConfiguration).enter(call)
            self.assertEqual(reply.result.code, ResultCode.BAD_REQUEST, body)
            self.assertTrue(reply.result.reason)

    def test_replies_have_the_status_and_headers_of_the_interface(self):
        codec = JsonCallerCodec()
        refusal = WorkReply(Result(ResultCode.LOG_UNAVAILABLE, "x"), None, -1, 1_200)
        answer = codec.encode(refusal)
        self.assertEqual(answer.status, 503)
        self.assertIn(("Retry-After", "2"), answer.headers)
        for code, status in ((107, 410), (110, 401), (102, 404), (400, 504)):
            reply = WorkReply(Result(ResultCode(code), "x"))
            self.assertEqual(codec.encode(reply).status, status)
        shown = codec.encode(WorkReply(state=WorkState.RUNNING))
        self.assertEqual(json.loads(shown.body), {"state": "running"})
        self.assertEqual(self._decode(b"", "GET").kind, CallKind.STATE)
        self.assertIsNone(self._decode(b"", "PATCH"))


class SettingsFileTest(unittest.TestCase):
    """Decoding of the platform's settings file."""

    def test_settings_are_decoded(self):
        settings, store = decode_settings(SETTINGS)
        self.assertEqual((settings.name, settings.lease_ms), ("edge-1", 6_000))
        self.assertEqual(store, "127.0.0.1:8524")

    def test_limits_of_the_host_are_decoded_as_far_as_they_are_given(self):
        limits = {"cpu_share": 0.5, "cores": 3, "link_mbps": 20.0}
        settings, _ = decode_settings({**SETTINGS, "limits": limits})
        self.assertEqual((settings.cores, settings.link_mbps), (1.5, 20.0))
        limits["link_mbps"] = None
        settings, _ = decode_settings({**SETTINGS, "limits": limits})
        self.assertEqual(settings.link_mbps, 1_000.0)

    def test_invalid_settings_raise_an_error(self):
        for change in ({"listen": {}}, {"bounds": {"grace_s": "x"}}, {"node": None}):
            fields = {**SETTINGS, **change}
            if change == {"node": None}:
                del fields["node"]
            with self.assertRaisesRegex(ValueError, "settings file"):
                decode_settings(fields)


if __name__ == "__main__":
    unittest.main()
