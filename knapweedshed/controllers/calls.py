"""Controller of calls about jobs: runs the filter chain, tracks pending calls."""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.work_messages import (
    CallAdmitted,
    CallAnswered,
    CallReceived,
    ServiceConfigurationUpdated,
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
    """Passes calls to the jobs controller and replies back, through the filters."""

    def __init__(self, context, jobs):
        super().__init__(context)
        self._jobs = jobs
        self._configuration = ServiceConfiguration()
        self._pending_calls = {}
        self._chain = FilterChain(
            (
                CallLogFilter(context.clock, context.logger, context.metrics),
                QueueFilter(self._current_configuration),
                ApiKeyFilter(self._current_configuration),
                JobValidationFilter(self._current_configuration),
            ),
            WorkReply,
        )

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def update_configuration(self, message: ServiceConfigurationUpdated):
        """Replace the configuration if the one given is newer."""
        if message.configuration.version > self._configuration.version:
            self._configuration = message.configuration

    @receive.register
    def admit_call(self, message: CallReceived):
        """Pass a call through the filters; answer it if a filter refuses it."""
        outcome = self._chain.enter(message.call)
        if isinstance(outcome, WorkReply):
            message.reply.set(outcome)
            return
        self._pending_calls[outcome.call_id] = (outcome, message.reply)
        tell(self._jobs, CallAdmitted(outcome))

    @receive.register
    def answer_call(self, message: CallAnswered):
        """Pass a reply back through the filters, and give it to the caller."""
        call, reply = self._pending_calls.pop(message.call_id, (None, None))
        if call is not None:
            reply.set(self._chain.leave(call, message.reply))

    def dump(self):
        """Return the configuration's version and the number of pending calls."""
        return {
            "version": self._configuration.version,
            "in_hand": len(self._pending_calls),
        }

    def _current_configuration(self):
        return self._configuration
