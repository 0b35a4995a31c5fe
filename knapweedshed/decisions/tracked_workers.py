"""The acting scheduler's view of the runs that may exist at each worker.

The view combines the worker's answers to holds with the scheduler's own orders. A hold
is a long poll that renews the worker's lease and returns its running and ended runs. An
assigned run counts against the worker's capacity from the moment its start is decided
until one of these is certain: the worker no longer has the run, the worker restarted,
or its lease expired.
"""

from enum import StrEnum
from typing import NamedTuple

from knapweedshed.models.work import EndKind, Resources, Task, TaskEnd

MIN_CLOCK_RATE_RATIO = 0.98  # the workers' platform lets their clocks run 2% slow
LEASE_EXPIRY_MARGIN_MS = 150  # one scheduler tick and a late timer at the worker
MAX_ANSWER_AGE_MS = 3_200  # a hold waits 2 s, its answer may take 1 s, plus a margin
QUARANTINE_INITIAL_MS = 2_000  # doubles with each further failure
QUARANTINE_MAX_MS = 16_000
FAILURES_TO_QUARANTINE_COUNT = 2
MAX_COUNTED_FAILURES_COUNT = 6  # more don't make a quarantine longer
ORDER_IN_FLIGHT = -1  # in place of a time, in `order_answered_ms`
COMPLETE_PERCENT = 100.0
ORDER_TO_REPEAT = -2  # in place of a time, in `order_answered_ms`


class RunPhase(StrEnum):
    """Phase of an assigned run, by the last order for it and the worker's answers."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class AssignedRun(NamedTuple):
    """One run of a task that may exist at a worker.

    `run` is the number of the run, counted from 1 for each unit; `saved` is the last
    checkpoint that the worker listed.

    `order_answered_ms` is when the worker answered the last order for the run; only a
    hold sent after that shows whether the run exists. `ORDER_IN_FLIGHT` stands for an
    order without an answer so far, `ORDER_TO_REPEAT` for one that must be sent again.
    `start_attempts` counts the start orders, `reported` tells whether the worker has
    ever listed the run, `progressed_ms` is when `percent` was last seen to rise, and
    `ordered_ms` is when the last order was decided. Times are in milliseconds on the
    scheduler's monotonic clock.
    """

    task: Task
    run: int
    need: Resources
    phase: RunPhase
    order_answered_ms: int = ORDER_IN_FLIGHT
    started_ms: int = 0
    percent: float = 0.0
    saved: str = ""
    reported: bool = False
    start_attempts: int = 1
    progressed_ms: int = 0
    ordered_ms: int = 0


class RemovedRun(NamedTuple):
    """An assigned run that certainly no longer exists at its worker.

    `kind` is None if the worker lists neither the run nor an end of it; `saved` is the
    checkpoint in its end.
    """

    assigned_run: AssignedRun
    kind: EndKind | None
    saved: str = ""


class WorkerLife(NamedTuple):
    """What a decision to start work on a worker rests on, beside its capacity.

    A worker is leaving if it is draining or not listed any more.
    """

    incarnation: int
    leaving: bool


class TrackedWorker:
    """The scheduler's view of one worker, by worker id, across its restarts.

    `entry` is its entry in the platform's list of workers, or None if not listed. Keys
    of `assigned_runs` are (task, run); keys of `unrecorded_ends` are end numbers.
    `is_silent` means that the last hold or order got no answer. `leaves_at_ms` is the
    earliest time at which a draining worker may be gone, or None if that is unknown.
    """

    def __init__(self, worker_id, incarnation, lease_expiry_ms, lease_ms):
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.entry = None
        self.assigned_runs = {}
        self.has_answered = False
        self.last_answer_ms = -1
        self.is_silent = False
        self.leaves_at_ms = None
        self.last_end_number = 0
        self.unrecorded_ends = {}
        self.quarantined_until_ms = 0
        self._failure_causes = []
        self._failure_quarantine_until_ms = -1
        self._restart_noticed_ms = -1
        self._listed_serving_ms = None
        self._lease_expiry_ms = lease_expiry_ms
        self._lease_ms = lease_ms
        self._worker_clock_ms = 0
        self._worker_clock_read_ms = 0
        self._lease_end_clock_ms = 0

    @property
    def consecutive_failures(self):
        """Return how many failures count against this worker since its last success."""
        return len(self._failure_causes)

    @property
    def life(self):
        """Return the worker's present `WorkerLife`."""
        leaving = self.entry is None or self.entry.draining
        return WorkerLife(self.incarnation, leaving)

    @property
    def is_draining(self):
        """Return whether the worker is listed as draining in its present life."""
        return (
            self.entry is not None
            and self.entry.draining
            and self.entry.incarnation == self.incarnation
        )

    @property
    def last_acknowledgeable_end(self):
        """Return the number up to which all ends are recorded or need no record."""
        if self.unrecorded_ends:
            return min(self.unrecorded_ends) - 1
        return self.last_end_number

    @property
    def has_doubtful_runs(self):
        """Return whether a run is to be stopped that may never have started.

        No end of it may ever be listed; only a list without it tells that it is gone.
        """
        return any(
            assigned_run.phase == RunPhase.STOPPING and not assigned_run.reported
            for assigned_run in self.assigned_runs.values()
        )

    def free_capacity(self):
        """Return the capacity that no assigned run uses."""
        return self.entry.capacity.minus(total_need(self.assigned_runs.values()))

    def stopping_capacity(self):
        """Return the capacity used by the runs that are being stopped."""
        return total_need(
            assigned_run
            for assigned_run in self.assigned_runs.values()
            if assigned_run.phase == RunPhase.STOPPING
        )

    def accepts_work(self, now_ms):
        """Return whether new work may be placed on this worker.

        A worker that has started anew may be of another kind: its capacity and labels
        are unknown until the list has the entry of its present incarnation.
        """
        return (
            self.entry is not None
            and self.has_answered
            and self.entry.incarnation == self.incarnation
            and not self.entry.draining
            and not self.is_silent
            and now_ms - self.last_answer_ms < MAX_ANSWER_AGE_MS
            and now_ms >= self.quarantined_until_ms
        )

    def extend_lease(self, now_ms, lease_ms):
        """Return a new lease end on the worker's clock, in milliseconds.

        From then on the lease counts as extended, whether or not the message
        that carries it arrives. Returns 0 while the worker's clock is unknown.
        """
        if not self.has_answered:
            return 0
        lease_end_clock_ms = (
            self._worker_clock_ms + (now_ms - self._worker_clock_read_ms) + lease_ms
        )
        self._lease_end_clock_ms = max(self._lease_end_clock_ms, lease_end_clock_ms)
        self._update_lease_expiry()
        return lease_end_clock_ms

    def lease_left_ms(self, now_ms):
        """Return for how long the lease may still hold.

        A worker without assigned runs has a lease as well: an end that it listed may
        not be acknowledged, and stands until the lease expires.
        """
        return max(0, self._lease_expiry_ms - now_ms)

    def limit_lease(self, lease_end_ms):
        """Take an earlier end of the lease, unless the worker has ever answered.

        This scheduler may have granted leases since. A restart takes back
        `has_answered`, but a start that was sent before may still reach the worker.
        """
        if not self.has_answered and self.last_answer_ms < 0:
            self._lease_expiry_ms = min(self._lease_expiry_ms, lease_end_ms)

    def update_entry(self, entry, now_ms):
        """Store an entry of the list; return the runs removed if the worker restarted.

        The list lags behind: an entry of an earlier incarnation than the one that the
        worker itself has named changes nothing but the address and the labels. A worker
        that is draining keeps draining for the rest of its incarnation.
        """
        removed = ()
        is_stale = self.has_answered and entry.incarnation < self.incarnation
        if not is_stale and entry.incarnation != self.incarnation:
            removed = self.handle_restart(entry.incarnation, now_ms)
        if self.entry is not None and self.entry.incarnation == entry.incarnation:
            entry = entry._replace(draining=entry.draining or self.entry.draining)
        self.entry = entry
        self._note_departure(now_ms)
        return removed

    def handle_restart(self, incarnation, now_ms):
        """Remove and return all runs that the worker listed before it restarted.

        Runs that it never listed stay: their starts may reach the new incarnation.
        """
        removed = []
        for key, assigned_run in list(self.assigned_runs.items()):
            if assigned_run.reported:
                del self.assigned_runs[key]
                removed.append(RemovedRun(assigned_run, EndKind.LAPSED))
        self.incarnation = incarnation
        self._restart_noticed_ms = now_ms
        self._listed_serving_ms = None
        self.leaves_at_ms = None
        self.has_answered = False
        self.last_end_number = 0
        self.unrecorded_ends = {}
        self._lease_end_clock_ms = 0
        return removed

    def expire_runs(self, now_ms):
        """Remove and return all runs if the worker's lease has certainly expired."""
        if not self.assigned_runs or now_ms <= self._lease_expiry_ms:
            return ()
        removed = tuple(
            RemovedRun(assigned_run, EndKind.LAPSED)
            for assigned_run in self.assigned_runs.values()
        )
        self.assigned_runs = {}
        return removed

    def apply_hold_answer(self, answer, sent_ms, now_ms):
        """Apply a `HoldAnswer` to a hold that was sent at `sent_ms`.

        Returns (removed runs, new ends, listed runs that are not assigned). An answer
        to a hold that was sent before a restart was noticed may come from the life
        before it: its ends have other numbers, and its runs are gone.
        """
        removed = []
        if answer.incarnation != self.incarnation:
            if sent_ms < self._restart_noticed_ms:
                return [], (), ()
            removed.extend(self.handle_restart(answer.incarnation, now_ms))
        if not self.has_answered:
            # A predecessor, or this host before it restarted, may have renewed the
            # lease up to this moment.
            self._lease_end_clock_ms = answer.clock_ms + self._lease_ms
        self.has_answered = True
        self.last_answer_ms = now_ms
        self.is_silent = False
        self._worker_clock_ms = answer.clock_ms
        self._worker_clock_read_ms = now_ms
        self._update_lease_expiry()
        ends = [end for end in answer.ended if end.number > self.last_end_number]
        for end in ends:
            self.last_end_number = max(self.last_end_number, end.number)
            assigned_run = self.assigned_runs.pop((end.task, end.run), None)
            if assigned_run is not None:
                removed.append(RemovedRun(assigned_run, end.kind, end.saved))
        unassigned = self._update_listed_runs(answer.running, now_ms)
        if answer.is_complete:
            removed.extend(self._remove_unlisted_runs(answer.running, sent_ms))
        else:
            self._keep_unlisted_runs(answer.running, now_ms)
        return removed, tuple(ends), unassigned

    def record_failure(self, now_ms, unit=None):
        """Count a failure, of a unit if it is known; return whether that quarantines.

        A failure counts until the worker succeeds, or until it is withdrawn.
        """
        causes = [*self._failure_causes, unit]
        self._failure_causes = causes[-MAX_COUNTED_FAILURES_COUNT:]
        if self.consecutive_failures < FAILURES_TO_QUARANTINE_COUNT:
            return False
        doublings = self.consecutive_failures - FAILURES_TO_QUARANTINE_COUNT
        quarantine_ms = min(QUARANTINE_INITIAL_MS << doublings, QUARANTINE_MAX_MS)
        self.quarantined_until_ms = now_ms + quarantine_ms
        self._failure_quarantine_until_ms = self.quarantined_until_ms
        return True

    def withdraw_failures(self, unit):
        """Stop counting the failures of a unit, and end a quarantine that needed them.

        A quarantine for another reason stays.
        """
        self._failure_causes = [item for item in self._failure_causes if item != unit]
        if (
            self.consecutive_failures < FAILURES_TO_QUARANTINE_COUNT
            and self.quarantined_until_ms == self._failure_quarantine_until_ms
        ):
            self.quarantined_until_ms = 0

    def is_hanging(self, now_ms, stall_limit_ms_of):
        """Return whether every run that should progress here has stalled.

        `stall_limit_ms_of` returns for an assigned run the milliseconds that it may go
        without progress. Runs at 100% are left out: a gang member that has finished
        its part waits for the others and reports no further progress.
        """
        watched = [
            assigned_run
            for assigned_run in self.assigned_runs.values()
            if assigned_run.reported
            and assigned_run.phase == RunPhase.RUNNING
            and assigned_run.percent < COMPLETE_PERCENT
        ]
        return bool(watched) and all(
            self.last_answer_ms - assigned_run.progressed_ms
            > stall_limit_ms_of(assigned_run)
            for assigned_run in watched
        )

    def quarantine(self, until_ms):
        """Place nothing on this worker before `until_ms`."""
        self.quarantined_until_ms = max(self.quarantined_until_ms, until_ms)

    def record_success(self):
        """Reset the failure count and end the quarantine."""
        self._failure_causes = []
        self.quarantined_until_ms = 0

    def _note_departure(self, now_ms):
        """Update when the worker may be gone, from its entry.

        `remaining_ms` counts from when the entry was written, which was after the last
        list in which the worker was still serving. An entry that says so from the first
        may be of any age.
        """
        if self.entry.incarnation != self.incarnation:
            return
        if not self.entry.draining:
            self._listed_serving_ms = now_ms
        elif self.entry.remaining_ms:
            leaves_at_ms = now_ms
            if self._listed_serving_ms is not None:
                leaves_at_ms = self._listed_serving_ms + self.entry.remaining_ms
            if self.leaves_at_ms is None or leaves_at_ms < self.leaves_at_ms:
                self.leaves_at_ms = leaves_at_ms

    def _update_lease_expiry(self):
        """Compute when the lease has expired even by a slow worker clock."""
        left_ms = max(0, self._lease_end_clock_ms - self._worker_clock_ms)
        self._lease_expiry_ms = (
            self._worker_clock_read_ms
            + int(left_ms / MIN_CLOCK_RATE_RATIO)
            + LEASE_EXPIRY_MARGIN_MS
        )

    def _update_listed_runs(self, running, now_ms):
        """Update the assigned runs that a worker lists; return the unassigned ones."""
        unassigned = []
        for listed in running:
            key = (listed.task, listed.run)
            assigned_run = self.assigned_runs.get(key)
            if assigned_run is None:
                unassigned.append(listed)
                continue
            phase = assigned_run.phase
            if phase == RunPhase.STARTING:
                phase = RunPhase.RUNNING
            progressed = (
                not assigned_run.reported or listed.percent > assigned_run.percent
            )
            self.assigned_runs[key] = assigned_run._replace(
                progressed_ms=now_ms if progressed else assigned_run.progressed_ms,
                phase=phase,
                percent=listed.percent,
                saved=listed.saved or assigned_run.saved,
                reported=True,
            )
        return tuple(unassigned)

    def _remove_unlisted_runs(self, running, sent_ms):
        """Remove and return the runs that the worker would list if they existed.

        Only a complete answer to a hold that was sent after the answer to the last
        order is evidence of that.
        """
        listed = {(run.task, run.run) for run in running}
        removed = []
        for key, assigned_run in list(self.assigned_runs.items()):
            order_answered = 0 <= assigned_run.order_answered_ms < sent_ms
            if order_answered and key not in listed:
                del self.assigned_runs[key]
                removed.append(RemovedRun(assigned_run, None))
        return removed

    def _keep_unlisted_runs(self, running, now_ms):
        """Keep the runs that a worker doesn't list, as their ends may not fit in.

        A run that may have ended is not stalled.
        """
        listed = {(run.task, run.run) for run in running}
        for key, assigned_run in self.assigned_runs.items():
            if key not in listed:
                self.assigned_runs[key] = assigned_run._replace(progressed_ms=now_ms)


def total_need(assigned_runs):
    """Return the sum of the resources that assigned runs need."""
    cpu_milli = memory_mb = accelerators = 0
    for assigned_run in assigned_runs:
        cpu_milli += assigned_run.need.cpu_milli
        memory_mb += assigned_run.need.memory_mb
        accelerators += assigned_run.need.accelerators
    return Resources(cpu_milli, memory_mb, accelerators)


def unchanged_workers(launched, workers):
    """Return the `TrackedWorker`s of a launch, or () if one left or started anew."""
    found = []
    for worker_id, incarnation in launched.workers:
        worker = workers.get(worker_id)
        if worker is None or worker.life != WorkerLife(incarnation, leaving=False):
            return ()
        found.append(worker)
    return tuple(found)


def needs_recording(end: TaskEnd):
    """Return whether an end changes the state of its job in the log."""
    return bool(end.saved) or end.kind in (EndKind.DONE, EndKind.FAILED)
