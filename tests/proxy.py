"""A TCP proxy that injects network faults, set for each port."""

import selectors
import socket
import threading
from enum import StrEnum

CHUNK_BYTES = 65_536


class Fault(StrEnum):
    """A fault of the connections of a front port.

    CUT closes open connections, and new ones at once. FREEZE stops forwarding while the
    connections stay open; one that data came on meanwhile stays frozen afterwards.
    FREEZE_OPEN freezes just the connections that are open now. DROP_RESPONSES passes
    requests and freezes a connection at its first response; DROP_REQUESTS discards what
    clients send.
    """

    NONE = "none"
    CUT = "cut"
    FREEZE = "freeze"
    FREEZE_OPEN = "freeze open connections"
    DROP_RESPONSES = "drop responses"
    DROP_REQUESTS = "drop requests"


class _Connection:
    """Both sockets of a forwarded connection; nothing passes it once it is `frozen`."""

    def __init__(self, client, backend, front_port):
        self.client = client
        self.backend = backend
        self.front_port = front_port
        self.frozen = False


class Proxy:
    """Forwards front ports to backend ports in one thread, blocking in a selector."""

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._faults = {}
        self._delays_ms = {}
        self._bytes_until_cut = {}
        self._connections = {}
        self._listeners = {}
        self._lock = threading.RLock()
        self._wakeup_receiver, self._wakeup_sender = socket.socketpair()
        self._selector.register(self._wakeup_receiver, selectors.EVENT_READ, None)
        self._is_open = True
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start forwarding."""
        self._thread.start()

    def close(self):
        """Stop forwarding and close every socket."""
        self._is_open = False
        self._wakeup_sender.send(b"x")
        self._thread.join()
        with self._lock:
            for connection in set(self._connections.values()):
                self._close_connection(connection)
            for listener in self._listeners:
                listener.close()

    def forward(self, front_port, backend_port):
        """Forward connections to loopback port `front_port` to `backend_port`."""
        listener = socket.create_server(("127.0.0.1", front_port), backlog=256)
        with self._lock:
            self._listeners[listener] = (front_port, backend_port)
            self._selector.register(listener, selectors.EVENT_READ, listener)
        self._wakeup_sender.send(b"x")

    def set_fault(self, front_ports, fault):
        """Apply a fault to these front ports from now on."""
        with self._lock:
            for front_port in front_ports:
                self._faults[front_port] = fault
            for connection in set(self._connections.values()):
                if connection.front_port not in front_ports:
                    continue
                if fault == Fault.CUT:
                    self._close_connection(connection)
                elif fault == Fault.FREEZE_OPEN:
                    connection.frozen = True

    def fault_of(self, front_port):
        """Return the fault that applies to a front port."""
        with self._lock:
            return self._faults.get(front_port, Fault.NONE)

    def cut_responses_after(self, front_ports, byte_count):
        """Cut one connection of each port, after `byte_count` more response bytes."""
        with self._lock:
            for front_port in front_ports:
                self._bytes_until_cut[front_port] = byte_count

    def _run(self):
        while self._is_open:
            for key, _ in self._selector.select():
                with self._lock:
                    self._handle_event(key)

    def _handle_event(self, key):
        if key.data is None:
            self._wakeup_receiver.recv(1)
        elif key.data in self._listeners:
            self._accept(key.data)
        elif key.fileobj in self._connections:
            self._relay(key.fileobj)

    def _accept(self, listener):
        client, _ = listener.accept()
        front_port, backend_port = self._listeners[listener]
        if self._faults.get(front_port) == Fault.CUT:
            client.close()
            return
        try:
            backend = socket.create_connection(("127.0.0.1", backend_port), timeout=1)
        except OSError:
            client.close()
            return
        backend.settimeout(5)
        client.settimeout(5)
        connection = _Connection(client, backend, front_port)
        for endpoint in (client, backend):
            self._connections[endpoint] = connection
            self._selector.register(endpoint, selectors.EVENT_READ, endpoint)

    def _relay(self, source):
        connection = self._connections[source]
        target = (
            connection.backend if source is connection.client else connection.client
        )
        try:
            data = source.recv(CHUNK_BYTES)
            if not data:
                self._close_connection(connection)
            elif self._should_forward(connection, source, data):
                target.sendall(data)
        except OSError:
            self._close_connection(connection)

    def _should_forward(self, connection, source, data):
        """Return whether to forward `data`, after applying the fault of its port.

        Raises OSError if the response is cut here.
        """
        fault = self._faults.get(connection.front_port, Fault.NONE)
        if fault == Fault.FREEZE:
            connection.frozen = True
        if connection.frozen:
            return False
        if source is connection.client:
            return fault != Fault.DROP_REQUESTS
        if fault == Fault.DROP_RESPONSES:
            connection.frozen = True
            return False
        remaining_bytes = self._bytes_until_cut.get(connection.front_port)
        if remaining_bytes is not None and len(data) >= remaining_bytes:
            del self._bytes_until_cut[connection.front_port]
            connection.client.sendall(data[:remaining_bytes])
            raise OSError("cut by the proxy")
        if remaining_bytes is not None:
            self._bytes_until_cut[connection.front_port] = remaining_bytes - len(data)
        return True

    def _close_connection(self, connection):
        for endpoint in (connection.client, connection.backend):
            if self._connections.pop(endpoint, None) is not None:
                self._selector.unregister(endpoint)
                endpoint.close()
