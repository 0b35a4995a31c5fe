"""Decoders of the users' platform, fed bodies that no peer should send."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.codecs.json_text import DECODE_ERRORS
from knapweedshed.links.http_messages import HttpParseError, Response, ResponseParser
from knapweedshed.links.http_server import HttpRequest
from knapweedshed.models.calls import WorkCall
from knapweedshed.models.dispatch_actions import OrderOutcome
from knapweedshed.models.outcomes import FAILURE_TYPES, NoAnswer
from knapweedshed.models.work import HoldAnswer
from knapweedshed.platform.callers import JsonCallerCodec
from knapweedshed.platform.feeds import decode_configuration, decode_worker
from knapweedshed.platform.store import RawPage, _decode_page
from knapweedshed.platform.workers import JsonWorkerCodec

EXAMPLE_COUNT = 300
# Values of the right names with contents of any type, and values that are no objects.
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(allow_nan=True),
    st.text(max_size=8),
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(
            st.sampled_from(
                [
                    "running",
                    "ended",
                    "clock_ms",
                    "born",
                    "spec",
                    "steps",
                    "count",
                    "cpu",
                    "depends_on",
                    "version",
                    "routes",
                    "tenants",
                    "limits",
                    "capacity",
                    "labels",
                    "state",
                    "addr",
                    "zone",
                    "service",
                ]
            ),
            inner,
            max_size=6,
        ),
    ),
    max_leaves=12,
)
BODIES = st.one_of(
    st.binary(max_size=200), VALUES.map(lambda v: json.dumps(v).encode())
)
DEEP = b"[" * 100_000 + b"]" * 100_000
seeded = settings(max_examples=EXAMPLE_COUNT, derandomize=True, deadline=None)


class MalformedTest(unittest.TestCase):
    """A decoder returns a value or its documented failure; nothing else gets out."""

    def setUp(self):
        register_all()
        self.workers = JsonWorkerCodec()
        self.callers = JsonCallerCodec()

    def _check_hold(self, body):
        result = self.workers.decode_hold(Response(200, {}, body))
        self.assertIsInstance(result, (HoldAnswer, *FAILURE_TYPES))

    @seeded
    @given(BODIES)
    def test_answers_to_holds(self, body):
        self._check_hold(body)

    @seeded
    @given(st.sampled_from([200, 400, 409, 421, 429, 500, 503]), BODIES)
    def test_answers_to_orders(self, status, body):
        result = self.workers.decode_order(Response(status, {}, body))
        self.assertIsInstance(result, OrderOutcome)

    def _check_call(self, body, deadline=""):
        headers = {"X-Knapweedshed-Deadline-Ms": deadline}
        request = HttpRequest(
            "POST", "/q/1", {}, lambda name: headers.get(name, ""), body, 1
        )
        call = self.callers.decode(request, "c", 0)
        self.assertIsInstance(call, WorkCall)
        self.assertTrue(call.draft is not None or call.body_error)

    @seeded
    @given(BODIES, st.text(max_size=12))
    def test_calls(self, body, deadline):
        self._check_call(body, deadline)

    @seeded
    @given(VALUES)
    def test_configurations_and_worker_entries(self, value):
        for decode in (decode_configuration, lambda item: decode_worker("w", item)):
            try:
                decode(value)
            except DECODE_ERRORS:
                continue

    @seeded
    @given(st.binary(max_size=64))
    def test_pages_of_the_log(self, body):
        self.assertIsInstance(_decode_page(body, 0), (RawPage, NoAnswer))

    @seeded
    @given(st.binary(max_size=300))
    def test_bytes_of_responses(self, data):
        try:
            ResponseParser().feed(data)
        except HttpParseError:
            return

    def test_bodies_that_are_nested_too_deeply(self):
        self._check_hold(DEEP)
        self._check_call(DEEP)
        self.workers.decode_order(Response(409, {}, DEEP))
        with self.assertRaises(DECODE_ERRORS):
            json_text.loads(DEEP)


if __name__ == "__main__":
    unittest.main()
