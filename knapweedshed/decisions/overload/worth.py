"""What a job is worth to its caller, for decisions while capacity is short."""

FIXED_WORTH = 0.3  # the part that doesn't depend on the job's size
WORTH_BY_SIZE = 0.7  # the part that grows with the job's core-seconds
MAX_SIZE_RATIO = 4.0  # to the mean of the queue; larger jobs are worth no more
LATE_WORTH = 0.2  # share that is left after the objective, up to 3 times of it
# Weight of a priority to that of the next higher one. With a half, small jobs of low
# priority took more room than their callers gain from it.
WEIGHT_RATIO = 1 / 3
MAX_PRIORITY = 64  # keeps the weight above 0
MIN_CORE_S = 0.001


def job_worth(priority, core_s, mean_core_s):
    """Return the worth of a job that ends on time.

    It has `core_s` core-seconds, and the jobs of its queue `mean_core_s` on average.
    """
    weight = WEIGHT_RATIO ** min(max(priority, 0), MAX_PRIORITY)
    ratio = core_s / mean_core_s if mean_core_s > 0 else 1.0
    return weight * (FIXED_WORTH + WORTH_BY_SIZE * min(ratio, MAX_SIZE_RATIO))


def worth_per_core_s(worth, core_s):
    """Return the worth for each core-second of room."""
    return worth / max(core_s, MIN_CORE_S)
