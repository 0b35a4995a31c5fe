"""Links that read whole answers from the workers that hold them."""

from functools import singledispatchmethod

from knapweedshed.actors import Actor
from knapweedshed.controllers.entry_messages import FetchAnswer
from knapweedshed.decisions.answers import is_intact
from knapweedshed.models.outcomes import AnswerPart, NoAnswer, Refused

MOST_TRIES = 3


class AnswersLink(Actor):
    """Reads an answer, and checks that it is whole before anyone sees it."""

    def __init__(self, context, platform):
        super().__init__(context)
        self._platform = platform

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def fetch(self, message: FetchAnswer):
        """Read an answer; a cut or swapped one is read again."""
        message.reply.set(self._fetch(message.location))

    def _fetch(self, location):
        worker = self._platform.worker(location.address)
        outcome = NoAnswer("not tried")
        try:
            for _ in range(MOST_TRIES):
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
