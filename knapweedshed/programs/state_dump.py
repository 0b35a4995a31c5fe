"""Collects the state dump of a process from its actors."""

import pykka

from knapweedshed.actors import tell
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.controllers.messages import DumpState

REPLY_TIMEOUT_MS = 2_000


def ask_actor(actor, create_message, timeout_ms=REPLY_TIMEOUT_MS):
    """Send the message that `create_message(reply)` returns, and wait for the reply.

    Returns None if there is no reply within `timeout_ms` milliseconds.
    """
    reply = pykka.ThreadingFuture()
    tell(actor, create_message(reply))
    try:
        return reply.get(timeout=timeout_ms / MS_PER_SECOND)
    except pykka.Timeout:
        return None


def collect_state(context, actors):
    """Return the dumps of `actors` (a dict by name), the process id and the metrics."""
    state = {name: ask_actor(actor, DumpState) for name, actor in actors.items()}
    state["process"] = context.process_id
    state["metrics"] = context.metrics.snapshot()
    return state
