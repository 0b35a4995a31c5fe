"""Holds a listener's connections within its limits; runs in the server's thread."""

import os
import queue
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from knapweedshed.clock import Clock, create_clock
from knapweedshed.decisions.overload.connection_limits import (
    ListenerLimits,
    choose_for_memory,
    choose_for_room,
    find_connection_limit,
    find_overdue,
    is_short,
)
from knapweedshed.metrics import LocalMetrics, Metrics

CHECK_PERIOD_MS = 100
REPORT_PERIOD_MS = 1_000
MIN_BODIES_COUNT = 4  # of the largest size, that all connections may hold
DESCRIPTOR_FOLDER = "/proc/self/fd"


class Listener(NamedTuple):
    """What a listener is called in logs, its limits, and what it needs to hold them.

    `find_api_key` returns the API key from a function that looks up headers.
    """

    name: str = "http"
    limits: ListenerLimits = ListenerLimits()
    find_api_key: Callable = lambda headers: ""
    metrics: Metrics = LocalMetrics()
    clock: Clock = create_clock()


class ListenerConfiguration(NamedTuple):
    """Message to a listener: the configured size of a body, and the API keys known."""

    max_body_bytes: int
    api_keys: frozenset[str]


class ConnectionGuard:
    """The connections of a listener, the memory they hold, and what was closed.

    Only the server's thread uses it; other threads `tell` it messages.
    """

    def __init__(self, listener, logger):
        self._listener = listener
        self._logger = logger
        self._limits = listener.limits
        self._inbox = queue.SimpleQueue()
        self._api_keys = frozenset()
        self._channels = {}
        self._connection_limit = self._limits.max_connections
        self._held_bytes = 0
        self._next_check_ms = 0
        self._next_report_ms = 0
        self._unreported = Counter()

    @property
    def limits(self):
        """The limits in force."""
        return self._limits

    @property
    def clock(self):
        """The clock that connections are timed by."""
        return self._listener.clock

    def tell(self, message):
        """Pass a `ListenerConfiguration` to the server's thread."""
        self._inbox.put(message)

    def add(self, channel):
        """Take in an accepted connection; close others for it if there are too many."""
        self._channels[channel.number] = channel
        self._held_bytes += channel.held_bytes
        while len(self._channels) > self._connection_limit:
            if not self._close_one(choose_for_room, "connections"):
                return

    def remove(self, channel):
        """Forget a closed connection."""
        if self._channels.pop(channel.number, None) is not None:
            self._held_bytes -= channel.held_bytes

    def close_for_descriptor(self):
        """Close a connection, as no descriptor is left; return whether one was."""
        return self._close_one(choose_for_room, "descriptors")

    def is_known_key(self, find_header):
        """Return whether a request has the API key of an organisation."""
        return self._listener.find_api_key(find_header) in self._api_keys

    def update_held(self, channel, held_bytes):
        """Note what a connection holds, and close some if that is too much."""
        if channel.number not in self._channels:
            return
        self._held_bytes += held_bytes - channel.held_bytes
        channel.held_bytes = held_bytes
        limits = self._limits
        if held_bytes > max(limits.max_connection_bytes, 2 * limits.max_body_bytes):
            if not channel.state().serving and not channel.state().unread:
                self._close(channel, "connection_memory")
        while self._held_bytes > limits.max_memory_bytes:
            if not self._close_one(choose_for_memory, "memory"):
                return

    def keep_limits(self):
        """Take in messages, close what is overdue, and report; called every round."""
        now_ms = self.clock.now_ms()
        if now_ms < self._next_check_ms:
            return
        self._next_check_ms = now_ms + CHECK_PERIOD_MS
        while not self._inbox.empty():
            self._configure(self._inbox.get())
        for channel in list(self._channels.values()):
            channel.check_time(now_ms)
        self._check_room()
        if now_ms >= self._next_report_ms:
            self._next_report_ms = now_ms + REPORT_PERIOD_MS
            self._report()

    def _configure(self, message):
        body_bytes = message.max_body_bytes
        self._limits = self._limits._replace(
            max_body_bytes=body_bytes,
            max_memory_bytes=max(
                self._listener.limits.max_memory_bytes,
                MIN_BODIES_COUNT * body_bytes,
            ),
        )
        self._api_keys = message.api_keys

    def _check_room(self):
        limits = self._limits
        if limits.max_descriptors:
            others = _count_descriptors() - len(self._channels)
            self._connection_limit = find_connection_limit(limits, others)
        if is_short(
            limits, self._connection_limit, len(self._channels), self._held_bytes
        ):
            for number in find_overdue(limits, self._states()):
                self._close(self._channels[number], "overdue")

    def _states(self):
        return [channel.state() for channel in self._channels.values()]

    def _close_one(self, choose, cause):
        number = choose(self._limits, self._states())
        if number is None:
            return False
        self._close(self._channels[number], cause)
        return True

    def _close(self, channel, cause):
        self.count(f"closed.{cause}")
        channel.close_for_limits()

    def count(self, cause):
        """Count a connection that was closed, or a request refused, by its cause."""
        self._listener.metrics.count(f"connections.{self._listener.name}.{cause}")
        self._unreported[cause] += 1

    def _report(self):
        """Log a line for each cause, with what the decisions were based on."""
        for cause, count in self._unreported.items():
            self._logger.warning(
                "connections limited",
                extra={
                    "listener": self._listener.name,
                    "cause": cause,
                    "count": count,
                    "period_ms": REPORT_PERIOD_MS,
                    "connections": len(self._channels),
                    "max_connections": self._connection_limit,
                    "held_bytes": self._held_bytes,
                    "max_held_bytes": self._limits.max_memory_bytes,
                },
            )
        self._unreported.clear()


def _count_descriptors():
    """Return how many descriptors the process has open; 0 if the system can't say."""
    try:
        return len(os.listdir(DESCRIPTOR_FOLDER))
    except OSError:
        return 0
