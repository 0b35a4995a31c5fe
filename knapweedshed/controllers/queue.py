"""Owns the jobs of a data centre that have not ended, and plans what runs."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.membership import SetLeaving, SetReady
from knapweedshed.controllers.messages import (
    ActingChanged,
    AttemptAdopted,
    AttemptEnded,
    AttemptStarted,
    ConfigurationInForce,
    JobsFolded,
    LedgerState,
    LedgerStateAsked,
    PeerReceived,
    RecordFact,
    SendToPeer,
    StartAttempt,
    StatusChanged,
    StopAttempt,
    TakeDirect,
    Tick,
    WorkerCommand,
    WorkerReported,
    WorkersKnown,
)
from knapweedshed.decisions.data_centre import DataCentre
from knapweedshed.decisions.endings import judge
from knapweedshed.decisions.entries import (
    status_of,
)
from knapweedshed.decisions.job_book import JobBook
from knapweedshed.decisions.ledger import (
    IntentWon,
    JobChanged,
    JobClosed,
    JobOpened,
)
from knapweedshed.decisions.planner_factory import create_planner
from knapweedshed.decisions.recovery import Reconciler
from knapweedshed.models.attempts import AttemptOutcome, AttemptPhase
from knapweedshed.models.configuration import Configuration
from knapweedshed.models.jobs import AnswerLocation, JobState
from knapweedshed.models.ledger import (
    CancelAsked,
    JobEnded,
)
from knapweedshed.models.wire import (
    AskListing,
    Cancel,
    DirectAnswer,
    Listing,
    SubmitDirect,
)
from knapweedshed.results import ResultCode, is_not_run

PLAN_DELAY_MS = 10
RECOVERY_LIMIT_MS = 8_000
RECONCILE_TICKS = 4
RETRY_DELAY_MS = 250
LONGEST_RETRY_DELAY_MS = 5_000


class _Plan(NamedTuple):
    pass


class ConnectQueue(NamedTuple):
    """The actors that the queue controller talks to."""

    attempts: Any
    ledger: Any
    watches: Any
    workers: Any
    membership: Any


class QueueController(Controller):
    """Turns jobs, reports and configuration into plans, while acting and recovered."""

    def __init__(self, context, timer):
        super().__init__(context)
        self._timer = timer
        self._data_centre = DataCentre(context.settings.data_centre)
        self._inventory = self._data_centre.inventory
        self._planner = create_planner()
        self._configuration = Configuration()
        self._book = JobBook()
        self._acting = False
        self._recovering_since_ms = 0
        self._ready = False
        self._ledger_known = False
        self._reconciler = Reconciler()
        self._leaving = False
        self._ticks = 0
        self._plan_due = False
        self._unmet = ()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def connect(self, message: ConnectQueue):
        """Learn the actors that this one talks to."""
        self._attempts = message.attempts
        self._ledger = message.ledger
        self._watches = message.watches
        self._workers = message.workers
        self._membership = message.membership

    @receive.register
    def leaving(self, message: SetLeaving):
        """Start nothing more: this process is about to stop."""
        self._leaving = True

    @receive.register
    def in_force(self, message: ConfigurationInForce):
        """Take in the configuration."""
        self._configuration = message.configuration
        self._plan_soon()

    @receive.register
    def workers_known(self, message: WorkersKnown):
        """Take in which workers there are, and which are leaving."""
        self._inventory.update_hosts(message.hosts, message.leaving)
        self._plan_soon()

    @receive.register
    def reported(self, message: WorkerReported):
        """Take in a worker's report."""
        self._inventory.update_report(message.worker, message.report)
        if self._acting and not self._ready:
            self._try_recover()
        self._plan_soon()

    @receive.register
    def acting(self, message: ActingChanged):
        """Begin recovery on taking over; forget attempts on standing down."""
        self._acting = message.acting
        self._ready = False
        if not message.acting:
            self._stand_down()
            return
        self._recovering_since_ms = self._now_ms()
        tell(self._ledger, LedgerStateAsked(self.actor_ref))

    @receive.register
    def ledger_state(self, message: LedgerState):
        """Take in the ledger's state; recovery goes on from it."""
        self._ledger_known = True
        self._book.know_closed(message.closed)
        for opened in message.open_jobs.values():
            self._book.open(opened, self._now_ms())
        self._try_recover()

    @receive.register
    def folded(self, message: JobsFolded):
        """Take in the ledger's facts."""
        for fact in message.facts:
            if isinstance(fact, JobOpened):
                self._book.open(fact.open_job, self._now_ms())
            elif isinstance(fact, JobChanged):
                self._change(fact.open_job)
            elif isinstance(fact, IntentWon):
                self._book.intent_won(fact.intent, self._now_ms())
            elif isinstance(fact, JobClosed):
                self._book.remember(fact.ended)
                self._drop(fact.ended.job_id)
        self._plan_soon()

    @receive.register
    def from_peer(self, message: PeerReceived):
        """Serve cancellations, direct submissions and the worker listing."""
        asked = message.message
        if isinstance(asked, Cancel):
            self._cancel_asked(asked.job_id)
        elif isinstance(asked, SubmitDirect):
            self._submit_direct(asked.job, message.connection)
        elif isinstance(asked, AskListing) and asked.kind == "workers":
            rows = self._data_centre.rows(self._now_ms())
            tell(message.connection, SendToPeer(Listing(asked.ask_id, rows)))

    @receive.register
    def attempt_started(self, message: AttemptStarted):
        """Note that all members run."""
        entry = self._book.entries.get(message.job_id)
        if entry is None:
            return
        now_ms = self._now_ms()
        entry = self._book.update(entry, started_ms=now_ms)
        self._context.metrics.timing("job.wait", now_ms - entry.since_ms)
        self._tell_status(entry, JobState.RUNNING)

    @receive.register
    def attempt_ended(self, message: AttemptEnded):
        """End the job, or let it wait for another attempt."""
        attempt = message.attempt
        entry = self._book.entries.get(attempt.job_id)
        self._data_centre.ended(entry, attempt, self._now_ms())
        self._book.claims.pop(attempt.job_id, None)
        self._plan_soon()
        if entry is None:
            return
        verdict = judge(entry.opened, attempt, entry.failed)
        if verdict.record is not None:
            tell(self._ledger, RecordFact(verdict.record))
        if verdict.code is None:
            opened = entry.opened
            if verdict.tokens:
                opened = opened._replace(tokens=verdict.tokens)
            failed = entry.failed + verdict.failed
            self._wait_again(entry._replace(opened=opened, failed=failed), attempt)
        elif verdict.code == ResultCode.OK:
            run_ms = attempt.members[0].lease.run_ms
            self._end(entry, verdict.code, "", self._answer_of(attempt), run_ms)
        else:
            self._end(entry, verdict.code, verdict.reason)

    @receive.register
    def tick(self, message: Tick):
        """Expire, reconcile and plan."""
        if not self._acting:
            return
        if not self._ready:
            self._try_recover()
            return
        self._expire()
        self._ticks += 1
        if self._ticks % RECONCILE_TICKS == 0:
            self._reconcile()
        if self._book.waiting():
            self._plan_soon()

    @receive.register
    def plan(self, message: _Plan):
        """Plan once, and carry it out."""
        self._plan_due = False
        if not self._acting or not self._ready or self._leaving:
            return
        started_ms = self._now_ms()
        plan = self._planner.plan(
            self._data_centre.planning_input(
                started_ms,
                self._book.entries.values(),
                self._book.claims,
                self._configuration.organisations,
            )
        )
        self._context.metrics.timing("plan", self._now_ms() - started_ms)
        for refusal in plan.refusals:
            entry = self._book.entries[refusal.job_id]
            self._end(entry, refusal.result.code, refusal.result.reason)
        for reclaim in plan.reclaims:
            self._reclaim(reclaim)
        for launch in plan.launches:
            self._launch(launch)
        if plan.unmet != self._unmet:
            self._unmet = plan.unmet
            self._context.logger.warning(
                "guarantees unmet", extra={"unmet": [u._asdict() for u in plan.unmet]}
            )

    def dump(self):
        """Return what waits, runs and is known of workers."""
        return {
            "acting": self._acting,
            "ready": self._ready,
            "waiting": [entry.job.job_id for entry in self._book.waiting()],
            "running": {
                j: [p.worker for p in e.placements]
                for j, e in self._book.entries.items()
                if e.placements
            },
            "unmet": [unmet._asdict() for unmet in self._unmet],
            **self._data_centre.dump(),
        }

    def _now_ms(self):
        return self._context.clock.now_ms()

    def _plan_soon(self):
        if not self._plan_due:
            self._plan_due = True
            self._timer.after(PLAN_DELAY_MS, self.actor_ref, _Plan())

    def _change(self, opened):
        entry = self._book.change(opened)
        if entry is not None and opened.cancelled:
            self._cancel(entry)

    def _drop(self, job_id):
        entry = self._book.drop(job_id)
        if entry is not None and entry.placements and self._acting:
            tell(self._attempts, StopAttempt(job_id, "ended elsewhere", False))

    def _cancel_asked(self, job_id):
        entry = self._book.entries.get(job_id)
        if entry is None or not self._acting:
            return
        tell(self._ledger, RecordFact(CancelAsked(job_id)))
        self._change(entry.opened._replace(cancelled=True))

    def _cancel(self, entry):
        if not self._acting or not self._ready:
            return
        if entry.placements:
            tell(self._attempts, StopAttempt(entry.job.job_id, "cancelled", False))
        else:
            self._end(entry, ResultCode.CANCELLED, "cancelled before it ran")

    def _submit_direct(self, job, connection):
        taken = self._acting and self._ready and job.idempotent
        reason = "" if taken else "this scheduler can't take it now"
        if taken and job.job_id not in self._book.entries:
            self._book.direct.add(job.job_id)
            tell(self._ledger, TakeDirect(job, connection))
        answer = DirectAnswer(job.job_id, taken, reason)
        tell(connection, SendToPeer(answer))

    def _expire(self):
        wall_ms = self._context.clock.wall_ms()
        for entry in self._book.waiting():
            if wall_ms > entry.job.deadline_wall_ms:
                self._end(entry, ResultCode.EXPIRED, "its deadline came before a place")
            elif entry.opened.cancelled:
                self._cancel(entry)
        for entry, reason in self._book.over_limit(self._configuration):
            self._end(entry, ResultCode.LIMIT_EXCEEDED, reason)

    def _try_recover(self):
        """Take over what runs, once the ledger and all listed workers were heard."""
        if self._ready or not self._acting:
            return
        waited_ms = self._now_ms() - self._recovering_since_ms
        complete = self._ledger_known and not self._inventory.unheard()
        complete = complete and bool(self._inventory.names())
        if not complete and waited_ms < RECOVERY_LIMIT_MS:
            return
        self._ready = True
        tell(self._membership, SetReady())
        self._context.logger.info(
            "recovered",
            extra={
                "jobs": len(self._book.entries),
                "unheard": self._inventory.unheard(),
                "ledger_known": self._ledger_known,
            },
        )
        if self._ledger_known:
            self._take_up(self._reconciler.recover_all)
        for entry in list(self._book.entries.values()):
            if entry.opened.cancelled:
                self._cancel(entry)
        self._plan_soon()

    def _reconcile(self):
        if self._ledger_known:
            self._take_up(self._reconciler.reconcile)

    def _take_up(self, look):
        """Go on with, or clear, what belongs to no attempt of ours."""
        recovered = look(
            self._book.entries,
            self._inventory.reports,
            self._book.closed,
            self._now_ms(),
        )
        for attempt in (*recovered.adopted, *recovered.to_clear):
            self._adopt_attempt(attempt)
        for _, lease_id in recovered.to_free:
            tell(self._workers, WorkerCommand("free", lease_id, "", 0))

    def _adopt_attempt(self, attempt):
        entry = self._book.entries[attempt.job_id]
        placements = tuple(member.placement for member in attempt.members)
        number = max(entry.number, attempt.number)
        entry = self._book.update(
            entry, placements=placements, number=number, started_ms=self._now_ms()
        )
        self._inventory.allocate(attempt.job_id, placements)
        tell(self._attempts, AttemptAdopted(attempt, 0))
        if attempt.phase == AttemptPhase.RUNNING:
            self._tell_status(entry, JobState.RUNNING)

    def _stand_down(self):
        for job_id in self._book.entries:
            self._inventory.release(job_id)
        self._book.stand_down()

    def _launch(self, launch):
        entry = self._book.entries[launch.job_id]
        self._book.claims.pop(launch.job_id, None)
        entry = self._book.update(
            entry, placements=launch.placements, started_ms=0, borrowed=launch.borrowed
        )
        self._data_centre.launched(launch.job_id, launch.placements)
        number = entry.number if entry.job.idempotent else entry.opened.attempt
        tell(self._attempts, StartAttempt(entry.opened, number, launch))
        self._tell_status(entry, JobState.STARTING)

    def _reclaim(self, reclaim):
        self._book.claims[reclaim.job_id] = reclaim.placements
        self._context.metrics.count("reclaims", len(reclaim.victims))
        for job_id in reclaim.victims:
            entry = self._book.entries[job_id]
            if entry.stopping:
                continue
            self._book.update(entry, stopping=True)
            reason = f"reclaimed for {reclaim.job_id}"
            stop = StopAttempt(job_id, reason, entry.job.can_checkpoint)
            tell(self._attempts, stop)

    def _answer_of(self, attempt):
        """Return where the answer of a finished attempt is held."""
        first = attempt.members[0]
        worker = first.placement.worker
        return AnswerLocation(
            worker,
            self._inventory.address_of(worker),
            first.lease_id,
            first.lease.answer_length,
            first.lease.answer_digest,
        )

    def _wait_again(self, entry, attempt):
        delay_ms = min(RETRY_DELAY_MS << min(entry.retries, 8), LONGEST_RETRY_DELAY_MS)
        if attempt.target_outcome in (AttemptOutcome.STOPPED,):
            delay_ms = 0
        delay_ms += self._context.random.randrange(RETRY_DELAY_MS) if delay_ms else 0
        entry = self._book.update(
            entry,
            placements=(),
            stopping=False,
            number=attempt.number + 1,
            retries=entry.retries + 1,
            not_before_ms=self._now_ms() + delay_ms,
        )
        self._tell_status(entry, JobState.WAITING)

    def _end(self, entry, code, reason, answer=None, run_ms=0):
        job = entry.job
        wait_ms = max(0, (entry.started_ms or self._now_ms()) - entry.since_ms)
        workers = tuple(place.worker for place in entry.placements)
        ended = JobEnded(job.job_id, code, reason, answer, wait_ms, run_ms, workers)
        self._book.close(ended)
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
        tell(self._ledger, RecordFact(ended))
        if entry.direct or not is_not_run(code):
            status = status_of(entry, JobState.ENDED, code)._replace(
                reason=reason, answer=answer, wait_ms=wait_ms, run_ms=run_ms
            )
            tell(self._watches, StatusChanged(status))

    def _tell_status(self, entry, state):
        tell(self._watches, StatusChanged(status_of(entry, state)))
