"""What is believed to be at each worker, from its lists and from our own orders.

A member is one run of a task that may be at a worker. It counts against the worker's
capacity from the moment its start is decided until the worker shows that it is not
there, is known to have started anew, or its lease has certainly lapsed.
"""

from enum import StrEnum
from typing import NamedTuple

from knapweedshed.models.work import EndKind, Resources, Task, TaskEnd

CLOCK_SLOWNESS_RATIO = 0.98  # a worker's clock may be 2% slow: the users' platform page
LAPSE_MARGIN_MS = 150  # one tick of ours and a late timer at the worker
HEARD_LIMIT_MS = 2_200  # a hold waits 1 s, its answer has 1 s, and a margin
SICK_FIRST_MS = 2_000  # first pause of a worker that failed; doubles
SICK_LONGEST_MS = 16_000
STRIKES_TO_SICK_COUNT = 2
IN_FLIGHT = -1
WHOLE_PERCENT = 100.0
TO_REPEAT = -2


class MemberPhase(StrEnum):
    """What was last ordered for a member."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class Member(NamedTuple):
    """One run of a task at a worker.

    `settled_ms` is when the last order for it was answered; a list asked for after
    that shows whether the run is there. `IN_FLIGHT` and `TO_REPEAT` stand for an order
    that has no answer yet, and one that must be given again. `tries` counts starts;
    `moved_ms` is when `percent` was last seen to rise, `ordered_ms` when the last order
    was decided.
    """

    task: Task
    run: int
    need: Resources
    phase: MemberPhase
    settled_ms: int = IN_FLIGHT
    started_ms: int = 0
    percent: float = 0.0
    saved: str = ""
    seen: bool = False
    tries: int = 1
    moved_ms: int = 0
    ordered_ms: int = 0


class Gone(NamedTuple):
    """A member that is certainly not at its worker any more."""

    member: Member
    kind: EndKind | None
    saved: str = ""


class WorkerBelief:
    """One worker, by its id; forgets what was there when it starts anew."""

    def __init__(self, worker_id, incarnation, written_off_ms, lease_ms):
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.entry = None
        self.members = {}
        self.reached = False
        self.heard_ms = -1
        self.seen_upto = 0
        self.unrecorded = {}
        self.sick_until_ms = 0
        self.strikes = 0
        self._lapse_ms = written_off_ms
        self._lease_ms = lease_ms
        self._clock_ms = 0
        self._clock_at_ms = 0
        self._lease_clock_ms = 0

    @property
    def acknowledgeable(self):
        """Return the number up to which all ends are recorded, or need no record."""
        if self.unrecorded:
            return min(self.unrecorded) - 1
        return self.seen_upto

    def free(self):
        """Return the capacity that no member takes."""
        return self.entry.capacity.minus(total(self.members.values()))

    def being_stopped(self):
        """Return the capacity of the members that are being stopped."""
        return total(
            member
            for member in self.members.values()
            if member.phase == MemberPhase.STOPPING
        )

    def usable(self, now_ms):
        """Return whether new work may be placed here."""
        return (
            self.entry is not None
            and self.reached
            and not self.entry.draining
            and now_ms - self.heard_ms < HEARD_LIMIT_MS
            and now_ms >= self.sick_until_ms
        )

    def deadline_for(self, now_ms, term_ms):
        """Return a lease end on the worker's clock, and count on its being taken.

        0 before the worker's clock is known.
        """
        if not self.reached:
            return 0
        deadline = self._clock_ms + (now_ms - self._clock_at_ms) + term_ms
        self._lease_clock_ms = max(self._lease_clock_ms, deadline)
        self._reckon_lapse()
        return deadline

    def renew(self, entry):
        """Take a newer entry; return what is gone if the worker started anew."""
        gone = ()
        if entry.incarnation != self.incarnation:
            gone = self.forget(entry.incarnation)
        self.entry = entry
        return gone

    def forget(self, incarnation):
        """The worker started anew: what it ever listed is gone.

        A member that it never listed stays: its start may reach the new incarnation.
        """
        gone = []
        for key, member in list(self.members.items()):
            if member.seen:
                del self.members[key]
                gone.append(Gone(member, EndKind.LAPSED))
        self.incarnation = incarnation
        self.reached = False
        self.seen_upto = 0
        self.unrecorded = {}
        self._lease_clock_ms = 0
        return gone

    def lapse(self, now_ms):
        """Return what has certainly lapsed by now."""
        if not self.members or now_ms <= self._lapse_ms:
            return ()
        gone = tuple(Gone(member, EndKind.LAPSED) for member in self.members.values())
        self.members = {}
        return gone

    def take_lists(self, lists, sent_ms, now_ms):
        """Fold an answer to a hold; return (gone members, new ends, strange runs)."""
        gone = []
        if lists.incarnation != self.incarnation:
            gone.extend(self.forget(lists.incarnation))
        if not self.reached:
            # A predecessor, or an earlier life of ours, may have renewed until now.
            self._lease_clock_ms = lists.clock_ms + self._lease_ms
        self.reached = True
        self.heard_ms = now_ms
        self._clock_ms = lists.clock_ms
        self._clock_at_ms = now_ms
        self._reckon_lapse()
        ends = [end for end in lists.ended if end.number > self.seen_upto]
        for end in ends:
            self.seen_upto = max(self.seen_upto, end.number)
            member = self.members.pop((end.task, end.run), None)
            if member is not None:
                gone.append(Gone(member, end.kind, end.saved))
        strange = self._match_running(lists.running, now_ms)
        gone.extend(self._not_listed(lists.running, sent_ms))
        return gone, tuple(ends), strange

    def strike(self, now_ms):
        """Count a failure of this worker; leave it out for a while after several."""
        self.strikes += 1
        if self.strikes >= STRIKES_TO_SICK_COUNT:
            doublings = min(self.strikes - STRIKES_TO_SICK_COUNT, 4)
            pause_ms = min(SICK_FIRST_MS << doublings, SICK_LONGEST_MS)
            self.sick_until_ms = now_ms + pause_ms
            return True
        return False

    def hangs(self, now_ms, patience_of):
        """Return whether all that has run here for a while stands still.

        `patience_of` returns how long a member may go without a step of progress. A
        gang's member that has done its part waits for the others, and tells nothing.
        """
        watched = [
            member
            for member in self.members.values()
            if member.seen
            and member.phase == MemberPhase.RUNNING
            and member.percent < WHOLE_PERCENT
        ]
        return bool(watched) and all(
            self.heard_ms - member.moved_ms > patience_of(member) for member in watched
        )

    def leave_out(self, until_ms):
        """Place nothing here before `until_ms`."""
        self.sick_until_ms = max(self.sick_until_ms, until_ms)

    def praise(self):
        """Work ended well here."""
        self.strikes = 0
        self.sick_until_ms = 0

    def _reckon_lapse(self):
        left_ms = max(0, self._lease_clock_ms - self._clock_ms)
        self._lapse_ms = (
            self._clock_at_ms + int(left_ms / CLOCK_SLOWNESS_RATIO) + LAPSE_MARGIN_MS
        )

    def _match_running(self, running, now_ms):
        strange = []
        for listed in running:
            key = (listed.task, listed.run)
            member = self.members.get(key)
            if member is None:
                strange.append(listed)
                continue
            phase = member.phase
            if phase == MemberPhase.STARTING:
                phase = MemberPhase.RUNNING
            moved = not member.seen or listed.percent > member.percent
            self.members[key] = member._replace(
                moved_ms=now_ms if moved else member.moved_ms,
                phase=phase,
                percent=listed.percent,
                saved=listed.saved or member.saved,
                seen=True,
            )
        return tuple(strange)

    def _not_listed(self, running, sent_ms):
        listed = {(run.task, run.run) for run in running}
        gone = []
        for key, member in list(self.members.items()):
            settled = 0 <= member.settled_ms < sent_ms
            if settled and key not in listed:
                del self.members[key]
                gone.append(Gone(member, None))
        return gone


def total(members):
    """Return what members need together."""
    cpu_milli = memory_mb = accelerators = 0
    for member in members:
        cpu_milli += member.need.cpu_milli
        memory_mb += member.need.memory_mb
        accelerators += member.need.accelerators
    return Resources(cpu_milli, memory_mb, accelerators)


def worth_recording(end: TaskEnd):
    """Return whether an end changes what the log says of its job."""
    return bool(end.saved) or end.kind in (EndKind.DONE, EndKind.FAILED)
