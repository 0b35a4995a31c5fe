"""Looks up the organisation and service that a request names."""

from knapweedshed.filters.base import Filter, reply_with_result
from knapweedshed.filters.deadline import MAX_RUNNER_DEADLINE_MS
from knapweedshed.models.configuration import ServiceKind
from knapweedshed.results import Result, ResultCode


class OrganisationFilter(Filter):
    """Looks both up in the configuration in force."""

    def __init__(self, get_configuration):
        """`get_configuration` returns the `Configuration` in force."""
        self._get_configuration = get_configuration

    def enter(self, request):
        """Set the organisation, the service and, if it is missing, the deadline."""
        configuration = self._get_configuration()
        if configuration.offset < 0:
            result = Result(ResultCode.NOT_READY, "no configuration is in force here")
            return reply_with_result(request, result)
        organisation = configuration.organisation(request.organisation_name)
        if organisation is None:
            reason = f"organisation {request.organisation_name!r} is not known"
            return reply_with_result(
                request, Result(ResultCode.UNKNOWN_ORGANISATION, reason)
            )
        service = organisation.service(request.service_name)
        if service is None:
            reason = f"{organisation.name!r} has no service {request.service_name!r}"
            return reply_with_result(
                request, Result(ResultCode.UNKNOWN_SERVICE, reason)
            )
        return request._replace(
            organisation=organisation,
            service=service,
            deadline_ms=request.deadline_ms or _deadline_ms(request, service),
        )


def _deadline_ms(request, service):
    limit_ms = service.deadline_ms
    if service.kind == ServiceKind.RUNNER:
        limit_ms = min(limit_ms, MAX_RUNNER_DEADLINE_MS)
    return request.received_ms + limit_ms
