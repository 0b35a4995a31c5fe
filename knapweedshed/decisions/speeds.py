"""How fast each worker has shown itself to be, from the progress of its runs.

A run's pace is the share of its work done in a second, times its estimate. Estimates
are wrong by a factor that all tasks of a job share, so paces are compared within a job:
the job's factor is what its paces have in common once the workers' speeds are taken
out. A worker of which little is known counts as average.
"""

import math
from typing import NamedTuple

PRIOR_WEIGHT = 1.0  # one observation's worth of belief that a worker is average
ESTIMATE_SPREAD = 0.5  # of the logarithm of an estimate's error; site files: 0.2 to 0.9
SPEED_SPREAD = (
    0.45  # of the logarithm of speeds between workers; site files: 0.6 to 1.7
)
FASTEST = 2.5
SLOWEST = 0.1
HALF_LIFE_MS = 8_000  # workers turn slow and recover within some seconds
SWEEPS_COUNT = 3
SPAN_MS = 800  # progress comes in whole percents, and lists each second
SHORTEST_SPAN_MS = 300  # what a last step of progress says is rough
LEAST_PERCENT = 0.3  # a run that stands still is slow beyond measure
DONE_PERCENT = 100.0
TOLD_RATIO = 1.15  # smaller changes don't change where work goes
TELL_AGAIN_MS = 6_000  # a third of the shortest history of the log: sheets


class Pace(NamedTuple):
    """What one run of a task showed: the logarithm of (pace x estimate)."""

    job_id: str
    worker_id: str
    value: float
    seen_ms: int


class WorkerSpeeds:
    """Speeds relative to the mean of all workers."""

    def __init__(self, learned=()):
        """`learned` has (worker id, incarnation, percent) of earlier terms."""
        self._paces = {}
        self._anchors = {}
        self._speeds = {}
        self._incarnations = {}
        self._told = {}
        for worker_id, incarnation, percent in learned:
            self._speeds[worker_id] = percent / DONE_PERCENT
            self._incarnations[worker_id] = incarnation

    def observe(self, key, job_id, worker_id, percent, ran_ms, estimate_ms, now_ms):
        """Take the progress of a run; `key` names the run.

        A pace is taken over spans of `SPAN_MS`, so that a worker that turns slow shows.
        """
        if estimate_ms <= 0:
            return
        from_percent, from_ms = self._anchors.get(key, (0.0, now_ms - ran_ms))
        span_ms = now_ms - from_ms
        if span_ms < SPAN_MS and percent < DONE_PERCENT:
            return
        if span_ms < SHORTEST_SPAN_MS:
            return
        self._anchors[key] = (percent, now_ms)
        moved = max(percent - from_percent, LEAST_PERCENT)
        value = math.log(moved / DONE_PERCENT * estimate_ms / span_ms)
        self._paces[key] = Pace(job_id, worker_id, value, now_ms)

    def know(self, worker_id, incarnation):
        """A worker is listed; one that has started anew may be of another kind."""
        if self._incarnations.get(worker_id, incarnation) != incarnation:
            self._speeds.pop(worker_id, None)
            self._told.pop(worker_id, None)
            self._paces = {
                key: pace
                for key, pace in self._paces.items()
                if pace.worker_id != worker_id
            }
        self._incarnations[worker_id] = incarnation

    def news(self, now_ms, worker_ids):
        """Return (worker id, incarnation, percent) of what should be told again.

        Only of `worker_ids`: what has left is not told for ever.
        """
        news = []
        for worker_id, speed in self._speeds.items():
            if worker_id not in worker_ids:
                continue
            told, told_ms = self._told.get(worker_id, (0.0, 0))
            if now_ms - told_ms < TELL_AGAIN_MS:
                if told * TOLD_RATIO > speed > told / TOLD_RATIO:
                    continue
            self._told[worker_id] = (speed, now_ms)
            percent = round(speed * DONE_PERCENT)
            news.append((worker_id, self._incarnations[worker_id], percent))
        return tuple(news)

    def speed(self, worker_id):
        """Return the learned speed; 1.0 where nothing is known."""
        return self._speeds.get(worker_id, 1.0)

    def learn(self, now_ms):
        """Work the speeds out anew."""
        paces = [
            (pace, 0.5 ** ((now_ms - pace.seen_ms) / HALF_LIFE_MS))
            for pace in self._paces.values()
        ]
        paces = [(pace, weight) for pace, weight in paces if weight > 0.05]
        self._paces = {
            key: pace
            for key, pace in self._paces.items()
            if now_ms - pace.seen_ms < 5 * HALF_LIFE_MS
        }
        self._anchors = {
            key: anchor for key, anchor in self._anchors.items() if key in self._paces
        }
        logs = {name: math.log(speed) for name, speed in self._speeds.items()}
        prior = dict(logs)
        for _ in range(SWEEPS_COUNT):
            factors = _job_factors(paces, logs)
            logs = _worker_logs(paces, logs, factors, prior)
        for worker_id, value in logs.items():
            self._speeds[worker_id] = min(FASTEST, max(SLOWEST, math.exp(value)))


def _job_factors(paces, logs):
    """Return the log of each job's common factor, shrunk towards a right estimate."""
    sums = {}
    for pace, weight in paces:
        rest = pace.value - logs.get(pace.worker_id, 0.0)
        total, weights = sums.get(pace.job_id, (0.0, 0.0))
        sums[pace.job_id] = (total + weight * rest, weights + weight)
    shrink = (SPEED_SPREAD / ESTIMATE_SPREAD) ** 2
    return {
        job_id: total / (weights + shrink) for job_id, (total, weights) in sums.items()
    }


def _worker_logs(paces, logs, factors, prior):
    sums = {
        worker_id: (PRIOR_WEIGHT * value, PRIOR_WEIGHT)
        for worker_id, value in prior.items()
    }
    for pace, weight in paces:
        rest = pace.value - factors[pace.job_id]
        total, weights = sums.get(pace.worker_id, (0.0, PRIOR_WEIGHT))
        sums[pace.worker_id] = (total + weight * rest, weights + weight)
    return {worker_id: total / weights for worker_id, (total, weights) in sums.items()}
