"""State machine of an attempt to run a job, with gangs started all or nothing.

The tasks of a gang are loaded but held until every member is loaded; then all are
released. Losing one member ends the attempt for all of them. A single task needs no
barrier and runs as soon as it is loaded. An attempt that may have run is never
reported as not run: `AttemptOutcome.NOT_RUN` requires that every worker reports that
its task did not run, and that the worker will never grant that lease again.
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

# Timeouts count from the creation or adoption of the attempt, not from the start of
# the phase.
LEASING_TIMEOUT_MS = 4_000
INTENT_TIMEOUT_MS = 5_000
LOADING_TIMEOUT_MS = 30_000
RELEASING_TIMEOUT_MS = 4_000
STOPPING_TIMEOUT_MS = 3_000
# End states of a lease that prove that its task did not run.
NOT_RUN_STATES = ("never", "empty", "held")
# End state of a lease that ended without its worker reporting a state.
UNREPORTED_STATE = "gone"

_PHASE_TIMEOUTS_MS = {
    AttemptPhase.LEASING: LEASING_TIMEOUT_MS,
    AttemptPhase.INTENT: INTENT_TIMEOUT_MS,
    AttemptPhase.LOADING: LOADING_TIMEOUT_MS,
    AttemptPhase.RELEASING: RELEASING_TIMEOUT_MS,
    AttemptPhase.STOPPING: STOPPING_TIMEOUT_MS,
}


def create_attempt(job_id, number, leases, needs_intent, now_ms):
    """Return (attempt, actions) for a new attempt that requests its leases.

    `leases` has one (lease id, placement) pair per member.
    """
    members = tuple(Member(lease_id, place) for lease_id, place in leases)
    attempt = Attempt(job_id, number, members, needs_intent, tracked_since_ms=now_ms)
    return attempt, tuple(SendCommand("grant", index) for index in range(len(members)))


def start_clearing(attempt, target_outcome, reason):
    """Free every lease of the attempt; return (attempt, actions).

    `target_outcome` is the intended `AttemptOutcome`. Once all leases have ended, the
    end states that the workers report decide between `NOT_RUN` and `LOST`.
    """
    attempt = attempt._replace(
        phase=AttemptPhase.CLEARING, target_outcome=target_outcome, reason=reason
    )
    return _free_remaining_leases(attempt)


def missing_lease_lapsed(granted_ms, report_requested_ms, free_in_flight):
    """Return whether a lease that is missing from a worker's report has lapsed.

    A report requested at or before the time of the grant proves nothing. Neither does
    one received while the attempt's own `free` command is unanswered: `free` removes
    the lease from the report, and its answer has the state of the task, which would
    stay unknown if the lease were taken as lapsed. Times are in milliseconds of the
    local clock.
    """
    return report_requested_ms > granted_ms and not free_in_flight


def apply_event(attempt, event):
    """Apply an event; return (attempt, actions).

    Raises TypeError for an event type that has no handler.
    """
    if attempt.phase == AttemptPhase.ENDED:
        return attempt, ()
    return _handle(event, attempt)


@singledispatch
def _handle(event, attempt):
    raise TypeError(f"no handler for event type {type(event).__name__}")


@_handle.register
def _on_lease_granted(event: LeaseGranted, attempt):
    attempt = _update_member(attempt, event.member, granted=True)
    if attempt.phase == AttemptPhase.CLEARING:
        return attempt, (SendCommand("free", event.member),)
    if attempt.phase != AttemptPhase.LEASING:
        return attempt, ()
    if not all(member.granted for member in attempt.members):
        return attempt, ()
    if attempt.needs_intent:
        return attempt._replace(phase=AttemptPhase.INTENT), (AppendIntent(),)
    return _start_loading(attempt)


@_handle.register
def _on_intent_resolved(event: IntentResolved, attempt):
    if attempt.phase != AttemptPhase.INTENT:
        return attempt, ()
    if not event.won:
        return start_clearing(
            attempt, AttemptOutcome.NOT_RUN, "another intent was first"
        )
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
    if event.verb == "grant" and attempt.phase == AttemptPhase.LEASING:
        if event.refused:
            attempt = _update_member(attempt, event.member, end_state="never")
        return start_clearing(
            attempt, AttemptOutcome.NOT_RUN, f"no lease: {event.reason}"
        )
    if not event.verb.startswith("start") or member.loaded:
        return attempt, ()
    if not event.refused:
        return _update_member(attempt, event.member, start_unconfirmed=True), ()
    if attempt.phase == AttemptPhase.LOADING and not member.start_unconfirmed:
        return start_clearing(
            attempt, AttemptOutcome.NOT_RUN, f"start refused: {event.reason}"
        )
    return attempt, ()


@_handle.register
def _on_lease_reported(event: LeaseReported, attempt):
    lease = event.lease
    attempt = _update_member(attempt, event.member, lease=lease)
    if attempt.phase in (AttemptPhase.CLEARING, AttemptPhase.STOPPING):
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
        return start_clearing(attempt, AttemptOutcome.FAILED, lease.reason)
    return start_clearing(
        attempt, AttemptOutcome.LOST, f"a member was stopped: {lease.reason}"
    )


@_handle.register
def _on_lease_lost(event: LeaseLost, attempt):
    attempt = _update_member(attempt, event.member, end_state=UNREPORTED_STATE)
    if attempt.phase == AttemptPhase.CLEARING:
        return _end_if_all_leases_ended(attempt)
    return start_clearing(attempt, AttemptOutcome.LOST, event.reason)


@_handle.register
def _on_lease_freed(event: LeaseFreed, attempt):
    attempt = _update_member(attempt, event.member, end_state=event.state)
    if attempt.phase != AttemptPhase.CLEARING:
        return attempt, ()
    return _end_if_all_leases_ended(attempt)


@_handle.register
def _on_task_stopped(event: TaskStopped, attempt):
    attempt = _update_member(
        attempt, event.member, checkpoint_token=event.checkpoint_token or "0"
    )
    if attempt.phase != AttemptPhase.STOPPING:
        return attempt, ()
    if not all(member.checkpoint_token for member in attempt.members):
        return attempt, ()
    return start_clearing(attempt, AttemptOutcome.STOPPED, attempt.reason)


@_handle.register
def _on_stop_requested(event: StopRequested, attempt):
    if attempt.phase in (AttemptPhase.CLEARING, AttemptPhase.STOPPING):
        return attempt, ()
    if attempt.phase != AttemptPhase.RUNNING:
        return start_clearing(attempt, AttemptOutcome.NOT_RUN, event.reason)
    if not event.checkpoint:
        return start_clearing(attempt, AttemptOutcome.STOPPED, event.reason)
    attempt = attempt._replace(phase=AttemptPhase.STOPPING, reason=event.reason)
    return attempt, tuple(SendCommand("stop", i) for i in range(len(attempt.members)))


@_handle.register
def _on_time_passed(event: TimePassed, attempt):
    if attempt.phase == AttemptPhase.CLEARING:
        return _free_remaining_leases(attempt)
    limit_ms = _PHASE_TIMEOUTS_MS.get(attempt.phase)
    if limit_ms is not None and event.now_ms - attempt.tracked_since_ms > limit_ms:
        if attempt.phase == AttemptPhase.STOPPING:
            return start_clearing(attempt, AttemptOutcome.STOPPED, attempt.reason)
        reason = f"{attempt.phase.value} took more than {limit_ms} ms"
        return start_clearing(attempt, AttemptOutcome.NOT_RUN, reason)
    if attempt.phase == AttemptPhase.INTENT:
        return attempt, ()
    return attempt, tuple(_commands_to_resend(attempt))


def _commands_to_resend(attempt):
    """Yield the commands of the current phase that are not confirmed yet."""
    for index, member in enumerate(attempt.members):
        if attempt.phase == AttemptPhase.LOADING and not member.loaded:
            yield SendCommand(_start_verb(attempt), index)
        if attempt.phase == AttemptPhase.RELEASING and not member.released:
            yield SendCommand("release", index)
        if attempt.phase == AttemptPhase.STOPPING and not member.checkpoint_token:
            yield SendCommand("stop", index)


def _start_loading(attempt):
    attempt = attempt._replace(phase=AttemptPhase.LOADING)
    if not attempt.is_gang:
        attempt = _update_member(attempt, 0, may_run=True)
    verb = _start_verb(attempt)
    return attempt, tuple(SendCommand(verb, i) for i in range(len(attempt.members)))


def _start_verb(attempt):
    return "start-held" if attempt.is_gang else "start"


def _advance_phase(attempt):
    """Move to the next phase if all members are ready; return (attempt, actions)."""
    if attempt.phase == AttemptPhase.LOADING and all(m.loaded for m in attempt.members):
        if not attempt.is_gang:
            attempt = attempt._replace(phase=AttemptPhase.RUNNING)
            return _advance_phase(attempt)
        attempt = attempt._replace(phase=AttemptPhase.RELEASING)
        for index in range(len(attempt.members)):
            attempt = _update_member(attempt, index, may_run=True)
        return attempt, tuple(
            SendCommand("release", i) for i in range(len(attempt.members))
        )
    if attempt.phase == AttemptPhase.RELEASING and all(
        m.released for m in attempt.members
    ):
        return _advance_phase(attempt._replace(phase=AttemptPhase.RUNNING))
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


def _free_remaining_leases(attempt):
    """Free the leases that have not ended yet; return (attempt, actions)."""
    remaining = [i for i, member in enumerate(attempt.members) if not member.end_state]
    if not remaining:
        return _end_if_all_leases_ended(attempt)
    return attempt, tuple(SendCommand("free", index) for index in remaining)


def _end_if_all_leases_ended(attempt):
    """End the attempt once every lease has ended; return (attempt, actions)."""
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
    return all(member.end_state in NOT_RUN_STATES for member in attempt.members)


def _update_member(attempt, index, **changes):
    members = list(attempt.members)
    members[index] = members[index]._replace(**changes)
    return attempt._replace(members=tuple(members))
