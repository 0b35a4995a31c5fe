"""Which connections to a listener are closed when room is short.

Load addressed: clients that send bodies, headers or chunk sizes without an end, or
nothing, on many connections, until memory or descriptors run out for ordinary callers.
"""

from typing import NamedTuple

RESERVED_DESCRIPTOR_COUNT = 200  # kept for files on the platform's machines
DEFAULT_CONNECTION_COUNT = 1_000
DEFAULT_MEMORY_BYTES = 64 * 1024 * 1024
# Of the machine's memory; the largest hosts use half of it for scheduling.
MEMORY_PERCENT = 20
# Of a host's sockets: a listener's share. 40% remain for workers and the store.
CALLERS_CONNECTION_PERCENT = 40
SIDE_CONNECTION_PERCENT = 10  # readiness and metrics, each
CALLERS_MEMORY_PERCENT = 80  # of the memory of all connections
SIDE_MEMORY_PERCENT = 10  # readiness and metrics, each
MIN_CONNECTION_COUNT = 8
SHORT_PERCENT = 50  # room is short above this part of a limit
# A connection without a known key counts as this many times its size and age: an
# organisation's request of 64 KB goes after a stranger's of 16 KB.
UNKNOWN_KEY_FACTOR = 4


class ListenerLimits(NamedTuple):
    """What the connections of one listener may use.

    A request has at most `max_body_bytes` and `max_header_bytes` (its first line
    included); one connection holds at most `max_connection_bytes` of memory, and all
    together `max_memory_bytes`. While room is short, an unfinished request may stay for
    `unfinished_ms`, and a connection between two requests for `idle_ms`. All sockets
    and files of the process are at most `max_descriptors`; 0 if that isn't known.
    """

    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    max_connections: int = DEFAULT_CONNECTION_COUNT
    max_connection_bytes: int = 2 * 1024 * 1024
    max_memory_bytes: int = DEFAULT_MEMORY_BYTES
    unfinished_ms: int = 3_000
    idle_ms: int = 15_000
    max_descriptors: int = 0


class ConnectionState(NamedTuple):
    """What a listener knows about a connection.

    `waiting_ms` is the time since it was accepted or its last request was answered, or
    since the client last took a part of an unread answer. `serving`: a request of it is
    queued or running. `unread`: a part of an answer hasn't been taken. `idle`: nothing
    of a request has arrived since the last one was answered.
    """

    number: int
    held_bytes: int
    waiting_ms: int
    known_key: bool = False
    serving: bool = False
    unread: bool = False
    idle: bool = False


def derive_host_limits(limits, memory_bytes, max_descriptors):
    """Return the `ListenerLimits` of (callers, readiness and metrics) of a host.

    In `limits`, 0 as `max_connections` or `max_memory_bytes` stands for a share of the
    machine's; `memory_bytes` and `max_descriptors` are 0 if the platform doesn't say.
    """
    total_bytes = limits.max_memory_bytes or (
        memory_bytes * MEMORY_PERCENT // 100 or DEFAULT_MEMORY_BYTES
    )
    sockets = max(max_descriptors - RESERVED_DESCRIPTOR_COUNT, 0)
    callers_connections = limits.max_connections or _share(
        sockets, CALLERS_CONNECTION_PERCENT, DEFAULT_CONNECTION_COUNT
    )
    side_connections = _share(
        sockets, SIDE_CONNECTION_PERCENT, DEFAULT_CONNECTION_COUNT // 4
    )
    callers = limits._replace(
        max_connections=callers_connections,
        max_memory_bytes=total_bytes * CALLERS_MEMORY_PERCENT // 100,
        max_descriptors=max_descriptors,
    )
    side = limits._replace(
        max_connections=min(side_connections, callers_connections),
        max_memory_bytes=total_bytes * SIDE_MEMORY_PERCENT // 100,
    )
    return callers, side


def _share(sockets, percent, default):
    if not sockets:
        return default
    return max(sockets * percent // 100, MIN_CONNECTION_COUNT)


def find_connection_limit(limits, other_descriptors):
    """Return how many connections may be open beside `other_descriptors`.

    The process's own connections, to workers and the store, come first.
    """
    if not limits.max_descriptors:
        return limits.max_connections
    room = limits.max_descriptors - RESERVED_DESCRIPTOR_COUNT - other_descriptors
    return max(MIN_CONNECTION_COUNT, min(limits.max_connections, room))


def is_short(limits, connection_limit, connection_count, held_bytes):
    """Return whether room for connections or for their memory is short."""
    return (
        connection_count * 100 > connection_limit * SHORT_PERCENT
        or held_bytes * 100 > limits.max_memory_bytes * SHORT_PERCENT
    )


def find_overdue(limits, states):
    """Return the numbers of the connections that stayed too long for short room."""
    return [
        state.number
        for state in states
        if not state.serving
        and state.waiting_ms > (limits.idle_ms if state.idle else limits.unfinished_ms)
    ]


def choose_for_room(limits, states):
    """Return the number of the connection to close for another one, or None.

    It is the one that has gone longest without a request.
    """
    return _choose(limits, states, lambda state: state.waiting_ms)


def choose_for_memory(limits, states):
    """Return the number of the connection to close to free memory, or None.

    It is the one that holds most.
    """
    return _choose(limits, states, lambda state: state.held_bytes)


def _choose(limits, states, measure):
    """Never chooses a connection whose request has reached the program.

    An unread answer belongs to such a request: it is only given up once the client
    has taken nothing of it for `unfinished_ms`.
    """
    closable = [
        state
        for state in states
        if not state.serving
        and not (state.unread and state.waiting_ms <= limits.unfinished_ms)
    ]
    if not closable:
        return None
    worst = max(
        closable,
        key=lambda state: (
            measure(state) * (1 if state.known_key else UNKNOWN_KEY_FACTOR),
            -state.number,
        ),
    )
    return worst.number
