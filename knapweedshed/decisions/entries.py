"""Entries of open jobs in the queue, and their views for planner and callers."""

from typing import Any, NamedTuple

from knapweedshed.models.jobs import JobStatus
from knapweedshed.models.planning import RunningView, WaitingView
from knapweedshed.results import ResultCode

CHECKPOINT_COST_MS = 500  # run time lost by a job that stops at a checkpoint
INTENT_STALE_AFTER_MS = 10_000


class JobEntry(NamedTuple):
    """State of an open job in this scheduler.

    `open_job` is the `OpenJob` of the ledger; `number` is that of the current or next
    attempt. `failed` counts the attempts that ran and failed, `retries` the times that
    the job returned to the queue. `placements` is empty while the job waits. `borrowed`
    says that the organisation's guarantee doesn't cover the job; `direct` says that it
    was accepted without the log.

    Times are in milliseconds of the local clock. `not_before_ms` is the earliest time
    of the next attempt; `started_ms` is 0 until all members run or the attempt is
    adopted; `intent_ms` is when the accepted intent was recorded here.
    """

    open_job: Any
    waiting_since_ms: int
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
        """The submitted `Job`."""
        return self.open_job.job

    @property
    def kind(self):
        """Key by which run times are learned: (organisation, service)."""
        return (self.job.organisation, self.job.service)

    def may_start(self, now_ms):
        """Return whether a waiting job may be planned now.

        An unrefuted intent means that some scheduler may have an attempt under way.
        """
        if self.open_job.cancelled or self.open_job.intent is not None:
            return False
        return self.not_before_ms <= now_ms

    def has_stale_intent(self, now_ms):
        """Return whether an intent has had no attempt here for too long.

        The limit is `INTENT_STALE_AFTER_MS`.
        """
        if self.open_job.intent is None or self.placements:
            return False
        return now_ms - self.intent_ms > INTENT_STALE_AFTER_MS

    @property
    def reclaimable(self):
        """Whether the job can be stopped without breaking a guarantee to its caller."""
        return self.job.idempotent or self.job.can_checkpoint


def running_view(entry, now_ms, predictor):
    """Return the planner's `RunningView` of an entry that has placements."""
    job = entry.job
    elapsed_ms = now_ms - entry.started_ms if entry.started_ms else 0
    remaining_ms = predictor.remaining_ms(entry.kind, job.declared_run_ms, elapsed_ms)
    lost_ms = CHECKPOINT_COST_MS if job.can_checkpoint else elapsed_ms
    return RunningView(
        job.job_id,
        job.organisation,
        job.shape,
        entry.placements,
        entry.started_ms or now_ms,
        now_ms + remaining_ms,
        entry.reclaimable and not entry.stopping,
        lost_ms * job.shape.total_accelerators,
        job.urgency,
    )


def waiting_view(entry, predictor):
    """Return the planner's `WaitingView` of an entry that waits."""
    job = entry.job
    return WaitingView(
        job.job_id,
        job.organisation,
        job.shape,
        job.urgency,
        entry.waiting_since_ms,
        predictor.total_ms(entry.kind, job.declared_run_ms),
        entry.reclaimable,
    )


def status_of(entry, state, code=ResultCode.PENDING):
    """Return the `JobStatus` of an entry, as reported to callers."""
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
