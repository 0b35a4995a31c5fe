"""Chooses the data centre that a job is sent to."""

from knapweedshed.decisions.homes import homes_of, job_id_of
from knapweedshed.filters.base import Filter
from knapweedshed.models.configuration import ServiceKind


class RoutingFilter(Filter):
    """Sends idempotent jobs elsewhere while their home data centre is unreachable.

    Non-idempotent work has a single home and waits until it is reachable. Short work
    goes to runners and has no home.
    """

    def __init__(self, is_reachable):
        """`is_reachable` takes the name of a data centre.

        It returns whether the scheduler there or the log is reachable.
        """
        self._is_reachable = is_reachable

    def enter(self, request):
        """Keep the home, or change it to the next one that is reachable."""
        service = request.service
        if service.kind == ServiceKind.RUNNER or not service.idempotent:
            return request
        if self._is_reachable(request.home):
            return request
        for home in homes_of(request.organisation, request.idempotency_key):
            if self._is_reachable(home):
                return self._with_home(request, home)
        return request

    def _with_home(self, request, home):
        digest = request.digest
        content = f"{digest}:{request.members}" if request.members else digest
        job_id = job_id_of(
            home,
            request.organisation.name,
            request.service.name,
            request.idempotency_key,
            content,
        )
        return request._replace(home=home, job_id=job_id)
