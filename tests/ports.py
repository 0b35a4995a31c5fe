"""Unused ports on the loopback address."""

import socket


def free_port():
    """Return a port that nothing listens on now; another process may still take it."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
