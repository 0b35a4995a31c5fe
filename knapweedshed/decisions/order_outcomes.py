"""What the outcome of an order, or a change in a worker's life, means for starts."""

from knapweedshed.models.dispatch_actions import (
    ORDER_UNKNOWN,
    REASON_EXPIRED,
    REASON_LATE,
    REASON_NO_CAPACITY,
    REASON_NOT_SENT,
    REASON_OTHER_INCARNATION,
    REASON_STALE_RUN,
    REASON_UNHEALTHY,
    REASON_UNREACHABLE,
    REASON_WITHDRAWN,
    WithdrawStarts,
)

NOT_STARTED_REASONS = (
    REASON_STALE_RUN,
    REASON_LATE,
    REASON_NO_CAPACITY,
    REASON_NOT_SENT,
    REASON_UNHEALTHY,
    REASON_UNREACHABLE,
    REASON_OTHER_INCARNATION,
    REASON_EXPIRED,
    REASON_WITHDRAWN,
)


def withdraw_starts(worker, life_before):
    """Return [`WithdrawStarts`] if a worker began to leave or started anew, or []."""
    life = worker.life
    if life.incarnation == life_before.incarnation and (
        life_before.leaving or not life.leaving
    ):
        return []
    return [WithdrawStarts(worker.worker_id)]


def shows_silence(outcome):
    """Return whether an order was sent and got no answer, or found no connection."""
    if outcome.kind == ORDER_UNKNOWN:
        return outcome.reason != REASON_NOT_SENT
    return outcome.reason == REASON_UNREACHABLE
