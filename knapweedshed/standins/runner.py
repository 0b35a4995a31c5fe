"""Stand-in for a runner: runs short work in slots, and refuses it if all are taken."""

import threading
from typing import NamedTuple

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.digests import digest_of
from knapweedshed.standins import tasks


class RunnerReply(NamedTuple):
    """Result of a call; `refused` has the reason if it was not run."""

    refused: str
    body: bytes = b""
    digest: str = ""
    in_flight: int = 0


class RunnerStandin:
    """Counts the slots in use; a call runs on the thread that makes it.

    `speed` divides the run time that an input sets.
    """

    def __init__(self, name, slots, speed):
        self._name = name
        self._slot_count = slots
        self._speed = speed
        self._in_flight = 0
        self._lock = threading.Lock()
        self._delay_event = threading.Event()
        self._fails_all_calls = False

    @property
    def slots(self):
        """Number of calls that may run concurrently."""
        return self._slot_count

    def set_fail_all(self, enabled):
        """Set or clear the fault that makes every call fail."""
        self._fails_all_calls = enabled

    def call(self, program, body):
        """Run one call and return a `RunnerReply`.

        Raises tasks.TaskError if the task fails, and RuntimeError if the fault is set.
        """
        with self._lock:
            if self._in_flight >= self._slot_count:
                return RunnerReply("all slots are taken", in_flight=self._in_flight)
            self._in_flight += 1
        try:
            if self._fails_all_calls:
                raise RuntimeError("the runner fails everything")
            wait_ms = tasks.parse_run_ms(body) / self._speed
            self._delay_event.wait(wait_ms / MS_PER_SECOND)
            answer = tasks.run_program(program, body)
        finally:
            with self._lock:
                self._in_flight -= 1
        return RunnerReply("", answer, digest_of(answer), self._in_flight)
