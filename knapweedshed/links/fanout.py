"""Forwards messages to several receivers, so that one reader serves them all."""

from knapweedshed.actors import Actor, tell


class Fanout(Actor):
    """Forwards every message it receives to all its receivers."""

    def __init__(self, context, receivers):
        super().__init__(context)
        self._receivers = receivers

    def receive(self, message):
        """Forward a message to every receiver."""
        for receiver in self._receivers:
            tell(receiver, message)
