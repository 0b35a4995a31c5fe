"""Unused ports on the loopback address."""

import os
import socket

# Below the ports that connections are given, and those that other tests use.
FIRST_SERVER_PORT = 10_000
LAST_SERVER_PORT = 17_500
PORTS_PER_PROCESS = 50


def free_port():
    """Return a port that nothing listens on now; another process may still take it."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def server_ports():
    """Yield unused ports that no outgoing connection is given meanwhile.

    Processes begin in different places, so that they rarely compete for a port.
    """
    span = LAST_SERVER_PORT - FIRST_SERVER_PORT
    start = os.getpid() * PORTS_PER_PROCESS % span
    for offset in range(span):
        port = FIRST_SERVER_PORT + (start + offset) % span
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                yield port
