"""State machine of an attempt to run a job, with gangs started all or nothing.

The tasks of a gang are loaded but held until every member is loaded; then all are
released. Losing one member ends the attempt for all of them. A single task needs no
barrier and runs as soon as it is loaded. An attempt that may have run is never
reported as not run: `Outcome.NOT_RUN` requires that every worker reports that its task
did not run, under a lease that the worker has since barred.
"""

from functools import singledispatch

from knapweedshed.models.attempts import (
    Attempt,
    CommandFailed,
    End,
    IntentSettled,
    LeaseCleared,
    LeaseGone,
    LeaseGranted,
    LeaseSeen,
    Member,
    Outcome,
    Phase,
    RecordIntent,
    Send,
    StopAsked,
    TaskLoaded,
    TaskReleased,
    TaskStopped,
    Ticked,
)
from knapweedshed.models.workers import LeaseState

# Timeouts count from the creation of the attempt, not from the start of the phase.
LEASING_TIMEOUT_MS = 4_000
INTENT_TIMEOUT_MS = 5_000
LOADING_TIMEOUT_MS = 30_000
RELEASING_TIMEOUT_MS = 4_000
STOPPING_TIMEOUT_MS = 3_000
# States of a cleared lease that prove that its task did not run.
NOT_RUN_STATES = ("never", "empty", "held")
# Recorded for a lease that ended without its worker reporting the state.
UNREPORTED_STATE = "gone"

_PHASE_TIMEOUTS_MS = {
    Phase.LEASING: LEASING_TIMEOUT_MS,
    Phase.INTENT: INTENT_TIMEOUT_MS,
    Phase.LOADING: LOADING_TIMEOUT_MS,
    Phase.RELEASING: RELEASING_TIMEOUT_MS,
    Phase.STOPPING: STOPPING_TIMEOUT_MS,
}


def create_attempt(job_id, number, leases, needs_intent, now_ms):
    """Return (attempt, actions) for a new attempt that requests its leases.

    `leases` has one (lease id, placement) pair per member.
    """
    members = tuple(Member(lease_id, place) for lease_id, place in leases)
    attempt = Attempt(job_id, number, members, needs_intent, since_ms=now_ms)
    return attempt, tuple(Send("grant", index) for index in range(len(members)))


def start_clearing(attempt, goal, reason):
    """Free every lease of the attempt; return (attempt, actions).

    `goal` is the intended `Outcome`. Once all leases are cleared, the states that the
    workers report decide between `NOT_RUN` and `LOST`.
    """
    attempt = attempt._replace(phase=Phase.CLEARING, goal=goal, reason=reason)
    return _free_uncleared(attempt)


def missing_lease_lapsed(granted_ms, report_sent_ms, free_in_flight):
    """Return whether a lease that is missing from a worker's report has lapsed.

    A report requested at or before the time of the grant proves nothing. Neither does
    one received while the attempt's own `free` command is unanswered: `free` removes
    the lease from the report, and its answer has the state of the task, which would
    stay unknown if the lease were taken as lapsed. Times are in milliseconds of the
    local clock.
    """
    return report_sent_ms > granted_ms and not free_in_flight


def step(attempt, event):
    """Apply an event; return (attempt, actions).

    Raises TypeError for an event type that has no handler.
    """
    if attempt.phase == Phase.ENDED:
        return attempt, ()
    return _handle(event, attempt)


@singledispatch
def _handle(event, attempt):
    raise TypeError(f"no handler for event type {type(event).__name__}")


@_handle.register
def _on_lease_granted(event: LeaseGranted, attempt):
    attempt = _update_member(attempt, event.member, granted=True)
    if attempt.phase == Phase.CLEARING:
        return attempt, (Send("free", event.member),)
    if attempt.phase != Phase.LEASING:
        return attempt, ()
    if not all(member.granted for member in attempt.members):
        return attempt, ()
    if attempt.needs_intent:
        return attempt._replace(phase=Phase.INTENT), (RecordIntent(),)
    return _start_loading(attempt)


@_handle.register
def _on_intent_settled(event: IntentSettled, attempt):
    if attempt.phase != Phase.INTENT:
        return attempt, ()
    if not event.won:
        return start_clearing(attempt, Outcome.NOT_RUN, "another intent was first")
    return _start_loading(attempt)


@_handle.register
def _on_task_loaded(event: TaskLoaded, attempt):
    attempt = _update_member(attempt, event.member, loaded=True)
    return _advance_phase(attempt)


@_handle.register
def _on_task_released(event: TaskReleased, attempt):
    attempt = _update_member(attempt, event.member, loaded=True, released=True)
    return _advance_phase(attempt)


@_handle.register
def _on_command_failed(event: CommandFailed, attempt):
    member = attempt.members[event.member]
    if event.verb == "grant" and attempt.phase == Phase.LEASING:
        if event.refused:
            attempt = _update_member(attempt, event.member, cleared="never")
        return start_clearing(attempt, Outcome.NOT_RUN, f"no lease: {event.reason}")
    if not event.verb.startswith("start") or member.loaded:
        return attempt, ()
    if not event.refused:
        return _update_member(attempt, event.member, in_doubt=True), ()
    if attempt.phase == Phase.LOADING and not member.in_doubt:
        return start_clearing(
            attempt, Outcome.NOT_RUN, f"start refused: {event.reason}"
        )
    return attempt, ()


@_handle.register
def _on_lease_seen(event: LeaseSeen, attempt):
    lease = event.lease
    attempt = _update_member(attempt, event.member, lease=lease)
    if attempt.phase in (Phase.CLEARING, Phase.STOPPING):
        return attempt, ()
    if lease.state == LeaseState.EMPTY:
        return attempt, ()
    if lease.state == LeaseState.HELD:
        return _advance_phase(_update_member(attempt, event.member, loaded=True))
    if lease.state == LeaseState.RUNNING:
        return _advance_phase(
            _update_member(attempt, event.member, loaded=True, released=True)
        )
    if lease.state == LeaseState.FINISHED:
        attempt = _update_member(
            attempt, event.member, loaded=True, released=True, finished=True
        )
        return _advance_phase(attempt)
    if lease.state == LeaseState.FAILED:
        return start_clearing(attempt, Outcome.FAILED, lease.reason)
    return start_clearing(
        attempt, Outcome.LOST, f"a member was stopped: {lease.reason}"
    )


@_handle.register
def _on_lease_gone(event: LeaseGone, attempt):
    attempt = _update_member(attempt, event.member, cleared=UNREPORTED_STATE)
    if attempt.phase == Phase.CLEARING:
        return _end_if_cleared(attempt)
    return start_clearing(attempt, Outcome.LOST, event.reason)


@_handle.register
def _on_lease_cleared(event: LeaseCleared, attempt):
    attempt = _update_member(attempt, event.member, cleared=event.state)
    if attempt.phase != Phase.CLEARING:
        return attempt, ()
    return _end_if_cleared(attempt)


@_handle.register
def _on_task_stopped(event: TaskStopped, attempt):
    attempt = _update_member(attempt, event.member, token=event.token or "0")
    if attempt.phase != Phase.STOPPING:
        return attempt, ()
    if not all(member.token for member in attempt.members):
        return attempt, ()
    return start_clearing(attempt, Outcome.STOPPED, attempt.reason)


@_handle.register
def _on_stop_asked(event: StopAsked, attempt):
    if attempt.phase in (Phase.CLEARING, Phase.STOPPING):
        return attempt, ()
    if attempt.phase != Phase.RUNNING:
        return start_clearing(attempt, Outcome.NOT_RUN, event.reason)
    if not event.checkpoint:
        return start_clearing(attempt, Outcome.STOPPED, event.reason)
    attempt = attempt._replace(phase=Phase.STOPPING, reason=event.reason)
    return attempt, tuple(Send("stop", i) for i in range(len(attempt.members)))


@_handle.register
def _on_tick(event: Ticked, attempt):
    if attempt.phase == Phase.CLEARING:
        return _free_uncleared(attempt)
    limit_ms = _PHASE_TIMEOUTS_MS.get(attempt.phase)
    if limit_ms is not None and event.now_ms - attempt.since_ms > limit_ms:
        if attempt.phase == Phase.STOPPING:
            return start_clearing(attempt, Outcome.STOPPED, attempt.reason)
        reason = f"{attempt.phase.value} took more than {limit_ms} ms"
        return start_clearing(attempt, Outcome.NOT_RUN, reason)
    if attempt.phase == Phase.INTENT:
        return attempt, ()
    return attempt, tuple(_commands_to_resend(attempt))


def _commands_to_resend(attempt):
    """Yield the commands of the current phase that are not confirmed yet."""
    for index, member in enumerate(attempt.members):
        if attempt.phase == Phase.LOADING and not member.loaded:
            yield Send(_start_verb(attempt), index)
        if attempt.phase == Phase.RELEASING and not member.released:
            yield Send("release", index)
        if attempt.phase == Phase.STOPPING and not member.token:
            yield Send("stop", index)


def _start_loading(attempt):
    attempt = attempt._replace(phase=Phase.LOADING)
    if not attempt.is_gang:
        attempt = _update_member(attempt, 0, may_run=True)
    verb = _start_verb(attempt)
    return attempt, tuple(Send(verb, i) for i in range(len(attempt.members)))


def _start_verb(attempt):
    return "start-held" if attempt.is_gang else "start"


def _advance_phase(attempt):
    """Move to the next phase if all members are ready; return (attempt, actions)."""
    if attempt.phase == Phase.LOADING and all(m.loaded for m in attempt.members):
        if not attempt.is_gang:
            attempt = attempt._replace(phase=Phase.RUNNING)
            return _advance_phase(attempt)
        attempt = attempt._replace(phase=Phase.RELEASING)
        for index in range(len(attempt.members)):
            attempt = _update_member(attempt, index, may_run=True)
        return attempt, tuple(Send("release", i) for i in range(len(attempt.members)))
    if attempt.phase == Phase.RELEASING and all(m.released for m in attempt.members):
        return _advance_phase(attempt._replace(phase=Phase.RUNNING))
    if attempt.phase == Phase.RUNNING and all(m.finished for m in attempt.members):
        attempt = attempt._replace(phase=Phase.ENDED)
        rest = range(1, len(attempt.members))
        return attempt, (
            *(Send("free", index) for index in rest),
            End(Outcome.FINISHED, ""),
        )
    return attempt, ()


def _free_uncleared(attempt):
    """Free the leases that are not cleared yet; return (attempt, actions)."""
    uncleared = [i for i, member in enumerate(attempt.members) if not member.cleared]
    if not uncleared:
        return _end_if_cleared(attempt)
    return attempt, tuple(Send("free", index) for index in uncleared)


def _end_if_cleared(attempt):
    """End the attempt once every lease is cleared; return (attempt, actions)."""
    if not all(member.cleared for member in attempt.members):
        return attempt, ()
    outcome = attempt.goal
    if outcome in (Outcome.NOT_RUN, Outcome.LOST):
        outcome = Outcome.NOT_RUN if _proven_not_run(attempt) else Outcome.LOST
    return attempt._replace(phase=Phase.ENDED), (End(outcome, attempt.reason),)


def _proven_not_run(attempt):
    return all(member.cleared in NOT_RUN_STATES for member in attempt.members)


def _update_member(attempt, index, **changes):
    members = list(attempt.members)
    members[index] = members[index]._replace(**changes)
    return attempt._replace(members=tuple(members))
