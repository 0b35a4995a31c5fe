"""An actor's inbox that also reports ready sockets and due timeouts.

An actor with this inbox serves many connections from one thread: it waits for its
messages and its sockets at the same time.
"""

import collections
import heapq
import itertools
import os
import selectors
from typing import Any, NamedTuple

from knapweedshed.clock import MS_PER_SECOND, create_clock

WAKE_BYTE = b"\0"
MAX_WAKE_BYTES = 4_096


class SocketReady(NamedTuple):
    """A watched socket is ready; `key` is what it was watched under."""

    key: Any
    events: int


class _Envelope(NamedTuple):
    """What pykka's actor loop reads from an inbox."""

    message: Any
    reply_to: Any = None


class SelectorInbox:
    """Inbox for a pykka actor that owns non-blocking sockets.

    Any thread may call `put`; all other methods are for the actor's own thread.
    """

    def __init__(self):
        self._clock = create_clock()
        self._envelopes = collections.deque()
        self._ready = collections.deque()
        self._timeouts = []
        self._sequence = itertools.count()
        self._selector = selectors.DefaultSelector()
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        os.set_blocking(self._wake_writer, False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._waiting = False
        self._closed = False

    def close(self):
        """Close the selector and the pipe; the sockets belong to their owner."""
        self._closed = True
        self._selector.close()
        os.close(self._wake_reader)
        os.close(self._wake_writer)

    def put(self, envelope):
        """Add a message, and wake the actor if it waits."""
        self._envelopes.append(envelope)
        if self._waiting and not self._closed:
            self._waiting = False
            os.write(self._wake_writer, WAKE_BYTE)

    def empty(self):
        """Return whether no message is left."""
        return not self._envelopes

    def get(self):
        """Wait for the next message, ready socket or due timeout; return its envelope.

        A timeout is due only if its answer has not arrived: after a pause of the
        process, answers that wait in sockets come first.
        """
        while True:
            if self._envelopes:
                return self._envelopes.popleft()
            if self._ready:
                return _Envelope(self._ready.popleft())
            self._wait()
            if not self._envelopes and not self._ready and self._timeout_is_due():
                return _Envelope(heapq.heappop(self._timeouts)[2])

    def watch(self, sock, events, key):
        """Report `SocketReady(key, ...)` whenever `sock` is ready for `events`."""
        if sock in self._selector.get_map():
            self._selector.modify(sock, events, key)
        else:
            self._selector.register(sock, events, key)

    def unwatch(self, sock):
        """Stop watching a socket; must be called before it is closed."""
        self._selector.unregister(sock)

    def send_at(self, due_ms, message):
        """Deliver `message` to the actor at `due_ms` of the monotonic clock."""
        heapq.heappush(self._timeouts, (due_ms, next(self._sequence), message))

    def _wait(self):
        """Wait until a socket is ready, a message arrives or a timeout is due."""
        self._waiting = True
        if self._envelopes:
            self._waiting = False
            return
        timeout_s = None
        if self._timeouts:
            wait_ms = self._timeouts[0][0] - self._clock.now_ms()
            timeout_s = max(0, wait_ms) / MS_PER_SECOND
        for key, events in self._selector.select(timeout_s):
            if key.fd == self._wake_reader:
                os.read(self._wake_reader, MAX_WAKE_BYTES)
            else:
                self._ready.append(SocketReady(key.data, events))
        self._waiting = False

    def _timeout_is_due(self):
        return bool(self._timeouts) and self._timeouts[0][0] <= self._clock.now_ms()
