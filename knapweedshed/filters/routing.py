"""Decides by which way a request goes: to a runner, or to its home data centre."""

from knapweedshed.decisions.homes import homes_of, job_id_of
from knapweedshed.filters.base import Filter
from knapweedshed.models.configuration import ServiceKind


class RoutingFilter(Filter):
    """Sends idempotent jobs elsewhere while their home can't be reached at all.

    Non-idempotent work has one home, and waits for it.
    """

    def __init__(self, is_reachable):
        """`is_reachable` tells whether a data centre's scheduler or the log is."""
        self._is_reachable = is_reachable

    def enter(self, request):
        """Keep the home, or take the next one that can be reached."""
        service = request.service
        if service.kind == ServiceKind.RUNNER or not service.idempotent:
            return request
        if self._is_reachable(request.home):
            return request
        for home in homes_of(request.organisation, request.key):
            if self._is_reachable(home):
                return self._moved(request, home)
        return request

    def _moved(self, request, home):
        digest = request.digest
        content = f"{digest}:{request.members}" if request.members else digest
        job_id = job_id_of(
            home,
            request.organisation.name,
            request.service.name,
            request.key,
            content,
        )
        return request._replace(home=home, job_id=job_id)
