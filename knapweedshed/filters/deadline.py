"""Sets the deadline of each request on this process's clock."""

from knapweedshed.filters.base import Filter

MAX_RUNNER_DEADLINE_MS = 30_000


class DeadlineFilter(Filter):
    """Converts the time left that a request states into a deadline."""

    def enter(self, request):
        """Set the deadline; without a time left, the service's limit applies later."""
        if request.time_left_ms <= 0:
            return request
        return request._replace(deadline_ms=request.received_ms + request.time_left_ms)
