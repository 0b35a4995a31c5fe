"""Owns the filter chain of calls about whole jobs, and the calls in hand."""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.work_messages import (
    CallAnswered,
    CallPassed,
    CallReceived,
    ConfigurationInForce,
)
from knapweedshed.filters.chain import FilterChain
from knapweedshed.filters.work_calls import (
    ApiKeyFilter,
    CallLogFilter,
    JobValidationFilter,
    QueueFilter,
)
from knapweedshed.models.calls import WorkReply
from knapweedshed.models.service_configuration import ServiceConfiguration


class CallsController(Controller):
    """Takes calls in through the chain, passes them on, and answers back through it."""

    def __init__(self, context, jobs):
        super().__init__(context)
        self._jobs = jobs
        self._configuration = ServiceConfiguration()
        self._in_hand = {}
        self._chain = FilterChain(
            (
                CallLogFilter(context.clock, context.logger, context.metrics),
                QueueFilter(self._in_force),
                ApiKeyFilter(self._in_force),
                JobValidationFilter(self._in_force),
            ),
            WorkReply,
        )

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def configure(self, message: ConfigurationInForce):
        """Take a newer configuration; an older one changes nothing."""
        if message.configuration.version > self._configuration.version:
            self._configuration = message.configuration

    @receive.register
    def call(self, message: CallReceived):
        """Send a call in through the chain."""
        outcome = self._chain.enter(message.call)
        if isinstance(outcome, WorkReply):
            message.reply.set(outcome)
            return
        self._in_hand[outcome.call_id] = (outcome, message.reply)
        tell(self._jobs, CallPassed(outcome))

    @receive.register
    def answered(self, message: CallAnswered):
        """Send a reply back through the chain."""
        call, reply = self._in_hand.pop(message.call_id, (None, None))
        if call is not None:
            reply.set(self._chain.leave(call, message.reply))

    def dump(self):
        """Return the configuration's version and the calls in hand."""
        return {
            "version": self._configuration.version,
            "in_hand": len(self._in_hand),
        }

    def _in_force(self):
        return self._configuration
