"""Actors that poll the platform's configuration and its list of workers."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.messages import Tick
from knapweedshed.controllers.work_messages import (
    EvacuationsRead,
    ServiceConfigurationUpdated,
    SetWorkerPolling,
    WorkersListed,
)
from knapweedshed.models.outcomes import FAILURE_TYPES

CONFIGURATION_WAIT_MS = 1_000  # short, so that a dead connection is noticed soon
CONFIGURATION_RETRY_DELAY_MS = 250
# In parts of the time limit of an evacuation. Work starts by evacuations that were read
# in the last half of it, and a read sent after another one ends two waits after that.
EVACUATION_WAIT_DIVISOR = 10
MIN_EVACUATION_WAIT_MS = 50
WORKER_LIST_PERIOD_MS = 300  # a leaving worker must be noticed within 2 s


class ConfigurationFeedLink(Actor):
    """Polls the configuration continuously and sends new versions to its receivers.

    `evacuation_receiver`, if any, is told the evacuated data centres after each read.
    """

    def __init__(
        self,
        context,
        feed,
        timer,
        receivers,
        evacuation_receiver=None,
        wait_ms=CONFIGURATION_WAIT_MS,
    ):
        super().__init__(context)
        self._feed = feed
        self._timer = timer
        self._receivers = receivers
        self._evacuation_receiver = evacuation_receiver
        self._wait_ms = wait_ms
        self._unreachable = False

    def on_start(self):
        """Start polling."""
        self.actor_ref.tell(Tick())

    def on_stop(self):
        """Close the connection."""
        self._feed.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def poll(self, message: Tick):
        """Wait once for a newer configuration and pass it on."""
        sent_ms = self._context.clock.now_ms()
        result = self._feed.read(self._wait_ms)
        if isinstance(result, FAILURE_TYPES):
            self._report_unreachable(result.reason)
            self._timer.after(CONFIGURATION_RETRY_DELAY_MS, self.actor_ref, Tick())
            return
        if self._unreachable:
            self._unreachable = False
            self._context.logger.info("configuration reachable again")
        if self._evacuation_receiver is not None:
            names = self._feed.evacuated_data_centres
            tell(self._evacuation_receiver, EvacuationsRead(names, sent_ms))
        if result is not None:
            self._context.logger.info(
                "configuration in force", extra={"version": result.version}
            )
            for receiver in self._receivers:
                tell(receiver, ServiceConfigurationUpdated(result))
        self.actor_ref.tell(Tick())

    def recover(self, message):
        """Poll again later."""
        self._timer.after(CONFIGURATION_RETRY_DELAY_MS, self.actor_ref, Tick())

    def _report_unreachable(self, reason):
        if not self._unreachable:
            self._unreachable = True
            self._context.logger.warning(
                "configuration unreachable", extra={"reason": reason}
            )


class WorkerFeedLink(Actor):
    """Polls the list of workers while polling is enabled."""

    def __init__(self, context, feed, timer, receiver):
        super().__init__(context)
        self._feed = feed
        self._timer = timer
        self._receiver = receiver
        self._polling_enabled = False
        self._poll_scheduled = False

    def on_stop(self):
        """Close the connection."""
        self._feed.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def set_polling(self, message: SetWorkerPolling):
        """Enable polling, or disable it after the current read."""
        self._polling_enabled = message.enabled
        if self._polling_enabled and not self._poll_scheduled:
            self._poll_scheduled = True
            self.actor_ref.tell(Tick())

    @receive.register
    def poll(self, message: Tick):
        """Read the list once and schedule the next read."""
        if not self._polling_enabled:
            self._poll_scheduled = False
            return
        entries = self._feed.read()
        if isinstance(entries, FAILURE_TYPES):
            self._context.metrics.count("worker_list.failures")
        else:
            tell(self._receiver, WorkersListed(entries))
        self._timer.after(WORKER_LIST_PERIOD_MS, self.actor_ref, Tick())

    def recover(self, message):
        """Read the list again later."""
        if self._poll_scheduled:
            self._timer.after(WORKER_LIST_PERIOD_MS, self.actor_ref, Tick())


def configuration_wait_ms(evacuation_ms):
    """Return how long a read of the configuration may wait for a change.

    `evacuation_ms` is the time limit of an evacuation, or 0 without evacuations.
    """
    if not evacuation_ms:
        return CONFIGURATION_WAIT_MS
    wait_ms = max(MIN_EVACUATION_WAIT_MS, evacuation_ms // EVACUATION_WAIT_DIVISOR)
    return min(CONFIGURATION_WAIT_MS, wait_ms)
