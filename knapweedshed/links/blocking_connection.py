"""A blocking HTTP/1.1 connection, for actors that wait for each answer.

It parses with httptools like the connections to workers. A host exchanges some requests
with the platform's store each second for as long as it lives, and urllib3 takes several
times the processor time and 8 MB.
"""

import socket
from urllib.parse import urlencode

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.links.http_messages import (
    MAX_IDLE_MS,
    RECEIVE_BUFFER_BYTES,
    HttpParseError,
    ResponseParser,
    encode_request,
)
from knapweedshed.models.outcomes import NoAnswer, NotSent

# A page of the log takes some seconds where many hosts start on slow links.
MAX_EXCHANGE_MS = 30_000


class BlockingConnection:
    """Keeps the connection to one address; for use by one thread.

    A connection that was idle for longer than `MAX_IDLE_MS` is not used again, and one
    without an answer is closed, so that a silent connection fails one exchange at most.
    """

    def __init__(self, clock, address, connect_timeout_ms):
        self._clock = clock
        self._address = address
        host, _, port = address.rpartition(":")
        self._socket_address = (host, int(port))
        self._connect_timeout_ms = connect_timeout_ms
        self._socket = None
        self._parser = None
        self._last_used_ms = clock.now_ms()

    def close(self):
        """Close the connection; the next request opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def request(self, method, path, body, query, timeout_ms):
        """Return a `Response` of any status, `NotSent` or `NoAnswer`.

        The peer may be silent for `timeout_ms` before and within its response, and a
        whole exchange may take `MAX_EXCHANGE_MS`.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_used_ms > MAX_IDLE_MS:
            self.close()
        self._last_used_ms = now_ms
        target = f"{path}?{urlencode(query)}" if query else path
        data = encode_request(method, target, self._address, (), body)
        try:
            if self._socket is None:
                self._open()
        except OSError as error:
            return NotSent(f"connection failed: {error}"[:200])
        try:
            response = self._exchange(data, timeout_ms)
        except (OSError, HttpParseError) as error:
            self.close()
            return NoAnswer(f"{type(error).__name__}: {error}"[:200])
        if not self._parser.keep_alive:
            self.close()
        return response

    def _open(self):
        connect_timeout_s = self._connect_timeout_ms / MS_PER_SECOND
        self._socket = socket.create_connection(self._socket_address, connect_timeout_s)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._parser = ResponseParser()

    def _exchange(self, data, timeout_ms):
        """Send a request and return its `Response`; raises OSError, HttpParseError."""
        started_ms = self._clock.now_ms()
        self._socket.settimeout(timeout_ms / MS_PER_SECOND)
        self._socket.sendall(data)
        while self._clock.now_ms() - started_ms < MAX_EXCHANGE_MS:
            received = self._socket.recv(RECEIVE_BUFFER_BYTES)
            if not received:
                raise ConnectionError("the peer closed the connection")
            response = self._parser.feed(received)
            if response is not None:
                return response
        raise TimeoutError("the response takes too long")
