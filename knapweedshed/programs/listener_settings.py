"""Settings of what the connections to a program's HTTP listeners may use."""

from knapweedshed.decisions.overload.connection_limits import ListenerLimits
from knapweedshed.settings import Setting


def listener_settings(max_body_bytes, max_memory_bytes):
    """Return the settings, with these defaults; 0 for memory is a share of all."""
    defaults = ListenerLimits()
    return (
        Setting("max_body_bytes", "count", max_body_bytes, "largest body of a request"),
        Setting(
            "max_header_bytes",
            "count",
            defaults.max_header_bytes,
            "largest headers of a request",
        ),
        Setting(
            "max_connections",
            "count",
            0,
            "connections of callers; 0: by the descriptors of the machine, or 1000",
        ),
        Setting(
            "max_connection_bytes",
            "count",
            defaults.max_connection_bytes,
            "memory that a connection may hold",
        ),
        Setting(
            "max_connections_bytes",
            "count",
            max_memory_bytes,
            "memory that all connections may hold; 0: a share of the machine's",
        ),
        Setting(
            "unfinished_request_ms",
            "milliseconds",
            defaults.unfinished_ms,
            "stay of an unfinished request while room is short",
        ),
        Setting(
            "idle_connection_ms",
            "milliseconds",
            defaults.idle_ms,
            "stay of a connection without a request while room is short",
        ),
    )


def create_listener_limits(settings):
    """Return the `ListenerLimits` in the settings; 0 stands for a value to derive."""
    return ListenerLimits(
        max_body_bytes=settings.max_body_bytes,
        max_header_bytes=settings.max_header_bytes,
        max_connections=settings.max_connections,
        max_connection_bytes=settings.max_connection_bytes,
        max_memory_bytes=settings.max_connections_bytes,
        unfinished_ms=settings.unfinished_request_ms,
        idle_ms=settings.idle_connection_ms,
    )
