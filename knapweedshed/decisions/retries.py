"""How many retries the load allows: one layer retries, within a budget."""

RETRY_SHARE = 0.1
LARGEST_BALANCE = 10.0
MOST_ATTEMPTS = 3


class RetryBudget:
    """Each first attempt earns a share of a retry; each retry spends one.

    So retries add at most `RETRY_SHARE` to the load, beyond a small balance that lets
    single failures be retried when it is quiet.
    """

    def __init__(self, share=RETRY_SHARE, largest=LARGEST_BALANCE):
        self._share = share
        self._largest = largest
        self._balance = largest

    def earned(self):
        """Note a first attempt."""
        self._balance = min(self._largest, self._balance + self._share)

    def spend(self):
        """Return whether a retry is allowed, and spend it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def may_retry(request, now_ms):
    """Return whether attempts and time are left for a request."""
    return request.attempt + 1 < MOST_ATTEMPTS and now_ms < request.deadline_ms
