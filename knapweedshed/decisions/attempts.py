"""How an attempt goes on after each event: gangs whole or not at all.

A gang's tasks are loaded but held until every member is loaded; then all are let
run. Whoever is lost takes the others with it. A single task needs no barrier, so it
runs as soon as it is loaded. What may have run is never called not run: that takes
every worker's word, under a lease that it has barred.
"""

from functools import singledispatch

from knapweedshed.models.attempts import (
    AppendIntent,
    Attempt,
    AttemptOutcome,
    AttemptPhase,
    CommandFailed,
    EndAttempt,
    IntentResolved,
    LeaseFreed,
    LeaseGranted,
    LeaseLost,
    LeaseReported,
    Member,
    SendCommand,
    StopRequested,
    TaskLoaded,
    TaskReleased,
    TaskStopped,
    TimePassed,
)
from knapweedshed.models.workers import LeaseState

LEASING_LIMIT_MS = 4_000
INTENT_LIMIT_MS = 5_000
LOADING_LIMIT_MS = 30_000
RELEASING_LIMIT_MS = 4_000
STOPPING_LIMIT_MS = 3_000
NEVER_STATES = ("never", "empty", "held")
GONE = "gone"

_LIMITS_MS = {
    AttemptPhase.LEASING: LEASING_LIMIT_MS,
    AttemptPhase.INTENT: INTENT_LIMIT_MS,
    AttemptPhase.LOADING: LOADING_LIMIT_MS,
    AttemptPhase.RELEASING: RELEASING_LIMIT_MS,
    AttemptPhase.STOPPING: STOPPING_LIMIT_MS,
}


def begin(job_id, number, leases, needs_intent, now_ms):
    """Return a new attempt on (lease id, placement) pairs, and its first actions."""
    members = tuple(Member(lease_id, place) for lease_id, place in leases)
    attempt = Attempt(job_id, number, members, needs_intent, tracked_since_ms=now_ms)
    return attempt, tuple(SendCommand("grant", index) for index in range(len(members)))


def clear(attempt, goal, reason):
    """Turn to ending every lease; return the attempt and its actions."""
    attempt = attempt._replace(
        phase=AttemptPhase.CLEARING, target_outcome=goal, reason=reason
    )
    return _clearing(attempt)


def missing_is_gone(granted_ms, report_sent_ms, free_in_flight):
    """Return whether a report that lacks a lease says that the lease has lapsed.

    Not if it was asked for before the grant; nor while our own free of the lease has
    no answer: the free takes the lease off the report, and its answer says what the
    task's state was, which a lapse would leave unknown.
    """
    return report_sent_ms > granted_ms and not free_in_flight


def step(attempt, event):
    """Return (attempt, actions) after an event."""
    if attempt.phase == AttemptPhase.ENDED:
        return attempt, ()
    return _on(event, attempt)


@singledispatch
def _on(event, attempt):
    raise TypeError(f"no rule for {type(event).__name__}")


@_on.register
def _on_granted(event: LeaseGranted, attempt):
    attempt = _set(attempt, event.member, granted=True)
    if attempt.phase == AttemptPhase.CLEARING:
        return attempt, (SendCommand("free", event.member),)
    if attempt.phase != AttemptPhase.LEASING:
        return attempt, ()
    if not all(member.granted for member in attempt.members):
        return attempt, ()
    if attempt.needs_intent:
        return attempt._replace(phase=AttemptPhase.INTENT), (AppendIntent(),)
    return _load(attempt)


@_on.register
def _on_intent(event: IntentResolved, attempt):
    if attempt.phase != AttemptPhase.INTENT:
        return attempt, ()
    if not event.won:
        return clear(attempt, AttemptOutcome.NOT_RUN, "another intent was first")
    return _load(attempt)


@_on.register
def _on_loaded(event: TaskLoaded, attempt):
    attempt = _set(attempt, event.member, loaded=True)
    return _advance(attempt)


@_on.register
def _on_released(event: TaskReleased, attempt):
    attempt = _set(attempt, event.member, loaded=True, released=True)
    return _advance(attempt)


@_on.register
def _on_failed(event: CommandFailed, attempt):
    member = attempt.members[event.member]
    if event.verb == "grant" and attempt.phase == AttemptPhase.LEASING:
        if event.refused:
            attempt = _set(attempt, event.member, end_state="never")
        return clear(attempt, AttemptOutcome.NOT_RUN, f"no lease: {event.reason}")
    if not event.verb.startswith("start") or member.loaded:
        return attempt, ()
    if not event.refused:
        return _set(attempt, event.member, start_unconfirmed=True), ()
    if attempt.phase == AttemptPhase.LOADING and not member.start_unconfirmed:
        return clear(attempt, AttemptOutcome.NOT_RUN, f"start refused: {event.reason}")
    return attempt, ()


@_on.register
def _on_seen(event: LeaseReported, attempt):
    lease = event.lease
    attempt = _set(attempt, event.member, lease=lease)
    if attempt.phase in (AttemptPhase.CLEARING, AttemptPhase.STOPPING):
        return attempt, ()
    if lease.state == LeaseState.EMPTY:
        return attempt, ()
    if lease.state == LeaseState.HELD:
        return _advance(_set(attempt, event.member, loaded=True))
    if lease.state == LeaseState.RUNNING:
        return _advance(_set(attempt, event.member, loaded=True, released=True))
    if lease.state == LeaseState.FINISHED:
        attempt = _set(attempt, event.member, loaded=True, released=True, finished=True)
        return _advance(attempt)
    if lease.state == LeaseState.FAILED:
        return clear(attempt, AttemptOutcome.FAILED, lease.reason)
    return clear(attempt, AttemptOutcome.LOST, f"a member was stopped: {lease.reason}")


@_on.register
def _on_gone(event: LeaseLost, attempt):
    attempt = _set(attempt, event.member, end_state=GONE)
    if attempt.phase == AttemptPhase.CLEARING:
        return _settle(attempt)
    return clear(attempt, AttemptOutcome.LOST, event.reason)


@_on.register
def _on_cleared(event: LeaseFreed, attempt):
    attempt = _set(attempt, event.member, end_state=event.state)
    if attempt.phase != AttemptPhase.CLEARING:
        return attempt, ()
    return _settle(attempt)


@_on.register
def _on_stopped(event: TaskStopped, attempt):
    attempt = _set(
        attempt, event.member, checkpoint_token=event.checkpoint_token or "0"
    )
    if attempt.phase != AttemptPhase.STOPPING:
        return attempt, ()
    if not all(member.checkpoint_token for member in attempt.members):
        return attempt, ()
    return clear(attempt, AttemptOutcome.STOPPED, attempt.reason)


@_on.register
def _on_stop_asked(event: StopRequested, attempt):
    if attempt.phase in (AttemptPhase.CLEARING, AttemptPhase.STOPPING):
        return attempt, ()
    if attempt.phase != AttemptPhase.RUNNING:
        return clear(attempt, AttemptOutcome.NOT_RUN, event.reason)
    if not event.checkpoint:
        return clear(attempt, AttemptOutcome.STOPPED, event.reason)
    attempt = attempt._replace(phase=AttemptPhase.STOPPING, reason=event.reason)
    return attempt, tuple(SendCommand("stop", i) for i in range(len(attempt.members)))


@_on.register
def _on_tick(event: TimePassed, attempt):
    if attempt.phase == AttemptPhase.CLEARING:
        return _clearing(attempt)
    limit_ms = _LIMITS_MS.get(attempt.phase)
    if limit_ms is not None and event.now_ms - attempt.tracked_since_ms > limit_ms:
        if attempt.phase == AttemptPhase.STOPPING:
            return clear(attempt, AttemptOutcome.STOPPED, attempt.reason)
        late = f"{attempt.phase.value} took more than {limit_ms} ms"
        return clear(attempt, AttemptOutcome.NOT_RUN, late)
    if attempt.phase == AttemptPhase.INTENT:
        return attempt, ()
    return attempt, tuple(_repeats(attempt))


def _repeats(attempt):
    for index, member in enumerate(attempt.members):
        if attempt.phase == AttemptPhase.LOADING and not member.loaded:
            yield SendCommand(_start_verb(attempt), index)
        if attempt.phase == AttemptPhase.RELEASING and not member.released:
            yield SendCommand("release", index)
        if attempt.phase == AttemptPhase.STOPPING and not member.checkpoint_token:
            yield SendCommand("stop", index)


def _load(attempt):
    attempt = attempt._replace(phase=AttemptPhase.LOADING)
    if not attempt.is_gang:
        attempt = _set(attempt, 0, may_run=True)
    verb = _start_verb(attempt)
    return attempt, tuple(SendCommand(verb, i) for i in range(len(attempt.members)))


def _start_verb(attempt):
    return "start-held" if attempt.is_gang else "start"


def _advance(attempt):
    if attempt.phase == AttemptPhase.LOADING and all(m.loaded for m in attempt.members):
        if not attempt.is_gang:
            attempt = attempt._replace(phase=AttemptPhase.RUNNING)
            return _advance(attempt)
        attempt = attempt._replace(phase=AttemptPhase.RELEASING)
        for index in range(len(attempt.members)):
            attempt = _set(attempt, index, may_run=True)
        return attempt, tuple(
            SendCommand("release", i) for i in range(len(attempt.members))
        )
    if attempt.phase == AttemptPhase.RELEASING and all(
        m.released for m in attempt.members
    ):
        return _advance(attempt._replace(phase=AttemptPhase.RUNNING))
    if attempt.phase == AttemptPhase.RUNNING and all(
        m.finished for m in attempt.members
    ):
        attempt = attempt._replace(phase=AttemptPhase.ENDED)
        rest = range(1, len(attempt.members))
        return attempt, (
            *(SendCommand("free", index) for index in rest),
            EndAttempt(AttemptOutcome.FINISHED, ""),
        )
    return attempt, ()


def _clearing(attempt):
    waiting = [i for i, member in enumerate(attempt.members) if not member.end_state]
    if not waiting:
        return _settle(attempt)
    return attempt, tuple(SendCommand("free", index) for index in waiting)


def _settle(attempt):
    if not all(member.end_state for member in attempt.members):
        return attempt, ()
    outcome = attempt.target_outcome
    if outcome in (AttemptOutcome.NOT_RUN, AttemptOutcome.LOST):
        outcome = (
            AttemptOutcome.NOT_RUN if _proven_not_run(attempt) else AttemptOutcome.LOST
        )
    return attempt._replace(phase=AttemptPhase.ENDED), (
        EndAttempt(outcome, attempt.reason),
    )


def _proven_not_run(attempt):
    return all(member.end_state in NEVER_STATES for member in attempt.members)


def _set(attempt, index, **changes):
    members = list(attempt.members)
    members[index] = members[index]._replace(**changes)
    return attempt._replace(members=tuple(members))
