"""Controller of a data centre's open jobs: schedules, retries and ends them."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.membership import SetLeaving, SetReady
from knapweedshed.controllers.messages import (
    AcceptDirectJob,
    ActingChanged,
    AppendLedgerRecord,
    AttemptAdopted,
    AttemptEnded,
    AttemptStarted,
    ConfigurationInForce,
    GetLedgerState,
    JobStatusChanged,
    LedgerState,
    LedgerUpdated,
    PeerReceived,
    SendToPeer,
    StartAttempt,
    StopAttempt,
    Tick,
    WorkerCommand,
    WorkerReported,
    WorkersChanged,
)
from knapweedshed.decisions.data_centre import DataCentre
from knapweedshed.decisions.endings import resolve_attempt
from knapweedshed.decisions.entries import status_of
from knapweedshed.decisions.job_table import JobTable
from knapweedshed.decisions.ledger import IntentWon, JobChanged, JobClosed, JobOpened
from knapweedshed.decisions.planner_factory import create_planner
from knapweedshed.decisions.recovery import Reconciler
from knapweedshed.models.attempts import AttemptOutcome, AttemptPhase
from knapweedshed.models.configuration import Configuration
from knapweedshed.models.jobs import AnswerLocation, JobState
from knapweedshed.models.ledger import CancelAsked, JobEnded
from knapweedshed.models.wire import (
    AskListing,
    Cancel,
    DirectAnswer,
    Listing,
    SubmitDirect,
)
from knapweedshed.results import ResultCode, is_not_run

PLAN_BATCH_DELAY_MS = 10
RECOVERY_TIMEOUT_MS = 8_000
RECONCILE_PERIOD_TICKS = 4
BASE_RETRY_DELAY_MS = 250
MAX_RETRY_DELAY_MS = 5_000


class _PlanNow(NamedTuple):
    """Plan once, together with all changes of the last `PLAN_BATCH_DELAY_MS`."""

    pass


class ConnectQueue(NamedTuple):
    """Gives the queue controller the actors that it sends messages to."""

    attempts: Any
    ledger: Any
    watches: Any
    workers: Any
    membership: Any


class QueueController(Controller):
    """Schedules the open jobs of a data centre on its workers.

    Plans from the ledger's jobs, the workers' reports and the configuration, but only
    while this process is the acting scheduler and has finished recovery.
    """

    def __init__(self, context, timer):
        super().__init__(context)
        self._timer = timer
        self._data_centre = DataCentre(context.settings.data_centre)
        self._inventory = self._data_centre.inventory
        self._planner = create_planner()
        self._configuration = Configuration()
        self._jobs = JobTable()
        self._acting = False
        self._recovery_started_ms = 0
        self._ready = False
        self._ledger_loaded = False
        self._reconciler = Reconciler()
        self._leaving = False
        self._tick_count = 0
        self._planning_scheduled = False
        self._unmet_guarantees = ()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def connect(self, message: ConnectQueue):
        """Set the actors that this controller sends messages to."""
        self._attempts = message.attempts
        self._ledger = message.ledger
        self._watches = message.watches
        self._workers = message.workers
        self._membership = message.membership

    @receive.register
    def stop_launching(self, message: SetLeaving):
        """Launch no more jobs, as this process is about to stop."""
        self._leaving = True

    @receive.register
    def update_configuration(self, message: ConfigurationInForce):
        """Replace the configuration and plan again."""
        self._configuration = message.configuration
        self._schedule_planning()

    @receive.register
    def update_workers(self, message: WorkersChanged):
        """Update the inventory with the known workers and those that are leaving."""
        self._inventory.update_hosts(message.hosts, message.leaving)
        self._schedule_planning()

    @receive.register
    def record_worker_report(self, message: WorkerReported):
        """Update the inventory with a worker's report, which may complete recovery."""
        self._inventory.update_report(message.worker, message.report)
        if self._acting and not self._ready:
            self._try_finish_recovery()
        self._schedule_planning()

    @receive.register
    def handle_acting_changed(self, message: ActingChanged):
        """Start recovery when this scheduler becomes acting; else drop placements."""
        self._acting = message.acting
        self._ready = False
        if not message.acting:
            self._forget_placements()
            return
        self._recovery_started_ms = self._now_ms()
        tell(self._ledger, GetLedgerState(self.actor_ref))

    @receive.register
    def load_ledger_state(self, message: LedgerState):
        """Load the ledger's open and closed jobs, and continue recovery."""
        self._ledger_loaded = True
        self._jobs.set_closed(message.closed)
        for open_job in message.open_jobs.values():
            self._jobs.open(open_job, self._now_ms())
        self._try_finish_recovery()

    @receive.register
    def apply_ledger_changes(self, message: LedgerUpdated):
        """Apply changes of jobs that the ledger has read from the log."""
        for change in message.changes:
            if isinstance(change, JobOpened):
                self._jobs.open(change.open_job, self._now_ms())
            elif isinstance(change, JobChanged):
                self._update_job(change.open_job)
            elif isinstance(change, IntentWon):
                self._jobs.record_intent(change.intent, self._now_ms())
            elif isinstance(change, JobClosed):
                self._jobs.record_ended(change.ended)
                self._remove_job(change.ended.job_id)
        self._schedule_planning()

    @receive.register
    def handle_peer_message(self, message: PeerReceived):
        """Serve cancellations, direct submissions and worker listings from peers."""
        request = message.message
        if isinstance(request, Cancel):
            self._handle_cancel_request(request.job_id)
        elif isinstance(request, SubmitDirect):
            self._submit_direct(request.job, message.connection)
        elif isinstance(request, AskListing) and request.kind == "workers":
            rows = self._data_centre.rows(self._now_ms())
            tell(message.connection, SendToPeer(Listing(request.ask_id, rows)))

    @receive.register
    def record_attempt_start(self, message: AttemptStarted):
        """Mark a job as running once all members of its attempt run."""
        entry = self._jobs.entries.get(message.job_id)
        if entry is None:
            return
        now_ms = self._now_ms()
        entry = self._jobs.update(entry, started_ms=now_ms)
        self._context.metrics.timing("job.wait", now_ms - entry.waiting_since_ms)
        self._publish_status(entry, JobState.RUNNING)

    @receive.register
    def handle_attempt_end(self, message: AttemptEnded):
        """End the job, or requeue it for another attempt."""
        attempt = message.attempt
        entry = self._jobs.entries.get(attempt.job_id)
        self._data_centre.record_attempt_end(entry, attempt, self._now_ms())
        self._jobs.pending_reclaims.pop(attempt.job_id, None)
        self._schedule_planning()
        if entry is None:
            return
        verdict = resolve_attempt(entry.open_job, attempt, entry.failed)
        if verdict.record is not None:
            tell(self._ledger, AppendLedgerRecord(verdict.record))
        if verdict.code is None:
            open_job = entry.open_job
            if verdict.tokens:
                open_job = open_job._replace(tokens=verdict.tokens)
            failed = entry.failed + verdict.failed
            self._requeue_job(entry._replace(open_job=open_job, failed=failed), attempt)
        elif verdict.code == ResultCode.OK:
            run_ms = attempt.members[0].lease.run_ms
            self._end_job(
                entry, verdict.code, "", self._answer_location(attempt), run_ms
            )
        else:
            self._end_job(entry, verdict.code, verdict.reason)

    @receive.register
    def tick(self, message: Tick):
        """Continue recovery, or end overdue jobs, reconcile leases and plan."""
        if not self._acting:
            return
        if not self._ready:
            self._try_finish_recovery()
            return
        self._end_overdue_jobs()
        self._tick_count += 1
        if self._tick_count % RECONCILE_PERIOD_TICKS == 0:
            self._reconcile_leases()
        if self._jobs.waiting():
            self._schedule_planning()

    @receive.register
    def plan(self, message: _PlanNow):
        """Plan once, and carry out the refusals, reclaims and launches of the plan."""
        self._planning_scheduled = False
        if not self._acting or not self._ready or self._leaving:
            return
        started_ms = self._now_ms()
        plan = self._planner.plan(
            self._data_centre.planning_input(
                started_ms,
                self._jobs.entries.values(),
                self._jobs.pending_reclaims,
                self._configuration.organisations,
            )
        )
        self._context.metrics.timing("plan", self._now_ms() - started_ms)
        for refusal in plan.refusals:
            entry = self._jobs.entries[refusal.job_id]
            self._end_job(entry, refusal.result.code, refusal.result.reason)
        for reclaim in plan.reclaims:
            self._stop_reclaim_victims(reclaim)
        for launch in plan.launches:
            self._launch_job(launch)
        if plan.unmet != self._unmet_guarantees:
            self._unmet_guarantees = plan.unmet
            self._context.logger.warning(
                "guarantees unmet", extra={"unmet": [u._asdict() for u in plan.unmet]}
            )

    def dump(self):
        """Return whether this scheduler acts, its jobs, and its workers' state."""
        return {
            "acting": self._acting,
            "ready": self._ready,
            "waiting": [entry.job.job_id for entry in self._jobs.waiting()],
            "running": {
                job_id: [placement.worker for placement in entry.placements]
                for job_id, entry in self._jobs.entries.items()
                if entry.placements
            },
            "unmet": [unmet._asdict() for unmet in self._unmet_guarantees],
            **self._data_centre.dump(),
        }

    def _now_ms(self):
        return self._context.clock.now_ms()

    def _schedule_planning(self):
        if not self._planning_scheduled:
            self._planning_scheduled = True
            self._timer.after(PLAN_BATCH_DELAY_MS, self.actor_ref, _PlanNow())

    def _update_job(self, open_job):
        entry = self._jobs.update_from_ledger(open_job)
        if entry is not None and open_job.cancelled:
            self._cancel_job(entry)

    def _remove_job(self, job_id):
        entry = self._jobs.remove(job_id)
        if entry is not None and entry.placements and self._acting:
            tell(self._attempts, StopAttempt(job_id, "ended elsewhere", False))

    def _handle_cancel_request(self, job_id):
        entry = self._jobs.entries.get(job_id)
        if entry is None or not self._acting:
            return
        tell(self._ledger, AppendLedgerRecord(CancelAsked(job_id)))
        self._update_job(entry.open_job._replace(cancelled=True))

    def _cancel_job(self, entry):
        if not self._acting or not self._ready:
            return
        if entry.placements:
            tell(self._attempts, StopAttempt(entry.job.job_id, "cancelled", False))
        else:
            self._end_job(entry, ResultCode.CANCELLED, "cancelled before it ran")

    def _submit_direct(self, job, connection):
        accepted = self._acting and self._ready and job.idempotent
        reason = "" if accepted else "this scheduler can't take it now"
        if accepted and job.job_id not in self._jobs.entries:
            self._jobs.direct.add(job.job_id)
            tell(self._ledger, AcceptDirectJob(job, connection))
        answer = DirectAnswer(job.job_id, accepted, reason)
        tell(connection, SendToPeer(answer))

    def _end_overdue_jobs(self):
        wall_ms = self._context.clock.wall_ms()
        for entry in self._jobs.waiting():
            if wall_ms > entry.job.deadline_wall_ms:
                self._end_job(
                    entry, ResultCode.EXPIRED, "its deadline came before a place"
                )
            elif entry.open_job.cancelled:
                self._cancel_job(entry)
        for entry, reason in self._jobs.over_waiting_limit(self._configuration):
            self._end_job(entry, ResultCode.LIMIT_EXCEEDED, reason)

    def _try_finish_recovery(self):
        """Finish recovery once the ledger is loaded and all workers have reported.

        After `RECOVERY_TIMEOUT_MS` it finishes without those that are missing.
        """
        if self._ready or not self._acting:
            return
        waited_ms = self._now_ms() - self._recovery_started_ms
        complete = self._ledger_loaded and not self._inventory.unheard()
        complete = complete and bool(self._inventory.names())
        if not complete and waited_ms < RECOVERY_TIMEOUT_MS:
            return
        self._ready = True
        tell(self._membership, SetReady())
        self._context.logger.info(
            "recovered",
            extra={
                "jobs": len(self._jobs.entries),
                "unheard": self._inventory.unheard(),
                "ledger_known": self._ledger_loaded,
            },
        )
        if self._ledger_loaded:
            self._apply_recovery(self._reconciler.recover_all)
        for entry in list(self._jobs.entries.values()):
            if entry.open_job.cancelled:
                self._cancel_job(entry)
        self._schedule_planning()

    def _reconcile_leases(self):
        if self._ledger_loaded:
            self._apply_recovery(self._reconciler.reconcile)

    def _apply_recovery(self, find_recovered):
        """Adopt or clear attempts and free leases, as `find_recovered` returns them.

        Workers hold these leases, but they belong to no attempt of this scheduler.
        """
        recovered = find_recovered(
            self._jobs.entries,
            self._inventory.reports,
            self._jobs.closed,
            self._now_ms(),
        )
        for attempt in (*recovered.adopted, *recovered.to_clear):
            self._adopt_attempt(attempt)
        for _, lease_id in recovered.to_free:
            tell(self._workers, WorkerCommand("free", lease_id, "", 0))

    def _adopt_attempt(self, attempt):
        entry = self._jobs.entries[attempt.job_id]
        placements = tuple(member.placement for member in attempt.members)
        number = max(entry.number, attempt.number)
        entry = self._jobs.update(
            entry, placements=placements, number=number, started_ms=self._now_ms()
        )
        self._inventory.allocate(attempt.job_id, placements)
        tell(self._attempts, AttemptAdopted(attempt, 0))
        if attempt.phase == AttemptPhase.RUNNING:
            self._publish_status(entry, JobState.RUNNING)

    def _forget_placements(self):
        for job_id in self._jobs.entries:
            self._inventory.release(job_id)
        self._jobs.clear_placements()

    def _launch_job(self, launch):
        entry = self._jobs.entries[launch.job_id]
        self._jobs.pending_reclaims.pop(launch.job_id, None)
        entry = self._jobs.update(
            entry, placements=launch.placements, started_ms=0, borrowed=launch.borrowed
        )
        self._data_centre.record_launch(launch.job_id, launch.placements)
        number = entry.number if entry.job.idempotent else entry.open_job.attempt
        tell(self._attempts, StartAttempt(entry.open_job, number, launch))
        self._publish_status(entry, JobState.STARTING)

    def _stop_reclaim_victims(self, reclaim):
        self._jobs.pending_reclaims[reclaim.job_id] = reclaim.placements
        self._context.metrics.count("reclaims", len(reclaim.victims))
        for job_id in reclaim.victims:
            entry = self._jobs.entries[job_id]
            if entry.stopping:
                continue
            self._jobs.update(entry, stopping=True)
            reason = f"reclaimed for {reclaim.job_id}"
            stop = StopAttempt(job_id, reason, entry.job.can_checkpoint)
            tell(self._attempts, stop)

    def _answer_location(self, attempt):
        """Return which worker and lease hold the answer of a finished attempt."""
        first = attempt.members[0]
        worker = first.placement.worker
        return AnswerLocation(
            worker,
            self._inventory.address_of(worker),
            first.lease_id,
            first.lease.answer_length,
            first.lease.answer_digest,
        )

    def _requeue_job(self, entry, attempt):
        delay_ms = min(BASE_RETRY_DELAY_MS << min(entry.retries, 8), MAX_RETRY_DELAY_MS)
        if attempt.target_outcome in (AttemptOutcome.STOPPED,):
            delay_ms = 0
        delay_ms += (
            self._context.random.randrange(BASE_RETRY_DELAY_MS) if delay_ms else 0
        )
        entry = self._jobs.update(
            entry,
            placements=(),
            stopping=False,
            number=attempt.number + 1,
            retries=entry.retries + 1,
            not_before_ms=self._now_ms() + delay_ms,
        )
        self._publish_status(entry, JobState.WAITING)

    def _end_job(self, entry, code, reason, answer=None, run_ms=0):
        job = entry.job
        wait_ms = max(0, (entry.started_ms or self._now_ms()) - entry.waiting_since_ms)
        workers = tuple(placement.worker for placement in entry.placements)
        ended = JobEnded(job.job_id, code, reason, answer, wait_ms, run_ms, workers)
        self._jobs.close(ended)
        self._context.metrics.count(f"job.{code.name.lower()}")
        self._context.logger.info(
            "job ended",
            extra={
                "job": job.job_id,
                "organisation": job.organisation,
                "code": int(code),
                "reason": reason,
            },
        )
        tell(self._ledger, AppendLedgerRecord(ended))
        if entry.direct or not is_not_run(code):
            status = status_of(entry, JobState.ENDED, code)._replace(
                reason=reason, answer=answer, wait_ms=wait_ms, run_ms=run_ms
            )
            tell(self._watches, JobStatusChanged(status))

    def _publish_status(self, entry, state):
        tell(self._watches, JobStatusChanged(status_of(entry, state)))
