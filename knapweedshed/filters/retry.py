"""Retries short idempotent work, within the time left and the budget."""

from knapweedshed.decisions.retries import RetryBudget, may_retry
from knapweedshed.filters.base import Again, Filter
from knapweedshed.results import ResultCode

RETRYABLE = (ResultCode.NO_RESPONSE, ResultCode.ANSWER_LOST)


class RetryFilter(Filter):
    """The only layer that retries; a runner that was tried is avoided."""

    def __init__(self, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._budget = RetryBudget()

    def enter(self, request):
        """Note a first attempt."""
        self._budget.record_first_attempt()
        return request

    def leave(self, request, reply):
        """Return the reply, or the request to send again."""
        if reply.status.code not in RETRYABLE:
            return reply
        if not may_retry(request, self._clock.now_ms()) or not self._budget.try_spend():
            return reply
        self._metrics.count("retries")
        tried = (*request.tried, reply.holder)
        return Again(request._replace(tried=tried, attempt=request.attempt + 1))
