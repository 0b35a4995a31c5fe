"""The base class of filters, which see each request and its reply."""

from abc import ABC
from typing import NamedTuple

from knapweedshed.models.jobs import JobState, JobStatus
from knapweedshed.models.requests import Reply, Request


class Resend(NamedTuple):
    """The request must be sent again."""

    request: Request


class Filter(ABC):  # noqa: B024 - both ways have a default
    """One step of the chain; owned and called by a single actor."""

    def enter(self, request):
        """Return the request, with or without changes, or the `Reply` that ends it."""
        return request

    def leave(self, request, reply):
        """Return the reply, changed or not, or `Resend`."""
        return reply


def reply_with_result(request, result):
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
