"""Recent need of urgent work that arrives in waves (of 13 s) and bursts (of 4 to 6 s).

What is kept free for the next wave is sized by it.
"""

from typing import NamedTuple

from knapweedshed.decisions.free_capacity import priced_cores
from knapweedshed.models.work import Resources

# Covers a wave of 13 s whole, whenever the window begins.
DEMAND_WINDOW_MS = 15_000
BUCKET_MS = 500  # a pass adds to the newest bucket, so cost and memory stay bounded


class GangShape(NamedTuple):
    """The tasks of an urgent unit: how many, and what each needs."""

    count: int
    need: Resources

    @property
    def size_cores(self):
        """Return the price of all tasks in cores."""
        return self.count * priced_cores(self.need)


class UrgentArrival(NamedTuple):
    """A newly seen urgent step: its units' shape, and what its objective leaves.

    `min_speed` is the speed that just meets the objective, relative to the average
    worker; `slack_ms` is how long it may wait on an average worker.
    """

    shape: GangShape
    min_speed: float
    slack_ms: int


class DemandProfile(NamedTuple):
    """Urgent work of the recent window.

    `peak_cores` is the highest concurrent need in priced cores and `peak_age_ms` how
    long ago it was. `shape` is the largest unit. The speed and the slack are means.
    """

    peak_cores: float
    peak_age_ms: int
    shape: GangShape
    min_speed: float
    slack_ms: float


class _Bucket:
    """What was seen within `BUCKET_MS` from `from_ms` on."""

    def __init__(self, from_ms):
        self.from_ms = from_ms
        self.peak_cores = 0.0
        self.arrivals = 0
        self.min_speeds = 0.0
        self.slack_ms = 0
        self.shape = GangShape(0, Resources())


class UrgentDemand:
    """Keeps the need of urgent work of one service over a recent window."""

    def __init__(self):
        self._buckets = []

    def observe(self, need_cores, arrivals, now_ms):
        """Add the present concurrent need, and the `UrgentArrival`s of this pass."""
        from_ms = now_ms - now_ms % BUCKET_MS
        if not self._buckets or self._buckets[-1].from_ms != from_ms:
            self._buckets.append(_Bucket(from_ms))
        bucket = self._buckets[-1]
        bucket.peak_cores = max(bucket.peak_cores, need_cores)
        for arrival in arrivals:
            bucket.arrivals += 1
            bucket.min_speeds += arrival.min_speed
            bucket.slack_ms += arrival.slack_ms
            if arrival.shape.size_cores > bucket.shape.size_cores:
                bucket.shape = arrival.shape
        self._buckets = [
            bucket
            for bucket in self._buckets
            if bucket.from_ms > now_ms - DEMAND_WINDOW_MS
        ]

    def profile(self, now_ms):
        """Return the `DemandProfile`, or None if no urgent work arrived recently."""
        arrivals = sum(bucket.arrivals for bucket in self._buckets)
        if not arrivals:
            return None
        peak = max(self._buckets, key=lambda bucket: bucket.peak_cores)
        return DemandProfile(
            peak.peak_cores,
            now_ms - peak.from_ms,
            max(
                (bucket.shape for bucket in self._buckets),
                key=lambda shape: shape.size_cores,
            ),
            sum(bucket.min_speeds for bucket in self._buckets) / arrivals,
            sum(bucket.slack_ms for bucket in self._buckets) / arrivals,
        )
