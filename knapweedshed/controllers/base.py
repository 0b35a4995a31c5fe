"""Base class of the controllers: an actor whose state can be dumped on request."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor
from knapweedshed.controllers.messages import DumpState


class Controller(Actor):
    """An actor that owns one piece of state and answers `DumpState` with `dump()`."""

    @singledispatchmethod
    def receive(self, message):
        """Answer `DumpState`; log and drop messages without a registered handler."""
        if isinstance(message, DumpState):
            message.reply.set(self.dump())
            return
        super().receive(message)
