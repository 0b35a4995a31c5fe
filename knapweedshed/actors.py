"""The base of every actor: typed dispatch, contained faults, bounded asks."""

from functools import singledispatchmethod

import pykka

ASK_TIMEOUT_MS = 5_000


class Actor(pykka.ThreadingActor):
    """An actor whose `receive` is dispatched on the message's type.

    A fault in one message is logged and counted; the actor goes on with the next.
    """

    use_daemon_thread = True

    def __init__(self, context):
        super().__init__()
        self._context = context

    def on_receive(self, message):
        """Hand the message to the method registered for its type."""
        try:
            return self.receive(message)
        except Exception:
            self._context.metrics.count("actor.faults")
            self._context.logger.exception(
                "message failed",
                extra={
                    "actor": type(self).__name__,
                    "message_type": type(message).__name__,
                },
            )
            return None

    @singledispatchmethod
    def receive(self, message):
        """Drop a message that nothing is registered for, and say so."""
        self._context.logger.warning(
            "unexpected message",
            extra={
                "actor": type(self).__name__,
                "message_type": type(message).__name__,
            },
        )

    def dump(self):
        """Return plain values for the state dump."""
        return {}


def tell(ref, message):
    """Send `message`; a receiver that has stopped is passed over."""
    if ref is None:
        return
    try:
        ref.tell(message)
    except pykka.ActorDeadError:
        return


def stop_all(refs):
    """Stop actors, one after the other."""
    for ref in refs:
        stop(ref)


def stop(ref):
    """Stop an actor and wait for its last message."""
    if ref is None:
        return
    try:
        ref.stop(timeout=ASK_TIMEOUT_MS / 1_000)
    except (pykka.ActorDeadError, pykka.Timeout):
        return
