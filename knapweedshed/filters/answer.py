"""Lets only whole answers out, each to the request that it belongs to."""

from knapweedshed.decisions.answers import is_intact
from knapweedshed.filters.base import Filter
from knapweedshed.results import ResultCode


class AnswerFilter(Filter):
    """Compares an answer with the length and digest that its holder gave."""

    def __init__(self, metrics):
        self._metrics = metrics

    def leave(self, request, reply):
        """Turn a cut or swapped answer into a missing one."""
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
