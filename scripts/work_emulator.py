"""Plays a day on the scheduler's decisions with a manual clock: no I/O, no threads.

Only the `Dispatcher` decides; this knows how workers behave and what the log takes.
Left out against the bench: cuts, lost answers, takeovers, processor time of hosts.
"""

import heapq
import itertools
import random
import time
from typing import NamedTuple

from knapweedshed.decisions.dispatch import Dispatcher
from knapweedshed.decisions.unit_runs import TimeLimits
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.decisions.work_order import (
    LATE_OBJECTIVE_FACTOR,
    create_ordering_policy,
)
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    OrderOutcome,
    RecordLaunches,
    RecordTaskEnds,
    StartRun,
    StopRun,
)
from knapweedshed.models.service_configuration import (
    ConfiguredOrganisation,
    ServiceConfiguration,
)
from knapweedshed.models.work import (
    EndKind,
    HoldAnswer,
    TaskEnd,
    TaskRun,
    WorkState,
    unit_of_task,
)
from knapweedshed.models.work_records import (
    ActingClaimed,
    RunsLaunched,
    TasksEnded,
    WorkAccepted,
)

LOG_MS = 12  # an append and its reading back: measured on the bench
WAY_MS = 2  # to a worker, one way
HOLD_MS = 1_000
TICK_MS = 200
PLAN_PAUSE_MS = 10
FINISH_MS = 14_000  # jobs may end this long after the last arrival: sheets
STOP_MS = 100
RESTORE_MS = 600
FAR_FACTOR = 3.0  # several racks, where one is wished: sheets
FAIL_AT_SHARE = 0.3  # how far a run comes that fails
ACCELERATOR_CORES = 8


class Played(NamedTuple):
    """What came of a day; shares are of the worth owed.

    `broken` names what no day may have: a task that runs twice at a time or again
    after its end was recorded, and workers over their capacity. `starved` counts
    open jobs of which nothing runs when the day ends.
    """

    credit: float
    by_kind: dict
    in_time: dict
    wasted_core_s: float
    unfinished: int
    plan_ms: tuple[float, ...]
    runs: int
    broken: tuple[str, ...] = ()
    starved: int = 0


class _Run:
    """One run of a task at a worker."""

    def __init__(self, order, worker, work_ms, fails):
        self.order = order
        self.worker = worker
        self.work_ms = work_ms
        self.fails = fails
        self.begun_ms = -1
        self.slowness = 1.0


class Emulator:
    """Workers, their log and one acting scheduler."""

    def __init__(self, day, seed, order="credit"):
        self._day = day
        self._chance = random.Random(seed * 7_919 + 1)
        self._now_ms = 0
        self._events = []
        self._count = itertools.count()
        self._ledger = WorkLedger()
        self._ledger.apply(0, ActingClaimed(1, "host"))
        bounds = TimeLimits()
        self._dispatcher = Dispatcher(
            self._ledger, bounds, create_ordering_policy(order), 0
        )
        organisations = tuple(
            ConfiguredOrganisation(name, (name,), count)
            for name, count in day.guaranteed.items()
        )
        self._dispatcher.configure(ServiceConfiguration(1, (), organisations))
        self._workers = {worker.entry.worker_id: worker for worker in day.workers}
        self._there = {name: {} for name in self._workers}
        self._ends = {name: [] for name in self._workers}
        self._numbers = dict.fromkeys(self._workers, 0)
        self._holding = dict.fromkeys(self._workers, 0)
        self._arrivals = {arrival.job.job_id: arrival for arrival in day.arrivals}
        self._over_ms = {}
        self._planning = False
        self._offset = 0
        self._plan_ms = []
        self._wasted = 0.0
        self._runs = 0
        self._broken = []

    def run(self):
        """Play to the end; return `Played`."""
        end_ms = self._day.length_ms + FINISH_MS
        for arrival in self._day.arrivals:
            self._at(arrival.at_ms + LOG_MS, self._accept, arrival)
        self._at(0, self._tick)
        entries = tuple(worker.entry for worker in self._day.workers)
        self._do(self._dispatcher.update_workers(entries, 0))
        for name in self._workers:
            self._at(WAY_MS, self._answer_hold, name, 0)
        while self._events and self._events[0][0] <= end_ms:
            self._now_ms, _, call, values = heapq.heappop(self._events)
            call(*values)
        return self._result()

    def _at(self, at_ms, call, *values):
        heapq.heappush(self._events, (int(at_ms), next(self._count), call, values))

    def _after(self, delay_ms, call, *values):
        self._at(self._now_ms + delay_ms, call, *values)

    def _accept(self, arrival):
        self._fold(WorkAccepted(arrival.job))
        self._plan_soon()

    def _fold(self, record):
        self._offset += 1
        changed = self._ledger.apply(self._offset, record)
        for job_id in changed:
            progress = self._ledger.jobs[job_id]
            if not progress.active:
                self._over_ms.setdefault(job_id, (self._now_ms, progress.state))
        return changed

    def _tick(self):
        self._do(self._dispatcher.tick(self._now_ms))
        self._plan_soon()
        self._after(TICK_MS, self._tick)

    def _plan_soon(self):
        if not self._planning:
            self._planning = True
            self._after(PLAN_PAUSE_MS, self._plan)

    def _plan(self):
        self._planning = False
        began = time.perf_counter()
        actions = self._dispatcher.plan(self._now_ms, self._now_ms)
        self._plan_ms.append((time.perf_counter() - began) * 1_000)
        self._do(actions)

    def _do(self, actions):
        for action in actions:
            if isinstance(action, RecordLaunches):
                self._after(LOG_MS, self._launched, action.launches)
            elif isinstance(action, RecordTaskEnds):
                self._after(LOG_MS, self._recorded, action.ends)
            elif isinstance(action, StartRun):
                self._after(WAY_MS, self._start, action)
            elif isinstance(action, StopRun):
                self._after(WAY_MS, self._stop, action)

    def _launched(self, launches):
        self._fold(RunsLaunched(1, launches))
        self._do(self._dispatcher.confirm_launches(launches, self._now_ms))

    def _recorded(self, ends):
        changed = self._fold(TasksEnded(1, ends))
        self._dispatcher.confirm_ends(ends)
        self._do(self._dispatcher.handle_changed_jobs(changed, self._now_ms))
        self._plan_soon()

    def _answered(self, order):
        outcome = OrderOutcome(ORDER_DONE)
        self._do(self._dispatcher.handle_order_outcome(order, outcome, self._now_ms))
        self._plan_soon()

    def _start(self, order):
        self._runs += 1
        arrival = self._arrivals[order.task.job_id]
        step = arrival.job.steps[order.task.step]
        worker = self._workers[order.worker_id]
        work_ms = arrival.work_ms[order.task.step, order.task.index]
        if order.saved:
            work_ms = work_ms * (1 - float(order.saved)) + RESTORE_MS
        fails = self._fails(worker) or self._chance.random() < arrival.kind.fails_share
        size = step.count if step.gang else 1
        run = _Run(order, worker, work_ms, fails)
        self._check(order, step)
        self._there[order.worker_id][order.task, order.run] = run
        mates = self._mates(order)
        if len(mates) == size:
            self._begin(mates, step)
        self._after(WAY_MS, self._answered, order)

    def _check(self, order, step):
        """Note what a start breaks."""
        running = any(
            task == order.task for there in self._there.values() for task, _ in there
        )
        progress = self._ledger.jobs[order.task.job_id]
        if running or unit_of_task(order.task, step) in progress.done:
            self._broken.append(f"twice: {order.task}, run {order.run}")
        need = step.need
        for task, _ in self._there[order.worker_id]:
            need = need.plus(self._arrivals[task.job_id].job.steps[task.step].need)
        if not self._workers[order.worker_id].entry.capacity.can_fit(need):
            self._broken.append(f"over its capacity: {order.worker_id}")

    def _mates(self, order):
        """Return the runs that work together with an order's, itself included."""
        key = (*order.task[:3], order.run)
        step = self._arrivals[order.task.job_id].job.steps[order.task.step]
        if not step.gang:
            return [self._there[order.worker_id][order.task, order.run]]
        return [
            run
            for there in self._there.values()
            for (task, number), run in there.items()
            if (*task[:3], number) == key
        ]

    def _begin(self, mates, step):
        racks = {mate.worker.entry.labels[1] for mate in mates}
        slowness = FAR_FACTOR if step.same_rack and len(racks) > 1 else 1.0
        ends = []
        for mate in mates:
            mate.begun_ms = self._now_ms
            mate.slowness = slowness
            ends.append(_end_ms(mate))
        if any(mate.fails for mate in mates):
            failing = next(mate for mate in mates if mate.fails)
            share = FAIL_AT_SHARE * failing.work_ms * slowness
            self._after(share, self._fail, failing)
        else:
            self._at(max(ends), self._finish, mates)

    def _fails(self, worker):
        return any(
            window.fails and window.from_ms <= self._now_ms < window.to_ms
            for window in worker.windows
        )

    def _is_there(self, run):
        key = (run.order.task, run.order.run)
        return self._there[run.order.worker_id].get(key) is run

    def _finish(self, mates):
        if all(self._is_there(mate) for mate in mates):
            for mate in mates:
                self._end(mate, EndKind.DONE)

    def _fail(self, run):
        if not self._is_there(run):
            return
        mates = self._mates(run.order)
        for mate in mates:
            self._waste(mate)
            self._end(mate, EndKind.FAILED if mate is run else EndKind.BROKEN)

    def _stop(self, order):
        run = self._there[order.worker_id].get((order.task, order.run))
        if run is not None:
            self._after(STOP_MS, self._stopped, run)
        self._after(WAY_MS, self._answered, order)

    def _stopped(self, run):
        if self._is_there(run):
            self._waste(run)
            self._end(run, EndKind.STOPPED, self._saved(run))

    def _waste(self, run):
        step = self._arrivals[run.order.task.job_id].job.steps[run.order.task.step]
        if run.begun_ms >= 0 and not step.checkpoints:
            cores = step.need.cpu_milli / 1_000
            cores += step.need.accelerators * ACCELERATOR_CORES
            self._wasted += cores * (self._now_ms - run.begun_ms) / 1_000

    def _saved(self, run):
        step = self._arrivals[run.order.task.job_id].job.steps[run.order.task.step]
        if not step.checkpoints or run.begun_ms < 0:
            return ""
        before = float(run.order.saved or 0)
        return str(before + (1 - before) * _progress(run, self._now_ms))

    def _end(self, run, kind, saved=""):
        name = run.order.worker_id
        del self._there[name][run.order.task, run.order.run]
        self._numbers[name] += 1
        end = TaskEnd(self._numbers[name], run.order.task, run.order.run, kind, saved)
        self._ends[name].append(end)
        self._after(WAY_MS, self._answer_hold, name, self._holding[name])

    def _answer_hold(self, name, hold):
        """The worker's list reaches the scheduler, which holds again."""
        if hold != self._holding[name]:
            return
        self._holding[name] += 1
        running = tuple(
            TaskRun(task, number, self._saved(run), _percent(run, self._now_ms))
            for (task, number), run in self._there[name].items()
        )
        lists = HoldAnswer(self._now_ms, 1, running, tuple(self._ends[name]))
        sent_ms = self._now_ms - WAY_MS
        self._do(
            self._dispatcher.handle_hold_answer(name, lists, sent_ms, self._now_ms)
        )
        self._do(self._dispatcher.take_end_records(self._now_ms))
        _, acked = self._dispatcher.hold_parameters(name, self._now_ms)
        self._ends[name] = [end for end in self._ends[name] if end.number > acked]
        if self._dispatcher.capacity_changed:
            self._plan_soon()
        self._after(HOLD_MS, self._answer_hold, name, self._holding[name])

    def _result(self):
        owed, earned, in_time = {}, {}, {}
        for arrival in self._day.arrivals:
            name = arrival.kind.name
            owed[name] = owed.get(name, 0.0) + arrival.worth
            over_ms, state = self._over_ms.get(arrival.job.job_id, (0, None))
            if state != WorkState.COMPLETED:
                continue
            took_ms = over_ms - arrival.at_ms
            objective = arrival.kind.factor * arrival.chain_ms
            objective += arrival.kind.objective_ms
            share = 0.0
            if took_ms <= objective:
                share = 1.0
                in_time[name] = in_time.get(name, 0.0) + arrival.worth
            elif took_ms <= LATE_OBJECTIVE_FACTOR * objective:
                share = arrival.kind.late_worth / arrival.kind.worth
            earned[name] = earned.get(name, 0.0) + share * arrival.worth
        by_kind = {name: earned.get(name, 0.0) / owed[name] for name in owed}
        return Played(
            sum(earned.values()) / max(1e-9, sum(owed.values())),
            by_kind,
            {name: in_time.get(name, 0.0) / owed[name] for name in owed},
            self._wasted,
            len(self._day.arrivals) - len(self._over_ms),
            tuple(self._plan_ms),
            self._runs,
            tuple(self._broken),
            self._starved(),
        )

    def _starved(self):
        running = {unit.job_id for unit in self._dispatcher.runs}
        return sum(job_id not in running for job_id in self._ledger.open_jobs)


def _end_ms(run):
    """Return when a run that began ends by itself, by its worker's windows."""
    left = run.work_ms * run.slowness / run.worker.speed
    at_ms = run.begun_ms
    for from_ms, to_ms, factor in _spans(run.worker, at_ms):
        share = (to_ms - from_ms) * factor
        if share >= left:
            return from_ms + left / factor
        left -= share
    raise AssertionError("the last span has no end")


def _progress(run, now_ms):
    """Return the share of a run's work that is done, 0 to 1."""
    if run.begun_ms < 0:
        return 0.0
    done = sum(
        max(0, min(to_ms, now_ms) - from_ms) * factor
        for from_ms, to_ms, factor in _spans(run.worker, run.begun_ms)
    )
    return min(1.0, done * run.worker.speed / (run.work_ms * run.slowness))


def _percent(run, now_ms):
    return float(int(100 * _progress(run, now_ms)))


def _spans(worker, from_ms):
    """Yield (from, to, factor) from `from_ms` on; the last span has no end."""
    for window in sorted(worker.windows):
        if window.fails or window.to_ms <= from_ms:
            continue
        if from_ms < window.from_ms:
            yield from_ms, window.from_ms, 1.0
        begin_ms = max(from_ms, window.from_ms)
        yield begin_ms, window.to_ms, window.factor
        from_ms = window.to_ms
    yield from_ms, float("inf"), 1.0
