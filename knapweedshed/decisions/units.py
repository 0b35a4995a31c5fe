"""Units that may start now, and the work that is left of jobs."""

from itertools import islice
from typing import NamedTuple

from knapweedshed.decisions.work_order import core_seconds


def step_of(job, unit):
    """Return the step that a unit belongs to."""
    return job.steps[unit.step]


class WorkLeft(NamedTuple):
    """What is left of an occurrence; the same for all that wait of it.

    `ready_steps` are the steps that aren't done, after others that are. `path_ms` is
    the estimated work on the critical path, `core_s` the work of all steps left.
    """

    ready_steps: tuple[int, ...]
    path_ms: int
    core_s: float


def measure_work_left(job, is_done):
    """Return the `WorkLeft` of an occurrence; `is_done` tells of a step's number."""
    left = [number for number in range(len(job.steps)) if not is_done(number)]
    left_set = set(left)
    return WorkLeft(
        tuple(
            number for number in left if left_set.isdisjoint(job.steps[number].after)
        ),
        _longest_path_ms(
            job,
            lambda number, step: step.estimate_ms if number in left_set else 0,
        ),
        sum(
            core_seconds(job.steps[number], job.steps[number].count) for number in left
        ),
    )


def ready_units(ledger, wall_ms, max_count=None):
    """Return the due units that are not done and whose earlier steps are done.

    With `max_count`, the first ones only.
    """
    units = (
        unit
        for progress in ledger.open_jobs.values()
        for occurrence, step in ready_steps(progress, wall_ms)
        for unit in progress.done.units_left(occurrence, step)
    )
    return list(islice(units, max_count))


def ready_steps(progress, wall_ms, newest_first=False):
    """Yield (occurrence, step) of the due steps whose earlier steps are done.

    Those of the oldest occurrence come first, or of the newest one.
    """
    due_count = len(due_occurrences(progress.job, wall_ms))
    for occurrence in progress.done.open_occurrences(due_count, newest_first):
        for step in progress.work_left(occurrence).ready_steps:
            yield occurrence, step


def due_occurrences(job, wall_ms):
    """Return the numbers of a job's occurrences that are due at `wall_ms`."""
    if not job.repeats:
        return range(1)
    since_ms = wall_ms - job.first_wall_ms
    if since_ms < 0:
        return range(0)
    if job.period_ms <= 0:
        return range(job.repeats)
    return range(min(job.repeats, since_ms // job.period_ms + 1))


def critical_path_ms(job):
    """Return the estimated work on the critical path of a job's steps."""
    return _longest_path_ms(job, lambda number, step: step.estimate_ms)


def _longest_path_ms(job, duration_ms_of):
    """Return the longest path; steps depend only on earlier steps."""
    longest_ms = []
    for number, step in enumerate(job.steps):
        before_ms = max((longest_ms[index] for index in step.after), default=0)
        longest_ms.append(before_ms + duration_ms_of(number, step))
    return max(longest_ms, default=0)
