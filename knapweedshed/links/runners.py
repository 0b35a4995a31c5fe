"""Actors that call runners; each has one call in progress at a time."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.entry_messages import RunnerCall, RunnerCallEnded
from knapweedshed.models.outcomes import NoAnswer


class RunnerLink(Actor):
    """Calls runners; keeps one connection to each runner it has called."""

    def __init__(self, context, platform):
        super().__init__(context)
        self._platform = platform
        self._clients = {}

    def on_stop(self):
        """Close the connections."""
        for client in self._clients.values():
            client.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def call(self, message: RunnerCall):
        """Call a runner and report the outcome and how long it took."""
        clock = self._context.clock
        client = self._clients.get(message.address)
        if client is None:
            client = self._platform.runner(message.address)
            self._clients[message.address] = client
        request = message.request
        attempt_id = f"{request.request_id}.{request.attempt}"
        started_ms = clock.now_ms()
        program = request.service.program
        outcome = client.call(attempt_id, program, request.body, message.timeout_ms)
        took_ms = clock.now_ms() - started_ms
        response = RunnerCallEnded(message, outcome, took_ms, self.actor_ref)
        tell(message.receiver, response)

    def recover(self, message):
        """Report a call that raised an error: its caller waits, and so does this actor.

        The runner may have run it.
        """
        if isinstance(message, RunnerCall):
            outcome = NoAnswer("the call raised an error")
            response = RunnerCallEnded(message, outcome, 0, self.actor_ref)
            tell(message.receiver, response)
