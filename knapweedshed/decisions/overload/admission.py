"""Decides which submissions to reject while work waits longer than callers accept.

A job that can't end within three times its objective is worth nothing to its caller,
but takes the room of jobs that can. What is uncertain is decided in the job's favour.
"""

import math
from typing import NamedTuple

from knapweedshed.decisions.overload.queue_sizes import job_core_seconds
from knapweedshed.decisions.overload.worth import job_worth, worth_per_core_s
from knapweedshed.decisions.units import critical_path_ms
from knapweedshed.decisions.waiting import URGENT_PRIORITY
from knapweedshed.decisions.work_order import LATE_OBJECTIVE_FACTOR

MAX_FIGURE_AGE_MS = 3_000  # a caller's deadline
# Shares of the estimated wait that are taken as certain. Rates over 5 s and estimates
# of work vary; the jobs that are worth least for each core-second are rejected first.
CERTAIN_SHARE_CHEAP = 0.8
CERTAIN_SHARE = 0.6
MS_PER_SECOND = 1_000


class OpenWork(NamedTuple):
    """The open jobs at one time.

    By organisation, `accelerators` has what its running and waiting work needs, and
    `urgent_accelerators` the part of priority 0. `mean_worth` has, by service, the mean
    worth for each core-second.
    """

    accelerators: dict
    urgent_accelerators: dict
    mean_worth: dict


class Verdict(NamedTuple):
    """The decision on one submission, with its inputs; times are in milliseconds.

    `reason` says why a job is admitted that may not end in time. A rejected job may be
    submitted again after `retry_after_ms`. `start_in_ms` is the figure's, less its age.
    """

    admitted: bool
    reason: str = ""
    retry_after_ms: int = 0
    start_in_ms: int = 0
    estimate_ms: int = 0
    objective_ms: int = 0


ADMITTED = Verdict(True)


def find_load(report, age_ms, job):
    """Return the `PriorityLoad` that a job meets, or None if it isn't known."""
    if report is None or age_ms is None or age_ms > MAX_FIGURE_AGE_MS:
        return None
    for load in report.loads:
        if (load.service, load.priority) == (job.service, job.priority):
            return load if load.start_in_ms >= 0 else None
    return None


def summarise_open_work(ledger):
    """Return the `OpenWork` of a `WorkLedger`."""
    accelerators, urgent, worths = {}, {}, {}
    for progress in ledger.open_jobs.values():
        job = progress.job
        needed = _accelerators(job.steps)
        owner = job.organisation
        accelerators[owner] = accelerators.get(owner, 0) + needed
        if job.priority == URGENT_PRIORITY:
            urgent[owner] = urgent.get(owner, 0) + needed
        worths.setdefault(job.service, []).append(_worth(job, ledger))
    mean_worth = {
        service: sum(values) / len(values) for service, values in worths.items()
    }
    return OpenWork(accelerators, urgent, mean_worth)


def decide(job, load, age_ms, ledger, open_work, configuration, served_shares):
    """Return the `Verdict` on a job that is not known, under a load that is."""
    if job.repeats or any(step.lasting for step in job.steps):
        return ADMITTED
    is_cheap = _worth(job, ledger) < open_work.mean_worth.get(job.service, 0.0)
    certain_share = CERTAIN_SHARE_CHEAP if is_cheap else CERTAIN_SHARE
    path_ms = critical_path_ms(job)
    objective_ms = job.objective_factor * path_ms + job.objective_ms
    start_in_ms = max(0, load.start_in_ms - age_ms)
    estimate_ms = certain_share * start_in_ms + path_ms
    excess_ms = estimate_ms - LATE_OBJECTIVE_FACTOR * objective_ms
    if excess_ms <= 0:
        return ADMITTED
    # The backlog that a later try meets has shrunk by then, if no more than was
    # finished has been added.
    retry_after_s = max(1, math.ceil(excess_ms / certain_share / MS_PER_SECOND))
    retry_after_ms = retry_after_s * MS_PER_SECOND
    verdict = Verdict(
        True, "", retry_after_ms, start_in_ms, int(estimate_ms), int(objective_ms)
    )
    if start_in_ms <= retry_after_ms:
        return verdict._replace(reason="waits no longer than a retry")
    if _is_guaranteed(job, open_work, configuration):
        return verdict._replace(reason="guaranteed")
    if _is_below_fair_share(job, open_work):
        return verdict._replace(reason="below its fair share")
    size_class = ledger.queue_sizes.size_class(job.queue, job_core_seconds(job.steps))
    if served_shares.is_behind(job.queue, size_class):
        return verdict._replace(reason="size class served too rarely")
    return verdict._replace(admitted=False)


def _worth(job, ledger):
    size = job_core_seconds(job.steps)
    mean_core_s = ledger.queue_sizes.mean_core_s(job.queue)
    return worth_per_core_s(job_worth(job.priority, size, mean_core_s), size)


def _is_guaranteed(job, open_work, configuration):
    """Return whether the guarantee of a job's organisation covers its first unit.

    A guarantee covers urgent work in order of arrival.
    """
    if job.priority != URGENT_PRIORITY:
        return False
    owner = job.organisation
    used = open_work.urgent_accelerators.get(owner, 0)
    first = min(
        step.need.accelerators * (step.count if step.gang else 1) for step in job.steps
    )
    return used + first <= configuration.guaranteed_accelerators(owner)


def _is_below_fair_share(job, open_work):
    """Return whether an organisation has less open work than an equal share of all."""
    owners = open_work.accelerators.keys() | {job.organisation}
    total = sum(open_work.accelerators.values())
    own = open_work.accelerators.get(job.organisation, 0)
    return own < total / len(owners)


def _accelerators(steps):
    return sum(step.need.accelerators * step.count for step in steps)
