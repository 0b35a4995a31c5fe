"""The filter chain: requests pass filters in order, replies in reverse order."""

from knapweedshed.filters.base import Resend
from knapweedshed.models.requests import Reply


class FilterChain:
    """An ordered list of filters; `reply_type` tells a reply from a request."""

    def __init__(self, filters, reply_type=Reply):
        self._filters = tuple(filters)
        self._reply_type = reply_type

    def enter(self, request):
        """Return the request from the last filter, or the reply that ended it.

        A reply from a filter passes the filters before it, in reverse order.
        """
        for index, filter_step in enumerate(self._filters):
            outcome = filter_step.enter(request)
            if isinstance(outcome, self._reply_type):
                return self._pass_back(request, outcome, index)
            request = outcome
        return request

    def leave(self, request, reply):
        """Return the reply for the caller, or `Resend` with the request to send."""
        return self._pass_back(request, reply, len(self._filters))

    def _pass_back(self, request, reply, count):
        for filter_step in reversed(self._filters[:count]):
            reply = filter_step.leave(request, reply)
            if isinstance(reply, Resend):
                return reply
        return reply
