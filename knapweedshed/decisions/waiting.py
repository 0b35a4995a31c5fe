"""What waits, by step: all that the order of work and placement need to know of it."""

from knapweedshed.decisions.units import critical_path_ms, remaining_critical_path_ms
from knapweedshed.decisions.work_order import LATE_FACTOR, WaitingStep, work_of
from knapweedshed.models.work import GANG

URGENT_PRIORITY = 0
SPEED_MARGIN = 1.25  # estimates are rough; also covers restores and stops
HIGHEST_SPEED = 4.0  # beyond any worker: work that is late takes the fastest


def waiting_steps(units, ledger, runs, configuration, now_ms, wall_ms):
    """Return a `WaitingStep` for the waiting units of each step.

    A guarantee covers urgent work in the order of its acceptance, until what runs and
    what waits before it takes all of it.
    """
    by_step = {}
    for unit in units:
        by_step.setdefault(unit[:3], []).append(unit)
    waiting = [
        _waiting_step(ledger.jobs[key[0]], of_step, now_ms, wall_ms)
        for key, of_step in by_step.items()
    ]
    held = _urgent_holdings(ledger, runs)
    waiting.sort(key=lambda item: item.since_ms)
    return [_with_guarantee(item, ledger, configuration, held) for item in waiting]


def wanted_speed(left_ms, time_left_ms):
    """Return the speed at which work ends in time, the highest where none does."""
    if time_left_ms <= left_ms / HIGHEST_SPEED:
        return HIGHEST_SPEED
    return SPEED_MARGIN * left_ms / time_left_ms


def _waiting_step(progress, units, now_ms, wall_ms):
    job = progress.job
    first = units[0]
    step = job.steps[first.step]
    count = step.count if first.index == GANG else 1
    begun_ms = job.accepted_wall_ms
    if job.repeats:
        begun_ms = job.first_wall_ms + first.occurrence * job.period_ms
    objective_ms = job.objective_factor * critical_path_ms(job) + job.objective_ms
    since_ms = now_ms - (wall_ms - begun_ms)
    left_ms = remaining_critical_path_ms(progress, first.occurrence)
    speed = HIGHEST_SPEED
    if job.priority != URGENT_PRIORITY:
        speed = wanted_speed(left_ms, since_ms + objective_ms - now_ms)
    return WaitingStep(
        tuple(units),
        step,
        count,
        job.priority,
        False,
        since_ms,
        since_ms + int(objective_ms),
        since_ms + int(LATE_FACTOR * objective_ms),
        left_ms,
        work_of(step, count),
        job.service,
        speed,
    )


def _with_guarantee(waiting, ledger, configuration, held):
    if waiting.priority != URGENT_PRIORITY:
        return waiting
    owner = ledger.jobs[waiting.units[0].job_id].job.organisation
    each = waiting.count * waiting.step.need.accelerators
    free = configuration.guaranteed(owner) - held.get(owner, 0)
    covered = each <= free
    held[owner] = held.get(owner, 0) + min(
        each * len(waiting.units), max(0, free) if covered else 0
    )
    return waiting._replace(guaranteed=covered)


def _urgent_holdings(ledger, runs):
    """Return the accelerators that each organisation's urgent work holds."""
    held = {}
    for unit, run in runs.items():
        job = ledger.jobs[unit.job_id].job
        if job.priority == URGENT_PRIORITY and not run.ending:
            need = job.steps[unit.step].need.accelerators * len(run.workers_by_task)
            held[job.organisation] = held.get(job.organisation, 0) + need
    return held
