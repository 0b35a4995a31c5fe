"""What a filter is: it sees a request on the way in and its reply on the way out."""

from abc import ABC
from typing import NamedTuple

from knapweedshed.models.jobs import JobState, JobStatus
from knapweedshed.models.requests import Reply, Request


class Again(NamedTuple):
    """Send the request once more."""

    request: Request


class Filter(ABC):  # noqa: B024 - both ways have a default
    """One step of the chain; owned and called by one actor only."""

    def enter(self, request):
        """Return the request, with what was found out, or a `Reply` that ends it."""
        return request

    def leave(self, request, reply):
        """Return the reply, changed or not, or `Again`."""
        return reply


def reply_with(request, result):
    """Return a `Reply` that ends a request with `result`."""
    status = JobStatus(
        request.job_id,
        JobState.ENDED,
        result.code,
        result.reason,
        request.organisation_name,
        request.service_name,
    )
    return Reply(status)
