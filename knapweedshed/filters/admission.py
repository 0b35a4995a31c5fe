"""Rejects requests that are too large or malformed, or arrive during shutdown."""

from knapweedshed.decisions.operator_entries import MOST_MEMBERS
from knapweedshed.filters.base import Filter, reply_with_result
from knapweedshed.models.configuration import ServiceKind
from knapweedshed.results import Result, ResultCode

MAX_BODY_BYTES = 64 * 1024 * 1024


class AdmissionFilter(Filter):
    """Checks the size of a request and its number of gang members."""

    def __init__(self, is_leaving):
        """`is_leaving` returns whether this process has begun a graceful shutdown."""
        self._is_leaving = is_leaving

    def enter(self, request):
        """Return the request, or a `Reply` that rejects it."""
        result = self._check(request)
        return request if result is None else reply_with_result(request, result)

    def _check(self, request):
        if self._is_leaving():
            return Result(ResultCode.LEAVING, "this entry is about to stop")
        if len(request.body) > MAX_BODY_BYTES:
            reason = f"the body is larger than {MAX_BODY_BYTES} bytes"
            return Result(ResultCode.BODY_TOO_LARGE, reason)
        if request.members == 0:
            return None
        if request.service.kind == ServiceKind.RUNNER:
            return Result(ResultCode.BAD_REQUEST, "short work has no members")
        if not 1 <= request.members <= MOST_MEMBERS:
            reason = f"members must be from 1 to {MOST_MEMBERS}"
            return Result(ResultCode.BAD_REQUEST, reason)
        return None
