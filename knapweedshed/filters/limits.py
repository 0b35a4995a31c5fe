"""Limits the concurrent short work of each organisation at this entry process."""

from collections import Counter

from knapweedshed.filters.base import Filter, reply_with_result
from knapweedshed.models.configuration import ServiceKind
from knapweedshed.results import Result, ResultCode


class LimitsFilter(Filter):
    """Counts the requests for short work in progress, by organisation."""

    def __init__(self):
        self._in_progress = Counter()

    def enter(self, request):
        """Count the request, or reject it if the limit is reached."""
        organisation = request.organisation
        if request.service.kind != ServiceKind.RUNNER:
            return request
        if self._in_progress[organisation.name] >= organisation.max_waiting:
            reason = f"{organisation.name!r} has {organisation.max_waiting} under way"
            return reply_with_result(request, Result(ResultCode.LIMIT_EXCEEDED, reason))
        self._in_progress[organisation.name] += 1
        return request

    def leave(self, request, reply):
        """Remove the request from the count."""
        if request.service.kind == ServiceKind.RUNNER:
            self._in_progress[request.organisation.name] -= 1
        return reply
