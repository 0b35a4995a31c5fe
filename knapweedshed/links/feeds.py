"""Links to what the platform publishes: configuration, and the list of workers."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.messages import Tick
from knapweedshed.controllers.work_messages import (
    ConfigurationInForce,
    FollowWorkers,
    WorkersListed,
)
from knapweedshed.models.outcomes import FAILURE_TYPES

CONFIGURATION_WAIT_MS = 1_000  # a silent connection is noticed soon after
CONFIGURATION_RETRY_MS = 250
WORKERS_PERIOD_MS = 300  # well under the 2 s in which a leaving worker is known


class ConfigurationFeedLink(Actor):
    """Follows the configuration, forever, and tells its receivers."""

    def __init__(self, context, feed, timer, receivers):
        super().__init__(context)
        self._feed = feed
        self._timer = timer
        self._receivers = receivers
        self._failed = False

    def on_start(self):
        """Begin to follow."""
        self.actor_ref.tell(Tick())

    def on_stop(self):
        """Close the connection."""
        self._feed.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def follow(self, message: Tick):
        """Wait once for something newer."""
        found = self._feed.read(CONFIGURATION_WAIT_MS)
        if isinstance(found, FAILURE_TYPES):
            self._lost(found.reason)
            self._timer.after(CONFIGURATION_RETRY_MS, self.actor_ref, Tick())
            return
        if self._failed:
            self._failed = False
            self._context.logger.info("configuration reachable again")
        if found is not None:
            self._context.logger.info(
                "configuration in force", extra={"version": found.version}
            )
            for receiver in self._receivers:
                tell(receiver, ConfigurationInForce(found))
        self.actor_ref.tell(Tick())

    def _lost(self, reason):
        if not self._failed:
            self._failed = True
            self._context.logger.warning(
                "configuration unreachable", extra={"reason": reason}
            )


class WorkerFeedLink(Actor):
    """Reads the list of workers again and again while it is asked to follow it."""

    def __init__(self, context, feed, timer, receiver):
        super().__init__(context)
        self._feed = feed
        self._timer = timer
        self._receiver = receiver
        self._following = False
        self._reading = False

    def on_stop(self):
        """Close the connection."""
        self._feed.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def follow(self, message: FollowWorkers):
        """Begin to follow, or leave off after the read in hand."""
        self._following = message.following
        if self._following and not self._reading:
            self._reading = True
            self.actor_ref.tell(Tick())

    @receive.register
    def tick(self, message: Tick):
        """Read the list once, and again after a while."""
        if not self._following:
            self._reading = False
            return
        entries = self._feed.read()
        if isinstance(entries, FAILURE_TYPES):
            self._context.metrics.count("worker_list.failures")
        else:
            tell(self._receiver, WorkersListed(entries))
        self._timer.after(WORKERS_PERIOD_MS, self.actor_ref, Tick())
