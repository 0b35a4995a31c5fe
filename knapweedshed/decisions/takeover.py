"""Takes up what earlier acting schedulers may have running, by their launch records."""

from knapweedshed.decisions.fleet import (
    CLOCK_SLOWNESS_RATIO,
    Member,
    MemberPhase,
    WorkerBelief,
)
from knapweedshed.decisions.unit_runs import UnitRun
from knapweedshed.decisions.units import step_of
from knapweedshed.models.work import tasks_of


def take_up_launches(ledger, workers, bounds, now_ms):
    """Return {unit: `UnitRun`}, with each task counted at its worker in `workers`.

    What is at a worker that can't be reached has lapsed when a predecessor has acted
    as long as it may without word from the log, and one lease after that.
    """
    runs = {}
    lease_ms = int(bounds.lease_ms / CLOCK_SLOWNESS_RATIO)
    off_ms = now_ms + bounds.term_ms + lease_ms
    for progress in ledger.jobs.values():
        for unit, launched in progress.launched.items():
            if unit in progress.done:
                continue
            step = step_of(progress.job, unit)
            where = {}
            tasks = tasks_of(unit, step)
            for task, at in zip(tasks, launched.workers, strict=True):
                belief = _belief_at(workers, at, off_ms, bounds)
                belief.members[task, launched.run] = Member(
                    task, launched.run, step.need, MemberPhase.RUNNING, now_ms, now_ms
                )
                where[task] = belief.worker_id
            runs[unit] = UnitRun(
                unit,
                launched.run,
                where,
                not progress.active,
                now_ms,
                True,
                tuple(worker_id for worker_id, _ in launched.workers),
                True,
            )
    return runs


def _belief_at(workers, at, off_ms, bounds):
    worker_id, incarnation = at
    belief = workers.get(worker_id)
    if belief is None:
        belief = workers[worker_id] = WorkerBelief(
            worker_id, incarnation, off_ms, bounds.lease_ms
        )
    elif belief.incarnation < incarnation:
        belief.forget(incarnation)
    return belief
