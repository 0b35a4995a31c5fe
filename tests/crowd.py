"""Clients outside the limits: many connections that send payloads and stay open."""

import selectors
import socket
import threading
import time

RECONNECT_PAUSE_S = 0.2
CLOSED_CHECK_PERIOD_S = 0.1
SEND_BYTES = 65_536


class Crowd:
    """Keeps `count` connections to an address open, each sending its own payload.

    `payload(number)` returns an iterable of bytes. A connection that the server closes
    is opened again with a new payload. With `reads` unset, answers are never read.
    """

    def __init__(self, address, count, payload, reads=True):
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._payload = payload
        self._reads = reads
        self._clients = [_Client(number) for number in range(count)]
        self._selector = selectors.DefaultSelector()
        self._stop_event = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def settled(self):
        """Whether each client has sent its payload, or was closed by the server."""
        return all(client.settled for client in self._clients)

    def start(self):
        """Start connecting and sending."""
        self._thread.start()

    def close(self):
        """Stop, and close all connections."""
        self._stop_event.set()
        self._thread.join()
        for client in self._clients:
            self._drop(client)
        self._selector.close()

    def _run(self):
        next_check_s = 0.0
        while not self._stop_event.is_set():
            now_s = time.monotonic()
            if now_s >= next_check_s:
                next_check_s = now_s + CLOSED_CHECK_PERIOD_S
                for client in self._clients:
                    self._check(client, now_s)
            for key, _ in self._selector.select(CLOSED_CHECK_PERIOD_S):
                self._send(key.data)

    def _check(self, client, now_s):
        """Open a client that is due, or notice that the server closed it."""
        if client.socket is None:
            if now_s >= client.open_at_s:
                self._open(client)
            return
        try:
            flags = 0 if self._reads else socket.MSG_PEEK
            open_still = client.socket.recv(SEND_BYTES, flags)
        except BlockingIOError:
            return
        except OSError:
            open_still = b""
        if not open_still:
            self._drop(client)

    def _open(self, client):
        client.socket = socket.socket()
        client.socket.setblocking(False)
        client.socket.connect_ex(self._address)
        client.pieces = iter(self._payload(client.number))
        client.unsent = b""
        self._selector.register(client.socket, selectors.EVENT_WRITE, client)

    def _send(self, client):
        if not client.unsent:
            client.unsent = next(client.pieces, b"")
        if not client.unsent:
            client.settled = True
            self._selector.unregister(client.socket)
            return
        try:
            sent = client.socket.send(client.unsent[:SEND_BYTES])
        except BlockingIOError:
            return
        except OSError:
            self._drop(client)
            return
        client.unsent = client.unsent[sent:]

    def _drop(self, client):
        if client.socket is None:
            return
        if client.socket in self._selector.get_map():
            self._selector.unregister(client.socket)
        client.socket.close()
        client.socket = None
        client.settled = True
        client.open_at_s = time.monotonic() + RECONNECT_PAUSE_S


class _Client:
    def __init__(self, number):
        self.number = number
        self.socket = None
        self.pieces = iter(())
        self.unsent = b""
        self.settled = False
        self.open_at_s = 0.0
