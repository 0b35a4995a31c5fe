"""Classes of waitress with limits on what clients may send, hold and leave unread.

waitress parses the requests. Its own limits bound a request's headers, and its body as
sent; they don't bound chunk sizes, trailers, pipelined requests or all connections
together, and its connection limit stops accepting instead of closing idle connections.
"""

import errno
import itertools
import socket
import time
from functools import partial

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.server import TcpWSGIServer
from waitress.utilities import BadRequest, Error

from knapweedshed.codecs import json_text
from knapweedshed.decisions.overload.connection_limits import ConnectionState
from knapweedshed.results import ResultCode

MAX_ACCEPTS = 16  # in a round, so that what they send is read before the next ones
MAX_CHUNK_LINE_BYTES = 4_096  # the size of a chunk, with its extensions
# A body in chunks of one byte is sent as six bytes for each.
CHUNK_OVERHEAD_FACTOR = 8
MIN_SENT_BODY_BYTES = 65_536  # so that a small body may have trailers
CONNECTION_BYTES = 4_096  # a channel without a request takes 3 KB
HEADER_ENTRY_BYTES = 128  # of a parsed header beside its text, which takes 85
LINGER_MS = 1_000
ACCEPT_PAUSE_MS = 100  # while no descriptor is left and none can be freed
NO_DESCRIPTOR_ERRORS = (errno.EMFILE, errno.ENFILE)

_numbers = itertools.count()


class RefusedRequestError(Error):
    """The answer to a request that is refused before the program sees it."""

    def __init__(self, code, reason, result_code, text):
        super().__init__(text)
        self.code = code
        self.reason = reason
        self.result_code = result_code

    def to_response(self, ident=None):
        """Return (status, headers, body) with the error as JSON."""
        code = int(self.result_code)
        body = json_text.dumps({"code": code, "error": self.body}).encode()
        headers = [("Content-Type", "application/json"), ("X-Result-Code", str(code))]
        return f"{self.code} {self.reason}", headers, body


class BoundedParser(HTTPRequestParser):
    """Parses one request; refuses it as soon as it is known to be too large."""

    def __init__(self, guard, adj):
        super().__init__(adj)
        self._guard = guard
        self._surplus = b""

    @property
    def held_bytes(self):
        """The memory that the request takes; estimated for the parsed headers."""
        held = len(self.header_plus) + len(self.headers) * HEADER_ENTRY_BYTES
        if self.headers_finished:
            held += 2 * self.header_bytes_received
        receiver = self.body_rcv
        if receiver is not None:
            held += len(receiver) * 9 // 8  # how a buffer grows
            if self.chunked:
                held += len(receiver.control_line) + len(receiver.trailer)
        return held

    def received(self, data):
        """Parse `data`; keep what follows the request's end for `take_surplus`."""
        if self.completed:
            return 0
        try:
            consumed = super().received(data)
        except ValueError:  # a number with more digits than Python converts
            consumed = len(data)
            self.error = BadRequest("a number is too long")
        if self.error is None:
            self.error = self._find_fault()
        else:
            self.error = self._rewrite(self.error)
        if self.headers_finished:
            self.header_plus = b""
        if self.error is not None:
            self._discard()
        if self.completed and not self.empty and consumed < len(data):
            self._surplus = data[consumed:]
            return len(data)
        return consumed

    def take_surplus(self):
        """Return the bytes received after the request, and forget them."""
        surplus, self._surplus = self._surplus, b""
        return surplus

    def _find_fault(self):
        limits = self._guard.limits
        receiver = self.body_rcv
        if receiver is None:
            return None
        body_bytes = len(receiver)
        body_bytes += receiver.chunk_remainder if self.chunked else receiver.remain
        if body_bytes > limits.max_body_bytes:
            return self._refuse_body()
        if self.chunked and len(receiver.control_line) > MAX_CHUNK_LINE_BYTES:
            self._guard.count("refused.chunk_line")
            return RefusedRequestError(
                400, "Bad Request", ResultCode.BAD_REQUEST, "a chunk's line is too long"
            )
        if self.chunked and len(receiver.trailer) > limits.max_header_bytes:
            return self._refuse_headers()
        return None

    def _rewrite(self, error):
        """Return a refusal by waitress in this program's format."""
        if error.code == 413:
            return self._refuse_body()
        if error.code == 431:
            return self._refuse_headers()
        return RefusedRequestError(
            error.code, error.reason, ResultCode.BAD_REQUEST, error.body
        )

    def _refuse_body(self):
        self._guard.count("refused.body")
        return RefusedRequestError(
            413,
            "Content Too Large",
            ResultCode.BODY_TOO_LARGE,
            f"a body has at most {self._guard.limits.max_body_bytes} bytes",
        )

    def _refuse_headers(self):
        self._guard.count("refused.headers")
        return RefusedRequestError(
            431,
            "Request Header Fields Too Large",
            ResultCode.BAD_REQUEST,
            f"headers have at most {self._guard.limits.max_header_bytes} bytes",
        )

    def _discard(self):
        """Drop what was read of a refused request, and ask for no more of it."""
        self.close()
        self.body_rcv = None
        self.header_plus = b""
        self.expect_continue = False
        self.completed = True


class BoundedChannel(HTTPChannel):
    """A connection that serves one request at a time and reports what it holds."""

    def __init__(self, server, sock, addr, adj, map=None):
        self.number = next(_numbers)
        self.held_bytes = CONNECTION_BYTES
        self._guard = server.guard
        self._waiting_since_ms = self._guard.clock.now_ms()
        self._known_key = False
        self._polled = False
        self._serving = False
        self._is_last = False
        self._answered = False
        self._refused = False
        self._linger_until_ms = 0
        self._surplus = b""
        self._unread_bytes = 0
        super().__init__(server, sock, addr, adj, map)
        self.parser_class = partial(BoundedParser, self._guard)
        self._guard.add(self)

    def state(self):
        """Return the `ConnectionState` that decisions about it are based on.

        A request counts as served until the server's thread has noticed its end: until
        then the time of the last progress isn't that of its answer.
        """
        unread = bool(self.total_outbufs_len)
        return ConnectionState(
            self.number,
            self.held_bytes,
            self._guard.clock.now_ms() - self._waiting_since_ms,
            self._known_key,
            self._serving,
            unread and not self._refused,
            self._answered and self.request is None and not unread,
        )

    def check_time(self, now_ms):
        """Notice progress with an unread answer; end a connection that lingers."""
        unread_bytes = self.total_outbufs_len
        if unread_bytes != self._unread_bytes:
            self._unread_bytes = unread_bytes
            self._waiting_since_ms = now_ms
            self._update_held()
        if self._linger_until_ms and now_ms > self._linger_until_ms:
            self.handle_close()

    def begin_serving(self):
        """Note that a whole request, or a refused one, goes to the program's threads.

        Called with the lock on requests held.
        """
        request = self.requests[0]
        self._surplus = request.take_surplus()
        self._refused = request.error is not None
        self._note_key(request)
        self._serving = True

    def readable(self):
        """Return whether to read; first go on with what was read before.

        Called for each connection in every round, so it repeats the base class's
        conditions instead of calling it: a lookahead of 0 is what is set here.
        """
        self._polled = True
        if self._serving and not self.requests:
            self._note_answered()
        if self._surplus and self._can_read():
            data, self._surplus = self._surplus, b""
            self.received(data)
            self._update_held()
        return self._can_read()

    def writable(self):
        """Return whether to write what a thread of the program has left to write.

        A thread that is writing holds the lock on the answer: the loop would spin
        beside it. It wakes the loop when it has ended, or waits for the buffer.
        """
        unsent_bytes = self.total_outbufs_len
        if self.requests and unsent_bytes <= self.adj.outbuf_high_watermark:
            unsent_bytes = 0
        return bool(unsent_bytes or self.will_close or self.close_when_flushed)

    def handle_read(self):
        """Read once, and report what the connection holds now.

        An event may be that of a closed connection with the same descriptor; the base
        class would close this one for it.
        """
        try:
            data = self.recv(self.adj.recv_bytes)
        except BlockingIOError:
            return
        except OSError:
            self.handle_close()
            return
        if not data:
            self.connected = False
            return
        if self._linger_until_ms:
            return
        self.last_activity = time.time()
        if self.request is None and self._answered:
            self._waiting_since_ms = self._guard.clock.now_ms()
        self.received(data)
        self._note_key(self.request)
        self._update_held()

    def close_if_idle(self, with_unfinished):
        """Close between two requests, as the server closes; for any thread.

        No request is begun after the one that is being served. `with_unfinished` gives
        up an unfinished request, and an answer that the client hasn't read.
        """
        with self.requests_lock:  # a request that is whole is in the list afterwards
            if self.requests or self._serving:
                self._is_last = not self._refused
            elif self._linger_until_ms:
                return
            elif self.total_outbufs_len:
                self.will_close = self.will_close or with_unfinished
            elif with_unfinished or self.request is None:
                self.close_when_flushed = True

    def close_for_limits(self):
        """Close, whether or not a round has begun with this connection."""
        self._polled = True
        self.handle_close()

    def handle_close(self):
        """Close; after a refusal, let the client read it first.

        Closing a socket with unread input resets the connection, and the client may
        lose the refusal. One event may close a connection twice. In the round that
        accepted a connection, an event is that of a closed one with its descriptor.
        """
        if self.socket is None or not self._polled:
            return
        if self.will_close and self._refused and not self._linger_until_ms:
            try:
                self.socket.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            else:
                self.will_close = False
                self._linger_until_ms = self._guard.clock.now_ms() + LINGER_MS
                return
        super().handle_close()

    def handle_expt(self):
        """Close a connection with urgent data, which would end every wait at once."""
        if not self._polled:
            return
        self._guard.count("closed.urgent_data")
        super().handle_close()

    def handle_error(self):
        """Log an error of this program, and close."""
        self.logger.exception("connection failed")
        super().handle_close()

    def del_channel(self, map=None):
        """Forget the connection, and requests of it that were not begun."""
        super().del_channel(map)
        self._surplus = b""
        self._guard.remove(self)

    def _can_read(self):
        return not (
            self._is_last
            or self.requests
            or self.total_outbufs_len
            or self.will_close
            or self.close_when_flushed
        )

    def _note_answered(self):
        self._waiting_since_ms = self._guard.clock.now_ms()
        self._answered = True
        self._serving = False
        self._update_held()

    def _note_key(self, request):
        if request is None or not request.headers_finished or self._known_key:
            return
        headers = request.headers
        self._known_key = self._guard.is_known_key(
            lambda name: headers.get(name.upper().replace("-", "_"), "")
        )

    def _update_held(self):
        held_bytes = CONNECTION_BYTES + len(self._surplus) + self.total_outbufs_len
        if self.request is not None:
            held_bytes += self.request.held_bytes
        for request in tuple(self.requests):
            held_bytes += 2 * request.held_bytes  # the program's thread has a copy
        self._guard.update_held(self, held_bytes)


class BoundedServer(TcpWSGIServer):
    """Accepts connections, and closes others for them if there are too many."""

    channel_class = BoundedChannel

    def __init__(self, guard, application, map, dispatcher, adj, sockinfo):
        self.guard = guard
        self._accepted = False
        self._accept_again_ms = 0
        super().__init__(
            application, map, dispatcher=dispatcher, adj=adj, sockinfo=sockinfo
        )

    def readable(self):
        """Return whether to accept; keep the limits in every round."""
        self.guard.keep_limits()
        limits = self.guard.limits
        self.adj.max_request_body_size = max(
            CHUNK_OVERHEAD_FACTOR * limits.max_body_bytes, MIN_SENT_BODY_BYTES
        )
        is_accepting = super().readable()
        return is_accepting and self.guard.clock.now_ms() >= self._accept_again_ms

    def handle_accept(self):
        """Accept some of the connections that are waiting."""
        accepts = max(1, min(MAX_ACCEPTS, self.guard.limits.max_connections // 4))
        for _ in range(accepts):
            self._accepted = False
            super().handle_accept()
            if not self._accepted:
                return

    def accept(self):
        """Return (socket, address), or None; frees a descriptor if none is left."""
        try:
            accepted = super().accept()
        except OSError as error:
            if error.errno in NO_DESCRIPTOR_ERRORS:
                self._make_room()
            return None
        self._accepted = accepted is not None
        return accepted

    def _make_room(self):
        """Free a descriptor; if none can be, don't poll the waiting connections."""
        if not self.guard.close_for_descriptor():
            self._accept_again_ms = self.guard.clock.now_ms() + ACCEPT_PAUSE_MS

    def handle_error(self):
        """Log an error; the base class would stop listening for good."""
        self.logger.exception("connection not accepted")

    def add_task(self, task):
        """Pass a whole request to the threads of the program."""
        task.begin_serving()
        super().add_task(task)
