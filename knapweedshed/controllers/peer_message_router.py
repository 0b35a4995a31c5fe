"""Routes messages from other processes to the controllers that handle them."""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import PeerConnected, PeerLost, PeerReceived


class PeerMessageRouter(Controller):
    """Routes `PeerReceived` by the type of its message; owns no other state.

    `routes` maps message types to tuples of actors; `connection_receivers` are the
    actors that are told when a connection is established or lost.
    """

    def __init__(self, context, routes, connection_receivers):
        super().__init__(context)
        self._routes = routes
        self._connection_receivers = connection_receivers

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def route_message(self, message: PeerReceived):
        """Forward a message to the actors of its type's route."""
        for receiver in self._routes.get(type(message.message), ()):
            tell(receiver, message)

    @receive.register
    def announce_connection(self, message: PeerConnected):
        """Forward the message about a new connection to `connection_receivers`."""
        for receiver in self._connection_receivers:
            tell(receiver, message)

    @receive.register
    def announce_disconnection(self, message: PeerLost):
        """Forward the message about a lost connection to `connection_receivers`."""
        for receiver in self._connection_receivers:
            tell(receiver, message)
