"""A small TCP proxy that brings about network faults, one port at a time."""

import selectors
import socket
import threading
from enum import StrEnum

CHUNK_BYTES = 65_536


class Fault(StrEnum):
    """What happens on a port."""

    NONE = "none"
    CUT = "cut"
    FREEZE = "freeze"
    SILENCE_OPEN = "silence open connections"
    SWALLOW_ANSWERS = "swallow answers"
    DROP_REQUESTS = "drop requests"


class _Pair:
    def __init__(self, near, far, port):
        self.near = near
        self.far = far
        self.port = port
        self.silent = False


class Proxy:
    """Forwards ports `front` to `back`; one thread, which blocks in its selector."""

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._faults = {}
        self._delays_ms = {}
        self._cut_after = {}
        self._pairs = {}
        self._listeners = {}
        self._lock = threading.RLock()
        self._wake_near, self._wake_far = socket.socketpair()
        self._selector.register(self._wake_near, selectors.EVENT_READ, None)
        self._open = True
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start forwarding."""
        self._thread.start()

    def close(self):
        """Stop forwarding and close every socket."""
        self._open = False
        self._wake_far.send(b"x")
        self._thread.join()
        with self._lock:
            for pair in set(self._pairs.values()):
                self._drop(pair)
            for listener in self._listeners:
                listener.close()

    def forward(self, front, back):
        """Listen on loopback port `front` for what goes to `back`."""
        listener = socket.create_server(("127.0.0.1", front), backlog=256)
        with self._lock:
            self._listeners[listener] = (front, back)
            self._selector.register(listener, selectors.EVENT_READ, listener)
        self._wake_far.send(b"x")

    def set_fault(self, ports, fault):
        """Apply a fault to what passes these front ports from now on."""
        with self._lock:
            for port in ports:
                self._faults[port] = fault
            for pair in set(self._pairs.values()):
                if pair.port not in ports:
                    continue
                if fault == Fault.CUT:
                    self._drop(pair)
                elif fault == Fault.SILENCE_OPEN:
                    pair.silent = True

    def cut_answers_after(self, ports, count):
        """Cut each connection once, after `count` bytes of answers."""
        with self._lock:
            for port in ports:
                self._cut_after[port] = count

    def _run(self):
        while self._open:
            for key, _ in self._selector.select():
                with self._lock:
                    self._serve(key)

    def _serve(self, key):
        if key.data is None:
            self._wake_near.recv(1)
        elif key.data in self._listeners:
            self._accept(key.data)
        elif key.fileobj in self._pairs:
            self._pass(key.fileobj)

    def _accept(self, listener):
        near, _ = listener.accept()
        front, back = self._listeners[listener]
        if self._faults.get(front) == Fault.CUT:
            near.close()
            return
        try:
            far = socket.create_connection(("127.0.0.1", back), timeout=1)
        except OSError:
            near.close()
            return
        far.settimeout(5)
        near.settimeout(5)
        pair = _Pair(near, far, front)
        for item in (near, far):
            self._pairs[item] = pair
            self._selector.register(item, selectors.EVENT_READ, item)

    def _pass(self, source):
        pair = self._pairs[source]
        target = pair.far if source is pair.near else pair.near
        try:
            data = source.recv(CHUNK_BYTES)
            if not data:
                self._drop(pair)
            elif self._lets_through(pair, source, data):
                target.sendall(data)
        except OSError:
            self._drop(pair)

    def _lets_through(self, pair, source, data):
        fault = self._faults.get(pair.port, Fault.NONE)
        if fault == Fault.FREEZE:
            pair.silent = True
        if pair.silent:
            return False
        if source is pair.near:
            return fault != Fault.DROP_REQUESTS
        if fault == Fault.SWALLOW_ANSWERS:
            pair.silent = True
            return False
        left = self._cut_after.get(pair.port)
        if left is not None and len(data) >= left:
            del self._cut_after[pair.port]
            pair.near.sendall(data[:left])
            raise OSError("cut by the proxy")
        if left is not None:
            self._cut_after[pair.port] = left - len(data)
        return True

    def _drop(self, pair):
        for item in (pair.near, pair.far):
            if self._pairs.pop(item, None) is not None:
                self._selector.unregister(item)
                item.close()
