"""What becomes of a job after an attempt: it ends, or it waits for another one."""

from typing import NamedTuple

from knapweedshed.decisions.attempts import NEVER_STATES
from knapweedshed.models.attempts import AttemptOutcome
from knapweedshed.models.ledger import AttemptRefuted, Checkpointed
from knapweedshed.models.workers import LeaseState
from knapweedshed.results import ResultCode

MOST_FAILED_ATTEMPTS = 3
KNOWN_STATES = (
    *NEVER_STATES,
    LeaseState.RUNNING.value,
    LeaseState.STOPPED.value,
    LeaseState.FINISHED.value,
    LeaseState.FAILED.value,
)


class Verdict(NamedTuple):
    """How it goes on: `code` ends the job, without one it waits again.

    `record` is a fact for the ledger; `tokens` are checkpoints to go on from.
    """

    code: ResultCode | None = None
    reason: str = ""
    record: object = None
    tokens: tuple = ()
    failed: bool = False


def judge(opened, attempt, failed_before):
    """Return the `Verdict` on an ended attempt of an `OpenJob`.

    `failed_before` counts the attempts that ran and failed.
    """
    return _RULES[attempt.target_outcome](opened, attempt, failed_before)


def _finished(opened, attempt, failed_before):
    return Verdict(ResultCode.OK)


def _failed(opened, attempt, failed_before):
    if opened.job.idempotent and failed_before + 1 < MOST_FAILED_ATTEMPTS:
        return Verdict(failed=True)
    return Verdict(ResultCode.FAILED, attempt.reason)


def _stopped(opened, attempt, failed_before):
    if opened.cancelled:
        return Verdict(ResultCode.STOPPED, "cancelled while it ran")
    tokens = tuple(member.checkpoint_token for member in attempt.members)
    if all(tokens):
        record = Checkpointed(attempt.job_id, attempt.number, tokens)
        return Verdict(record=record, tokens=tokens)
    if opened.job.idempotent:
        return Verdict()
    return Verdict(ResultCode.OUTCOME_UNKNOWN, "stopped without a checkpoint")


def _not_run(opened, attempt, failed_before):
    record = None
    if attempt.intent_id:
        proof = f"every worker says so: {attempt.reason}"
        record = AttemptRefuted(
            attempt.job_id, attempt.number, attempt.intent_id, proof
        )
    if opened.cancelled:
        reason = "cancelled before it ran"
        return Verdict(ResultCode.CANCELLED, reason, record)
    return Verdict(record=record)


def _lost(opened, attempt, failed_before):
    known = all(member.end_state in KNOWN_STATES for member in attempt.members)
    if opened.cancelled and (known or opened.job.idempotent):
        return Verdict(ResultCode.STOPPED, "cancelled while it ran")
    if opened.job.idempotent:
        return Verdict()
    if known:
        reason = f"it had started, and was stopped: {attempt.reason}"
        return Verdict(ResultCode.STOPPED, reason)
    return Verdict(ResultCode.OUTCOME_UNKNOWN, attempt.reason)


_RULES = {
    AttemptOutcome.FINISHED: _finished,
    AttemptOutcome.FAILED: _failed,
    AttemptOutcome.STOPPED: _stopped,
    AttemptOutcome.NOT_RUN: _not_run,
    AttemptOutcome.LOST: _lost,
}
