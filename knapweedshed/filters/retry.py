"""Retries short idempotent work within its deadline and a retry budget."""

from knapweedshed.decisions.retries import RetryBudget, may_retry
from knapweedshed.filters.base import Filter, Resend
from knapweedshed.results import ResultCode

RETRYABLE_CODES = (ResultCode.NO_RESPONSE, ResultCode.ANSWER_LOST)


class RetryFilter(Filter):
    """The only layer that retries; a retry avoids runners that were already tried."""

    def __init__(self, clock, metrics):
        self._clock = clock
        self._metrics = metrics
        self._budget = RetryBudget()

    def enter(self, request):
        """Credit the retry budget for a first attempt."""
        self._budget.record_first_attempt()
        return request

    def leave(self, request, reply):
        """Return the reply, or `Resend` with the request for the next attempt."""
        if reply.status.code not in RETRYABLE_CODES:
            return reply
        if not may_retry(request, self._clock.now_ms()) or not self._budget.try_spend():
            return reply
        self._metrics.count("retries")
        tried = (*request.tried_runners, reply.holder)
        return Resend(
            request._replace(tried_runners=tried, attempt=request.attempt + 1)
        )
