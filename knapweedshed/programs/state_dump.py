"""Collects the state dump of a process from its actors."""

import pykka

from knapweedshed.actors import tell
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.controllers.messages import DumpState

DUMP_LIMIT_MS = 2_000


def ask(ref, build, limit_ms=DUMP_LIMIT_MS):
    """Tell `ref` what `build` makes around a reply; return the reply or None."""
    reply = pykka.ThreadingFuture()
    tell(ref, build(reply))
    try:
        return reply.get(timeout=limit_ms / MS_PER_SECOND)
    except pykka.Timeout:
        return None


def collect(context, refs):
    """Return the dumps of named actors, with the process's metrics."""
    state = {name: ask(ref, DumpState) for name, ref in refs.items()}
    state["process"] = context.process_id
    state["metrics"] = context.metrics.snapshot()
    return state
