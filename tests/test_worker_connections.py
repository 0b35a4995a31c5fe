"""Connections to workers that are slow, silent, gone or send garbage."""

import json
import socket
import threading
import time
import unittest
from unittest import mock

from knapweedshed.actors import tell
from knapweedshed.context import create_test_context
from knapweedshed.controllers.work_messages import (
    CloseWorker,
    HoldRequest,
    HoldResponse,
    OrderRequest,
)
from knapweedshed.decisions.tracked_workers import MAX_ANSWER_AGE_MS
from knapweedshed.links.worker_connections import ANSWER_TIMEOUT_MS, HoldChannel
from knapweedshed.links.worker_links import MAX_HOLD_WAIT_MS, hold_wait_ms
from knapweedshed.models.dispatch_actions import ORDER_DONE, ORDER_UNKNOWN, StopRun
from knapweedshed.models.outcomes import NoAnswer, NotSent
from knapweedshed.models.work import HoldAnswer, Resources, Task, WorkerEntry
from knapweedshed.platform.workers import JsonWorkerCodec
from tests.ports import free_port
from tests.worker_harness import ConnectedWorkers

LISTS = b'{"clock_ms":5,"born":1,"running":[],"ended":[]}'
TASK = Task("a" * 16, 0, 0, 0)
# The hold's wait of 0, the answer timeout of 600 ms and the connect timeout of 500 ms,
# with a margin for a busy machine.
MAX_FAILURE_S = 4.0
WORKER_COUNT = 60


def response(body, head=b"HTTP/1.1 200 OK\r\n"):
    """Return an HTTP response with a body of known length."""
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


class ScriptedServer:
    """Accepts connections; answers each request with the next of `responses`.

    None leaves a request without an answer, b"" closes the connection.
    """

    def __init__(self, responses):
        self.responses = list(responses)
        self.request_count = 0
        self.requests = []
        self.connection_count = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._connections = []
        self._acceptor = threading.Thread(target=self._accept, daemon=True)
        self._acceptor.start()

    def close(self):
        """Stop listening and close all connections.

        A socket that a thread accepts on would listen until that thread returns.
        """
        if self._acceptor.is_alive():
            self._listener.shutdown(socket.SHUT_RDWR)
            self._acceptor.join()
        for sock in (self._listener, *self._connections):
            sock.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            self.connection_count += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        try:
            while data := connection.recv(65_536):
                self.requests.append(data)
                self.request_count += 1
                scripted = self.responses.pop(0) if self.responses else None
                if scripted == b"":
                    connection.close()
                elif scripted is not None:
                    connection.sendall(scripted)
        except OSError:
            return


def entry_at(worker_id, address):
    """Return the entry of a worker at `address`."""
    return WorkerEntry(worker_id, "s", address, "z", False, Resources(), (), 1)


class WorkerConnectionsTest(unittest.TestCase):
    """Holds and orders over non-blocking connections."""

    def _connect(self, servers):
        entries = [
            entry_at(f"i-{number}", server.address)
            for number, server in enumerate(servers)
        ]
        workers = ConnectedWorkers(JsonWorkerCodec(), entries)
        self.addCleanup(workers.close)
        for server in servers:
            self.addCleanup(server.close)
        return workers

    def _hold(self, workers, worker_id="i-0"):
        tell(workers.connections, HoldRequest(worker_id, 1, 0, 0, 0))

    def test_connection_is_kept_for_the_next_request(self):
        server = ScriptedServer([response(LISTS)] * 3)
        workers = self._connect([server])
        for _ in range(3):
            self._hold(workers)
            self.assertIsInstance(workers.next_outcome().answer, HoldAnswer)
        self.assertEqual((server.connection_count, server.request_count), (1, 3))

    def test_response_in_pieces_is_one_answer(self):
        whole = response(LISTS)
        server = ScriptedServer([whole[:30]])
        workers = self._connect([server])
        self._hold(workers)
        while not server.request_count:
            time.sleep(0.005)
        for byte in whole[30:]:
            server._connections[0].sendall(bytes([byte]))
        self.assertIsInstance(workers.next_outcome().answer, HoldAnswer)

    def test_silent_worker_fails_alone_and_others_are_answered_meanwhile(self):
        silent = ScriptedServer([None])
        others = [ScriptedServer([response(LISTS)]) for _ in range(WORKER_COUNT)]
        workers = self._connect([silent, *others])
        threads = threading.active_count()
        started_s = time.monotonic()
        for number in range(WORKER_COUNT + 1):
            self._hold(workers, f"i-{number}")
        answers = [workers.next_outcome() for _ in range(WORKER_COUNT + 1)]
        self.assertLess(time.monotonic() - started_s, MAX_FAILURE_S)
        self.assertEqual(answers[-1].worker_id, "i-0")
        self.assertIsInstance(answers[-1].answer, NoAnswer)
        for answer in answers[:-1]:
            self.assertIsInstance(answer.answer, HoldAnswer)
        # The servers of this test have a thread for each connection.
        self.assertLessEqual(threading.active_count() - threads, WORKER_COUNT + 1)

    def test_first_hold_on_a_connection_acknowledges_no_ends(self):
        # TWICE: an acknowledgement meant for a worker's earlier life took a new end.
        server = ScriptedServer([response(LISTS)] * 2 + [b""] + [response(LISTS)] * 2)
        workers = self._connect([server])
        for _ in range(5):
            tell(workers.connections, HoldRequest("i-0", 1, 0, 83, 0))
            workers.next_outcome()
        found = [
            json.loads(request.partition(b"\r\n\r\n")[2])["acked_upto"]
            for request in server.requests
        ]
        self.assertEqual(found, [0, 83, 83, 0, 83])

    def test_order_without_an_answer_is_unknown_and_the_next_one_is_sent(self):
        server = ScriptedServer([None, response(b"{}")])
        workers = self._connect([server])
        for run in (1, 2):
            tell(workers.connections, OrderRequest(StopRun("i-0", TASK, run), 1, 0))
        outcomes = [workers.next_outcome() for _ in range(2)]
        found = [(item.order.run, item.outcome.kind) for item in outcomes]
        self.assertEqual(found, [(1, ORDER_UNKNOWN), (2, ORDER_DONE)])
        self.assertEqual(server.connection_count, 2)

    def test_malformed_responses_are_no_answer_and_the_next_hold_is_answered(self):
        garbage = (
            b"\x16\x03\x01 not HTTP\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
            response(b"\xff" * 40),
            b"",
        )
        server = ScriptedServer([*garbage, response(LISTS)])
        workers = self._connect([server])
        for item in garbage:
            self._hold(workers)
            self.assertIsInstance(workers.next_outcome().answer, NoAnswer, item)
        self._hold(workers)
        self.assertIsInstance(workers.next_outcome().answer, HoldAnswer)

    def test_refused_connection_is_not_sent(self):
        server = ScriptedServer([])
        server.close()
        workers = self._connect([server])
        self._hold(workers)
        self.assertIsInstance(workers.next_outcome().answer, NotSent)

    def test_connection_that_the_worker_closed_while_idle_costs_no_exchange(self):
        server = ScriptedServer([response(LISTS)] * 2)
        workers = self._connect([server])
        self._hold(workers)
        self.assertIsInstance(workers.next_outcome().answer, HoldAnswer)
        server._connections[0].shutdown(socket.SHUT_RDWR)
        time.sleep(0.2)  # no event tells when the other side has seen the close
        self._hold(workers)
        self.assertIsInstance(workers.next_outcome().answer, HoldAnswer)

    def test_closed_worker_gets_nothing_and_reports_nothing(self):
        server = ScriptedServer([response(LISTS)])
        other = ScriptedServer([response(LISTS)])
        workers = self._connect([server, other])
        tell(workers.connections, CloseWorker("i-0"))
        self._hold(workers)
        self._hold(workers, "i-1")
        outcome = workers.next_outcome()
        self.assertIsInstance(outcome, HoldResponse)
        self.assertEqual((outcome.worker_id, server.request_count), ("i-1", 0))
        self.assertTrue(workers.received.empty())

    def test_unused_port_fails_within_the_connect_timeout(self):
        entry = entry_at("i-0", f"127.0.0.1:{free_port()}")
        workers = ConnectedWorkers(JsonWorkerCodec(), [entry])
        self.addCleanup(workers.close)
        started_s = time.monotonic()
        self._hold(workers)
        self.assertIsInstance(workers.next_outcome().answer, NotSent)
        self.assertLess(time.monotonic() - started_s, MAX_FAILURE_S)


class HoldChannelTest(unittest.TestCase):
    def test_hold_that_comes_while_one_is_in_progress_is_dropped(self):
        """Each answer is followed by a hold: two would follow each other for good."""
        channel = HoldChannel(
            create_test_context(),
            mock.Mock(),
            JsonWorkerCodec(),
            entry_at("i-0", "127.0.0.1:1"),
            mock.Mock(),
        )
        channel._connection = mock.Mock(connecting=False)
        channel._connection.send.return_value = None
        for _ in range(2):
            channel.send(HoldRequest("i-0", 1, 0, 0, 0))
        channel._finish(NoAnswer("no answer"))
        self.assertEqual(channel._connection.send.call_count, 1)
        channel.send(HoldRequest("i-0", 1, 0, 0, 0))
        self.assertEqual(channel._connection.send.call_count, 2)


class HoldWaitTest(unittest.TestCase):
    """Holds of many workers are fewer a second, so that a weak link carries them."""

    def test_wait_grows_with_the_number_of_workers_within_its_limits(self):
        waits = [hold_wait_ms(count) for count in (24, 270, 500, 800, 1_000, 12_000)]
        self.assertEqual(waits, [1_000, 1_000, 1_000, 1_600, 2_000, 2_000])

    def test_worker_counts_as_usable_throughout_the_longest_wait(self):
        self.assertGreater(MAX_ANSWER_AGE_MS, MAX_HOLD_WAIT_MS + ANSWER_TIMEOUT_MS)


if __name__ == "__main__":
    unittest.main()
