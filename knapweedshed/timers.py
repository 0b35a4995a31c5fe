"""One timer task a process: timers are messages to actors."""

import heapq
import itertools
import queue
import threading
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.clock import MS_PER_SECOND


class _Entry(NamedTuple):
    due_ms: int
    order: int
    period_ms: int
    receiver: Any
    message: Any


class Timer:
    """Sends messages when they are due; owns one thread, which sleeps between."""

    def __init__(self, clock):
        self._clock = clock
        self._inbox = queue.Queue()
        self._order = itertools.count()
        self._thread = threading.Thread(target=self._run, name="timer", daemon=True)

    def start(self):
        """Start the timer's thread."""
        self._thread.start()

    def close(self):
        """Stop the thread and drop what is pending."""
        self._inbox.put(None)
        self._thread.join()

    def after(self, delay_ms, receiver, message):
        """Tell `receiver` the message once, `delay_ms` from now."""
        self._add(delay_ms, 0, receiver, message)

    def every(self, period_ms, receiver, message):
        """Tell `receiver` the message every `period_ms`."""
        self._add(period_ms, period_ms, receiver, message)

    def _add(self, delay_ms, period_ms, receiver, message):
        due_ms = self._clock.now_ms() + delay_ms
        entry = _Entry(due_ms, next(self._order), period_ms, receiver, message)
        self._inbox.put(entry)

    def _run(self):
        pending = []
        while self._take(pending):
            self._fire(pending)

    def _take(self, pending):
        try:
            entry = self._inbox.get(timeout=self._sleep_seconds(pending))
        except queue.Empty:
            return True
        if entry is None:
            return False
        heapq.heappush(pending, entry)
        return True

    def _sleep_seconds(self, pending):
        if not pending:
            return None
        return max(0, pending[0].due_ms - self._clock.now_ms()) / MS_PER_SECOND

    def _fire(self, pending):
        now_ms = self._clock.now_ms()
        while pending and pending[0].due_ms <= now_ms:
            entry = heapq.heappop(pending)
            tell(entry.receiver, entry.message)
            if entry.period_ms:
                due_ms = now_ms + entry.period_ms
                again = entry._replace(due_ms=due_ms, order=next(self._order))
                heapq.heappush(pending, again)
