"""Load: workers that are taken away at short notice while ordinary work runs on them.

Decides for each run on a draining worker whether it ends by itself in time, is stopped
while its saved state can still leave the worker, or is left to run.
"""

import math
from enum import StrEnum
from typing import NamedTuple

# For an order that waits for others, the answer that lists the end, and its record in
# the log, 100 ms each.
EXCHANGE_MS = 300
REVIEW_PERIOD_MS = 200  # how often decisions are made
# Work counts as done in time only with this margin: a run that is wrongly left to run
# loses all of its work, one that is wrongly stopped what a stop and a restore take.
WORK_LEFT_SAFETY_FACTOR = 1.25
# A run that can't save and needs this many times the time left is lost in any case. It
# is stopped so that it starts again at once: a run that ends with its worker holds its
# unit up until the lease has expired. Workers may stay longer than they announce, so
# one that has done more than half of its work is stopped at the last moment only.
HOPELESS_FACTOR = 2.0
HALF_DONE_PERCENT = 50.0
# A rate from less progress, or over a shorter time, is imprecise: progress is in whole
# percents, and a start takes a while.
MIN_RATE_PERCENT = 5.0
MIN_RATE_SPAN_MS = 800
COMPLETE_PERCENT = 100.0
MIN_SPEED_RATIO = 0.05  # keeps the time left finite on a worker that is stalled


class DrainDecision(StrEnum):
    """What is done now with a run on a draining worker.

    `WAIT` means that it can't end in time and can still be stopped later.
    """

    ENDS = "ends"
    WAIT = "wait"
    STOP = "stop"
    LEAVE = "leave"


class MemberProgress(NamedTuple):
    """The progress of one task of a run.

    `percent` was listed `answer_age_ms` ago, when the task had run for `ran_ms`.
    `from_start` means that the run began without a saved state, at a known time, so
    that its progress tells its rate. `speed` is the worker's, relative to the average.
    """

    percent: float
    ran_ms: int
    answer_age_ms: int
    from_start: bool
    speed: float


def decide_run(members, step, time_left_ms, limits):
    """Return (`DrainDecision`, estimated time until the run ends in milliseconds).

    `members` has the `MemberProgress` of all tasks of the unit, on draining workers or
    not: a gang ends with its slowest member. `time_left_ms` is the least time until one
    of its workers may be gone, 0 if that is unknown, negative if it should be gone.
    """
    work_left_ms = max(estimate_work_left_ms(member, step) for member in members)
    # A stop takes up to `stop_ms`: nothing is gained by it if the run ends before that.
    usable_ms = max(time_left_ms - EXCHANGE_MS, limits.stop_ms)
    if WORK_LEFT_SAFETY_FACTOR * work_left_ms <= usable_ms:
        return DrainDecision.ENDS, work_left_ms
    if not step.checkpoints:
        return _decide_unsaved(members, work_left_ms, time_left_ms, limits)
    if is_last_moment(time_left_ms, limits):
        return DrainDecision.STOP, work_left_ms
    return DrainDecision.WAIT, work_left_ms


def _decide_unsaved(members, work_left_ms, time_left_ms, limits):
    """Return the decision on a run that loses all of its work by a stop."""
    if time_left_ms <= 0 or work_left_ms <= HOPELESS_FACTOR * time_left_ms:
        return DrainDecision.LEAVE, work_left_ms
    percent = min(member.percent for member in members)
    if percent < HALF_DONE_PERCENT or is_last_moment(time_left_ms, limits):
        return DrainDecision.STOP, work_left_ms
    return DrainDecision.WAIT, work_left_ms


def is_last_moment(time_left_ms, limits):
    """Return whether a stop at the next review may come too late to end in time."""
    return time_left_ms < limits.stop_ms + EXCHANGE_MS + REVIEW_PERIOD_MS


def estimate_work_left_ms(member, step):
    """Return the estimated time until a task ends in milliseconds, 0 or more.

    It is derived from the task's own progress, which reflects the error of the estimate
    and the speed of the worker, or from these two where the progress tells too little.
    Returns infinity if there is no estimate either.
    """
    left_percent = max(0.0, COMPLETE_PERCENT - member.percent)
    if (
        member.from_start
        and member.percent >= MIN_RATE_PERCENT
        and member.ran_ms >= MIN_RATE_SPAN_MS
    ):
        left_ms = member.ran_ms * left_percent / member.percent
    elif left_percent and not step.estimate_ms:
        return math.inf
    else:
        work_ms = step.estimate_ms * left_percent / COMPLETE_PERCENT
        left_ms = work_ms / max(member.speed, MIN_SPEED_RATIO)
    return max(0.0, left_ms - member.answer_age_ms)
