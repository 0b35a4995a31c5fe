"""Passes what comes from other processes to the controllers that take it."""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import PeerConnected, PeerLost, PeerReceived


class Switchboard(Controller):
    """Routes `PeerReceived` by the type of its message; owns no other state.

    `routes` maps message types to actors; `listeners` hear of connections.
    """

    def __init__(self, context, routes, listeners):
        super().__init__(context)
        self._routes = routes
        self._listeners = listeners

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def received(self, message: PeerReceived):
        """Pass a message on."""
        for receiver in self._routes.get(type(message.message), ()):
            tell(receiver, message)

    @receive.register
    def connected(self, message: PeerConnected):
        """Tell the listeners of a new connection."""
        for listener in self._listeners:
            tell(listener, message)

    @receive.register
    def lost(self, message: PeerLost):
        """Tell the listeners of a lost connection."""
        for listener in self._listeners:
            tell(listener, message)
