"""Learns the relative speed of each worker from the progress of its runs.

A run's rate is the share of its work done per second, times its estimate. Estimates are
wrong by a factor that all tasks of a job share, so rates are compared within a job: the
job's factor is what its rates have in common once the workers' speeds are taken out. A
worker with few samples counts as average.
"""

import math
from typing import NamedTuple

# The prior weighs as much as one sample. It is the worker's last estimate, or the
# average of all workers if there is none.
PRIOR_WEIGHT_SAMPLES = 1.0
# Standard deviation of the log of an estimate's error; 0.2 to 0.9 at users' sites.
ESTIMATE_LOG_DEVIATION = 0.5
# Standard deviation of the log of workers' speeds; 0.6 to 1.7 at users' sites.
SPEED_LOG_DEVIATION = 0.45
MAX_LEARNED_SPEED_RATIO = 2.5
MIN_LEARNED_SPEED_RATIO = 0.1
SAMPLE_HALF_LIFE_MS = 8_000  # workers slow down and recover within seconds
ITERATION_COUNT = 3  # of estimating job factors and worker speeds in turn
MIN_SPAN_MS = 800  # progress is in whole percents, and workers list it every second
MIN_FINAL_SPAN_MS = 300  # over a shorter span the rate of a run's end is imprecise
MIN_PROGRESS_PERCENT = 0.3  # keeps the logarithm of a stalled run's rate finite
COMPLETE_PERCENT = 100.0
REPORT_CHANGE_RATIO = 1.15  # smaller changes don't affect placement
# A third of the log's shortest retention, so that the log always has a recent report.
REPORT_INTERVAL_MS = 6_000


class RateSample(NamedTuple):
    """Latest rate of one task's run; `log_rate` is the logarithm of rate x estimate."""

    job_id: str
    worker_id: str
    log_rate: float
    observed_ms: int


class WorkerSpeeds:
    """Speeds relative to the average of all workers."""

    def __init__(self, learned=()):
        """Start from speeds learned in earlier epochs.

        `learned` has (worker id, incarnation, percent of the average speed).
        """
        self._samples = {}
        self._span_starts = {}
        self._speeds = {}
        self._incarnations = {}
        self._reported = {}
        for worker_id, incarnation, percent in learned:
            self._speeds[worker_id] = percent / COMPLETE_PERCENT
            self._incarnations[worker_id] = incarnation

    def observe(self, run_key, job_id, worker_id, percent, ran_ms, estimate_ms, now_ms):
        """Take the progress of the run identified by `run_key`.

        Rates are measured over spans of at least `MIN_SPAN_MS` rather than the whole
        run, so that a worker that slows down is noticed.
        """
        if estimate_ms <= 0:
            return
        from_percent, from_ms = self._span_starts.get(run_key, (0.0, now_ms - ran_ms))
        span_ms = now_ms - from_ms
        if span_ms < MIN_SPAN_MS and percent < COMPLETE_PERCENT:
            return
        if span_ms < MIN_FINAL_SPAN_MS:
            return
        self._span_starts[run_key] = (percent, now_ms)
        gained_percent = max(percent - from_percent, MIN_PROGRESS_PERCENT)
        log_rate = math.log(gained_percent / COMPLETE_PERCENT * estimate_ms / span_ms)
        self._samples[run_key] = RateSample(job_id, worker_id, log_rate, now_ms)

    def update_incarnation(self, worker_id, incarnation):
        """Forget the speed of a worker that restarted: it may be of another kind."""
        if self._incarnations.get(worker_id, incarnation) != incarnation:
            self._speeds.pop(worker_id, None)
            self._reported.pop(worker_id, None)
            self._samples = {
                run_key: sample
                for run_key, sample in self._samples.items()
                if sample.worker_id != worker_id
            }
        self._incarnations[worker_id] = incarnation

    def take_report(self, now_ms, worker_ids):
        """Return (worker id, incarnation, percent of average) to write to the log.

        These are speeds that changed or whose last report is old; they count as
        reported. Only `worker_ids` are included: a worker that has left would otherwise
        be reported for ever.
        """
        report = []
        for worker_id, speed in self._speeds.items():
            if worker_id not in worker_ids:
                continue
            reported, reported_ms = self._reported.get(worker_id, (0.0, 0))
            if now_ms - reported_ms < REPORT_INTERVAL_MS:
                if (
                    reported * REPORT_CHANGE_RATIO
                    > speed
                    > reported / REPORT_CHANGE_RATIO
                ):
                    continue
            self._reported[worker_id] = (speed, now_ms)
            percent = round(speed * COMPLETE_PERCENT)
            report.append((worker_id, self._incarnations[worker_id], percent))
        return tuple(report)

    def speed(self, worker_id):
        """Return the learned speed; 1.0 for an unknown worker."""
        return self._speeds.get(worker_id, 1.0)

    def recompute(self, now_ms):
        """Estimate all speeds again, with older samples weighted less.

        A new sample weighs 1; samples that weigh 0.05 or less are left out.
        """
        weighted = [
            (sample, 0.5 ** ((now_ms - sample.observed_ms) / SAMPLE_HALF_LIFE_MS))
            for sample in self._samples.values()
        ]
        weighted = [(sample, weight) for sample, weight in weighted if weight > 0.05]
        self._samples = {
            run_key: sample
            for run_key, sample in self._samples.items()
            if now_ms - sample.observed_ms < 5 * SAMPLE_HALF_LIFE_MS
        }
        self._span_starts = {
            run_key: start
            for run_key, start in self._span_starts.items()
            if run_key in self._samples
        }
        log_speeds = {
            worker_id: math.log(speed) for worker_id, speed in self._speeds.items()
        }
        prior = dict(log_speeds)
        for _ in range(ITERATION_COUNT):
            log_factors = _estimate_job_factors(weighted, log_speeds)
            log_speeds = _estimate_log_speeds(weighted, log_speeds, log_factors, prior)
        for worker_id, log_speed in log_speeds.items():
            self._speeds[worker_id] = min(
                MAX_LEARNED_SPEED_RATIO,
                max(MIN_LEARNED_SPEED_RATIO, math.exp(log_speed)),
            )


def _estimate_job_factors(weighted, log_speeds):
    """Return the log of each job's common factor, shrunk towards a correct estimate."""
    sums = {}
    for sample, weight in weighted:
        residual = sample.log_rate - log_speeds.get(sample.worker_id, 0.0)
        total, weights = sums.get(sample.job_id, (0.0, 0.0))
        sums[sample.job_id] = (total + weight * residual, weights + weight)
    shrinkage = (SPEED_LOG_DEVIATION / ESTIMATE_LOG_DEVIATION) ** 2
    return {
        job_id: total / (weights + shrinkage)
        for job_id, (total, weights) in sums.items()
    }


def _estimate_log_speeds(weighted, log_speeds, log_factors, prior):
    """Return the log of each worker's speed, with job factors taken out."""
    sums = {
        worker_id: (PRIOR_WEIGHT_SAMPLES * log_speed, PRIOR_WEIGHT_SAMPLES)
        for worker_id, log_speed in prior.items()
    }
    for sample, weight in weighted:
        residual = sample.log_rate - log_factors[sample.job_id]
        total, weights = sums.get(sample.worker_id, (0.0, PRIOR_WEIGHT_SAMPLES))
        sums[sample.worker_id] = (total + weight * residual, weights + weight)
    return {worker_id: total / weights for worker_id, (total, weights) in sums.items()}
