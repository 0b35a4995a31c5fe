"""The HTTP server in one process: what it refuses, closes and goes on with."""

import errno
import logging
import socket
import threading
import time
import unittest
from unittest import mock

from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.task import ThreadedTaskDispatcher

from knapweedshed.decisions.overload.connection_limits import ListenerLimits
from knapweedshed.links.bounded_http import BoundedServer
from knapweedshed.links.connection_guard import (
    ConnectionGuard,
    Listener,
    ListenerConfiguration,
)
from knapweedshed.links.http_server import HttpResponse, HttpServer
from knapweedshed.metrics import LocalMetrics
from tests.host_harness import wait_until
from tests.ports import free_port

SILENT_LOGGER = logging.getLogger("knapweedshed.silent")
TIMEOUT_S = 10


class HttpServerTest(unittest.TestCase):
    """A server that answers each request with its body."""

    def setUp(self):
        self.metrics = LocalMetrics()
        self.port = free_port()
        self.requests = []
        self.start_server(ListenerLimits(max_connections=4))

    def start_server(self, limits):
        listener = Listener(
            "test", limits, lambda headers: headers("X-Key"), self.metrics
        )
        self.server = HttpServer(
            (f"127.0.0.1:{self.port}",), self.handle, 2, SILENT_LOGGER, listener
        )
        self.server.start()
        self.addCleanup(self.server.close)

    def handle(self, request):
        self.requests.append(request.body)
        return HttpResponse(200, request.body)

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def exchange(self, data, connection=None):
        """Send `data` and return the first line of the answer."""
        connection = connection or self.connect()
        connection.sendall(data)
        return connection.recv(65_536).split(b"\r\n")[0]

    def test_requests_sent_at_once_are_all_served_in_order(self):
        bodies = [b"%03d" % number for number in range(300)]
        connection = self.connect()
        for body in bodies:
            connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n" + body)
        self.assertTrue(wait_until(lambda: len(self.requests) == 300, TIMEOUT_S))
        self.assertEqual(self.requests, bodies)

    def test_silent_connections_make_room_for_a_caller(self):
        silent = [self.connect() for _ in range(12)]
        self.assertIn(b"200", self.exchange(b"GET / HTTP/1.1\r\n\r\n"))
        self.assertEqual(silent[0].recv(1), b"")
        self.assertGreater(
            self.metrics.snapshot()["connections.test.closed.connections"], 0
        )

    def test_connection_with_a_known_key_outlasts_newer_silent_ones(self):
        self.server.tell(ListenerConfiguration(1_000, frozenset({"k"})))
        request = b"GET / HTTP/1.1\r\nX-Key: k\r\n\r\n"
        time.sleep(0.3)  # for the message to be taken in
        connection = self.connect()
        self.exchange(request, connection)
        first_silent = self.connect()
        time.sleep(0.3)
        for _ in range(3):
            self.connect()
        self.assertEqual(first_silent.recv(1), b"")
        self.assertIn(b"200", self.exchange(request, connection))

    def test_size_of_a_body_follows_the_configuration(self):
        request = b"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n01234567890"
        self.assertIn(b"200", self.exchange(request))
        self.server.tell(ListenerConfiguration(10, frozenset()))
        self.assertTrue(wait_until(lambda: b"413" in self.exchange(request), 5))

    def test_refused_body_isnt_asked_for(self):
        head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n"
        self.assertIn(b"100", self.exchange(head % 10))
        self.assertIn(b"413", self.exchange(head % 300_000))
        self.assertEqual(self.requests, [])

    def test_malformed_requests_are_refused_and_the_server_goes_on(self):
        for lines in (
            b"Content-Length: " + b"9" * 5_000,
            b"Content-Length: -1",
            b"Transfer-Encoding: chunked\r\n\r\nzz",
            b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * 20_000,
        ):
            status = self.exchange(b"POST / HTTP/1.1\r\n" + lines + b"\r\n\r\n")
            self.assertIn(b"400", status, lines[:40])
        self.assertEqual(self.requests, [])
        self.assertIn(b"200", self.exchange(b"GET / HTTP/1.1\r\n\r\n"))

    def test_urgent_data_closes_the_connection(self):
        connection = self.connect()
        connection.send(b"x", socket.MSG_OOB)
        try:
            self.assertEqual(connection.recv(1), b"")
        except ConnectionResetError:
            pass

    def test_refusal_is_read_by_a_client_that_still_sends(self):
        connection = self.connect()
        connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n")
        for _ in range(3):
            time.sleep(0.1)  # for the refusal, or a reset, to arrive
            connection.sendall(b"x" * 1_000)
        self.assertIn(b"413", self.exchange(b"x", connection))

    def close_in_thread(self):
        closing = threading.Thread(target=self.server.close)
        closing.start()
        self.addCleanup(closing.join)

    def test_request_that_arrives_while_the_server_closes_is_answered(self):
        connection = self.connect()
        connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n12")
        time.sleep(0.2)  # for the first half to be read
        self.close_in_thread()
        time.sleep(0.2)
        self.assertIn(b"200", self.exchange(b"34", connection))

    def test_refusal_is_read_while_the_server_closes(self):
        connection = self.connect()
        connection.sendall(b"POST / HTTP/1.1\r\nContent-Length: 300000\r\n\r\n")
        time.sleep(0.2)  # for the refusal to be sent
        self.close_in_thread()
        for _ in range(3):
            time.sleep(0.1)  # for a reset to arrive
            connection.sendall(b"x" * 1_000)
        self.assertIn(b"413", self.exchange(b"x", connection))

    def test_requests_sent_at_once_dont_hold_up_the_close(self):
        def handle(request):
            time.sleep(0.01)
            self.requests.append(request.body)
            return HttpResponse()

        self.server.close()
        self.port = free_port()
        self.handle = handle
        self.start_server(ListenerLimits())
        self.connect().sendall(b"GET / HTTP/1.1\r\n\r\n" * 400)
        self.assertTrue(wait_until(lambda: self.requests, TIMEOUT_S))
        self.server.close()
        self.assertLess(len(self.requests), 100)

    def test_connection_isnt_closed_as_idle_while_a_request_is_taken_in(self):
        self.connect()
        channels = self.server._servers[0].active_channels
        self.assertTrue(wait_until(lambda: channels, TIMEOUT_S))
        (channel,) = channels.values()
        with channel.requests_lock:
            self.close_in_thread()
            time.sleep(0.2)
            channel.requests.append(None)
        time.sleep(0.2)
        closed = channel.close_when_flushed or channel.will_close
        channel.requests.clear()
        self.assertFalse(closed)


class BoundedServerTest(unittest.TestCase):
    """A server of which each round is run by the test."""

    def setUp(self):
        limits = ListenerLimits(max_connections=1, unfinished_ms=0)
        self.guard = ConnectionGuard(Listener(limits=limits), SILENT_LOGGER)
        self.map = {}
        self.port = free_port()
        adjustments = Adjustments(listen=f"127.0.0.1:{self.port}")
        self.server = BoundedServer(
            self.guard,
            None,
            self.map,
            ThreadedTaskDispatcher(),
            adjustments,
            adjustments.listen[0],
        )
        self.addCleanup(wasyncore.close_all, self.map, True)

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S)
        self.addCleanup(connection.close)

    def test_event_of_a_closed_connection_doesnt_close_a_new_one(self):
        self.connect()
        wasyncore.poll2(0, self.map)
        self.connect()
        time.sleep(0.2)  # until the limits are checked again
        wasyncore.poll2(0, self.map)  # closes the first, accepts the second
        self.assertEqual(len(self.server.active_channels), 1)

    def test_answer_that_a_thread_is_writing_isnt_polled_for(self):
        # The loop would spin until the thread gives the lock on the answer back.
        self.connect()
        wasyncore.poll2(0, self.map)
        (channel,) = self.server.active_channels.values()
        channel.total_outbufs_len = 1
        channel.requests.append(None)
        self.assertFalse(channel.writable())
        channel.requests.clear()
        self.assertTrue(channel.writable())

    def test_server_without_descriptors_pauses_instead_of_spinning(self):
        self.connect()
        no_descriptor = OSError(errno.EMFILE, "no descriptor left")
        with mock.patch.object(
            wasyncore.dispatcher, "accept", side_effect=no_descriptor
        ):
            wasyncore.poll2(0, self.map)
        self.assertFalse(self.server.readable())
        time.sleep(0.2)
        self.assertTrue(self.server.readable())


if __name__ == "__main__":
    unittest.main()
