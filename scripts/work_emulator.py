"""Emulates a day of jobs on the scheduler's decision code, without I/O or threads.

The `Dispatcher` takes all decisions; the emulator models workers and the delay of the
log, with a manual clock. Unlike the benchmark of the whole system, it has no network
partitions, lost answers, takeovers or CPU time of hosts.
"""

import heapq
import itertools
import random
import time
from collections import Counter
from typing import NamedTuple

from knapweedshed.decisions.dispatch import Dispatcher
from knapweedshed.decisions.overload.shedding import create_overload_ordering
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
    RunStopped,
    StartRun,
    StopRun,
)
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES
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

LOG_ROUND_TRIP_MS = 12  # from an append until the record is read back
ONE_WAY_DELAY_MS = 2  # between scheduler and worker
HOLD_WAIT_MS = 1_000
TICK_MS = 200
PLAN_DELAY_MS = 10
FINISH_GRACE_MS = 14_000  # for jobs to end after the last arrival, as in the benchmark
STOP_DELAY_MS = 100
CHECKPOINT_RESTORE_MS = 600
CROSS_RACK_SLOWDOWN = 3.0  # of gangs that ask for one rack, as in the benchmark
FAILURE_PROGRESS_SHARE = 0.3  # of its work, which a failing run does before it fails
CORES_PER_ACCELERATOR = 8  # in wasted core-seconds


class DayResult(NamedTuple):
    """The result of a day; credits are shares of the total worth of the jobs.

    `violations` describes breaches of invariants: a task that runs twice at a time or
    again after its end was recorded, and workers over their capacity. `starved_jobs`
    counts open jobs without a run when the day ends. `plan_times_ms` are wall-clock
    times of planning steps. `stops` counts ordered stops by cause, a gang once.
    """

    credit: float
    credit_by_kind: dict
    in_time_by_kind: dict
    wasted_core_s: float
    unfinished: int
    plan_times_ms: tuple[float, ...]
    runs: int
    violations: tuple[str, ...] = ()
    starved_jobs: int = 0
    stops: dict = {}


class _Run:
    """One run of a task on a worker.

    `started_ms` is -1 until all runs of its gang have reached their workers. `slowdown`
    divides the worker's speed.
    """

    def __init__(self, order, worker, work_ms, will_fail):
        self.order = order
        self.worker = worker
        self.work_ms = work_ms
        self.will_fail = will_fail
        self.started_ms = -1
        self.slowdown = 1.0


class Emulator:
    """Emulates workers, the log and one acting scheduler."""

    def __init__(self, day, seed, policy="credit", overload=NO_OVERLOAD_POLICIES):
        self._day = day
        # Draws other numbers than the generator of the day, which has the same seed.
        self._rng = random.Random(seed * 7_919 + 1)
        self._now_ms = 0
        self._events = []
        self._sequence = itertools.count()
        self._ledger = WorkLedger()
        self._ledger.apply(0, ActingClaimed(1, "host"))
        time_limits = TimeLimits(
            save_ms=day.save_ms or 1_000,
            restore_ms=CHECKPOINT_RESTORE_MS,
            stop_ms=STOP_DELAY_MS,
        )
        ordering_policy = create_ordering_policy(policy)
        if overload.load_shedding:
            ordering_policy = create_overload_ordering(overload)
        self._dispatcher = Dispatcher(
            self._ledger, time_limits, ordering_policy, 0, overload
        )
        organisations = tuple(
            ConfiguredOrganisation(name, (name,), count)
            for name, count in day.guarantees.items()
        )
        self._dispatcher.configure(ServiceConfiguration(1, (), organisations))
        self._workers = {worker.entry.worker_id: worker for worker in day.workers}
        self._runs_by_worker = {worker_id: {} for worker_id in self._workers}
        self._ends_by_worker = {worker_id: [] for worker_id in self._workers}
        self._end_numbers = dict.fromkeys(self._workers, 0)
        self._hold_numbers = dict.fromkeys(self._workers, 0)
        self._arrivals = {arrival.job.job_id: arrival for arrival in day.arrivals}
        self._closed_jobs = {}
        self._plan_scheduled = False
        self._offset = 0
        self._plan_times_ms = []
        self._wasted_core_s = 0.0
        self._run_count = 0
        self._violations = []
        self._stops = Counter()

    def run(self):
        """Process all events until the end of the day; return a `DayResult`."""
        end_ms = self._day.length_ms + FINISH_GRACE_MS
        for arrival in self._day.arrivals:
            self._schedule_at(
                arrival.at_ms + LOG_ROUND_TRIP_MS, self._accept_job, arrival
            )
        self._schedule_at(0, self._tick)
        self._read_worker_list()
        for worker_id in self._workers:
            self._schedule_at(ONE_WAY_DELAY_MS, self._answer_hold, worker_id, 0)
        while self._events and self._events[0][0] <= end_ms:
            self._now_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        return self._day_result()

    def _schedule_at(self, at_ms, callback, *arguments):
        heapq.heappush(
            self._events, (int(at_ms), next(self._sequence), callback, arguments)
        )

    def _schedule_after(self, delay_ms, callback, *arguments):
        self._schedule_at(self._now_ms + delay_ms, callback, *arguments)

    def _accept_job(self, arrival):
        self._apply_record(WorkAccepted(arrival.job))
        self._schedule_plan()

    def _apply_record(self, record):
        self._offset += 1
        changed_jobs = self._ledger.apply(self._offset, record)
        for job_id in changed_jobs:
            progress = self._ledger.jobs[job_id]
            if not progress.active:
                self._closed_jobs.setdefault(job_id, (self._now_ms, progress.state))
        return changed_jobs

    def _read_worker_list(self):
        entries = tuple(worker.entry for worker in self._day.workers)
        self._perform(self._dispatcher.update_workers(entries, self._now_ms))

    def _tick(self):
        self._read_worker_list()
        self._perform(self._dispatcher.tick(self._now_ms))
        self._schedule_plan()
        self._schedule_after(TICK_MS, self._tick)

    def _schedule_plan(self):
        if not self._plan_scheduled:
            self._plan_scheduled = True
            self._schedule_after(PLAN_DELAY_MS, self._plan)

    def _plan(self):
        self._plan_scheduled = False
        started = time.perf_counter()
        actions = self._dispatcher.plan(self._now_ms, self._now_ms)
        self._plan_times_ms.append((time.perf_counter() - started) * 1_000)
        self._perform(actions)

    def _perform(self, actions):
        for action in actions:
            if isinstance(action, RunStopped):
                self._stops[str(action.cause)] += 1
            elif isinstance(action, RecordLaunches):
                self._schedule_after(
                    LOG_ROUND_TRIP_MS, self._confirm_launches, action.launches
                )
            elif isinstance(action, RecordTaskEnds):
                self._schedule_after(LOG_ROUND_TRIP_MS, self._confirm_ends, action.ends)
            elif isinstance(action, StartRun):
                self._schedule_after(ONE_WAY_DELAY_MS, self._start_run, action)
            elif isinstance(action, StopRun):
                self._schedule_after(ONE_WAY_DELAY_MS, self._stop_run, action)

    def _confirm_launches(self, launches):
        self._apply_record(RunsLaunched(1, launches))
        self._perform(self._dispatcher.confirm_launches(launches, self._now_ms))

    def _confirm_ends(self, ends):
        changed_jobs = self._apply_record(TasksEnded(1, ends))
        self._dispatcher.confirm_ends(ends)
        self._perform(self._dispatcher.handle_changed_jobs(changed_jobs, self._now_ms))
        self._schedule_plan()

    def _complete_order(self, order):
        outcome = OrderOutcome(ORDER_DONE)
        self._perform(
            self._dispatcher.handle_order_outcome(order, outcome, self._now_ms)
        )
        self._schedule_plan()

    def _start_run(self, order):
        self._run_count += 1
        arrival = self._arrivals[order.task.job_id]
        step = arrival.job.steps[order.task.step]
        worker = self._workers[order.worker_id]
        work_ms = arrival.work_ms[order.task.step, order.task.index]
        if order.saved:
            work_ms = work_ms * (1 - float(order.saved)) + CHECKPOINT_RESTORE_MS
        will_fail = (
            self._is_failing(worker) or self._rng.random() < arrival.kind.fails_share
        )
        size = step.count if step.gang else 1
        run = _Run(order, worker, work_ms, will_fail)
        self._check_start(order, step)
        self._runs_by_worker[order.worker_id][order.task, order.run] = run
        gang_runs = self._gang_runs(order)
        if len(gang_runs) == size:
            self._begin_work(gang_runs, step)
        self._schedule_after(ONE_WAY_DELAY_MS, self._complete_order, order)

    def _check_start(self, order, step):
        """Record which invariants the start of a run violates."""
        running = any(
            task == order.task
            for worker_runs in self._runs_by_worker.values()
            for task, _ in worker_runs
        )
        progress = self._ledger.jobs[order.task.job_id]
        if running or unit_of_task(order.task, step) in progress.done:
            self._violations.append(
                f"task started twice: {order.task}, run {order.run}"
            )
        need = step.need
        for task, _ in self._runs_by_worker[order.worker_id]:
            need = need.plus(self._arrivals[task.job_id].job.steps[task.step].need)
        if not self._workers[order.worker_id].entry.capacity.can_fit(need):
            self._violations.append(f"worker over its capacity: {order.worker_id}")

    def _gang_runs(self, order):
        """Return the started runs of an order's gang, its own run included."""
        key = (*order.task[:3], order.run)
        step = self._arrivals[order.task.job_id].job.steps[order.task.step]
        if not step.gang:
            return [self._runs_by_worker[order.worker_id][order.task, order.run]]
        return [
            run
            for worker_runs in self._runs_by_worker.values()
            for (task, number), run in worker_runs.items()
            if (*task[:3], number) == key
        ]

    def _begin_work(self, gang_runs, step):
        racks = {member.worker.entry.labels[1] for member in gang_runs}
        slowdown = CROSS_RACK_SLOWDOWN if step.same_rack and len(racks) > 1 else 1.0
        ends = []
        for member in gang_runs:
            member.started_ms = self._now_ms
            member.slowdown = slowdown
            ends.append(_completion_ms(member))
        if any(member.will_fail for member in gang_runs):
            failing = next(member for member in gang_runs if member.will_fail)
            delay_ms = FAILURE_PROGRESS_SHARE * failing.work_ms * slowdown
            self._schedule_after(delay_ms, self._fail_run, failing)
        else:
            self._schedule_at(max(ends), self._complete_runs, gang_runs)

    def _is_failing(self, worker):
        return any(
            window.fails and window.from_ms <= self._now_ms < window.to_ms
            for window in worker.windows
        )

    def _is_current(self, run):
        key = (run.order.task, run.order.run)
        return self._runs_by_worker[run.order.worker_id].get(key) is run

    def _complete_runs(self, gang_runs):
        if all(self._is_current(member) for member in gang_runs):
            for member in gang_runs:
                self._end_run(member, EndKind.DONE)

    def _fail_run(self, run):
        if not self._is_current(run):
            return
        gang_runs = self._gang_runs(run.order)
        for member in gang_runs:
            self._count_waste(member)
            self._end_run(member, EndKind.FAILED if member is run else EndKind.BROKEN)

    def _stop_run(self, order):
        run = self._runs_by_worker[order.worker_id].get((order.task, order.run))
        if run is not None:
            self._schedule_after(STOP_DELAY_MS, self._finish_stop, run)
        self._schedule_after(ONE_WAY_DELAY_MS, self._complete_order, order)

    def _finish_stop(self, run):
        if self._is_current(run):
            self._count_waste(run)
            self._end_run(run, EndKind.STOPPED, self._saved_progress(run))

    def _count_waste(self, run):
        step = self._arrivals[run.order.task.job_id].job.steps[run.order.task.step]
        if run.started_ms < 0:
            return
        wasted_ms = self._now_ms - run.started_ms
        if step.checkpoints:
            if not self._day.save_ms:
                return
            pace = run.worker.speed / run.slowdown
            interval_ms = self._day.save_ms / pace
            wasted_ms = wasted_ms % interval_ms + CHECKPOINT_RESTORE_MS / pace
        cores = step.need.cpu_milli / 1_000
        cores += step.need.accelerators * CORES_PER_ACCELERATOR
        self._wasted_core_s += cores * wasted_ms / 1_000

    def _saved_progress(self, run):
        step = self._arrivals[run.order.task.job_id].job.steps[run.order.task.step]
        if not step.checkpoints or run.started_ms < 0:
            return ""
        saved_share = float(run.order.saved or 0)
        progress = _progress(run, self._now_ms)
        if self._day.save_ms:
            saves = run.work_ms / self._day.save_ms
            progress = int(progress * saves) / saves
        if not saved_share + progress:
            return ""
        return str(saved_share + (1 - saved_share) * progress)

    def _end_run(self, run, kind, saved=""):
        worker_id = run.order.worker_id
        del self._runs_by_worker[worker_id][run.order.task, run.order.run]
        self._end_numbers[worker_id] += 1
        end = TaskEnd(
            self._end_numbers[worker_id], run.order.task, run.order.run, kind, saved
        )
        self._ends_by_worker[worker_id].append(end)
        self._schedule_after(
            ONE_WAY_DELAY_MS,
            self._answer_hold,
            worker_id,
            self._hold_numbers[worker_id],
        )

    def _answer_hold(self, worker_id, hold_number):
        """Deliver a worker's answer to a hold request and send the next request."""
        if hold_number != self._hold_numbers[worker_id]:
            return
        self._hold_numbers[worker_id] += 1
        running = tuple(
            TaskRun(
                task, number, self._saved_progress(run), _percent(run, self._now_ms)
            )
            for (task, number), run in self._runs_by_worker[worker_id].items()
        )
        hold_answer = HoldAnswer(
            self._now_ms, 1, running, tuple(self._ends_by_worker[worker_id]), True
        )
        sent_ms = self._now_ms - ONE_WAY_DELAY_MS
        self._perform(
            self._dispatcher.handle_hold_answer(
                worker_id, hold_answer, sent_ms, self._now_ms
            )
        )
        self._perform(self._dispatcher.take_end_records(self._now_ms))
        _, acknowledged = self._dispatcher.hold_parameters(worker_id, self._now_ms)
        self._ends_by_worker[worker_id] = [
            end for end in self._ends_by_worker[worker_id] if end.number > acknowledged
        ]
        if self._dispatcher.capacity_changed:
            self._schedule_plan()
        self._schedule_after(
            HOLD_WAIT_MS, self._answer_hold, worker_id, self._hold_numbers[worker_id]
        )

    def _day_result(self):
        total_worth, earned_worth, in_time_by_kind = {}, {}, {}
        for arrival in self._day.arrivals:
            kind = arrival.kind.name
            total_worth[kind] = total_worth.get(kind, 0.0) + arrival.worth
            closed_ms, state = self._closed_jobs.get(arrival.job.job_id, (0, None))
            if state != WorkState.COMPLETED:
                continue
            took_ms = closed_ms - arrival.at_ms
            objective_ms = arrival.kind.factor * arrival.critical_path_ms
            objective_ms += arrival.kind.objective_ms
            share = 0.0
            if took_ms <= objective_ms:
                share = 1.0
                in_time_by_kind[kind] = in_time_by_kind.get(kind, 0.0) + arrival.worth
            elif took_ms <= LATE_OBJECTIVE_FACTOR * objective_ms:
                share = arrival.kind.late_worth / arrival.kind.worth
            earned_worth[kind] = earned_worth.get(kind, 0.0) + share * arrival.worth
        credit_by_kind = {
            kind: earned_worth.get(kind, 0.0) / total_worth[kind]
            for kind in total_worth
        }
        return DayResult(
            sum(earned_worth.values()) / max(1e-9, sum(total_worth.values())),
            credit_by_kind,
            {
                kind: in_time_by_kind.get(kind, 0.0) / total_worth[kind]
                for kind in total_worth
            },
            self._wasted_core_s,
            len(self._day.arrivals) - len(self._closed_jobs),
            tuple(self._plan_times_ms),
            self._run_count,
            tuple(self._violations),
            self._starved_job_count(),
            dict(self._stops),
        )

    def _starved_job_count(self):
        running = {unit.job_id for unit in self._dispatcher.runs}
        return sum(job_id not in running for job_id in self._ledger.open_jobs)


def _completion_ms(run):
    """Return when a started run completes, given the speed changes of its worker."""
    remaining_ms = run.work_ms * run.slowdown / run.worker.speed
    at_ms = run.started_ms
    for from_ms, to_ms, factor in _speed_spans(run.worker, at_ms):
        span_work_ms = (to_ms - from_ms) * factor
        if span_work_ms >= remaining_ms:
            return from_ms + remaining_ms / factor
        remaining_ms -= span_work_ms
    raise AssertionError("the last span must be infinite")


def _progress(run, now_ms):
    """Return the share of a run's work done by `now_ms`, 0 to 1."""
    if run.started_ms < 0:
        return 0.0
    done = sum(
        max(0, min(to_ms, now_ms) - from_ms) * factor
        for from_ms, to_ms, factor in _speed_spans(run.worker, run.started_ms)
    )
    return min(1.0, done * run.worker.speed / (run.work_ms * run.slowdown))


def _percent(run, now_ms):
    return float(int(100 * _progress(run, now_ms)))


def _speed_spans(worker, from_ms):
    """Yield (start, end, speed factor) from `from_ms` on; the last end is infinite."""
    for window in sorted(worker.windows):
        if window.fails or window.to_ms <= from_ms:
            continue
        if from_ms < window.from_ms:
            yield from_ms, window.from_ms, 1.0
        begin_ms = max(from_ms, window.from_ms)
        yield begin_ms, window.to_ms, window.factor
        from_ms = window.to_ms
    yield from_ms, float("inf"), 1.0
