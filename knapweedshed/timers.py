"""The timer of a process, which sends messages to actors at given times."""

import heapq
import itertools
import queue
import threading
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.clock import MS_PER_SECOND


class _ScheduledMessage(NamedTuple):
    due_ms: int
    sequence: int
    period_ms: int
    receiver: Any
    message: Any


class Timer:
    """Sends messages when they are due, from one thread that sleeps in between."""

    def __init__(self, clock):
        self._clock = clock
        self._inbox = queue.Queue()
        self._sequence = itertools.count()
        self._thread = threading.Thread(target=self._run, name="timer", daemon=True)

    def start(self):
        """Start the timer's thread."""
        self._thread.start()

    def close(self):
        """Stop the thread and drop pending messages."""
        self._inbox.put(None)
        self._thread.join()

    def after(self, delay_ms, receiver, message):
        """Send `message` to `receiver` once, `delay_ms` from now."""
        self._schedule(delay_ms, 0, receiver, message)

    def every(self, period_ms, receiver, message):
        """Send `message` to `receiver` every `period_ms`."""
        self._schedule(period_ms, period_ms, receiver, message)

    def _schedule(self, delay_ms, period_ms, receiver, message):
        due_ms = self._clock.now_ms() + delay_ms
        scheduled = _ScheduledMessage(
            due_ms, next(self._sequence), period_ms, receiver, message
        )
        self._inbox.put(scheduled)

    def _run(self):
        pending = []
        while self._receive_next(pending):
            self._send_due(pending)

    def _receive_next(self, pending):
        try:
            scheduled = self._inbox.get(timeout=self._wait_s(pending))
        except queue.Empty:
            return True
        if scheduled is None:
            return False
        heapq.heappush(pending, scheduled)
        return True

    def _wait_s(self, pending):
        if not pending:
            return None
        return max(0, pending[0].due_ms - self._clock.now_ms()) / MS_PER_SECOND

    def _send_due(self, pending):
        now_ms = self._clock.now_ms()
        while pending and pending[0].due_ms <= now_ms:
            scheduled = heapq.heappop(pending)
            tell(scheduled.receiver, scheduled.message)
            if scheduled.period_ms:
                due_ms = now_ms + scheduled.period_ms
                repeated = scheduled._replace(
                    due_ms=due_ms, sequence=next(self._sequence)
                )
                heapq.heappush(pending, repeated)
