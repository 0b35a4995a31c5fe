"""Controller of the scheduler's role at a host: claims it, schedules, resigns.

`Dispatcher` and `leadership` make all decisions; this controller translates messages
into calls to them, and the actions that they return into messages.
"""

from functools import singledispatchmethod

from knapweedshed.actors import tell
from knapweedshed.codecs import json_text
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.decision_log import EVENT_TYPES, DecisionLog
from knapweedshed.controllers.evacuation_state import EvacuationState
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    LogUnreadable,
    ReadNow,
    RecordsRead,
    SetReadPause,
    Tick,
)
from knapweedshed.controllers.term_records import TermRecords
from knapweedshed.controllers.work_messages import (
    EvacuationsRead,
    HoldResponse,
    OrderRequest,
    OrderResponse,
    PlanNow,
    ResignRole,
    ServiceConfigurationUpdated,
    SetWorkerPolling,
    UseLogTail,
    UseWorkerFeed,
    WorkersListed,
)
from knapweedshed.controllers.work_stream import apply_records, encode_in_parts
from knapweedshed.controllers.worker_holds import WorkerHolds
from knapweedshed.decisions.dispatch import Dispatcher
from knapweedshed.decisions.launch_appends import (
    LaunchVerdict,
    PendingAppend,
    after_failure,
)
from knapweedshed.decisions.leadership import (
    HEARTBEAT_PERIOD_MS,
    MAX_ACTING_WITHOUT_LOG_MS,
    LeaderElection,
)
from knapweedshed.decisions.overload.shedding import create_overload_ordering
from knapweedshed.decisions.predecessor_leases import PredecessorLeases
from knapweedshed.decisions.record_parts import halve_record
from knapweedshed.decisions.unit_runs import TimeLimits
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.links.worker_links import WorkerLinks
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    ORDER_UNKNOWN,
    REASON_FENCE,
    REASON_NOT_SENT,
    OrderOutcome,
    RecordLaunches,
    RecordTaskEnds,
    WithdrawStarts,
)
from knapweedshed.models.outcomes import FAILURE_TYPES
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES
from knapweedshed.models.service_configuration import ServiceConfiguration
from knapweedshed.models.work_records import (
    WORK_STREAM,
    ActingBeat,
    ActingClaimed,
    ActingEnded,
    ActingResigned,
    RunsLaunched,
    TasksEnded,
    WorkAccepted,
    WorkSnapshot,
)

LOG_RETRY_DELAY_MS = 300  # after a failed append; no launches meanwhile
TICK_PERIOD_MS = 200
STANDBY_READ_PAUSE_MS = 400  # two reads in the gap that one missed heartbeat leaves
MIN_PLAN_DELAY_MS = 10  # runs that end together are planned for together
# Times the last plan's duration; limits planning to a third of the processor time.
PLAN_DELAY_RATIO = 2
# An order without an answer holds up the next ones for 600 ms. A start that has waited
# for longer than two of them is decided again.
MAX_START_WAIT_MS = 1_500
ORDER_NOT_SENT = OrderOutcome(ORDER_UNKNOWN, REASON_NOT_SENT)


class SchedulingController(Controller):
    """Applies the work stream, and schedules its jobs while this host is acting.

    The log decides which host is acting. `_dispatcher` is None on all other hosts.
    """

    def __init__(
        self,
        context,
        timer,
        platform,
        appender,
        settings,
        overload_policies=NO_OVERLOAD_POLICIES,
    ):
        super().__init__(context)
        self._timer = timer
        self._appender = appender
        self._time_limits = TimeLimits(
            settings.lease_ms,
            MAX_ACTING_WITHOUT_LOG_MS,
            settings.early_ms,
            settings.save_ms,
            settings.restore_ms,
            settings.stop_ms,
        )
        self._overload_policies = overload_policies
        self._predecessor_leases = PredecessorLeases(self._time_limits)
        self._host_id = f"{settings.name}/{context.process_id}"
        self._ledger = WorkLedger()
        self._configuration = ServiceConfiguration()
        self._worker_feed = None
        self._log_tail = None
        self._dispatcher = None
        self._ordering_policy = None
        self._worker_links = WorkerLinks(context, timer, platform, self.actor_ref)
        self._worker_holds = None
        self._pending_appends = {}
        now_ms = context.clock.now_ms()
        self._election = LeaderElection(
            self._host_id, settings.cores, context.random, now_ms, settings.link_mbps
        )
        self._log_unreadable_since_ms = None
        self._last_heartbeat_ms = 0
        self._launches_paused_until_ms = 0
        self._resign_reply = None
        self._term_epoch = 0
        self._term_records = TermRecords(
            context, self._ledger, settings, overload_policies
        )
        self._max_record_bytes = settings.log_record_bytes
        self._decision_log = DecisionLog(context)
        self._evacuations = EvacuationState(context, settings.evacuation_ms)
        self._longest_turn_ms = 0
        self._planning_scheduled = False
        self._plan_delay_ms = MIN_PLAN_DELAY_MS

    def on_stop(self):
        """Stop the links to workers."""
        self._worker_links.close()

    def on_receive(self, message):
        """Handle a message; heartbeats and holds wait for the longest turn."""
        began_ms = self._now_ms()
        result = super().on_receive(message)
        turn_ms = self._now_ms() - began_ms
        if turn_ms > self._longest_turn_ms:
            self._longest_turn_ms = turn_ms
            self._context.metrics.gauge("turn.longest_ms", turn_ms)
        return result

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def update_configuration(self, message: ServiceConfigurationUpdated):
        """Replace the configuration if the one given is newer, and plan again."""
        if message.configuration.version <= self._configuration.version:
            return
        self._configuration = message.configuration
        if self._dispatcher is not None:
            self._dispatcher.configure(message.configuration)
            self._schedule_planning()

    @receive.register
    def update_evacuations(self, message: EvacuationsRead):
        """Start nothing in evacuated data centres from now on."""
        self._evacuations.update(message)
        if self._dispatcher is not None:
            known, now_ms = self._evacuations.known, self._now_ms()
            self._execute_actions(self._dispatcher.apply_evacuations(known, now_ms))

    @receive.register
    def apply_records(self, message: RecordsRead):
        """Apply a page of records, and act on this host's own records among them."""
        now_ms = self._now_ms()
        self._election.note_log_read(now_ms, message.caught_up)
        if self._log_unreadable_since_ms is not None:
            self._decision_log.log_log_reachable(now_ms - self._log_unreadable_since_ms)
            self._log_unreadable_since_ms = None
        changed = []
        own_records = []
        descriptions = []
        if message.is_gap:
            self._election.note_gap()
        has_term_ended = False
        epoch = self._ledger.epoch
        for applied in apply_records(self._context, self._ledger, message):
            changed.extend(applied.changed_job_ids)
            self._note_epoch(applied.record, epoch)
            epoch = self._ledger.epoch
            if isinstance(applied.record, ActingEnded):
                self._predecessor_leases.note_term_ended(applied.record, now_ms)
                has_term_ended = True
            if isinstance(applied.record, (WorkAccepted, WorkSnapshot)):
                descriptions.append(applied.record)
            if self._pending_appends.pop(applied.record_id, None) is not None:
                own_records.append(applied.record)
        self._update_role()
        if self._dispatcher is None:
            return
        if has_term_ended:
            self._limit_leases()
        for record in own_records:
            self._handle_own_record(record)
        self._execute_actions(self._dispatcher.handle_changed_jobs(changed, now_ms))
        self._decision_log.log_ended_jobs(self._ledger, changed)
        self._append_records(self._term_records.ends_again(descriptions))
        self._append_records(self._term_records.last_snapshots(changed))
        self._schedule_planning()

    @receive.register
    def handle_log_unreadable(self, message: LogUnreadable):
        """Log the outage.

        The role isn't changed here: `LeaderElection` decides by the age of the last
        read.
        """
        self._context.metrics.count("work_stream.failures")
        if self._log_unreadable_since_ms is None:
            self._log_unreadable_since_ms = self._now_ms()
            self._context.logger.warning(
                "log unreachable", extra={"reason": message.reason}
            )

    @receive.register
    def set_worker_feed(self, message: UseWorkerFeed):
        """Set the link that polls the platform's list of workers."""
        self._worker_feed = message.feed

    @receive.register
    def set_log_tail(self, message: UseLogTail):
        """Set the link that reads the work stream."""
        self._log_tail = message.tail

    @receive.register
    def update_workers(self, message: WorkersListed):
        """Apply the platform's list of workers, and hold those that are new."""
        if self._dispatcher is None:
            return
        now_ms = self._now_ms()
        self._execute_actions(self._dispatcher.update_workers(message.entries, now_ms))
        for worker_id in self._worker_links.open_missing(self._dispatcher.workers):
            self._worker_holds.hold(worker_id)
        self._schedule_planning()

    @receive.register
    def handle_hold_response(self, message: HoldResponse):
        """Apply the lists of runs from a worker, and hold the worker again."""
        if self._dispatcher is None or message.fence != self._ledger.epoch:
            return
        answer = message.answer
        if isinstance(answer, FAILURE_TYPES):
            self._handle_hold_failure(message.worker_id, answer)
            return
        now_ms = self._now_ms()
        actions = self._dispatcher.handle_hold_answer(
            message.worker_id, answer, message.sent_ms, now_ms
        )
        for found_run in self._dispatcher.take_found_runs():
            self._decision_log.log_found_run(*found_run)
        self._execute_actions(actions)
        self._execute_actions(self._dispatcher.take_end_records(now_ms))
        self._worker_holds.hold(message.worker_id)
        if self._dispatcher.capacity_changed:
            self._schedule_planning()

    def recover(self, message):
        """Hold a worker again whose answer could not be applied."""
        if isinstance(message, HoldResponse) and self._dispatcher is not None:
            self._worker_holds.hold_later(message.worker_id)

    @receive.register
    def handle_order_response(self, message: OrderResponse):
        """Apply the outcome of an order; end the term if the fence was refused."""
        if self._dispatcher is None or message.fence != self._ledger.epoch:
            return
        if message.outcome.reason == REASON_FENCE:
            self._end_fenced_term()
            return
        order, outcome = message.order, message.outcome
        if outcome.kind != ORDER_DONE:
            self._decision_log.log_order_not_done(order, outcome)
        self._execute_actions(
            self._dispatcher.handle_order_outcome(order, outcome, self._now_ms())
        )
        self._schedule_planning()

    @receive.register
    def read_back_append(self, message: AppendDone):
        """Read the work stream now.

        A record takes effect only when it is read back, not when it is appended.
        """
        tell(self._log_tail, ReadNow())

    @receive.register
    def handle_append_failure(self, message: AppendFailed):
        """Settle launches by their verdict; drop or split any other record.

        Whoever decided on the other records decides on them again.
        """
        pending = self._pending_appends.get(message.record_id)
        if pending is None:
            return
        now_ms = self._now_ms()
        if not message.final:
            self._launches_paused_until_ms = now_ms + LOG_RETRY_DELAY_MS
        if isinstance(pending.record, RunsLaunched):
            pending, verdict = after_failure(
                pending, message.unknown, message.final, now_ms
            )
            self._pending_appends[message.record_id] = pending
            self._decision_log.log_failed_launches(
                pending.record.launches,
                verdict,
                message.reason,
                now_ms - pending.sent_ms,
            )
            self._settle_launches(message, verdict)
            return
        if isinstance(pending.record, ActingEnded) and not message.final:
            self._append_again(message.record_id, pending.record)
            return
        del self._pending_appends[message.record_id]
        if message.final:
            self._handle_rejected_record(pending.record, message.reason)

    @receive.register
    def tick(self, message: Tick):
        """Claim the role; while acting, send heartbeats and run periodic work."""
        now_ms = self._now_ms()
        if self._election.take_claim(self._ledger, now_ms):
            self._append_record(ActingClaimed(self._ledger.next_epoch, self._host_id))
        if self._dispatcher is None:
            return
        if now_ms - self._last_heartbeat_ms >= HEARTBEAT_PERIOD_MS:
            self._last_heartbeat_ms = now_ms
            heartbeat = ActingBeat(
                self._ledger.epoch, self._host_id, self._ledger.applied_offset
            )
            self._append_record(heartbeat)
        self._append_records(self._term_records.due(self._dispatcher, now_ms))
        self._execute_actions(self._dispatcher.tick(now_ms))
        self._worker_holds.resume()
        self._schedule_planning()

    @receive.register
    def plan(self, message: PlanNow):
        """Plan once, unless a failed append has paused launches."""
        self._planning_scheduled = False
        now_ms = self._now_ms()
        if self._dispatcher is None or now_ms < self._launches_paused_until_ms:
            return
        wall_ms = self._context.clock.wall_ms()
        self._execute_actions(self._dispatcher.plan(now_ms, wall_ms))
        self._decision_log.log_shortages(self._ordering_policy.shortages)
        self._decision_log.log_limited_plan(
            self._dispatcher.waiting_is_limited, len(self._ledger.open_jobs)
        )
        duration_ms = self._now_ms() - now_ms
        self._plan_delay_ms = max(MIN_PLAN_DELAY_MS, PLAN_DELAY_RATIO * duration_ms)
        self._context.metrics.timing("plan", duration_ms)

    @receive.register
    def resign_role(self, message: ResignRole):
        """Resign the role, so that another host claims it without waiting."""
        self._resign_reply = message.reply
        self._election.leave()
        if self._dispatcher is None:
            message.reply.set(True)
            return
        self._append_record(ActingResigned(self._ledger.epoch))

    def dump(self):
        """Return whether this host acts, and the number of runs on each worker."""
        workers = self._dispatcher.workers if self._dispatcher is not None else {}
        return {
            "host": self._host_id,
            "acts": self._dispatcher is not None,
            "epoch": self._ledger.epoch,
            "workers": {name: len(w.assigned_runs) for name, w in workers.items()},
            "evacuations": self._evacuations.dump(self._now_ms()),
        }

    def _note_epoch(self, record, epoch_before):
        """Note what a record that was applied says about the acting scheduler."""
        is_heard = getattr(record, "epoch", -1) == self._ledger.epoch
        if is_heard and not isinstance(record, ActingEnded):
            self._election.note_leader_heard(self._now_ms())
        if self._ledger.epoch != epoch_before:
            self._predecessor_leases.note_epoch(self._ledger.epoch, self._now_ms())
            self._context.logger.info(
                "role claimed",
                extra={"epoch": self._ledger.epoch, "host": self._ledger.acting_host},
            )

    def _handle_own_record(self, record):
        if getattr(record, "epoch", -1) != self._ledger.epoch:
            return
        if isinstance(record, TasksEnded):
            self._dispatcher.confirm_ends(record.ends)
            self._term_records.note_ends(record.ends)
            self._worker_holds.resume()
        elif isinstance(record, RunsLaunched):
            now_ms = self._now_ms()
            self._execute_actions(
                self._dispatcher.confirm_launches(record.launches, now_ms)
            )

    def _update_role(self):
        """Begin or end a term as acting scheduler, as the log says."""
        should_act = self._election.should_act(self._ledger)
        is_acting = self._dispatcher is not None
        if is_acting and (not should_act or self._term_epoch != self._ledger.epoch):
            reason = "another host has claimed the role"
            if not self._ledger.has_begun:
                reason = "records of the log were missed"
            self._end_term(reason)
            is_acting = False
        if should_act and not is_acting and self._resign_reply is None:
            self._begin_term()

    def _begin_term(self):
        self._term_epoch = self._ledger.epoch
        self._term_records.begin_term()
        self._ordering_policy = create_overload_ordering(self._overload_policies)
        self._dispatcher = Dispatcher(
            self._ledger,
            self._time_limits,
            self._ordering_policy,
            self._now_ms(),
            self._overload_policies,
        )
        self._worker_holds = WorkerHolds(
            self._context,
            self._worker_links,
            self._dispatcher,
            lambda: self._election.may_send_orders(self._ledger, self._now_ms()),
            self._ledger.epoch,
        )
        self._context.logger.info(
            "acting",
            extra={
                "epoch": self._ledger.epoch,
                "taken_up": len(self._dispatcher.runs),
            },
        )
        self._append_records(self._term_records.last_snapshots(self._ledger.jobs))
        self._limit_leases()
        self._dispatcher.apply_evacuations(self._evacuations.known, self._now_ms())
        if self._configuration.version >= 0:
            self._dispatcher.configure(self._configuration)
        tell(self._worker_feed, SetWorkerPolling(True))
        tell(self._log_tail, SetReadPause(0))

    def _end_term(self, reason):
        self._context.logger.info(
            "not acting any more", extra={"epoch": self._term_epoch, "reason": reason}
        )
        self._worker_links.drop_all()
        leases = self._dispatcher.leases_left(self._now_ms())
        self._dispatcher = None
        self._pending_appends = {}
        self._append_record(ActingEnded(self._term_epoch, leases))
        tell(self._worker_feed, SetWorkerPolling(False))
        tell(self._log_tail, SetReadPause(STANDBY_READ_PAUSE_MS))
        if self._resign_reply is not None:
            self._resign_reply.set(True)

    def _limit_leases(self):
        lease_end_ms = self._predecessor_leases.lease_end_ms(self._ledger.epoch)
        if lease_end_ms is not None:
            self._dispatcher.limit_leases(lease_end_ms)

    def _end_fenced_term(self):
        """End the term because a worker has seen a higher fence.

        Another host is acting; its claim has not been read from the log yet.
        """
        self._election.note_fenced(self._ledger.epoch)
        self._end_term("a worker has seen a higher fence")

    def _handle_hold_failure(self, worker_id, failure):
        if failure.reason == REASON_FENCE:
            self._end_fenced_term()
            return
        self._context.metrics.count("holds.failures")
        self._dispatcher.handle_hold_failure(worker_id)
        self._worker_holds.hold_later(worker_id)

    def _execute_actions(self, actions):
        for action in actions:
            if isinstance(action, RecordTaskEnds):
                self._append_record(TasksEnded(self._ledger.epoch, action.ends))
            elif isinstance(action, RecordLaunches):
                self._decision_log.log_launches(action.launches)
                self._append_record(RunsLaunched(self._ledger.epoch, action.launches))
            elif isinstance(action, EVENT_TYPES):
                self._decision_log.log_event(action)
            elif isinstance(action, WithdrawStarts):
                self._worker_links.withdraw_starts(action.worker_id)
            elif self._election.may_send_orders(self._ledger, self._now_ms()):
                valid_until_ms = self._evacuations.known.latest_send_ms(
                    self._now_ms() + MAX_START_WAIT_MS
                )
                self._worker_links.order(
                    OrderRequest(action, self._ledger.epoch, valid_until_ms)
                )
            else:
                unsent = OrderResponse(action, self._ledger.epoch, ORDER_NOT_SENT)
                self._timer.after(LOG_RETRY_DELAY_MS, self.actor_ref, unsent)

    def _settle_launches(self, message, verdict):
        """Repeat, undo, split or give up launches whose append has failed."""
        record = self._pending_appends[message.record_id].record
        if verdict == LaunchVerdict.REPEAT:
            self._append_again(message.record_id, record)
            return
        del self._pending_appends[message.record_id]
        if verdict == LaunchVerdict.REJECTED:
            self._handle_rejected_record(record, message.reason)
        elif self._dispatcher is None:
            return
        elif verdict == LaunchVerdict.NOT_WRITTEN:
            self._dispatcher.discard_launches(record.launches)
        else:
            self._dispatcher.give_up_launches(record.launches)

    def _append_again(self, record_id, record):
        again = self._create_append(record_id, json_text.dumps(record))
        self._timer.after(LOG_RETRY_DELAY_MS, self._appender, again)

    def _append_records(self, records):
        for record in records:
            self._append_record(record)

    def _append_record(self, record):
        for part, text in encode_in_parts(record, self._max_record_bytes):
            if text is None:
                self._give_up_record(part, "it is larger than the log's records")
                continue
            record_id = self._context.new_id()
            self._pending_appends[record_id] = PendingAppend(part, self._now_ms())
            tell(self._appender, self._create_append(record_id, text))

    def _create_append(self, record_id, text):
        return AppendRecord(WORK_STREAM, record_id, text, self.actor_ref)

    def _handle_rejected_record(self, record, reason):
        """Append a rejected record in smaller parts, or give it up."""
        halves = halve_record(record)
        if not halves:
            self._give_up_record(record, reason)
        for half in halves:
            self._append_record(half)

    def _give_up_record(self, record, reason):
        """Log that the log can't take a record; its launches were never started."""
        self._decision_log.log_rejected_record(record, reason)
        if isinstance(record, RunsLaunched) and self._dispatcher is not None:
            self._dispatcher.discard_launches(record.launches)
            self._dispatcher.postpone_units(record.launches, self._now_ms())

    def _schedule_planning(self):
        if not self._planning_scheduled and self._dispatcher is not None:
            self._planning_scheduled = True
            self._timer.after(self._plan_delay_ms, self.actor_ref, PlanNow())

    def _now_ms(self):
        return self._context.clock.now_ms()
