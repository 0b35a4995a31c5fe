"""Names a request by its key and content, alike at every entry."""

from knapweedshed.decisions.homes import homes_of, job_id_of
from knapweedshed.decisions.keys import check_key
from knapweedshed.digests import digest_of
from knapweedshed.filters.base import Filter, reply_with
from knapweedshed.models.configuration import ServiceKind

SHORT_HOME = "short"


class IdempotencyFilter(Filter):
    """Checks the key, and computes the job's home and id."""

    def __init__(self, clock):
        self._clock = clock

    def enter(self, request):
        """Add digest, home and job id."""
        service = request.service
        wall_ms = self._clock.wall_ms()
        refused = check_key(request.key, service.idempotent, wall_ms)
        if refused is not None:
            return reply_with(request, refused)
        key = request.key or request.request_id
        home = SHORT_HOME
        if service.kind == ServiceKind.WORKER:
            home = homes_of(request.organisation, key)[0]
        digest = digest_of(request.body)
        content = f"{digest}:{request.members}" if request.members else digest
        name = request.organisation.name
        job_id = job_id_of(home, name, service.name, key, content)
        return request._replace(key=key, digest=digest, home=home, job_id=job_id)
