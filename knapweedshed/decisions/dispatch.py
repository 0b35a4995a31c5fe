"""The acting scheduler: which units run where, and what each event asks for.

Pure: it is told the time, the workers' lists and the outcomes of orders, and returns
orders and records. Nothing is started before its launch is read back from the log
under our epoch, so that a successor knows where everything may be.
"""

from knapweedshed.decisions.end_records import EndRecords
from knapweedshed.decisions.fleet import (
    IN_FLIGHT,
    TO_REPEAT,
    Member,
    MemberPhase,
    WorkerBelief,
    worth_recording,
)
from knapweedshed.decisions.hangs import HANG_PAUSE_MS, hanging
from knapweedshed.decisions.paces import PaceNotes
from knapweedshed.decisions.planning_units import PlanningInput, UnitPlanner
from knapweedshed.decisions.speeds import WorkerSpeeds
from knapweedshed.decisions.takeover import take_up_launches
from knapweedshed.decisions.unit_runs import UnitRun
from knapweedshed.decisions.units import ready_units, step_of
from knapweedshed.models.work import (
    EndKind,
    Resources,
    tasks_of,
    unit_of,
)
from knapweedshed.models.work_orders import (
    DONE,
    REASON_LATE,
    REASON_OLD,
    REASON_OTHER_INCARNATION,
    REASON_ROOM,
    REASON_UNHEALTHY,
    REASON_UNREACHABLE,
    UNKNOWN,
    RecordLaunches,
    RunLost,
    StartRun,
    StopRun,
)
from knapweedshed.models.work_records import Launched

START_TRIES_COUNT = 3  # within the time that a gang waits for its members
LEARN_MS = 500  # between two workings out of speeds
AVOID_MS = 3_000  # a unit that failed runs elsewhere, unless nowhere else is free
CLAIM_MS = 1_500  # a stop takes 200 ms; one that is repeated, a second more
ORDER_LOST_MS = 3_000  # a start's three tries take 1.8 s
NOT_STARTED = (
    REASON_OLD,
    REASON_LATE,
    REASON_ROOM,
    REASON_UNHEALTHY,
    REASON_UNREACHABLE,
    REASON_OTHER_INCARNATION,
)
LOST = (EndKind.FAILED, EndKind.LAPSED)
SICK_REASONS = (REASON_UNHEALTHY, REASON_UNREACHABLE)


class Dispatcher:
    """State of one term as acting scheduler, from a claim to the next."""

    def __init__(self, ledger, bounds, order, now_ms):
        self._ledger = ledger
        self._bounds = bounds
        self._planner = UnitPlanner(order)
        self._workers = {}
        self._runs = take_up_launches(ledger, self._workers, bounds, now_ms)
        self._end_records = EndRecords()
        self._configuration = None
        self._listed = False
        self._speeds = WorkerSpeeds(
            (worker_id, *known) for worker_id, known in ledger.speeds.items()
        )
        self._avoided = {}
        self._paces = PaceNotes(ledger, self._workers, self._runs, self._speeds)
        self._learned_ms = now_ms
        self._room_changed = True
        self._waiting_since = {}
        self._claims = {}

    @property
    def room_changed(self):
        """Whether a worker's list has changed what could be placed since the plan."""
        return self._room_changed

    @property
    def workers(self):
        """Return the beliefs by worker id."""
        return self._workers

    @property
    def runs(self):
        """Return the units that are somewhere."""
        return self._runs

    def configure(self, configuration):
        """Take a newer configuration."""
        self._configuration = configuration

    def list_workers(self, entries, now_ms):
        """Take the platform's whole list; return orders."""
        self._listed = True
        self._planner.update_workers(entries)
        listed = set()
        orders = []
        for entry in entries:
            listed.add(entry.worker_id)
            self._speeds.update_incarnation(entry.worker_id, entry.incarnation)
            belief = self._workers.get(entry.worker_id)
            if belief is None:
                belief = WorkerBelief(
                    entry.worker_id, entry.incarnation, now_ms, self._bounds.lease_ms
                )
                self._workers[entry.worker_id] = belief
            orders.extend(self._clear(belief, belief.renew(entry), now_ms))
        for worker_id, belief in list(self._workers.items()):
            if worker_id not in listed:
                belief.entry = None
                if not belief.members:
                    del self._workers[worker_id]
        return orders

    def take_lists(self, worker_id, lists, sent_ms, now_ms):
        """Take a worker's answer to a hold; return orders."""
        belief = self._workers.get(worker_id)
        if belief is None:
            return []
        was_usable = belief.usable(now_ms)
        gone, ends, strange = belief.take_lists(lists, sent_ms, now_ms)
        if gone or ends or not was_usable:
            self._room_changed = True
        orders = []
        self._paces.note(belief, gone, now_ms)
        self._note_ends(belief, ends, now_ms)
        orders.extend(self._clear(belief, gone, now_ms))
        for listed in strange:
            orders.append(self._stop_stray(belief, listed, now_ms))
        for listed in lists.running:
            orders.extend(self._stop_if_over(belief, (listed.task, listed.run), now_ms))
        return orders

    def take_outcome(self, order, outcome, now_ms):
        """Take what came of an order; return orders that follow.

        A refusal says that a run was not started only where no earlier try of the same
        start is without answer: that one may still be carried out.
        """
        belief = self._workers.get(order.worker_id)
        key = (order.task, order.run)
        member = belief.members.get(key) if belief else None
        if member is None:
            return []
        if isinstance(order, StopRun):
            settled_ms = now_ms if outcome.kind == DONE else TO_REPEAT
            belief.members[key] = member._replace(settled_ms=settled_ms)
            return []
        if member.phase == MemberPhase.STOPPING:
            return []
        if outcome.kind == DONE:
            belief.members[key] = member._replace(settled_ms=now_ms)
            return []
        if outcome.reason in SICK_REASONS:
            belief.strike(now_ms)
        if outcome.reason in NOT_STARTED and member.tries == 1:
            del belief.members[key]
            return self._member_gone(order.task, order.run, None, now_ms)
        if outcome.kind == UNKNOWN and member.tries < START_TRIES_COUNT:
            belief.members[key] = member._replace(tries=member.tries + 1)
            return [order]
        return self._stop_member(belief, key, now_ms)

    def take_fold(self, job_ids, now_ms):
        """Jobs changed in the log: stop what must not run; return orders."""
        orders = []
        for job_id in set(job_ids):
            progress = self._ledger.jobs.get(job_id)
            if progress is None or progress.active:
                continue
            for unit, run in list(self._runs.items()):
                if unit.job_id == job_id and not run.over:
                    orders.extend(self._end_run(unit, now_ms))
        return orders

    def ends_read(self, ends):
        """Ends stand in the log under our epoch."""
        for end in ends:
            self._end_records.read_back(end)
            for belief in self._workers.values():
                listed = belief.unrecorded.get(end.number)
                if listed and (listed.task, listed.run) == (end.task, end.run):
                    del belief.unrecorded[end.number]

    def launches_read(self, launches, now_ms):
        """Launches stand in the log under our epoch: start them now."""
        orders = []
        for launched in launches:
            run = self._runs.get(launched.unit)
            if run is None or run.run != launched.run or run.launched:
                continue
            self._runs[launched.unit] = run._replace(launched=True, started_ms=now_ms)
            for task, worker_id in run.where.items():
                members = self._workers[worker_id].members
                members[task, run.run] = members[task, run.run]._replace(
                    ordered_ms=now_ms
                )
            if run.over:
                self._unplace(launched.unit)
            else:
                orders.extend(self._starts(run, now_ms))
        return orders

    def launches_lost(self, launches):
        """Launches were certainly not written: nothing was started."""
        for launched in launches:
            run = self._runs.get(launched.unit)
            if run is not None and run.run == launched.run and not run.launched:
                self._unplace(launched.unit)

    def tick(self, now_ms):
        """Let leases lapse, repeat stops and records; return orders and records."""
        actions = []
        if now_ms - self._learned_ms >= LEARN_MS:
            self._learned_ms = now_ms
            self._speeds.recompute(now_ms)
            actions.extend(self._leave_hanging(now_ms))
        for belief in list(self._workers.values()):
            actions.extend(self._clear(belief, belief.lapse(now_ms), now_ms))
            for key, member in list(belief.members.items()):
                actions.extend(self._give_again(belief, key, member, now_ms))
        actions.extend(self._end_records.overdue(now_ms))
        return actions

    def speeds_to_tell(self, now_ms):
        """Return what whoever acts next should know of speeds."""
        return self._speeds.take_report(now_ms, self._workers)

    def pending_records(self, now_ms):
        """Return a record of the ends that were not sent to the log yet, or none."""
        return self._end_records.fresh(now_ms)

    def plan(self, now_ms, wall_ms):
        """Return stops, and the launches to record."""
        self._room_changed = False
        if self._configuration is None or not self._listed:
            return []
        held_back = {self._unit_of(task) for task in self._end_records.tasks()}
        waiting = [
            unit
            for unit in ready_units(self._ledger, wall_ms + self._bounds.early_ms // 2)
            if unit not in self._runs and unit not in held_back
        ]
        self._waiting_since = {
            unit[:3]: self._waiting_since.get(unit[:3], now_ms) for unit in waiting
        }
        self._claims = {
            unit: until_ms
            for unit, until_ms in self._claims.items()
            if until_ms > now_ms and unit not in self._runs
        }
        if not waiting:
            return []
        plan = self._planner.plan(
            PlanningInput(
                waiting,
                self._waiting_since,
                self._claims,
                self._ledger,
                self._workers,
                self._runs,
                self._configuration,
                self._speeds,
                self._avoided,
                now_ms,
                wall_ms,
            )
        )
        actions = []
        for preempted in plan.preempted:
            actions.append(preempted)
            self._claims.setdefault(preempted.wanted_by, now_ms + CLAIM_MS)
            for unit in preempted.units:
                actions.extend(self._end_run(unit, now_ms))
        launches = [self._launch(unit, at, now_ms) for unit, at in plan.starts]
        if launches:
            actions.append(RecordLaunches(tuple(launches)))
        return actions

    def hold_terms(self, worker_id, now_ms, answered=True):
        """Return (lease end on the worker's clock or 0, ends it may forget).

        After a hold without an answer nothing is renewed before the next answer:
        otherwise a worker that is gone would seem to hold its runs for ever.
        """
        belief = self._workers[worker_id]
        if not answered:
            return 0, belief.acknowledgeable
        deadline = belief.deadline_for(now_ms, self._bounds.lease_ms)
        return deadline, belief.acknowledgeable

    def _launch(self, unit, worker_ids, now_ms):
        progress = self._ledger.jobs[unit.job_id]
        step = step_of(progress.job, unit)
        before = progress.launched.get(unit)
        run = before.run + 1 if before else 1
        where = {}
        for task, worker_id in zip(tasks_of(unit, step), worker_ids, strict=True):
            self._workers[worker_id].members[task, run] = Member(
                task, run, step.need, MemberPhase.STARTING, started_ms=now_ms
            )
            where[task] = worker_id
        self._runs[unit] = UnitRun(
            unit, run, where, False, now_ms, False, tuple(worker_ids)
        )
        at = tuple((name, self._workers[name].incarnation) for name in worker_ids)
        return Launched(unit, run, at)

    def _starts(self, run, now_ms):
        progress = self._ledger.jobs[run.unit.job_id]
        _, saved = progress.saved.get(run.unit, (0, ""))
        for task, worker_id in run.where.items():
            deadline = self._workers[worker_id].deadline_for(
                now_ms, self._bounds.lease_ms
            )
            yield StartRun(
                worker_id,
                task,
                run.run,
                progress.job.specification,
                saved,
                deadline,
            )

    def _unplace(self, unit):
        """Drop a run of which nothing was started."""
        run = self._runs.pop(unit)
        for task, worker_id in run.where.items():
            self._workers[worker_id].members.pop((task, run.run), None)

    def _leave_hanging(self, now_ms):
        """Leave out workers that hang, and stop what should move from them."""
        actions = []
        for belief, described, movable in hanging(self._ledger, self._workers, now_ms):
            belief.leave_out(now_ms + HANG_PAUSE_MS)
            actions.append(described)
            for key in movable:
                actions.extend(self._stop_member(belief, key, now_ms))
        return actions

    def _give_again(self, belief, key, member, now_ms):
        """Repeat a stop; stop a start of which nothing was heard for too long.

        Orders in hand are lost with the link to a worker that the list drops.
        """
        lost = (
            member.settled_ms == IN_FLIGHT
            and member.ordered_ms
            and now_ms - member.ordered_ms > ORDER_LOST_MS
        )
        if member.settled_ms != TO_REPEAT and not lost:
            return []
        if member.phase == MemberPhase.STARTING:
            return self._stop_member(belief, key, now_ms)
        belief.members[key] = member._replace(settled_ms=IN_FLIGHT, ordered_ms=now_ms)
        return [StopRun(belief.worker_id, *key)]

    def _note_ends(self, belief, ends, now_ms):
        for end in ends:
            if end.kind == EndKind.FAILED:
                belief.strike(now_ms)
                self._avoid(end.task, belief.worker_id, now_ms)
            elif end.kind == EndKind.DONE:
                belief.praise()
            known = end.task.job_id in self._ledger.jobs
            if known and worth_recording(end):
                belief.unrecorded[end.number] = end
                self._end_records.add(end)

    def _avoid(self, task, worker_id, now_ms):
        """Run a unit elsewhere next, so that a sick worker fails it once only."""
        if task.job_id in self._ledger.jobs:
            until = self._avoided.setdefault(self._unit_of(task), {})
            until[worker_id] = now_ms + AVOID_MS

    def _unit_of(self, task):
        progress = self._ledger.jobs[task.job_id]
        return unit_of(task, progress.job.steps[task.step])

    def _clear(self, belief, gone, now_ms):
        orders = []
        for item in gone:
            if item.kind in LOST:
                orders.append(
                    RunLost(
                        belief.worker_id, item.member.task, item.member.run, item.kind
                    )
                )
            orders.extend(
                self._member_gone(item.member.task, item.member.run, item.kind, now_ms)
            )
        if belief.entry is None and not belief.members:
            self._workers.pop(belief.worker_id, None)
        return orders

    def _member_gone(self, task, number, kind, now_ms):
        """A run's member is not there any more; what is left of a gang must go."""
        if task.job_id not in self._ledger.jobs:
            return []
        unit = self._unit_of(task)
        run = self._runs.get(unit)
        if run is None or run.run != number:
            return []
        run.where.pop(task, None)
        if not run.where:
            del self._runs[unit]
            return []
        if kind == EndKind.DONE or run.over:
            return []
        return self._end_run(unit, now_ms)

    def _end_run(self, unit, now_ms):
        """Stop what there is of a unit's run."""
        run = self._runs[unit]
        self._runs[unit] = run._replace(over=True)
        if not run.launched:
            return []
        orders = []
        for task, worker_id in run.where.items():
            belief = self._workers[worker_id]
            orders.extend(self._stop_member(belief, (task, run.run), now_ms))
        return orders

    def _stop_member(self, belief, key, now_ms):
        member = belief.members.get(key)
        if member is None or member.phase == MemberPhase.STOPPING:
            return []
        belief.members[key] = member._replace(
            phase=MemberPhase.STOPPING, settled_ms=IN_FLIGHT, ordered_ms=now_ms
        )
        orders = [StopRun(belief.worker_id, *key)]
        unit = self._unit_of(key[0])
        run = self._runs.get(unit)
        if run is not None and run.run == key[1] and not run.over:
            orders.extend(self._end_run(unit, now_ms))
        return orders

    def _stop_if_over(self, belief, key, now_ms):
        """Stop what a predecessor left running though its job has ended."""
        member = belief.members.get(key)
        if member is None or member.phase != MemberPhase.RUNNING:
            return []
        run = self._runs.get(self._unit_of(key[0]))
        if run is not None and run.run == key[1] and not run.over:
            return []
        return self._stop_member(belief, key, now_ms)

    def _stop_stray(self, belief, listed, now_ms):
        """Stop a run that no launch of ours or of a predecessor accounts for."""
        progress = self._ledger.jobs.get(listed.task.job_id)
        need = Resources()
        if progress is not None and listed.task.step < len(progress.job.steps):
            need = progress.job.steps[listed.task.step].need
        belief.members[listed.task, listed.run] = Member(
            listed.task,
            listed.run,
            need,
            MemberPhase.STOPPING,
            IN_FLIGHT,
            now_ms,
            ordered_ms=now_ms,
        )
        return StopRun(belief.worker_id, listed.task, listed.run)
