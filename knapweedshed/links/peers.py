"""Links between our own processes: websockets that carry CBOR messages.

Each connection has an actor that sends and a thread that reads. A connection that was
silent for too long is dropped and made anew: its silence says nothing about the peer.
Between data centres heartbeats are rarer, and the limit is longer.
"""

import threading
from functools import singledispatchmethod
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
NEAR_SILENCE_MS = 3_500
FAR_SILENCE_MS = 14_000
RECONNECT_MS = 500
MESSAGE_LIMIT_BYTES = 128 * 1024 * 1024
MOST_UNSENT = 10_000


class _Closed(NamedTuple):
    socket: object


class PeerConnection(Actor):
    """Sends on an accepted connection; its reader is the server's thread."""

    def __init__(self, context, socket):
        super().__init__(context)
        self._socket = socket

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def send(self, message: SendToPeer):
        """Send a message; a peer that takes none is let go."""
        if self.actor_inbox.qsize() > MOST_UNSENT:
            self._socket.close_socket()
            return
        _send(self._socket, message.message)


class PeerServer:
    """Accepts connections and tells the receiver what comes in on them."""

    def __init__(self, context, address, receiver):
        self._context = context
        self._receiver = receiver
        host, _, port = address.rpartition(":")
        self._server = serve(
            self._handle,
            host,
            int(port),
            max_size=MESSAGE_LIMIT_BYTES,
            compression=None,
            ping_interval=None,
            logger=context.logger,
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, name="peers", daemon=True
        )

    def start(self):
        """Start accepting."""
        self._thread.start()

    def close(self):
        """Stop accepting and close all connections."""
        self._server.shutdown()
        self._thread.join(timeout=2)

    def _handle(self, socket):
        connection = PeerConnection.start(self._context, socket)
        tell(self._receiver, PeerConnected(connection))
        _read_all(socket, connection, self._receiver, self._context, FAR_SILENCE_MS)
        tell(self._receiver, PeerLost(connection))
        stop(connection)


class PeerLink(Actor):
    """Keeps one connection to a peer's address; what can't be sent is dropped."""

    def __init__(self, context, timer, address, receiver, silence_ms=NEAR_SILENCE_MS):
        super().__init__(context)
        self._timer = timer
        self._silence_ms = silence_ms
        self._address = address
        self._receiver = receiver
        self._socket = None

    def on_start(self):
        """Connect."""
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
        """Connect, or try again later."""
        if self._socket is not None:
            return
        try:
            self._socket = connect(
                f"ws://{self._address}",
                open_timeout=CONNECT_TIMEOUT_MS / MS_PER_SECOND,
                max_size=MESSAGE_LIMIT_BYTES,
                compression=None,
                ping_interval=None,
                proxy=None,
            )
        except (OSError, WebSocketException, TimeoutError):
            self._timer.after(RECONNECT_MS, self.actor_ref, Tick())
            return
        tell(self._receiver, PeerConnected(self.actor_ref))
        reader = threading.Thread(
            target=self._read, args=(self._socket,), name="peer-reader", daemon=True
        )
        reader.start()

    @receive.register
    def send(self, message: SendToPeer):
        """Send a message, if the connection stands."""
        if self._socket is not None:
            _send(self._socket, message.message)

    @receive.register
    def closed(self, message: _Closed):
        """Tell the receiver, and connect anew."""
        if message.socket is not self._socket:
            return
        self._socket = None
        tell(self._receiver, PeerLost(self.actor_ref))
        self._timer.after(RECONNECT_MS, self.actor_ref, Tick())

    def _read(self, socket):
        _read_all(
            socket, self.actor_ref, self._receiver, self._context, self._silence_ms
        )
        tell(self.actor_ref, _Closed(socket))


def _read_all(socket, connection, receiver, context, silence_ms):
    """Read until the connection ends, or is silent for too long."""
    reading = True
    while reading:
        reading = _read_one(socket, connection, receiver, context, silence_ms)
    socket.close_socket()


def _read_one(socket, connection, receiver, context, silence_ms):
    try:
        data = socket.recv(timeout=silence_ms / MS_PER_SECOND)
    except (TimeoutError, ConnectionClosed, OSError):
        return False
    try:
        message = cbor.decode(data)
    except cbor.MessageError as error:
        context.logger.warning("unreadable message", extra={"reason": str(error)})
        return True
    tell(receiver, PeerReceived(connection, message))
    return True


def _send(socket, message):
    try:
        socket.send(cbor.encode(message))
    except (ConnectionClosed, OSError):
        return
