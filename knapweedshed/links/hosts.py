"""Actor that polls the platform's host list."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.messages import HostsListed, Tick
from knapweedshed.models.outcomes import FAILURE_TYPES

HOST_LIST_PERIOD_MS = 2_000
MAX_LOGGED_COUNT = 5


class HostsLink(Actor):
    """Reads the hosts of a role in this data centre on each tick."""

    def __init__(self, context, host_list, role, receiver):
        super().__init__(context)
        self._role = role
        self._host_list = host_list
        self._receiver = receiver
        self._unreadable = ()

    def on_stop(self):
        """Close the connection."""
        self._host_list.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def poll(self, message: Tick):
        """Read the list once and pass it on; count a failure.

        Entries that can't be used are logged when they change.
        """
        data_centre = self._context.settings.data_centre
        listing = self._host_list.hosts(data_centre, self._role)
        if isinstance(listing, FAILURE_TYPES):
            self._context.metrics.count("hosts.failures")
            return
        if listing.unreadable != self._unreadable:
            self._unreadable = listing.unreadable
            self._context.logger.warning(
                "host entries unreadable",
                extra={"reasons": listing.unreadable[:MAX_LOGGED_COUNT]},
            )
        tell(self._receiver, HostsListed(listing.hosts))
