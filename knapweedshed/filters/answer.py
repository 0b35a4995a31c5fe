"""Rejects answers that are incomplete or belong to another request."""

from knapweedshed.decisions.answers import is_intact
from knapweedshed.filters.base import Filter
from knapweedshed.results import ResultCode


class AnswerFilter(Filter):
    """Verifies each answer by the length and digest that its holder reported."""

    def __init__(self, metrics):
        self._metrics = metrics

    def leave(self, request, reply):
        """Replace an answer that fails verification by the result `ANSWER_LOST`."""
        location = reply.status.answer
        if reply.status.code != ResultCode.OK or location is None:
            return reply
        if is_intact(location, reply.body):
            return reply
        self._metrics.count("answers.cut")
        status = reply.status._replace(
            code=ResultCode.ANSWER_LOST,
            reason="the answer's length or digest doesn't match",
            answer=None,
        )
        return reply._replace(status=status, body=b"")
