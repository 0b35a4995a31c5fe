"""The filter chain: in through every filter, and out through those entered."""

from knapweedshed.filters.base import Again
from knapweedshed.models.requests import Reply


class FilterChain:
    """An ordered list of filters; `reply_type` tells a reply from a request."""

    def __init__(self, filters, reply_type=Reply):
        self._filters = tuple(filters)
        self._reply_type = reply_type

    def enter(self, request):
        """Return the request as the last filter left it, or the `Reply` that ended it.

        A reply from a filter goes out through the filters before it.
        """
        for index, item in enumerate(self._filters):
            outcome = item.enter(request)
            if isinstance(outcome, self._reply_type):
                return self._out(request, outcome, index)
            request = outcome
        return request

    def leave(self, request, reply):
        """Return the reply for the caller, or `Again` with the request to send."""
        return self._out(request, reply, len(self._filters))

    def _out(self, request, reply, count):
        for item in reversed(self._filters[:count]):
            reply = item.leave(request, reply)
            if isinstance(reply, Again):
                return reply
        return reply
