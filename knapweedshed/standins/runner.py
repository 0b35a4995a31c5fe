"""The stand-in runner: slots for short work; it refuses when they are full."""

import threading
from typing import NamedTuple

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.digests import digest_of
from knapweedshed.standins import tasks


class RunnerReply(NamedTuple):
    """What a runner says of a call."""

    refused: str
    body: bytes = b""
    digest: str = ""
    in_flight: int = 0


class RunnerStandin:
    """Counts its slots; a call is run by the thread that brings it."""

    def __init__(self, name, slots, speed):
        self._name = name
        self._slots = slots
        self._speed = speed
        self._in_flight = 0
        self._lock = threading.Lock()
        self._sleeper = threading.Event()
        self._fail_all = False

    @property
    def slots(self):
        """How many calls may run at once."""
        return self._slots

    def fail_everything(self, on):
        """Make every call fail, or stop doing so."""
        self._fail_all = on

    def call(self, program, body):
        """Run one call; returns a `RunnerReply`, raises tasks.TaskError."""
        with self._lock:
            if self._in_flight >= self._slots:
                return RunnerReply("all slots are taken", in_flight=self._in_flight)
            self._in_flight += 1
        try:
            if self._fail_all:
                raise RuntimeError("the runner fails everything")
            wait_ms = tasks.run_ms_of(body) / self._speed
            self._sleeper.wait(wait_ms / MS_PER_SECOND)
            answer = tasks.run_program(program, body)
        finally:
            with self._lock:
                self._in_flight -= 1
        return RunnerReply("", answer, digest_of(answer), self._in_flight)
