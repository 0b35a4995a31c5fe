"""The base of every controller: an actor whose state can be dumped on request."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor
from knapweedshed.controllers.messages import DumpState


class Controller(Actor):
    """Owns one state; answers `DumpState` with what `dump` returns."""

    @singledispatchmethod
    def receive(self, message):
        """Answer a dump; drop what nothing is registered for."""
        if isinstance(message, DumpState):
            message.reply.set(self.dump())
            return
        super().receive(message)
