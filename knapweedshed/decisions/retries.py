"""Retry budget: retries happen in a single layer, in proportion to the load."""

RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_RETRY_BALANCE = 10.0  # in retries
MAX_ATTEMPTS = 3  # of one request, with the first


class RetryBudget:
    """Each first attempt earns a fraction of a retry; each retry spends a whole one.

    Retries therefore add at most the fraction `RETRIES_PER_FIRST_ATTEMPT` to the load,
    beyond a small balance that allows isolated failures to be retried when the load is
    low.
    """

    def __init__(
        self,
        retries_per_first_attempt=RETRIES_PER_FIRST_ATTEMPT,
        max_balance=MAX_RETRY_BALANCE,
    ):
        self._retries_per_first_attempt = retries_per_first_attempt
        self._max_balance = max_balance
        self._balance = max_balance

    def record_first_attempt(self):
        """Add the earnings of a first attempt to the balance."""
        self._balance = min(
            self._max_balance, self._balance + self._retries_per_first_attempt
        )

    def try_spend(self):
        """Spend one retry if the balance allows it; return whether it did."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def may_retry(request, now_ms):
    """Return whether a request has attempts left and its deadline has not passed."""
    return request.attempt + 1 < MAX_ATTEMPTS and now_ms < request.deadline_ms
