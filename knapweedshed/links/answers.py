"""Actors that read answers from the workers that hold them."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor
from knapweedshed.controllers.entry_messages import FetchAnswer
from knapweedshed.decisions.answers import is_intact
from knapweedshed.models.outcomes import AnswerPart, NoAnswer, Refused

MAX_READ_ATTEMPTS = 3


class AnswersLink(Actor):
    """Reads answers; checks length and digest before it passes them on."""

    def __init__(self, context, platform):
        super().__init__(context)
        self._platform = platform

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def fetch(self, message: FetchAnswer):
        """Read an answer; retry while its length or digest doesn't match."""
        message.reply.set(self._fetch(message.location))

    def _fetch(self, location):
        worker = self._platform.worker(location.address)
        outcome = NoAnswer("not tried")
        try:
            for _ in range(MAX_READ_ATTEMPTS):
                outcome = worker.answer(location.task, 0)
                if isinstance(outcome, Refused):
                    return outcome
                if isinstance(outcome, AnswerPart):
                    if is_intact(location, outcome.body):
                        return outcome.body
                    self._context.metrics.count("answers.cut")
                    outcome = NoAnswer("the answer came cut or swapped")
        finally:
            worker.close()
        return outcome
