"""Gives every request a deadline on this process's clock."""

from knapweedshed.filters.base import Filter

SHORT_DEADLINE_MS = 30_000


class DeadlineFilter(Filter):
    """Turns the time left that came with the request into a deadline."""

    def enter(self, request):
        """Set the deadline; without one, the service's applies later."""
        if request.time_left_ms <= 0:
            return request
        return request._replace(deadline_ms=request.received_ms + request.time_left_ms)
