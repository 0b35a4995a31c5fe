"""Transition of a job when an attempt ends: the job ends or waits for another one."""

from typing import NamedTuple

from knapweedshed.decisions.attempts import NOT_RUN_STATES
from knapweedshed.models.attempts import AttemptOutcome
from knapweedshed.models.ledger import AttemptRefuted, Checkpointed
from knapweedshed.models.workers import LeaseState
from knapweedshed.results import ResultCode

MAX_FAILED_ATTEMPTS = 3
# End states of a lease that tell whether its task ran.
REPORTED_STATES = (
    *NOT_RUN_STATES,
    LeaseState.RUNNING.value,
    LeaseState.STOPPED.value,
    LeaseState.FINISHED.value,
    LeaseState.FAILED.value,
)


class Resolution(NamedTuple):
    """How a job continues after an attempt.

    The job ends with `code`, or waits for another attempt if `code` is None. `record`
    is appended to the ledger; `tokens` are the checkpoints to resume from, one per
    member. `failed` says that the attempt counts as failed.
    """

    code: ResultCode | None = None
    reason: str = ""
    record: object = None
    tokens: tuple = ()
    failed: bool = False


def resolve_attempt(open_job, attempt, failed_before):
    """Return the `Resolution` of an `OpenJob` after an attempt has ended.

    `failed_before` is the number of earlier attempts that ran and failed.
    """
    return _RESOLVERS[attempt.target_outcome](open_job, attempt, failed_before)


def _resolve_finished(open_job, attempt, failed_before):
    return Resolution(ResultCode.OK)


def _resolve_failed(open_job, attempt, failed_before):
    if open_job.job.idempotent and failed_before + 1 < MAX_FAILED_ATTEMPTS:
        return Resolution(failed=True)
    return Resolution(ResultCode.FAILED, attempt.reason)


def _resolve_stopped(open_job, attempt, failed_before):
    if open_job.cancelled:
        return Resolution(ResultCode.STOPPED, "cancelled while it ran")
    tokens = tuple(member.checkpoint_token for member in attempt.members)
    if all(tokens):
        record = Checkpointed(attempt.job_id, attempt.number, tokens)
        return Resolution(record=record, tokens=tokens)
    if open_job.job.idempotent:
        return Resolution()
    return Resolution(ResultCode.OUTCOME_UNKNOWN, "stopped without a checkpoint")


def _resolve_not_run(open_job, attempt, failed_before):
    record = None
    if attempt.intent_id:
        proof = f"every worker says so: {attempt.reason}"
        record = AttemptRefuted(
            attempt.job_id, attempt.number, attempt.intent_id, proof
        )
    if open_job.cancelled:
        reason = "cancelled before it ran"
        return Resolution(ResultCode.CANCELLED, reason, record)
    return Resolution(record=record)


def _resolve_lost(open_job, attempt, failed_before):
    reported = all(member.end_state in REPORTED_STATES for member in attempt.members)
    if open_job.cancelled and (reported or open_job.job.idempotent):
        return Resolution(ResultCode.STOPPED, "cancelled while it ran")
    if open_job.job.idempotent:
        return Resolution()
    if reported:
        reason = f"it had started, and was stopped: {attempt.reason}"
        return Resolution(ResultCode.STOPPED, reason)
    return Resolution(ResultCode.OUTCOME_UNKNOWN, attempt.reason)


_RESOLVERS = {
    AttemptOutcome.FINISHED: _resolve_finished,
    AttemptOutcome.FAILED: _resolve_failed,
    AttemptOutcome.STOPPED: _resolve_stopped,
    AttemptOutcome.NOT_RUN: _resolve_not_run,
    AttemptOutcome.LOST: _resolve_lost,
}
