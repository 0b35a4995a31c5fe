"""How many short requests may wait: as many as are served while waiting is worth it."""

BUCKET_MS = 500
WEIGHT = 0.3
LONGEST_WAIT_MS = 2_000
FEWEST_WAITING = 64
MOST_WAITING = 4_000


class WaitingLimit:
    """Learns the rate at which requests end, and bounds the queue by time.

    A queue that is bounded by number alone fills up under overload with requests that
    are served when their deadline has all but passed: work for nothing.
    """

    def __init__(self):
        self._rate = None
        self._bucket_ms = 0
        self._ended = 0

    @property
    def most(self):
        """How many requests may wait now."""
        if self._rate is None:
            return MOST_WAITING
        return int(max(FEWEST_WAITING, self._rate * LONGEST_WAIT_MS))

    def ended(self, now_ms):
        """Note that a request has ended on a runner."""
        self._roll(now_ms)
        self._ended += 1

    def _roll(self, now_ms):
        passed_ms = now_ms - self._bucket_ms
        if passed_ms < BUCKET_MS:
            return
        rate = self._ended / passed_ms
        if self._rate is None:
            self._rate = rate if self._ended else None
        else:
            self._rate += WEIGHT * (rate - self._rate)
        self._bucket_ms = now_ms
        self._ended = 0
