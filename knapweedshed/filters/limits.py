"""Holds each organisation to its limit of requests under way at this entry."""

from collections import Counter

from knapweedshed.filters.base import Filter, reply_with
from knapweedshed.models.configuration import ServiceKind
from knapweedshed.results import Result, ResultCode


class LimitsFilter(Filter):
    """Counts short requests in on the way in, and out on the way out."""

    def __init__(self):
        self._under_way = Counter()

    def enter(self, request):
        """Count the request, or refuse it over the limit."""
        organisation = request.organisation
        if request.service.kind != ServiceKind.RUNNER:
            return request
        if self._under_way[organisation.name] >= organisation.max_waiting:
            reason = f"{organisation.name!r} has {organisation.max_waiting} under way"
            return reply_with(request, Result(ResultCode.LIMIT_EXCEEDED, reason))
        self._under_way[organisation.name] += 1
        return request

    def leave(self, request, reply):
        """Count the request out."""
        if request.service.kind == ServiceKind.RUNNER:
            self._under_way[request.organisation.name] -= 1
        return reply
