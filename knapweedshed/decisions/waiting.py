"""Describes the waiting units, grouped by step, for ordering and placement."""

from knapweedshed.decisions.work_order import (
    LATE_OBJECTIVE_FACTOR,
    WaitingStep,
    core_seconds,
)
from knapweedshed.models.work import GANG_INDEX

URGENT_PRIORITY = 0  # the lowest number is the highest priority
SPEED_SAFETY_FACTOR = 1.25  # for errors of estimates, and for restores and stops
MAX_TARGET_SPEED_RATIO = 4.0  # above any worker's speed, so late work takes the fastest
# Long-running work gains nothing from fast workers, which others need to end on time. A
# worker that is slow may be so because of a fault, which it should not start on either.
LASTING_TARGET_SPEED_RATIO = 1.0


def collect_waiting_steps(units, ledger, runs, configuration, now_ms, wall_ms):
    """Return one `WaitingStep` for the waiting units of each step.

    An organisation's guarantee covers its urgent work in order of arrival, until
    running units and earlier waiting units have used all of it.
    """
    by_step = {}
    for unit in units:
        by_step.setdefault(unit[:3], []).append(unit)
    waiting_steps = [
        _build_waiting_step(ledger.jobs[key[0]], step_units, now_ms, wall_ms)
        for key, step_units in by_step.items()
    ]
    used = _urgent_accelerators(ledger, runs)
    waiting_steps.sort(key=lambda waiting: waiting.arrival_ms)
    return [
        _apply_guarantee(waiting, ledger, configuration, used)
        for waiting in waiting_steps
    ]


def find_borrowing_units(ledger, runs, configuration):
    """Return the running urgent units that no guarantee covers.

    A guarantee covers units in order of the acceptance of their jobs. Units without
    accelerators belong to no guarantee.
    """
    urgent_runs = [
        (ledger.jobs[unit.job_id], unit, unit_run)
        for unit, unit_run in runs.items()
        if ledger.jobs[unit.job_id].job.priority == URGENT_PRIORITY
        and not unit_run.ending
    ]
    urgent_runs.sort(key=lambda item: (item[0].offset, item[1]))
    used, borrowing = {}, set()
    for progress, unit, unit_run in urgent_runs:
        owner = progress.job.organisation
        need = progress.job.steps[unit.step].need
        accelerators = need.accelerators * len(unit_run.workers_by_task)
        total = used.get(owner, 0) + accelerators
        if accelerators and total <= configuration.guaranteed_accelerators(owner):
            used[owner] = total
        else:
            borrowing.add(unit)
    return borrowing


def target_speed(work_left_ms, time_left_ms):
    """Return the speed needed to end on time, or the maximum if none suffices.

    The maximum is `MAX_TARGET_SPEED_RATIO`. Speeds are relative to the average worker;
    the result includes a safety factor.
    """
    if time_left_ms <= work_left_ms / MAX_TARGET_SPEED_RATIO:
        return MAX_TARGET_SPEED_RATIO
    return SPEED_SAFETY_FACTOR * work_left_ms / time_left_ms


def _build_waiting_step(progress, units, now_ms, wall_ms):
    job = progress.job
    first = units[0]
    step = job.steps[first.step]
    count = step.count if first.index == GANG_INDEX else 1
    arrival_wall_ms = job.accepted_wall_ms
    if job.repeats:
        arrival_wall_ms = job.first_wall_ms + first.occurrence * job.period_ms
    objective_ms = job.objective_factor * progress.critical_path_ms + job.objective_ms
    arrival_ms = now_ms - (wall_ms - arrival_wall_ms)
    if step.lasting:
        return _build_lasting_step(job, units, count, arrival_ms, now_ms)
    remaining_path_ms = progress.work_left(first.occurrence).path_ms
    speed = MAX_TARGET_SPEED_RATIO
    if job.priority != URGENT_PRIORITY:
        speed = target_speed(remaining_path_ms, arrival_ms + objective_ms - now_ms)
    return WaitingStep(
        tuple(units),
        step,
        count,
        job.priority,
        False,
        arrival_ms,
        arrival_ms + int(objective_ms),
        arrival_ms + int(LATE_OBJECTIVE_FACTOR * objective_ms),
        remaining_path_ms,
        core_seconds(step, count),
        job.service,
        speed,
    )


def _build_lasting_step(job, units, count, arrival_ms, now_ms):
    """Return the `WaitingStep` of units that run until their job is cancelled.

    They have no end that could be late: they are due whenever they wait, and rank by
    their priority, before work of the same priority that can still wait.
    """
    step = job.steps[units[0].step]
    return WaitingStep(
        tuple(units),
        step,
        count,
        job.priority,
        guaranteed=False,
        arrival_ms=arrival_ms,
        due_ms=now_ms,
        late_limit_ms=now_ms,
        critical_path_ms=0,
        work_core_s=core_seconds(step, count),
        service=job.service,
        target_speed=LASTING_TARGET_SPEED_RATIO,
    )


def _apply_guarantee(waiting, ledger, configuration, used):
    """Return the step with `guaranteed` set; counts its accelerators in `used`."""
    if waiting.priority != URGENT_PRIORITY:
        return waiting
    owner = ledger.jobs[waiting.units[0].job_id].job.organisation
    per_unit = waiting.count * waiting.step.need.accelerators
    available = configuration.guaranteed_accelerators(owner) - used.get(owner, 0)
    covered = per_unit <= available
    used[owner] = used.get(owner, 0) + min(
        per_unit * len(waiting.units), max(0, available) if covered else 0
    )
    return waiting._replace(guaranteed=covered)


def _urgent_accelerators(ledger, runs):
    """Return {organisation: accelerators used by its running urgent work}."""
    used = {}
    for unit, unit_run in runs.items():
        job = ledger.jobs[unit.job_id].job
        if job.priority == URGENT_PRIORITY and not unit_run.ending:
            accelerators = job.steps[unit.step].need.accelerators * len(
                unit_run.workers_by_task
            )
            used[job.organisation] = used.get(job.organisation, 0) + accelerators
    return used
