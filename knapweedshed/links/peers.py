"""Connections between the processes of this project: CBOR messages over websockets.

Each connection has an actor that sends and a thread that reads. A connection on which
nothing arrived for the idle timeout is closed and opened again; this does not mean
that the peer has failed. Between data centres heartbeats are sent less often, so the
timeout is longer.
"""

import threading
from functools import singledispatchmethod
from socket import SHUT_RDWR
from typing import NamedTuple

from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.sync.client import connect
from websockets.sync.server import serve

from knapweedshed.actors import Actor, stop, tell
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import cbor
from knapweedshed.controllers.messages import (
    PeerConnected,
    PeerLost,
    PeerReceived,
    SendToPeer,
    Tick,
)

CONNECT_TIMEOUT_MS = 1_000
LOCAL_IDLE_TIMEOUT_MS = 3_500
REMOTE_IDLE_TIMEOUT_MS = 14_000
RECONNECT_DELAY_MS = 500
MAX_MESSAGE_BYTES = 128 * 1024 * 1024
MAX_QUEUED_MESSAGES = 10_000
HANDSHAKE_TIMEOUT_MS = 3_000
DEFAULT_PEER_COUNT = 256  # a scheduler at the design scale has 56 connections


class _ConnectionClosed(NamedTuple):
    socket: object


class PeerConnection(Actor):
    """Sends messages on an accepted connection; the server's thread reads from it."""

    def __init__(self, context, socket):
        super().__init__(context)
        self._socket = socket

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def send(self, message: SendToPeer):
        """Send a message; close the connection if the peer doesn't keep up."""
        if self.actor_inbox.qsize() > MAX_QUEUED_MESSAGES:
            self._socket.close_socket()
            return
        _send(self._socket, message.message)


class PeerSlots:
    """Limits the open connections of a server that has a thread for each.

    At the limit, the connection that has gone longest without completing its handshake
    is closed for a new one.
    """

    def __init__(self, context, max_peers):
        self._context = context
        self._max_peers = max_peers
        self._lock = threading.Lock()
        self._opening = {}  # a set of sockets, oldest first
        self._count = 0

    def take(self, raw_socket):
        """Return whether a new connection may stay."""
        with self._lock:
            admitted = self._count < self._max_peers or self._close_oldest()
            if admitted:
                self._count += 1
                self._opening[raw_socket] = None
            count = self._count
        if not admitted or count > self._max_peers:
            self._context.metrics.count("connections.peers.closed.connections")
            self._context.logger.warning(
                "connections limited",
                extra={
                    "listener": "peers",
                    "cause": "closed.connections",
                    "connections": count,
                    "max_connections": self._max_peers,
                },
            )
        return admitted

    def note_open(self, raw_socket):
        """Note that a connection has completed its handshake."""
        with self._lock:
            self._opening.pop(raw_socket, None)

    def release(self, raw_socket):
        """Note that a connection has ended."""
        with self._lock:
            self._opening.pop(raw_socket, None)
            self._count -= 1

    def _close_oldest(self):
        """Wake the thread of the oldest unfinished handshake, which then ends."""
        if not self._opening:
            return False
        raw_socket = next(iter(self._opening))
        del self._opening[raw_socket]
        try:
            raw_socket.shutdown(SHUT_RDWR)
        except OSError:  # closed already
            pass
        return True


class PeerServer:
    """Accepts connections and passes incoming messages to the receiver."""

    def __init__(self, context, address, receiver, max_peers=DEFAULT_PEER_COUNT):
        self._context = context
        self._receiver = receiver
        self._slots = PeerSlots(context, max_peers)
        host, _, port = address.rpartition(":")
        self._server = serve(
            self._handle,
            host,
            int(port),
            max_size=MAX_MESSAGE_BYTES,
            compression=None,
            ping_interval=None,
            open_timeout=HANDSHAKE_TIMEOUT_MS / MS_PER_SECOND,
            logger=context.logger,
        )
        self._handle_socket = self._server.handler
        self._server.handler = self._handle_limited
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="peers", daemon=True
        )

    def start(self):
        """Start accepting connections."""
        self._thread.start()

    def close(self):
        """Stop accepting and close all connections."""
        self._server.shutdown()
        self._thread.join(timeout=2)

    def _handle_limited(self, raw_socket, address):
        """Handle an accepted connection, or close it if there are too many."""
        if self._slots.take(raw_socket):
            try:
                self._handle_socket(raw_socket, address)
            finally:
                self._slots.release(raw_socket)
            return
        raw_socket.close()
        with self._server.lock:
            self._server.handler_threads.discard(threading.current_thread())

    def _handle(self, socket):
        self._slots.note_open(socket.socket)
        connection = PeerConnection.start(self._context, socket)
        tell(self._receiver, PeerConnected(connection))
        _read_until_closed(
            socket, connection, self._receiver, self._context, REMOTE_IDLE_TIMEOUT_MS
        )
        tell(self._receiver, PeerLost(connection))
        stop(connection)


class PeerLink(Actor):
    """Keeps one connection to a peer; drops messages while it is not connected."""

    def __init__(
        self, context, timer, address, receiver, idle_timeout_ms=LOCAL_IDLE_TIMEOUT_MS
    ):
        super().__init__(context)
        self._timer = timer
        self._idle_timeout_ms = idle_timeout_ms
        self._address = address
        self._receiver = receiver
        self._socket = None

    def on_start(self):
        """Start connecting."""
        self.actor_ref.tell(Tick())

    def on_stop(self):
        """Close the connection."""
        if self._socket is not None:
            self._socket.close_socket()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def connect(self, message: Tick):
        """Connect and start the reader thread; on failure, retry after a delay."""
        if self._socket is not None:
            return
        try:
            self._socket = connect(
                f"ws://{self._address}",
                open_timeout=CONNECT_TIMEOUT_MS / MS_PER_SECOND,
                max_size=MAX_MESSAGE_BYTES,
                compression=None,
                ping_interval=None,
                proxy=None,
            )
        except (OSError, WebSocketException, TimeoutError):
            self._timer.after(RECONNECT_DELAY_MS, self.actor_ref, Tick())
            return
        tell(self._receiver, PeerConnected(self.actor_ref))
        reader = threading.Thread(
            target=self._run_reader,
            args=(self._socket,),
            name="peer-reader",
            daemon=True,
        )
        reader.start()

    @receive.register
    def send(self, message: SendToPeer):
        """Send a message if connected, else drop it."""
        if self._socket is not None:
            _send(self._socket, message.message)

    @receive.register
    def closed(self, message: _ConnectionClosed):
        """Report the lost connection and reconnect after a delay."""
        if message.socket is not self._socket:
            return
        self._socket = None
        tell(self._receiver, PeerLost(self.actor_ref))
        self._timer.after(RECONNECT_DELAY_MS, self.actor_ref, Tick())

    def _run_reader(self, socket):
        _read_until_closed(
            socket, self.actor_ref, self._receiver, self._context, self._idle_timeout_ms
        )
        tell(self.actor_ref, _ConnectionClosed(socket))


def _read_until_closed(socket, connection, receiver, context, idle_timeout_ms):
    """Read until the connection ends or its idle timeout expires, then close it."""
    reading = True
    while reading:
        reading = _read_message(socket, connection, receiver, context, idle_timeout_ms)
    socket.close_socket()


def _read_message(socket, connection, receiver, context, idle_timeout_ms):
    try:
        data = socket.recv(timeout=idle_timeout_ms / MS_PER_SECOND)
    except (TimeoutError, ConnectionClosed, OSError):
        return False
    try:
        message = cbor.decode(data)
    except cbor.MessageError as error:
        context.logger.warning(
            "peer message can't be decoded", extra={"reason": str(error)}
        )
        return True
    tell(receiver, PeerReceived(connection, message))
    return True


def _send(socket, message):
    try:
        socket.send(cbor.encode(message))
    except (ConnectionClosed, OSError):
        return
