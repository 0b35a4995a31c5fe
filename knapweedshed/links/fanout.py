"""Passes each message on to several receivers, so that one reader serves them all."""

from knapweedshed.actors import Actor, tell


class Fanout(Actor):
    """Has no state but its receivers."""

    def __init__(self, context, receivers):
        super().__init__(context)
        self._receivers = receivers

    def receive(self, message):
        """Tell every receiver."""
        for receiver in self._receivers:
            tell(receiver, message)
