"""The base of every controller: an actor whose state can be dumped on request."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor
from knapweedshed.controllers.messages import DumpAsked


class Controller(Actor):
    """Owns one state; answers `DumpAsked` with what `dump` returns."""

    @singledispatchmethod
    def receive(self, message):
        """Answer a dump; drop what nothing is registered for."""
        if isinstance(message, DumpAsked):
            message.reply.set(self.dump())
            return
        super().receive(message)
