"""A non-blocking HTTP/1.1 connection, for actors that serve many peers."""

import errno
import os
import selectors
import socket

from knapweedshed.links.http_messages import (
    MAX_IDLE_MS,
    RECEIVE_BUFFER_BYTES,
    HttpParseError,
    ResponseParser,
)
from knapweedshed.models.outcomes import NoAnswer, NotSent

READ_AND_WRITE = selectors.EVENT_READ | selectors.EVENT_WRITE


class HttpConnection:
    """Keeps one connection to an address, with at most one exchange at a time.

    `send` begins an exchange, `continue_exchange` goes on with it when the socket is
    ready, and `expire` ends it without an answer. Each of them returns the exchange's
    result once it is over: a `Response`, `NotSent` or `NoAnswer`; until then None. An
    exchange without an answer closes the connection, and the next one opens a new one.
    """

    def __init__(self, inbox, address, key):
        self._inbox = inbox
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._key = key
        self._socket = None
        self._connecting = False
        self._in_exchange = False
        self._any_sent = False
        self._outgoing = b""
        self._last_used_ms = 0
        self._parser = None

    @property
    def connecting(self):
        """Return whether the connection is still being opened."""
        return self._connecting

    def is_reusable(self, now_ms):
        """Return whether the next exchange uses the connection that is open now."""
        return self._socket is not None and now_ms - self._last_used_ms <= MAX_IDLE_MS

    def close(self):
        """Close the connection; an exchange in progress ends without a result."""
        self._in_exchange = False
        if self._socket is not None:
            self._inbox.unwatch(self._socket)
            self._socket.close()
            self._socket = None

    def send(self, data, now_ms):
        """Begin an exchange with the encoded request `data`."""
        if not self.is_reusable(now_ms):
            self.close()
        self._last_used_ms = now_ms
        self._in_exchange = True
        self._any_sent = False
        self._outgoing = data
        try:
            if self._socket is None:
                self._open()
            else:
                self._write()
        except OSError as error:
            return self._fail(error)
        return None

    def continue_exchange(self, events):
        """Write and read what the socket allows; also notices that the peer closed."""
        if self._socket is None:
            return None
        try:
            if self._connecting:
                self._finish_connecting()
            if self._outgoing:
                self._write()
            if events & selectors.EVENT_READ:
                return self._read()
        except (OSError, HttpParseError) as error:
            return self._fail(error)
        return None

    def expire(self):
        """End an exchange that took too long."""
        return self._fail("timed out")

    def _open(self):
        self._parser = ResponseParser()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connecting = True
        self._inbox.watch(self._socket, READ_AND_WRITE, self._key)
        result = self._socket.connect_ex(self._address)
        if result not in (0, errno.EINPROGRESS):
            raise OSError(result, os.strerror(result))

    def _finish_connecting(self):
        error = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, os.strerror(error))
        self._connecting = False
        self._inbox.watch(self._socket, selectors.EVENT_READ, self._key)

    def _write(self):
        """Send what the socket takes, and watch it for writing while some is left."""
        was_partial = self._any_sent
        try:
            sent_bytes = self._socket.send(self._outgoing)
        except BlockingIOError:
            sent_bytes = 0
        self._any_sent = self._any_sent or sent_bytes > 0
        self._outgoing = self._outgoing[sent_bytes:]
        if self._outgoing:
            self._inbox.watch(self._socket, READ_AND_WRITE, self._key)
        elif was_partial:
            self._inbox.watch(self._socket, selectors.EVENT_READ, self._key)

    def _read(self):
        try:
            data = self._socket.recv(RECEIVE_BUFFER_BYTES)
        except BlockingIOError:
            return None
        if not data:
            return self._fail("the peer closed the connection")
        if not self._in_exchange:
            return self._fail("data outside of an exchange")
        response = self._parser.feed(data)
        if response is None:
            return None
        self._in_exchange = False
        if not self._parser.keep_alive:
            self.close()
        return response

    def _fail(self, reason):
        """Close the connection; return the failure of the exchange, if there is one."""
        in_exchange, any_sent = self._in_exchange, self._any_sent
        self.close()
        if not in_exchange:
            return None
        text = str(reason)[:200]
        return NoAnswer(text) if any_sent else NotSent(text)
