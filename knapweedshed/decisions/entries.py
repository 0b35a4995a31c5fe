"""A job that has not ended, as the queue keeps it, and as others are shown it."""

from typing import Any, NamedTuple

from knapweedshed.models.jobs import JobStatus
from knapweedshed.models.planning import RunningView, WaitingView
from knapweedshed.results import ResultCode

CHECKPOINT_COST_MS = 500
STALE_INTENT_MS = 10_000


class Entry(NamedTuple):
    """One job that has not ended, as this scheduler sees it.

    `placements` is empty while the job waits.
    """

    opened: Any
    since_ms: int
    number: int
    not_before_ms: int = 0
    failed: int = 0
    retries: int = 0
    placements: tuple = ()
    started_ms: int = 0
    stopping: bool = False
    borrowed: bool = False
    direct: bool = False
    intent_ms: int = 0

    @property
    def job(self):
        """The job."""
        return self.opened.job

    @property
    def kind(self):
        """What run times are learned by."""
        return (self.job.organisation, self.job.service)

    def may_start(self, now_ms):
        """Return whether a waiting job may be planned now.

        While an intent stands, an attempt of somebody's is under way.
        """
        if self.opened.cancelled or self.opened.intent is not None:
            return False
        return self.not_before_ms <= now_ms

    def has_stale_intent(self, now_ms):
        """Return whether nothing was seen to run under an intent for too long."""
        if self.opened.intent is None or self.placements:
            return False
        return now_ms - self.intent_ms > STALE_INTENT_MS

    @property
    def reclaimable(self):
        """Whether a stop keeps every promise."""
        return self.job.idempotent or self.job.can_checkpoint


def running_view(entry, now_ms, prediction):
    """Return what the planner sees of an entry that holds accelerators."""
    job = entry.job
    elapsed_ms = now_ms - entry.started_ms if entry.started_ms else 0
    left_ms = prediction.remaining_ms(entry.kind, job.declared_run_ms, elapsed_ms)
    lost_ms = CHECKPOINT_COST_MS if job.can_checkpoint else elapsed_ms
    return RunningView(
        job.job_id,
        job.organisation,
        job.shape,
        entry.placements,
        entry.started_ms or now_ms,
        now_ms + left_ms,
        entry.reclaimable and not entry.stopping,
        lost_ms * job.shape.total_accelerators,
        job.urgency,
    )


def waiting_view(entry, prediction):
    """Return what the planner sees of an entry that waits."""
    job = entry.job
    return WaitingView(
        job.job_id,
        job.organisation,
        job.shape,
        job.urgency,
        entry.since_ms,
        prediction.total_ms(entry.kind, job.declared_run_ms),
        entry.reclaimable,
    )


def status_of(entry, state, code=ResultCode.PENDING):
    """Return the `JobStatus` that callers are told of an entry."""
    job = entry.job
    return JobStatus(
        job.job_id,
        state,
        code,
        "",
        job.organisation,
        job.service,
        workers=tuple(place.worker for place in entry.placements),
    )
