"""What a scheduler makes of the leases that it finds after its own restart."""

from typing import NamedTuple

from knapweedshed.decisions.lease_ids import worker_of
from knapweedshed.models.attempts import Attempt, AttemptPhase, Member
from knapweedshed.models.shapes import Placement
from knapweedshed.models.workers import ENDED_LEASE_STATES, LeaseState


class FoundLease(NamedTuple):
    """A lease in a worker's report."""

    worker: str
    lease: object


class Recovered(NamedTuple):
    """What to do: attempts to go on with or to clear, leases to free."""

    adopted: tuple[Attempt, ...] = ()
    to_clear: tuple[Attempt, ...] = ()
    to_free: tuple[tuple[str, str], ...] = ()


class Reconciler:
    """Compares workers' reports with the attempts that a scheduler knows of.

    At recovery every stranger is taken up at once. Later a lease must be seen twice,
    as reports lag behind commands.
    """

    def __init__(self):
        self._strangers = set()

    def recover_all(self, entries, reports, closed, now_ms):
        """Return `Recovered` for all jobs without an attempt of ours."""
        found = self._look(entries, reports)
        return recover(_waiting(entries), closed, found, now_ms)

    def reconcile(self, entries, reports, closed, now_ms):
        """Return `Recovered` for strangers that stay, and intents that went stale."""
        before = self._strangers
        found = self._look(entries, reports)
        found = [item for item in found if item.lease.lease_id in before]
        held = {item.lease.labels.job_id for item in found}
        waiting = {
            job_id: opened
            for job_id, opened in _waiting(entries).items()
            if job_id in held or entries[job_id].has_stale_intent(now_ms)
        }
        return recover(waiting, closed, found, now_ms)

    def _look(self, entries, reports):
        found = []
        for worker, report in reports.items():
            for lease in report.leases:
                entry = entries.get(lease.labels.job_id)
                if entry is None or not entry.placements:
                    found.append(FoundLease(worker, lease))
        self._strangers = {item.lease.lease_id for item in found}
        return found


def _waiting(entries):
    return {
        job_id: entry.opened
        for job_id, entry in entries.items()
        if not entry.placements
    }


def recover(open_jobs, closed, found, now_ms):
    """Return `Recovered` from the ledger's open jobs and the found leases.

    `open_jobs` maps job ids to `OpenJob`; `closed` maps ended job ids to `JobEnded`.
    A gang goes on only if every member runs or has finished; any other is cleared,
    and its workers' words decide whether it had run.
    """
    groups = {}
    to_free = []
    for item in found:
        labels = item.lease.labels
        if labels.job_id in open_jobs:
            group = groups.setdefault((labels.job_id, labels.attempt), {})
            spare = _less_telling(open_jobs[labels.job_id], group, item)
            if spare is not None:
                to_free.append((spare.worker, spare.lease.lease_id))
        elif not _holds_answer(closed.get(labels.job_id), item):
            to_free.append((item.worker, item.lease.lease_id))
    adopted = []
    to_clear = []
    for (job_id, number), members in sorted(groups.items()):
        if not members:
            continue
        attempt = _attempt(open_jobs[job_id], number, members, now_ms)
        if attempt.phase == AttemptPhase.RUNNING:
            intent = open_jobs[job_id].intent
            intent_id = intent.intent_id if intent else ""
            adopted.append(attempt._replace(intent_id=intent_id))
        else:
            to_clear.append(_with_intended(attempt, open_jobs[job_id]))
    seen = {attempt.job_id for attempt in (*adopted, *to_clear)}
    for job_id, opened in sorted(open_jobs.items()):
        if job_id not in seen and opened.intent is not None:
            nothing = Attempt(
                job_id,
                opened.attempt,
                (),
                True,
                AttemptPhase.CLEARING,
                tracked_since_ms=now_ms,
            )
            to_clear.append(_with_intended(nothing, opened))
    return Recovered(tuple(adopted), tuple(to_clear), tuple(to_free))


def _with_intended(attempt, opened):
    """Add the leases that the winning intent names and no report shows."""
    intent = opened.intent
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


def _less_telling(opened, group, item):
    """Put a lease into its group; return the one of two that is to be freed.

    Two schedulers that acted at once may both have leased for a member: what the
    winning intent doesn't name can't have run, and what runs goes before what doesn't.
    """
    intent = opened.intent
    lease = item.lease
    if intent is not None and intent.attempt == lease.labels.attempt:
        if lease.lease_id not in intent.lease_ids:
            return item
    other = group.get(lease.labels.member)
    if other is not None and _runs(other.lease):
        return item
    group[lease.labels.member] = item
    return other


def _runs(lease):
    return lease.state in (LeaseState.RUNNING, LeaseState.FINISHED)


def _holds_answer(ended, item):
    if ended is None:
        return False
    return ended.answer is not None and ended.answer.task == item.lease.lease_id


def _attempt(opened, number, found, now_ms):
    labels = next(iter(found.values())).lease.labels
    members = []
    whole = len(found) == labels.members
    for index in range(labels.members):
        item = found.get(index)
        if item is None:
            continue
        lease = item.lease
        runs = _runs(lease)
        whole = whole and runs
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
    phase = AttemptPhase.RUNNING if whole else AttemptPhase.CLEARING
    needs_intent = not opened.job.idempotent
    return Attempt(
        opened.job.job_id,
        number,
        tuple(members),
        needs_intent,
        phase,
        tracked_since_ms=now_ms,
    )
