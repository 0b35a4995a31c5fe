"""Derives the job id from key and content, so that all entry processes agree on it."""

from knapweedshed.decisions.homes import homes_of, job_id_of
from knapweedshed.decisions.keys import check_key
from knapweedshed.digests import digest_of
from knapweedshed.filters.base import Filter, reply_with_result
from knapweedshed.models.configuration import ServiceKind

RUNNER_HOME = "short"


class IdempotencyFilter(Filter):
    """Checks the idempotency key, and computes the job's home and id."""

    def __init__(self, clock):
        self._clock = clock

    def enter(self, request):
        """Set key, digest, home and job id, or reject the key."""
        service = request.service
        wall_ms = self._clock.wall_ms()
        rejection = check_key(request.idempotency_key, service.idempotent, wall_ms)
        if rejection is not None:
            return reply_with_result(request, rejection)
        key = request.idempotency_key or request.request_id
        home = RUNNER_HOME
        if service.kind == ServiceKind.WORKER:
            home = homes_of(request.organisation, key)[0]
        digest = digest_of(request.body)
        content = f"{digest}:{request.members}" if request.members else digest
        name = request.organisation.name
        job_id = job_id_of(home, name, service.name, key, content)
        return request._replace(
            idempotency_key=key, digest=digest, home=home, job_id=job_id
        )
