"""The connection to the platform's store: silent, closed, broken and slow peers."""

import socket
import threading
import time
import unittest

from knapweedshed.clock import ManualClock, create_clock
from knapweedshed.links.blocking_connection import BlockingConnection
from knapweedshed.links.http_messages import (
    MAX_IDLE_MS,
    MAX_RESPONSE_BYTES,
    HttpParseError,
    Response,
    ResponseParser,
)
from knapweedshed.models.outcomes import NoAnswer, NotSent, Refused
from knapweedshed.platform.store import (
    APPEND_TIMEOUT_MS,
    MAX_APPEND_TIMEOUT_MS,
    Store,
)
from tests.ports import free_port
from tests.test_worker_connections import ScriptedServer, response

TIMEOUT_MS = 300
MAX_FAILURE_S = 4.0  # the timeout, with a margin for a busy machine


class StoreConnectionTest(unittest.TestCase):
    """One connection to a server that answers as scripted."""

    def _connect(self, responses, clock=None):
        server = ScriptedServer(responses)
        self.addCleanup(server.close)
        connection = BlockingConnection(clock or create_clock(), server.address, 400)
        self.addCleanup(connection.close)
        return server, connection

    def _request(self, connection):
        return connection.request("GET", "/x", b"", {"a": 1}, TIMEOUT_MS)

    def test_connection_is_used_again_after_an_answer(self):
        server, connection = self._connect([response(b"1"), response(b"2")])
        bodies = [self._request(connection).body for _ in range(2)]
        self.assertEqual(bodies, [b"1", b"2"])
        self.assertEqual(server.connection_count, 1)

    def test_silent_connection_fails_one_exchange_only(self):
        server, connection = self._connect([None, response(b"2")])
        started_s = time.monotonic()
        self.assertIsInstance(self._request(connection), NoAnswer)
        self.assertLess(time.monotonic() - started_s, MAX_FAILURE_S)
        self.assertEqual(self._request(connection).body, b"2")
        self.assertEqual(server.connection_count, 2)

    def test_closed_connection_is_no_answer(self):
        _, connection = self._connect([b"", response(b"2")])
        self.assertIsInstance(self._request(connection), NoAnswer)
        self.assertEqual(self._request(connection).body, b"2")

    def test_bytes_that_are_no_response_are_no_answer(self):
        for garbage in (b"\0\xff" * 40, b"HTTP/1.1 banana\r\n\r\n", b"{}\r\n\r\n"):
            _, connection = self._connect([garbage, response(b"2")])
            self.assertIsInstance(self._request(connection), NoAnswer)
            self.assertEqual(self._request(connection).body, b"2")

    def test_truncated_response_is_no_answer(self):
        truncated = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
        _, connection = self._connect([truncated, response(b"2")])
        self.assertIsInstance(self._request(connection), NoAnswer)

    def test_port_without_a_listener_is_reported_as_not_sent(self):
        address = f"127.0.0.1:{free_port()}"
        connection = BlockingConnection(create_clock(), address, 400)
        self.assertIsInstance(self._request(connection), NotSent)

    def test_connection_that_was_idle_for_long_is_not_used(self):
        clock = ManualClock()
        server, connection = self._connect([response(b"1"), response(b"2")], clock)
        self._request(connection)
        clock.advance(MAX_IDLE_MS + 1)
        self._request(connection)
        self.assertEqual(server.connection_count, 2)


class SlowPageTest(unittest.TestCase):
    """A page that arrives in pieces, as on a slow link that many hosts share.

    Guards against hosts that start together after a loss of power: each read of the
    log's first page was given up before its end, and begun again, for ever.
    """

    def _serve(self, pieces, pause_s):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def answer():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                for piece in pieces:
                    time.sleep(pause_s)
                    connection.sendall(piece)

        threading.Thread(target=answer, daemon=True).start()
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        connection = BlockingConnection(create_clock(), address, 400)
        self.addCleanup(connection.close)
        return connection

    def test_page_that_takes_longer_than_the_timeout_is_read(self):
        body = b"x" * 50_000
        data = response(body)
        pieces = [data[at : at + 10_000] for at in range(0, len(data), 10_000)]
        connection = self._serve(pieces, pause_s=TIMEOUT_MS / 2_000)
        result = connection.request("GET", "/x", b"", None, TIMEOUT_MS)
        self.assertEqual(result, Response(200, {"content-length": "50000"}, body))

    def test_page_that_stops_is_no_answer(self):
        data = response(b"x" * 50_000)
        connection = self._serve([data[:10_000], data[10_000:]], pause_s=1.5)
        result = connection.request("GET", "/x", b"", None, 2_000)
        self.assertEqual(result.status, 200)
        connection = self._serve([data[:10_000], data[10_000:]], pause_s=1.5)
        result = connection.request("GET", "/x", b"", None, TIMEOUT_MS)
        self.assertIsInstance(result, NoAnswer)


class ResponseParserTest(unittest.TestCase):
    """Responses in pieces, and ones that are too large."""

    def test_response_that_arrives_byte_by_byte(self):
        parser = ResponseParser()
        data = response(b"abc")
        parts = [parser.feed(data[i : i + 1]) for i in range(len(data))]
        self.assertEqual(parts[:-1], [None] * (len(data) - 1))
        self.assertEqual(parts[-1], Response(200, {"content-length": "3"}, b"abc"))
        self.assertTrue(parser.keep_alive)

    def test_response_that_is_too_large_is_an_error(self):
        parser = ResponseParser()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"
        with self.assertRaises(HttpParseError):
            parser.feed(head + b"x" * (MAX_RESPONSE_BYTES + 1))


class AppendTimeoutTest(unittest.TestCase):
    """An append without an answer is given more time when it is repeated."""

    def setUp(self):
        self.timeouts_ms = []
        self.outcome = NoAnswer("timed out")
        self.store = Store(create_clock(), "127.0.0.1:1")
        self.store._client = self

    def request(self, method, path, body, query, timeout_ms):
        self.timeouts_ms.append(timeout_ms)
        return self.outcome

    def test_timeout_doubles_up_to_a_limit_and_starts_again_after_an_answer(self):
        for _ in range(5):
            self.store.append("t", [b"x"])
        self.outcome = Response(503, {}, b"")
        self.assertIsInstance(self.store.append("t", [b"x"]), Refused)
        self.store.append("t", [b"x"])
        self.assertEqual(self.timeouts_ms[0], APPEND_TIMEOUT_MS)
        self.assertEqual(self.timeouts_ms[1], 2 * APPEND_TIMEOUT_MS)
        self.assertEqual(max(self.timeouts_ms), MAX_APPEND_TIMEOUT_MS)
        self.assertEqual(self.timeouts_ms[-1], APPEND_TIMEOUT_MS)


if __name__ == "__main__":
    unittest.main()
