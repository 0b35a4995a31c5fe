"""Owns the scheduler's role at a host: claims it, acts under it, gives it up.

All decisions are the `Dispatcher`'s and `leadership`'s; this controller turns messages
into their calls, and what they ask for into messages.
"""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.codecs import json_text
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.decision_log import DecisionLog
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    LogUnreadable,
    PaceReads,
    ReadNow,
    RecordsRead,
    Tick,
)
from knapweedshed.controllers.work_messages import (
    ConfigurationInForce,
    FollowWorkers,
    HoldAnswered,
    Leave,
    Order,
    OrderAnswered,
    PlanNow,
    UseTail,
    UseWorkerFeed,
    WorkersListed,
)
from knapweedshed.controllers.work_stream import decode_records
from knapweedshed.decisions.dispatch import Dispatcher
from knapweedshed.decisions.leadership import (
    HEARTBEAT_PERIOD_MS,
    MAX_ACTING_WITHOUT_LOG_MS,
    LeaderElection,
)
from knapweedshed.decisions.snapshots import SnapshotSchedule
from knapweedshed.decisions.unit_runs import TimeLimits
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.decisions.work_order import create_ordering_policy
from knapweedshed.links.worker_links import WorkerLinks
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    ORDER_UNKNOWN,
    REASON_FENCE,
    OrderOutcome,
    Preempted,
    RecordLaunches,
    RecordTaskEnds,
    RunLost,
    WorkerHung,
)
from knapweedshed.models.outcomes import FAILURE_TYPES
from knapweedshed.models.service_configuration import ServiceConfiguration
from knapweedshed.models.work_records import (
    WORK_STREAM,
    ActingBeat,
    ActingClaimed,
    ActingResigned,
    RunsLaunched,
    SpeedsLearned,
    TasksEnded,
)

LOG_PAUSE_MS = 300  # after a refused append, before anything new is launched
TICK_MS = 200
SPEEDS_PERIOD_MS = 1_000  # a host that takes over knows what was learned till then
STREAM_PAUSE_MS = 400  # of hosts that don't act: two reads in a beat's silence
PLAN_PAUSE_MS = 10  # lets what ends together be planned together
PLAN_PAUSE_RATIO = 2  # planning takes a third of the processor at the most
NOT_GIVEN = OrderOutcome(ORDER_UNKNOWN, "no word from the log")


class SchedulingController(Controller):
    """Folds the work stream; while the log says so, schedules what stands in it."""

    def __init__(self, context, timer, platform, appender, settings):
        super().__init__(context)
        self._timer = timer
        self._appender = appender
        self._bounds = TimeLimits(
            settings.lease_ms, MAX_ACTING_WITHOUT_LOG_MS, settings.early_ms
        )
        self._host = f"{settings.name}/{context.process_id}"
        self._ledger = WorkLedger()
        self._configuration = ServiceConfiguration()
        self._worker_feed = None
        self._tail = None
        self._dispatcher = None
        self._links = WorkerLinks(context, timer, platform, self.actor_ref)
        self._appends = {}
        now_ms = context.clock.now_ms()
        self._role = LeaderElection(self._host, settings.cores, context.random, now_ms)
        self._log_lost_ms = None
        self._beat_ms = 0
        self._speeds_told_ms = 0
        self._log_pause_until_ms = 0
        self._leaving = None
        self._term_epoch = 0
        self._snapshots = SnapshotSchedule(settings.log_keep_ms)
        self._log = DecisionLog(context)
        self._planning = False
        self._plan_pause_ms = PLAN_PAUSE_MS

    def on_stop(self):
        """Stop the links to workers."""
        self._links.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def configure(self, message: ConfigurationInForce):
        """Take a newer configuration."""
        self._configuration = message.configuration
        if self._dispatcher is not None:
            self._dispatcher.configure(message.configuration)
            self._plan_soon()

    @receive.register
    def records(self, message: RecordsRead):
        """Fold a page; act on what it says of our own records."""
        now_ms = self._now_ms()
        self._role.log_read(now_ms, message.caught_up)
        if self._log_lost_ms is not None:
            away_ms = now_ms - self._log_lost_ms
            self._log_lost_ms = None
            self._context.logger.info("log reachable again", extra={"away_ms": away_ms})
        changed = []
        ours = []
        for offset, record_id, record in decode_records(self._context, message):
            changed.extend(self._fold(offset, record))
            if self._appends.pop(record_id, None) is not None:
                ours.append(record)
        self._check_role()
        if self._dispatcher is None:
            return
        for record in ours:
            self._take_own(record)
        self._do(self._dispatcher.handle_changed_jobs(changed, now_ms))
        self._log.over(self._ledger, changed)
        self._plan_soon()

    @receive.register
    def unreadable(self, message: LogUnreadable):
        """Nothing new is known of the role; its age decides."""
        self._context.metrics.count("work_stream.failures")
        if self._log_lost_ms is None:
            self._log_lost_ms = self._now_ms()
            self._context.logger.warning(
                "log unreachable", extra={"reason": message.reason}
            )

    @receive.register
    def use_worker_feed(self, message: UseWorkerFeed):
        """Name the link that reads the platform's list."""
        self._worker_feed = message.feed

    @receive.register
    def use_tail(self, message: UseTail):
        """Name the link that reads the work stream."""
        self._tail = message.tail

    @receive.register
    def workers(self, message: WorkersListed):
        """Take the platform's list."""
        if self._dispatcher is None:
            return
        now_ms = self._now_ms()
        self._do(self._dispatcher.update_workers(message.entries, now_ms))
        for worker_id in self._links.match(self._dispatcher.workers):
            self._hold(worker_id)
        self._plan_soon()

    @receive.register
    def hold_answered(self, message: HoldAnswered):
        """Take a worker's lists, and hold it again."""
        if self._dispatcher is None or message.fence != self._ledger.epoch:
            return
        answer = message.answer
        if isinstance(answer, FAILURE_TYPES):
            self._hold_failed(message.worker_id, answer)
            return
        now_ms = self._now_ms()
        actions = self._dispatcher.handle_hold_answer(
            message.worker_id, answer, message.sent_ms, now_ms
        )
        self._do(actions)
        self._do(self._dispatcher.take_end_records(now_ms))
        self._hold(message.worker_id)
        if self._dispatcher.capacity_changed:
            self._plan_soon()

    @receive.register
    def order_answered(self, message: OrderAnswered):
        """Take what came of an order."""
        if self._dispatcher is None or message.fence != self._ledger.epoch:
            return
        if message.outcome.reason == REASON_FENCE:
            self._fenced()
            return
        order, outcome = message.order, message.outcome
        if outcome.kind != ORDER_DONE:
            self._log.order_not_done(order, outcome)
        self._do(self._dispatcher.handle_order_outcome(order, outcome, self._now_ms()))
        self._plan_soon()

    @receive.register
    def appended(self, message: AppendDone):
        """Read the record back: only that says that it counts."""
        tell(self._tail, ReadNow())

    @receive.register
    def not_appended(self, message: AppendFailed):
        """Repeat what may have been written; take back what certainly was not."""
        record = self._appends.get(message.record_id)
        if record is None:
            return
        self._log_pause_until_ms = self._now_ms() + LOG_PAUSE_MS
        if isinstance(record, RunsLaunched) and message.unknown:
            again = self._append_message(message.record_id, record)
            self._timer.after(LOG_PAUSE_MS, self._appender, again)
            return
        del self._appends[message.record_id]
        if isinstance(record, RunsLaunched) and self._dispatcher is not None:
            self._dispatcher.discard_launches(record.launches)

    @receive.register
    def tick(self, message: Tick):
        """Claim, beat, let leases lapse, repeat what had no answer."""
        now_ms = self._now_ms()
        if self._role.take_claim(self._ledger, now_ms):
            self._append(ActingClaimed(self._ledger.epoch + 1, self._host))
        if self._dispatcher is None:
            return
        if now_ms - self._beat_ms >= HEARTBEAT_PERIOD_MS:
            self._beat_ms = now_ms
            self._append(ActingBeat(self._ledger.epoch, self._host))
        self._write_snapshots()
        self._tell_speeds(now_ms)
        self._do(self._dispatcher.tick(now_ms))
        self._plan_soon()

    @receive.register
    def plan(self, message: PlanNow):
        """Plan with all that has been heard."""
        self._planning = False
        now_ms = self._now_ms()
        if self._dispatcher is None or now_ms < self._log_pause_until_ms:
            return
        wall_ms = self._context.clock.wall_ms()
        self._do(self._dispatcher.plan(now_ms, wall_ms))
        took_ms = self._now_ms() - now_ms
        self._plan_pause_ms = max(PLAN_PAUSE_MS, PLAN_PAUSE_RATIO * took_ms)
        self._context.metrics.timing("plan", took_ms)

    @receive.register
    def leave(self, message: Leave):
        """Resign, so that another host claims at once."""
        self._leaving = message.reply
        self._role.leave()
        if self._dispatcher is None:
            message.reply.set(True)
            return
        self._append(ActingResigned(self._ledger.epoch))

    def dump(self):
        """Return the role, and what is at each worker."""
        workers = {}
        if self._dispatcher is not None:
            workers = {
                name: len(belief.assigned_runs)
                for name, belief in self._dispatcher.workers.items()
            }
        return {
            "host": self._host,
            "acts": self._dispatcher is not None,
            "epoch": self._ledger.epoch,
            "workers": workers,
        }

    def _fold(self, offset, record):
        epoch = self._ledger.epoch
        changed = self._ledger.apply(offset, record)
        if getattr(record, "epoch", -1) == self._ledger.epoch:
            self._role.leader_heard(self._now_ms())
        if self._ledger.epoch != epoch:
            self._context.logger.info(
                "role claimed",
                extra={"epoch": self._ledger.epoch, "host": self._ledger.acting_host},
            )
        return changed

    def _take_own(self, record):
        if getattr(record, "epoch", -1) != self._ledger.epoch:
            return
        if isinstance(record, TasksEnded):
            self._dispatcher.confirm_ends(record.ends)
        elif isinstance(record, RunsLaunched):
            now_ms = self._now_ms()
            self._do(self._dispatcher.confirm_launches(record.launches, now_ms))

    def _check_role(self):
        """Begin or end a term, as the log says."""
        acting = self._role.should_act(self._ledger)
        current = self._dispatcher is not None
        if current and (not acting or self._term_epoch != self._ledger.epoch):
            self._end_term("the log names another")
            current = False
        if acting and not current and self._leaving is None:
            self._begin_term()

    def _begin_term(self):
        self._term_epoch = self._ledger.epoch
        self._dispatcher = Dispatcher(
            self._ledger, self._bounds, create_ordering_policy(), self._now_ms()
        )
        self._context.logger.info(
            "acting",
            extra={
                "epoch": self._ledger.epoch,
                "taken_up": len(self._dispatcher.runs),
            },
        )
        if self._configuration.version >= 0:
            self._dispatcher.configure(self._configuration)
        tell(self._worker_feed, FollowWorkers(True))
        tell(self._tail, PaceReads(0))

    def _end_term(self, reason):
        self._context.logger.info(
            "not acting any more", extra={"epoch": self._term_epoch, "reason": reason}
        )
        self._dispatcher = None
        self._appends = {}
        self._links.close()
        tell(self._worker_feed, FollowWorkers(False))
        tell(self._tail, PaceReads(STREAM_PAUSE_MS))
        if self._leaving is not None:
            self._leaving.set(True)

    def _fenced(self):
        """A worker has seen a higher fence: another acts, as the log will say."""
        self._role.fenced(self._ledger.epoch)
        self._end_term("a worker has seen a higher fence")

    def _hold(self, worker_id):
        if not self._is_held(worker_id):
            return
        now_ms = self._now_ms()
        if not self._role.may_send_orders(self._ledger, now_ms):
            self._links.hold_later(worker_id, self._ledger.epoch, 0, 0)
            return
        deadline_ms, ends_upto = self._dispatcher.hold_parameters(worker_id, now_ms)
        self._links.hold(worker_id, self._ledger.epoch, deadline_ms, ends_upto)

    def _is_held(self, worker_id):
        """Return whether to go on holding a worker; drop its links otherwise.

        What still runs at a worker that the list lacks is held until its lease lapses:
        the list loses entries when the platform's store is away.
        """
        belief = self._dispatcher.workers.get(worker_id)
        if belief is not None and (belief.entry is not None or belief.assigned_runs):
            return True
        self._links.drop(worker_id)
        return False

    def _hold_failed(self, worker_id, failure):
        if failure.reason == REASON_FENCE:
            self._fenced()
            return
        self._context.metrics.count("holds.failures")
        if not self._is_held(worker_id):
            return
        deadline_ms, ends_upto = self._dispatcher.hold_parameters(
            worker_id, self._now_ms(), answered=False
        )
        self._links.hold_later(worker_id, self._ledger.epoch, deadline_ms, ends_upto)

    def _do(self, actions):
        for action in actions:
            if isinstance(action, RecordTaskEnds):
                self._append(TasksEnded(self._ledger.epoch, action.ends))
            elif isinstance(action, RecordLaunches):
                self._log.launches(action.launches)
                self._append(RunsLaunched(self._ledger.epoch, action.launches))
            elif isinstance(action, Preempted):
                self._log.preempted(action)
            elif isinstance(action, RunLost):
                self._log.run_lost(action)
            elif isinstance(action, WorkerHung):
                self._log.hang(action)
            elif self._role.may_send_orders(self._ledger, self._now_ms()):
                self._links.order(Order(action, self._ledger.epoch))
            else:
                late = OrderAnswered(action, self._ledger.epoch, NOT_GIVEN)
                self._timer.after(LOG_PAUSE_MS, self.actor_ref, late)

    def _write_snapshots(self):
        epoch = self._ledger.epoch
        wall_ms = self._context.clock.wall_ms()
        for job_id in self._snapshots.take_due(self._ledger, wall_ms):
            self._append(self._ledger.jobs[job_id].snapshot(epoch, wall_ms))

    def _tell_speeds(self, now_ms):
        if now_ms - self._speeds_told_ms >= SPEEDS_PERIOD_MS:
            self._speeds_told_ms = now_ms
            speeds = self._dispatcher.speeds_to_publish(now_ms)
            if speeds:
                self._append(SpeedsLearned(self._ledger.epoch, speeds))

    def _append(self, record):
        record_id = self._context.new_id()
        self._appends[record_id] = record
        tell(self._appender, self._append_message(record_id, record))

    def _append_message(self, record_id, record):
        return AppendRecord(
            WORK_STREAM, record_id, json_text.dumps(record), self.actor_ref
        )

    def _plan_soon(self):
        if not self._planning and self._dispatcher is not None:
            self._planning = True
            self._timer.after(self._plan_pause_ms, self.actor_ref, PlanNow())

    def _now_ms(self):
        return self._context.clock.now_ms()
