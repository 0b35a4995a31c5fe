"""Finds workers on which nothing moves, and the runs that should leave them."""

from knapweedshed.decisions.fleet import MemberPhase
from knapweedshed.models.work_orders import WorkerHangs

STALL_MS = 1_800  # nearly two lists without progress
STALL_PERCENTS = 3  # and the time of some steps of progress on a slow worker
SLOW_SPEED_RATIO = 0.5
HANG_PAUSE_MS = 2_500  # a worker that hangs is looked at again after this


def hanging(ledger, workers, now_ms):
    """Return [(belief, `WorkerHangs`, keys of the members that should move)].

    A member moves if it loses less work than the time that it has stood still.
    """
    found = []
    for belief in workers.values():
        if not belief.hangs(now_ms, lambda member: _patience_ms(ledger, member)):
            continue
        movable = [
            key
            for key, member in belief.members.items()
            if member.phase == MemberPhase.RUNNING
            and member.seen
            and _lost_ms(ledger, member) <= now_ms - member.moved_ms
        ]
        found.append((belief, _described(belief, now_ms), movable))
    return found


def _patience_ms(ledger, member):
    """Return how long a member may go without progress unsuspected."""
    progress = ledger.jobs.get(member.task.job_id)
    if progress is None:
        return STALL_MS
    estimate_ms = progress.job.steps[member.task.step].estimate_ms
    return STALL_MS + STALL_PERCENTS * estimate_ms / 100 / SLOW_SPEED_RATIO


def _lost_ms(ledger, member):
    """Return the work that a stop of a member's run would lose."""
    progress = ledger.jobs.get(member.task.job_id)
    if progress is None:
        return 0
    step = progress.job.steps[member.task.step]
    if step.checkpoints:
        return 0
    return step.estimate_ms * member.percent / 100


def _described(belief, now_ms):
    members = belief.members.values()
    still_ms = min(now_ms - member.moved_ms for member in members)
    percents = tuple(member.percent for member in members)
    return WorkerHangs(belief.worker_id, still_ms, percents)
