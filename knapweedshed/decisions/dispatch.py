"""The acting scheduler: which units run where, and what each event asks for.

Pure: it is told the time, the workers' lists and the outcomes of orders, and returns
orders and records. Nothing is started before its launch is read back from the log
under our epoch, so that a successor knows where everything may be.
"""

from typing import NamedTuple

from knapweedshed.decisions.fleet import (
    IN_FLIGHT,
    TO_REPEAT,
    WHOLE_PERCENT,
    Member,
    MemberPhase,
    WorkerBelief,
    worth_recording,
)
from knapweedshed.decisions.planning_units import UnitPlanner, rack_of
from knapweedshed.decisions.speeds import WorkerSpeeds
from knapweedshed.decisions.units import ready_units, step_of
from knapweedshed.models.work import (
    EndKind,
    Resources,
    Unit,
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
    RecordEnds,
    RecordLaunches,
    StartRun,
    StopRun,
    WorkerHangs,
)
from knapweedshed.models.work_records import Launched

START_TRIES_COUNT = 3  # within the time that a gang waits for its members
LEARN_MS = 500  # between two workings out of speeds
STALL_MS = 1_800  # nearly two lists without progress
STALL_PERCENTS = 3  # and the time of some steps of progress on a slow worker
SLOW_SPEED_RATIO = 0.5
HANG_PAUSE_MS = 2_500  # a worker that hangs is looked at again after this
AVOID_MS = 3_000  # a unit that failed runs elsewhere, unless nowhere else is free
ORDER_LOST_MS = 3_000  # a start's three tries take 1.8 s
RECORD_AGAIN_MS = 1_500  # an end whose record isn't read back by then is written again
NOT_STARTED = (
    REASON_OLD,
    REASON_LATE,
    REASON_ROOM,
    REASON_UNHEALTHY,
    REASON_UNREACHABLE,
    REASON_OTHER_INCARNATION,
)
SICK_REASONS = (REASON_UNHEALTHY, REASON_UNREACHABLE)


class Bounds(NamedTuple):
    """Time limits of the workers' platform, in milliseconds."""

    lease_ms: int = 6_000
    term_ms: int = 10_000
    early_ms: int = 250


class UnitRun(NamedTuple):
    """A unit that is somewhere; `where` maps its tasks to worker ids.

    `workers` are those it was launched at. `over` says that the run has failed or was
    stopped, and only has to clear.
    """

    unit: Unit
    run: int
    where: dict
    over: bool
    started_ms: int
    launched: bool
    workers: tuple[str, ...] = ()


class Dispatcher:
    """State of one term as acting scheduler, from a claim to the next."""

    def __init__(self, ledger, bounds, order, now_ms):
        self._ledger = ledger
        self._bounds = bounds
        self._planner = UnitPlanner(order)
        self._workers = {}
        self._runs = {}
        self._unrecorded = {}
        self._record_sent_ms = {}
        self._configuration = None
        self._listed = False
        self._speeds = WorkerSpeeds()
        self._taken_up = set()
        self._avoided = {}
        self._learned_ms = now_ms
        self._adopt_launches(now_ms)

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
        listed = set()
        orders = []
        for entry in entries:
            listed.add(entry.worker_id)
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
        gone, ends, strange = belief.take_lists(lists, sent_ms, now_ms)
        orders = []
        self._note_paces(belief, gone, now_ms)
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
            key = (end.task, end.run)
            self._unrecorded.pop(key, None)
            self._record_sent_ms.pop(key, None)
            for belief in self._workers.values():
                listed = belief.unrecorded.get(end.number)
                if listed and (listed.task, listed.run) == key:
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
            self._speeds.learn(now_ms)
            actions.extend(self._stop_hanging(now_ms))
        for belief in list(self._workers.values()):
            actions.extend(self._clear(belief, belief.lapse(now_ms), now_ms))
            for key, member in list(belief.members.items()):
                actions.extend(self._give_again(belief, key, member, now_ms))
        again = [
            end
            for key, end in self._unrecorded.items()
            if now_ms - self._record_sent_ms.get(key, 0) > RECORD_AGAIN_MS
        ]
        if again:
            actions.append(self._record(again, now_ms))
        return actions

    def pending_records(self, now_ms):
        """Return a record of the ends that were not sent to the log yet, or none."""
        fresh = [
            end
            for key, end in self._unrecorded.items()
            if key not in self._record_sent_ms
        ]
        return [self._record(fresh, now_ms)] if fresh else []

    def plan(self, now_ms, wall_ms):
        """Return stops, and the launches to record."""
        if self._configuration is None or not self._listed:
            return []
        waiting = [
            unit
            for unit in ready_units(self._ledger, wall_ms + self._bounds.early_ms // 2)
            if unit not in self._runs and not self._has_unrecorded(unit)
        ]
        if not waiting:
            return []
        plan = self._planner.plan(
            waiting,
            self._ledger,
            self._workers,
            self._runs,
            self._configuration,
            self._speeds,
            self._avoided,
            now_ms,
            wall_ms,
        )
        actions = []
        for preempted in plan.preempted:
            actions.append(preempted)
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

    def _adopt_launches(self, now_ms):
        """Take up what our predecessors may have running, by their launch records."""
        for progress in self._ledger.jobs.values():
            for unit, launched in progress.launched.items():
                if unit in progress.done:
                    continue
                where = self._adopt_members(progress.job, launched, now_ms)
                self._taken_up.add(unit)
                self._runs[unit] = UnitRun(
                    unit,
                    launched.run,
                    where,
                    not progress.active,
                    now_ms,
                    True,
                    tuple(worker_id for worker_id, _ in launched.workers),
                )

    def _adopt_members(self, job, launched, now_ms):
        """Count a launch's tasks at their workers; return {task: worker id}."""
        off_ms = now_ms + self._bounds.term_ms + int(self._bounds.lease_ms / 0.98)
        step = step_of(job, launched.unit)
        where = {}
        tasks = tasks_of(launched.unit, step)
        for task, at in zip(tasks, launched.workers, strict=True):
            worker_id, incarnation = at
            belief = self._workers.get(worker_id)
            if belief is None:
                belief = self._workers[worker_id] = WorkerBelief(
                    worker_id, incarnation, off_ms, self._bounds.lease_ms
                )
            elif belief.incarnation < incarnation:
                belief.forget(incarnation)
            belief.members[task, launched.run] = Member(
                task, launched.run, step.need, MemberPhase.RUNNING, now_ms, now_ms
            )
            where[task] = worker_id
        return where

    def _launch(self, unit, worker_ids, now_ms):
        self._taken_up.discard(unit)
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

    def _patience_ms(self, member):
        """Return how long a member may go without progress unsuspected."""
        progress = self._ledger.jobs.get(member.task.job_id)
        if progress is None:
            return STALL_MS
        estimate_ms = progress.job.steps[member.task.step].estimate_ms
        return STALL_MS + STALL_PERCENTS * estimate_ms / 100 / SLOW_SPEED_RATIO

    def _stop_hanging(self, now_ms):
        """Leave out workers that hang; move what loses less than it has waited."""
        orders = []
        for belief in self._workers.values():
            if not belief.hangs(now_ms, self._patience_ms):
                continue
            belief.leave_out(now_ms + HANG_PAUSE_MS)
            orders.append(_hang_of(belief, now_ms))
            for key, member in list(belief.members.items()):
                stalled_ms = now_ms - member.moved_ms
                if member.phase != MemberPhase.RUNNING or not member.seen:
                    continue
                if self._lost_ms(member) <= stalled_ms:
                    orders.extend(self._stop_member(belief, key, now_ms))
        return orders

    def _lost_ms(self, member):
        """Return the work that a stop of a member's run would lose."""
        progress = self._ledger.jobs.get(member.task.job_id)
        if progress is None:
            return 0
        step = progress.job.steps[member.task.step]
        if step.checkpoints:
            return 0
        return step.estimate_ms * member.percent / 100

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

    def _note_paces(self, belief, gone, now_ms):
        """Learn speeds from what runs, and from what ended as done.

        The members of a gang have work of their own, and wait at 100% for the others.
        """
        for member in belief.members.values():
            if member.seen and member.phase == MemberPhase.RUNNING:
                if member.percent < WHOLE_PERCENT:
                    self._note_pace(belief, member, member.percent, now_ms)
        for item in gone:
            if item.kind == EndKind.DONE:
                self._note_pace(belief, item.member, WHOLE_PERCENT, now_ms)

    def _note_pace(self, belief, member, percent, now_ms):
        progress = self._ledger.jobs.get(member.task.job_id)
        if progress is None or belief.entry is None:
            return
        step = progress.job.steps[member.task.step]
        unit = unit_of(member.task, step)
        run = self._runs.get(unit)
        if run is None or run.run != member.run or progress.saved.get(unit):
            return
        if unit in self._taken_up or self._is_far(step, run):
            return
        if step.gang and percent >= WHOLE_PERCENT:
            return
        self._speeds.observe(
            (member.task, member.run),
            unit.job_id,
            belief.worker_id,
            percent,
            now_ms - run.started_ms,
            step.estimate_ms,
            now_ms,
        )

    def _is_far(self, step, run):
        """Return whether a run is slowed by racks, or can't be told."""
        beliefs = [self._workers.get(worker_id) for worker_id in run.workers]
        if any(belief is None or belief.entry is None for belief in beliefs):
            return True
        racks = {rack_of(belief.entry.labels) for belief in beliefs}
        if step.same_rack and len(racks) > 1:
            return True
        return bool(step.data_rack) and racks != {step.data_rack}

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
                self._unrecorded[end.task, end.run] = end

    def _avoid(self, task, worker_id, now_ms):
        """Run a unit elsewhere next, so that a sick worker fails it once only."""
        if task.job_id in self._ledger.jobs:
            until = self._avoided.setdefault(self._unit_of(task), {})
            until[worker_id] = now_ms + AVOID_MS

    def _record(self, ends, now_ms):
        for end in ends:
            self._record_sent_ms[end.task, end.run] = now_ms
        return RecordEnds(tuple(ends))

    def _has_unrecorded(self, unit):
        return any(self._unit_of(task) == unit for task, _ in self._unrecorded)

    def _unit_of(self, task):
        progress = self._ledger.jobs[task.job_id]
        return unit_of(task, progress.job.steps[task.step])

    def _clear(self, belief, gone, now_ms):
        orders = []
        for item in gone:
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


def _hang_of(belief, now_ms):
    members = belief.members.values()
    still_ms = min(now_ms - member.moved_ms for member in members)
    percents = tuple(member.percent for member in members)
    return WorkerHangs(belief.worker_id, still_ms, percents)
