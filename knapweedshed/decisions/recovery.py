"""Recovery of attempts from the leases that workers report.

An orphan is a reported lease whose job has no attempt in this scheduler, for example
after the scheduler's restart.
"""

from typing import NamedTuple

from knapweedshed.decisions.lease_ids import worker_of
from knapweedshed.models.attempts import Attempt, AttemptPhase, Member
from knapweedshed.models.shapes import Placement
from knapweedshed.models.workers import ENDED_LEASE_STATES, LeaseState


class FoundLease(NamedTuple):
    """A lease from the report of a worker."""

    worker: str
    lease: object


class RecoveryPlan(NamedTuple):
    """Attempts to continue (`adopted`) or to clear, and further leases to free.

    To clear an attempt is to free all its leases and so end it. `to_free` has (worker,
    lease id) pairs of leases that no attempt uses.
    """

    adopted: tuple[Attempt, ...] = ()
    to_clear: tuple[Attempt, ...] = ()
    to_free: tuple[tuple[str, str], ...] = ()


class Reconciler:
    """Compares workers' reports with the attempts known to this scheduler.

    Recovery handles every orphan at once. Later passes handle an orphan only if the
    previous pass found it too, because reports lag behind commands.
    """

    def __init__(self):
        self._orphan_lease_ids = set()

    def recover_all(self, entries, reports, closed, now_ms):
        """Return the `RecoveryPlan` for all jobs that have no attempt here."""
        found = self._find_orphans(entries, reports)
        return plan_recovery(_jobs_without_attempt(entries), closed, found, now_ms)

    def reconcile(self, entries, reports, closed, now_ms):
        """Return the `RecoveryPlan` for repeated orphans and stale intents.

        An orphan is repeated if the previous pass found it too.
        """
        previous_ids = self._orphan_lease_ids
        found = self._find_orphans(entries, reports)
        found = [item for item in found if item.lease.lease_id in previous_ids]
        orphan_jobs = {item.lease.labels.job_id for item in found}
        open_jobs = {
            job_id: open_job
            for job_id, open_job in _jobs_without_attempt(entries).items()
            if job_id in orphan_jobs or entries[job_id].has_stale_intent(now_ms)
        }
        return plan_recovery(open_jobs, closed, found, now_ms)

    def _find_orphans(self, entries, reports):
        found = []
        for worker, report in reports.items():
            for lease in report.leases:
                entry = entries.get(lease.labels.job_id)
                if entry is None or not entry.placements:
                    found.append(FoundLease(worker, lease))
        self._orphan_lease_ids = {item.lease.lease_id for item in found}
        return found


def _jobs_without_attempt(entries):
    return {
        job_id: entry.open_job
        for job_id, entry in entries.items()
        if not entry.placements
    }


def plan_recovery(open_jobs, closed, found, now_ms):
    """Return the `RecoveryPlan` for open jobs and the leases found for them.

    `open_jobs` maps job ids to `OpenJob`; `closed` maps ended job ids to `JobEnded`.
    A gang continues only if every member is running or finished. Any other gang is
    cleared, and the states that its workers report decide whether it ran.
    """
    groups = {}
    to_free = []
    for item in found:
        labels = item.lease.labels
        if labels.job_id in open_jobs:
            group = groups.setdefault((labels.job_id, labels.attempt), {})
            redundant = _add_to_group(open_jobs[labels.job_id], group, item)
            if redundant is not None:
                to_free.append((redundant.worker, redundant.lease.lease_id))
        elif not _holds_answer(closed.get(labels.job_id), item):
            to_free.append((item.worker, item.lease.lease_id))
    adopted = []
    to_clear = []
    for (job_id, number), members in sorted(groups.items()):
        if not members:
            continue
        attempt = _build_attempt(open_jobs[job_id], number, members, now_ms)
        if attempt.phase == AttemptPhase.RUNNING:
            intent = open_jobs[job_id].intent
            intent_id = intent.intent_id if intent else ""
            adopted.append(attempt._replace(intent_id=intent_id))
        else:
            to_clear.append(_add_intended_leases(attempt, open_jobs[job_id]))
    planned_job_ids = {attempt.job_id for attempt in (*adopted, *to_clear)}
    for job_id, open_job in sorted(open_jobs.items()):
        if job_id not in planned_job_ids and open_job.intent is not None:
            unreported = Attempt(
                job_id,
                open_job.attempt,
                (),
                True,
                AttemptPhase.CLEARING,
                tracked_since_ms=now_ms,
            )
            to_clear.append(_add_intended_leases(unreported, open_job))
    return RecoveryPlan(tuple(adopted), tuple(to_clear), tuple(to_free))


def _add_intended_leases(attempt, open_job):
    """Add the leases that the accepted intent lists but no report contains."""
    intent = open_job.intent
    if intent is None or intent.attempt != attempt.number:
        return attempt
    found = {member.lease_id for member in attempt.members}
    missing = tuple(
        Member(lease_id, Placement(worker_of(lease_id), ()))
        for lease_id in intent.lease_ids
        if lease_id not in found
    )
    return attempt._replace(
        members=(*attempt.members, *missing), intent_id=intent.intent_id
    )


def _add_to_group(open_job, group, item):
    """Add a lease to the group of its attempt; return a redundant lease, or None.

    Two schedulers that were acting at the same time may both hold a lease for one
    member. A lease that the accepted intent doesn't list can't have run, so it is
    redundant; otherwise a running or finished lease is preferred to one that is not.
    """
    intent = open_job.intent
    lease = item.lease
    if intent is not None and intent.attempt == lease.labels.attempt:
        if lease.lease_id not in intent.lease_ids:
            return item
    other = group.get(lease.labels.member)
    if other is not None and _is_running_or_finished(other.lease):
        return item
    group[lease.labels.member] = item
    return other


def _is_running_or_finished(lease):
    return lease.state in (LeaseState.RUNNING, LeaseState.FINISHED)


def _holds_answer(ended, item):
    """Return whether a lease holds the answer of an ended job."""
    if ended is None:
        return False
    return ended.answer is not None and ended.answer.task == item.lease.lease_id


def _build_attempt(open_job, number, found, now_ms):
    """Return an attempt from `FoundLease`s by member: running, or to be cleared."""
    labels = next(iter(found.values())).lease.labels
    members = []
    complete = len(found) == labels.members
    for index in range(labels.members):
        item = found.get(index)
        if item is None:
            continue
        lease = item.lease
        runs = _is_running_or_finished(lease)
        complete = complete and runs
        members.append(
            Member(
                lease.lease_id,
                Placement(item.worker, tuple(lease.accelerators)),
                granted=True,
                loaded=lease.state != LeaseState.EMPTY,
                released=runs,
                finished=lease.state == LeaseState.FINISHED,
                may_run=lease.state in (LeaseState.RUNNING, *ENDED_LEASE_STATES),
                lease=lease,
            )
        )
    phase = AttemptPhase.RUNNING if complete else AttemptPhase.CLEARING
    needs_intent = not open_job.job.idempotent
    return Attempt(
        open_job.job.job_id,
        number,
        tuple(members),
        needs_intent,
        phase,
        tracked_since_ms=now_ms,
    )
