"""Connections to a scheduler's websocket server that are too many."""

import socket
import unittest

from websockets.sync.client import connect

from knapweedshed.actors import stop
from knapweedshed.context import create_test_context
from knapweedshed.controllers.messages import PeerConnected
from knapweedshed.links.peers import PeerServer
from tests.host_harness import wait_until
from tests.ports import free_port

MAX_PEERS = 4
SILENT_COUNT = 40
TIMEOUT_S = 10


class FakeRouter:
    """Records what a server reports."""

    def __init__(self):
        self.messages = []

    def tell(self, message):
        self.messages.append(message)


class PeerLimitsTest(unittest.TestCase):
    """A server has a thread for each connection, and must not run out of either."""

    def setUp(self):
        self.context = create_test_context()
        self.router = FakeRouter()
        self.port = free_port()
        self.server = PeerServer(
            self.context, f"127.0.0.1:{self.port}", self.router, MAX_PEERS
        )
        self.server.start()
        self.addCleanup(self.server.close)
        self.addCleanup(self.stop_connections)

    def stop_connections(self):
        for message in self.router.messages:
            if isinstance(message, PeerConnected):
                stop(message.connection)

    def connect_silently(self):
        connection = socket.create_connection(("127.0.0.1", self.port), TIMEOUT_S)
        self.addCleanup(connection.close)
        return connection

    def connect_peer(self):
        peer = connect(
            f"ws://127.0.0.1:{self.port}", open_timeout=TIMEOUT_S, proxy=None
        )
        self.addCleanup(peer.close_socket)
        return peer

    def connected_count(self):
        return sum(isinstance(item, PeerConnected) for item in self.router.messages)

    def test_unfinished_handshakes_make_room_for_a_peer(self):
        silent = [self.connect_silently() for _ in range(SILENT_COUNT)]
        self.connect_peer()
        self.assertTrue(wait_until(lambda: self.connected_count() == 1, TIMEOUT_S))
        self.assertEqual(silent[0].recv(1), b"")

    def test_peers_are_refused_only_when_all_places_are_taken_by_peers(self):
        for _ in range(MAX_PEERS):
            self.connect_peer()
        self.assertTrue(
            wait_until(lambda: self.connected_count() == MAX_PEERS, TIMEOUT_S)
        )
        self.assertEqual(self.connect_silently().recv(1), b"")
        counts = self.context.metrics.snapshot()
        self.assertEqual(counts["connections.peers.closed.connections"], 1)


if __name__ == "__main__":
    unittest.main()
