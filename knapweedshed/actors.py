"""The base class of actors, and functions that send messages to them and stop them.

An actor handles its messages one at a time in its own thread.
"""

from functools import singledispatchmethod

import pykka

STOP_TIMEOUT_MS = 5_000


class Actor(pykka.ThreadingActor):
    """An actor that dispatches each message to `receive` by the message's type.

    An exception while handling a message is logged and counted; the actor continues
    with the next message.
    """

    use_daemon_thread = True

    def __init__(self, context):
        super().__init__()
        self._context = context

    def on_receive(self, message):
        """Pass the message to the method registered for its type."""
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
            self.recover(message)
            return None

    def recover(self, message):
        """Go on after an error in handling `message`; for actors that drive themselves.

        An actor whose handler sends the message that keeps it going sends it here too.
        """

    @singledispatchmethod
    def receive(self, message):
        """Drop a message of an unregistered type, with a warning."""
        self._context.logger.warning(
            "unexpected message",
            extra={
                "actor": type(self).__name__,
                "message_type": type(message).__name__,
            },
        )

    def dump(self):
        """Return plain values for the process's state dump."""
        return {}


def tell(ref, message):
    """Send `message`; does nothing if `ref` is None or has stopped."""
    if ref is None:
        return
    try:
        ref.tell(message)
    except pykka.ActorDeadError:
        return


def stop_all(refs):
    """Stop the actors one after another."""
    for ref in refs:
        stop(ref)


def stop(ref):
    """Stop an actor after its queued messages; waits up to `STOP_TIMEOUT_MS`."""
    if ref is None:
        return
    try:
        ref.stop(timeout=STOP_TIMEOUT_MS / 1_000)
    except (pykka.ActorDeadError, pykka.Timeout):
        return
