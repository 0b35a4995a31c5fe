"""The context of a process, passed to every object that needs its services."""

import logging
import random
import uuid
from typing import Any, NamedTuple

from knapweedshed.clock import Clock, create_clock
from knapweedshed.logs import create_silent_logger
from knapweedshed.metrics import LocalMetrics, Metrics


class Context(NamedTuple):
    """Clock, settings, logger, metrics and random source of one process."""

    clock: Clock
    settings: Any
    logger: logging.Logger
    metrics: Metrics
    random: random.Random
    process_id: str

    def new_id(self):
        """Return a random identifier of 32 hexadecimal digits."""
        return uuid.UUID(int=self.random.getrandbits(128)).hex


def create_context(settings, logger, metrics, process_id):
    """Return a context with the system clock and the system's random source."""
    return Context(
        create_clock(), settings, logger, metrics, random.SystemRandom(), process_id
    )


def create_test_context(settings=None, clock=None, seed=0):
    """Return a context with a silent logger and a seeded random source."""
    return Context(
        clock or create_clock(),
        settings,
        create_silent_logger(),
        LocalMetrics(),
        random.Random(seed),
        "test",
    )
