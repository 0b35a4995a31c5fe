"""The acting scheduler: decides which units run where, and reacts to each event.

Free of I/O: callers pass in the time, the answers of workers and the outcomes of
orders, and get back orders to workers and records for the log. A run starts only after
its launch is read back from the log under the scheduler's own epoch, so that a
successor knows everywhere a run may exist.
"""

from itertools import islice

from knapweedshed.decisions.departures import Departures
from knapweedshed.decisions.evacuation import NO_EVACUATIONS, give_up_starts
from knapweedshed.decisions.failure_attribution import FailureAttribution
from knapweedshed.decisions.found_runs import FoundRuns, stopping_run
from knapweedshed.decisions.hang_detection import (
    HANG_QUARANTINE_MS,
    find_hanging_workers,
)
from knapweedshed.decisions.order_outcomes import (
    NOT_STARTED_REASONS,
    shows_silence,
    withdraw_starts,
)
from knapweedshed.decisions.overload.stop_causes import (
    cause_of_broken_gang,
    cause_of_ended_job,
    cause_of_preemption,
    describe_task_stop,
    describe_unit_stop,
)
from knapweedshed.decisions.pauses import PauseDetector
from knapweedshed.decisions.planning_units import UnitPlanner, UnitPlanningInput
from knapweedshed.decisions.preemption_claims import PreemptionClaims
from knapweedshed.decisions.silence import SilenceObserver
from knapweedshed.decisions.speed_observer import SpeedObserver
from knapweedshed.decisions.speeds import WorkerSpeeds
from knapweedshed.decisions.takeover import adopt_launches
from knapweedshed.decisions.tracked_workers import (
    ORDER_IN_FLIGHT,
    ORDER_TO_REPEAT,
    AssignedRun,
    RunPhase,
    TrackedWorker,
    needs_recording,
    unchanged_workers,
)
from knapweedshed.decisions.unit_runs import UnitRun, runs_of_forgotten_jobs
from knapweedshed.decisions.units import step_of
from knapweedshed.decisions.unrecorded_ends import UnrecordedEnds
from knapweedshed.decisions.unsettled_launches import UnsettledLaunches
from knapweedshed.decisions.waiting_window import WaitingWindow
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    ORDER_UNKNOWN,
    REASON_UNHEALTHY,
    REASON_UNREACHABLE,
    RecordLaunches,
    RunLost,
    StartRun,
    StopCause,
    StopRun,
)
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES
from knapweedshed.models.work import EndKind, tasks_of_unit, unit_of_task
from knapweedshed.models.work_records import Launched

MAX_START_ATTEMPTS_COUNT = 3  # must fit in the time that a gang waits for its members
SPEED_UPDATE_PERIOD_MS = 500
# Workers that leave must get no new work 2 s after the platform has listed them so. The
# list is read each 300 ms, by a slow store in 550 ms.
MAX_LIST_AGE_MS = 1_800
MAX_LAUNCH_AGE_MS = 1_200  # a launch that is read back later is checked again
MAX_TICK_GAP_MS = 1_000  # ticks come each 200 ms; a longer gap is a pause of this host
# After a pause answers may wait that arrived meanwhile: time alone proves nothing yet.
PAUSE_GRACE_MS = 1_500
ORDER_TIMEOUT_MS = 3_000  # the three attempts of a start take 1.8 s
MAX_NOTED_STEPS_COUNT = 20_000  # that wait, beyond those of the last plan
LOST_RUN_KINDS = (EndKind.FAILED, EndKind.LAPSED)


class Dispatcher:
    """Scheduling state of one epoch, from this host's claim to the next claim."""

    def __init__(
        self, ledger, limits, work_order, now_ms, policies=NO_OVERLOAD_POLICIES
    ):
        self._ledger = ledger
        self._limits = limits
        self._planner = UnitPlanner(work_order, limits, policies)
        self._workers = {}
        self._unit_runs = adopt_launches(ledger, self._workers, limits, now_ms)
        self._unrecorded_ends = UnrecordedEnds()
        self._silence_observer = SilenceObserver()
        self._pause_detector = PauseDetector(MAX_TICK_GAP_MS)
        self._nothing_expires_until_ms = now_ms
        self._configuration = None
        self._evacuations = NO_EVACUATIONS
        self._workers_listed_ms = None
        self._speeds = WorkerSpeeds(
            (worker_id, *known) for worker_id, known in ledger.speeds.items()
        )
        self._failure_attribution = FailureAttribution(
            ledger, self._workers, self._unit_runs, policies
        )
        self._speed_observer = SpeedObserver(
            ledger, self._workers, self._unit_runs, self._speeds
        )
        self._departures = Departures(
            ledger, self._workers, self._unit_runs, self._speeds, limits, policies
        )
        self._speeds_updated_ms = now_ms
        self._capacity_changed = True
        self._waiting_window = WaitingWindow()
        self._waiting_since_ms = {}
        self._preemption_claims = PreemptionClaims()
        self._unsettled_launches = UnsettledLaunches()
        self._found_runs = FoundRuns()

    @property
    def capacity_changed(self):
        """Whether a worker's answer has changed the usable capacity since the plan."""
        return self._capacity_changed

    @property
    def waiting_is_limited(self):
        """Whether more units wait than the last plan has looked at."""
        return self._waiting_window.is_limited

    @property
    def workers(self):
        """Return the tracked workers by worker id."""
        return self._workers

    @property
    def runs(self):
        """Return the `UnitRun`s that may exist at workers, by unit."""
        return self._unit_runs

    def configure(self, configuration):
        """Use a newer configuration."""
        self._configuration = configuration

    def apply_evacuations(self, evacuations, now_ms):
        """Use newer `Evacuations`; return actions."""
        earlier, self._evacuations = self._evacuations, evacuations
        units, actions = give_up_starts(
            earlier, evacuations, self._workers, self._unit_runs
        )
        for unit in units:
            self._stop_unit_run(unit, StopCause.SUPERSEDED, now_ms)
        return actions

    def update_workers(self, entries, now_ms):
        """Apply the platform's complete list of workers; return orders."""
        self._workers_listed_ms = now_ms
        self._planner.update_workers(self._evacuations.usable_entries(entries))
        listed = set()
        orders = []
        for entry in entries:
            listed.add(entry.worker_id)
            self._speeds.update_incarnation(entry.worker_id, entry.incarnation)
            worker = self._workers.get(entry.worker_id)
            if worker is None:
                worker = TrackedWorker(
                    entry.worker_id, entry.incarnation, now_ms, self._limits.lease_ms
                )
                self._workers[entry.worker_id] = worker
            life_before = worker.life
            removed_runs = worker.update_entry(entry, now_ms)
            orders.extend(withdraw_starts(worker, life_before))
            orders.extend(self._handle_removed_runs(worker, removed_runs, now_ms))
        for worker_id, worker in list(self._workers.items()):
            if worker_id not in listed:
                life_before = worker.life
                worker.entry = None
                orders.extend(withdraw_starts(worker, life_before))
                if not worker.assigned_runs:
                    del self._workers[worker_id]
        return orders

    def handle_hold_answer(self, worker_id, answer, sent_ms, now_ms):
        """Apply a worker's answer to a hold sent at `sent_ms`; return orders."""
        worker = self._workers.get(worker_id)
        if worker is None:
            return []
        accepted_work = worker.accepts_work(now_ms)
        if self._silence_observer.note_answer(worker.entry):
            self._capacity_changed = True
        life_before = worker.life
        removed_runs, ends, unassigned = worker.apply_hold_answer(
            answer, sent_ms, now_ms
        )
        if removed_runs or ends or not accepted_work:
            self._capacity_changed = True
        orders = withdraw_starts(worker, life_before)
        self._speed_observer.observe_worker(worker, removed_runs, now_ms)
        self._handle_ends(worker, ends, now_ms)
        orders.extend(self._stop_repeated_runs(ends, now_ms))
        orders.extend(self._handle_removed_runs(worker, removed_runs, now_ms))
        for listed in unassigned:
            orders.append(self._stop_unassigned_run(worker, listed, now_ms))
        for listed in answer.running:
            orders.extend(
                self._stop_if_ended(worker, (listed.task, listed.run), now_ms)
            )
        return orders

    def handle_hold_failure(self, worker_id):
        """Place nothing on a worker that didn't answer a hold, until it answers one."""
        worker = self._workers.get(worker_id)
        if worker is not None:
            self._note_silence(worker)

    def handle_order_outcome(self, order, outcome, now_ms):
        """Apply the outcome of an order; return orders that follow.

        A refusal proves that a run was not started only if no earlier attempt of the
        same start is unanswered, because that attempt may still be carried out.
        """
        worker = self._workers.get(order.worker_id)
        key = (order.task, order.run)
        if worker is not None and shows_silence(outcome):
            self._note_silence(worker)
        assigned_run = worker.assigned_runs.get(key) if worker else None
        if assigned_run is None:
            return []
        if isinstance(order, StopRun):
            answered_ms = now_ms if outcome.kind == ORDER_DONE else ORDER_TO_REPEAT
            worker.assigned_runs[key] = assigned_run._replace(
                order_answered_ms=answered_ms
            )
            return []
        if assigned_run.phase == RunPhase.STOPPING:
            return []
        if outcome.kind == ORDER_DONE:
            worker.assigned_runs[key] = assigned_run._replace(order_answered_ms=now_ms)
            return []
        if outcome.reason == REASON_UNHEALTHY:
            worker.record_failure(now_ms)
        elif outcome.reason == REASON_UNREACHABLE:
            self._failure_attribution.avoid(order.task, order.worker_id, now_ms)
        if outcome.reason in NOT_STARTED_REASONS and assigned_run.start_attempts == 1:
            del worker.assigned_runs[key]
            return self._handle_task_removal(None, order.task, order.run, None, now_ms)
        if (
            outcome.kind == ORDER_UNKNOWN
            and assigned_run.start_attempts < MAX_START_ATTEMPTS_COUNT
            and self._evacuations.allow_starts((worker,), now_ms)
        ):
            worker.assigned_runs[key] = assigned_run._replace(
                start_attempts=assigned_run.start_attempts + 1
            )
            return [order]
        cause = StopCause.START_NOT_CONFIRMED
        return self._stop_assigned_run(worker, key, cause, now_ms)

    def handle_changed_jobs(self, job_ids, now_ms):
        """Stop all runs of those changed jobs that are over; return orders."""
        orders = []
        for job_id in set(job_ids):
            progress = self._ledger.jobs.get(job_id)
            if progress is None or progress.active:
                continue
            cause = cause_of_ended_job(progress)
            for unit, unit_run in list(self._unit_runs.items()):
                if unit.job_id == job_id and not unit_run.ending:
                    orders.extend(self._stop_unit_run(unit, cause, now_ms))
        for unit in runs_of_forgotten_jobs(self._unit_runs, self._ledger):
            if not self._unit_runs[unit].ending:
                cause = cause_of_ended_job(None)
                orders.extend(self._stop_unit_run(unit, cause, now_ms))
            if self._unit_runs[unit].launched:
                del self._unit_runs[unit]
            else:
                self._discard_unit_run(unit)
        return orders

    def confirm_ends(self, ends):
        """Mark ends as recorded that were read back from the log under this epoch."""
        for end in ends:
            self._unrecorded_ends.confirm(end)
            for worker in self._workers.values():
                listed = worker.unrecorded_ends.get(end.number)
                if listed and (listed.task, listed.run) == (end.task, end.run):
                    del worker.unrecorded_ends[end.number]

    def confirm_launches(self, launches, now_ms):
        """Start launches read back from the log under this epoch; return orders."""
        orders = []
        with_unrecorded_end = self._units_with_unrecorded_ends()
        for launched in launches:
            unit_run = self._pending_run(launched)
            if unit_run is None:
                continue
            if not self._is_latest_launch(launched):
                self._discard_unit_run(launched.unit)
                continue
            self._unsettled_launches.settle(launched.unit)
            is_outdated = self._is_outdated(unit_run, launched, now_ms)
            self._unit_runs[launched.unit] = unit_run._replace(
                launched=True, started_ms=now_ms
            )
            for task, worker_id in unit_run.workers_by_task.items():
                assigned_runs = self._workers[worker_id].assigned_runs
                assigned_runs[task, unit_run.run] = assigned_runs[
                    task, unit_run.run
                ]._replace(ordered_ms=now_ms)
            has_ended = launched.unit in with_unrecorded_end or self._is_over(
                launched.unit
            )
            if unit_run.ending or is_outdated or has_ended:
                self._discard_unit_run(launched.unit)
            else:
                orders.extend(self._start_orders(unit_run, now_ms))
        return orders

    def postpone_units(self, launches, now_ms):
        """Launch units again later whose launches the log has rejected."""
        self._unsettled_launches.postpone(launches, now_ms)

    def discard_launches(self, launches):
        """Drop launches that were certainly not written, and so never started."""
        for launched in launches:
            if self._pending_run(launched) is not None:
                self._discard_unit_run(launched.unit)

    def give_up_launches(self, launches):
        """Drop launches that may be in the log, and were never started."""
        self._unsettled_launches.give_up(launches, self._ledger.open_jobs)
        self.discard_launches(launches)

    def leases_left(self, now_ms):
        """Return (worker id, milliseconds) for how long each lease may still hold."""
        return tuple(
            (worker_id, worker.lease_left_ms(now_ms))
            for worker_id, worker in self._workers.items()
        )

    def limit_leases(self, lease_end_ms):
        """Limit the leases of workers without an answer by a predecessor's word."""
        for worker_id, worker in self._workers.items():
            worker.limit_lease(lease_end_ms(worker_id))

    def tick(self, now_ms):
        """Update speeds, expire leases, repeat orders and records; return actions."""
        actions = []
        if now_ms - self._speeds_updated_ms >= SPEED_UPDATE_PERIOD_MS:
            self._speeds_updated_ms = now_ms
            self._speeds.recompute(now_ms)
            actions.extend(self._quarantine_hanging_workers(now_ms))
        if self._pause_detector.detect_pause(now_ms):
            self._nothing_expires_until_ms = now_ms + PAUSE_GRACE_MS
        if now_ms >= self._nothing_expires_until_ms:
            actions.extend(self._expire_leases_and_orders(now_ms))
        actions.extend(self._move_units_off_leaving_workers(now_ms))
        actions.extend(self._unrecorded_ends.take_overdue(now_ms))
        return actions

    def _expire_leases_and_orders(self, now_ms):
        """Give up runs whose lease has lapsed and orders without an answer."""
        actions = []
        for worker in list(self._workers.values()):
            actions.extend(
                self._handle_removed_runs(worker, worker.expire_runs(now_ms), now_ms)
            )
            for key, assigned_run in list(worker.assigned_runs.items()):
                actions.extend(self._retry_order(worker, key, assigned_run, now_ms))
        return actions

    def _move_units_off_leaving_workers(self, now_ms):
        actions = []
        for moved in self._departures.find_moves(now_ms):
            cause = StopCause.WORKER_LEAVING
            actions.extend([moved, *self._stop_unit_run(moved.unit, cause, now_ms)])
        return actions

    def take_found_runs(self):
        """Return (worker id, task, run) of each new run that has no record."""
        return self._found_runs.take_new()

    def take_speed_report(self, now_ms):
        """Return the speeds to write to the log for a successor; mark them reported."""
        return self._speeds.take_report(now_ms, self._workers)

    def take_end_records(self, now_ms):
        """Return [`RecordTaskEnds`] of the ends not sent to the log yet, or []."""
        return self._unrecorded_ends.take_unsent(now_ms)

    def plan(self, now_ms, wall_ms):
        """Return the preemptions with their stops, and the launches to record."""
        self._capacity_changed = False
        if self._configuration is None or not self._may_place_work(now_ms):
            return []
        unsettled = self._units_with_unrecorded_ends() | self._units_found_running()

        def is_waiting(unit):
            return (
                unit not in self._unit_runs
                and unit not in unsettled
                and not self._unsettled_launches.is_postponed(unit, now_ms)
            )

        waiting_units = self._waiting_window.choose(
            self._ledger,
            wall_ms + self._limits.early_ms // 2,
            is_waiting,
            self._preemption_claims.units,
        )
        self._note_waiting(waiting_units, now_ms)
        self._preemption_claims.update(waiting_units, now_ms)
        if not waiting_units:
            return []
        plan = self._planner.plan(
            UnitPlanningInput(
                waiting_units,
                self._waiting_since_ms,
                self._preemption_claims,
                self._ledger,
                self._workers,
                self._unit_runs,
                self._configuration,
                self._speeds,
                self._failure_attribution.avoided_workers(waiting_units, now_ms),
                now_ms,
                wall_ms,
                self._silence_observer.silent_data_centres
                | self._evacuations.data_centres,
            )
        )
        actions = list(plan.events)
        for preempted in plan.preempted:
            actions.append(preempted)
            self._preemption_claims.add(
                preempted.preempting_unit,
                preempted.worker_ids,
                preempted.lost_core_s,
                now_ms,
            )
            cause = cause_of_preemption(preempted)
            for unit in preempted.units:
                actions.extend(self._stop_unit_run(unit, cause, now_ms))
        launches = [
            self._assign_unit(unit, worker_ids, now_ms)
            for unit, worker_ids in plan.starts
        ]
        if launches:
            actions.append(RecordLaunches(tuple(launches)))
        return actions

    def _note_waiting(self, waiting_units, now_ms):
        """Note since when the steps of these units have been waiting."""
        noted = {
            unit[:3]: self._waiting_since_ms.get(unit[:3], now_ms)
            for unit in waiting_units
        }
        if self._waiting_window.is_limited:
            # The others wait on until it is their turn again.
            others = islice(self._waiting_since_ms.items(), MAX_NOTED_STEPS_COUNT)
            noted.update(item for item in others if item[0] not in noted)
        self._waiting_since_ms = noted

    def hold_parameters(self, worker_id, now_ms, answered=True):
        """Return (lease end on the worker's clock or 0, last end that it may discard).

        The lease end is in milliseconds; the worker's ends have consecutive numbers.

        After a hold without an answer the lease is not renewed until the next answer.
        Otherwise the lease of a worker that is gone would never expire. No ends are
        acknowledged either: the worker may have restarted, and its ends have the
        numbers of earlier ones.
        """
        worker = self._workers[worker_id]
        if not answered:
            return 0, 0
        lease_end_clock_ms = worker.extend_lease(now_ms, self._limits.lease_ms)
        return lease_end_clock_ms, worker.last_acknowledgeable_end

    def _may_place_work(self, now_ms):
        """Return whether the workers and evacuations were read recently enough."""
        if self._workers_listed_ms is None or not self._evacuations.are_known(now_ms):
            return False
        return now_ms - self._workers_listed_ms <= MAX_LIST_AGE_MS

    def _note_silence(self, worker):
        worker.is_silent = True
        self._silence_observer.note_silence(worker.entry)

    def _assign_unit(self, unit, worker_ids, now_ms):
        """Assign the next run of a unit to workers; return its `Launched`."""
        progress = self._ledger.jobs[unit.job_id]
        step = step_of(progress.job, unit)
        previous = progress.launched.get(unit)
        run = 1 + max(
            previous.run if previous else 0,
            self._unsettled_launches.last_given_up_run(unit),
        )
        workers_by_task = {}
        for task, worker_id in zip(tasks_of_unit(unit, step), worker_ids, strict=True):
            self._workers[worker_id].assigned_runs[task, run] = AssignedRun(
                task, run, step.need, RunPhase.STARTING, started_ms=now_ms
            )
            workers_by_task[task] = worker_id
        self._unit_runs[unit] = UnitRun(
            unit, run, workers_by_task, False, now_ms, False, tuple(worker_ids)
        )
        placements = tuple(
            (worker_id, self._workers[worker_id].incarnation)
            for worker_id in worker_ids
        )
        return Launched(unit, run, placements)

    def _start_orders(self, unit_run, now_ms):
        """Yield the start orders of a run, each with an extended lease."""
        progress = self._ledger.jobs[unit_run.unit.job_id]
        _, saved = progress.saved.get(unit_run.unit, (0, ""))
        lease_ms = self._evacuations.start_lease_ms(self._limits.lease_ms, now_ms)
        for task, worker_id in unit_run.workers_by_task.items():
            lease_end_clock_ms = self._workers[worker_id].extend_lease(now_ms, lease_ms)
            yield StartRun(
                worker_id,
                task,
                unit_run.run,
                progress.job.specification,
                saved,
                lease_end_clock_ms,
            )

    def _discard_unit_run(self, unit):
        """Drop a run none of whose tasks was started."""
        unit_run = self._unit_runs.pop(unit)
        for task, worker_id in unit_run.workers_by_task.items():
            self._workers[worker_id].assigned_runs.pop((task, unit_run.run), None)

    def _quarantine_hanging_workers(self, now_ms):
        """Quarantine workers that hang, and stop the runs that should move away."""
        actions = []
        for worker, hang, movable in find_hanging_workers(
            self._ledger, self._workers, now_ms
        ):
            worker.quarantine(now_ms + HANG_QUARANTINE_MS)
            actions.append(hang)
            for key in movable:
                actions.extend(
                    self._stop_assigned_run(worker, key, StopCause.WORKER_HANGS, now_ms)
                )
        return actions

    def _retry_order(self, worker, key, assigned_run, now_ms):
        """Repeat a stop; replace a start that got no answer in time by a stop.

        An order in flight is lost if its worker leaves the list, which closes the link.
        """
        timed_out = (
            assigned_run.order_answered_ms == ORDER_IN_FLIGHT
            and assigned_run.ordered_ms
            and now_ms - assigned_run.ordered_ms > ORDER_TIMEOUT_MS
        )
        if assigned_run.order_answered_ms != ORDER_TO_REPEAT and not timed_out:
            return []
        if assigned_run.phase == RunPhase.STARTING:
            cause = StopCause.START_NOT_CONFIRMED
            return self._stop_assigned_run(worker, key, cause, now_ms)
        worker.assigned_runs[key] = assigned_run._replace(
            order_answered_ms=ORDER_IN_FLIGHT, ordered_ms=now_ms
        )
        return [StopRun(worker.worker_id, *key)]

    def _handle_ends(self, worker, ends, now_ms):
        """Update the worker's health, and keep the ends that need recording."""
        for end in ends:
            if end.kind == EndKind.FAILED:
                self._failure_attribution.note_failure(worker, end, now_ms)
            elif end.kind == EndKind.DONE:
                self._failure_attribution.note_done(worker, end)
            if self._ledger.has_task(end.task) and needs_recording(end):
                worker.unrecorded_ends[end.number] = end
                self._unrecorded_ends.add(end)

    def _pending_run(self, launched):
        """Return the `UnitRun` of a launch that is not read back yet, or None."""
        unit_run = self._unit_runs.get(launched.unit)
        if unit_run is None or unit_run.launched or unit_run.run != launched.run:
            return None
        worker_ids = tuple(worker_id for worker_id, _ in launched.workers)
        return unit_run if worker_ids == unit_run.workers else None

    def _is_latest_launch(self, launched):
        """Return whether a successor would look for the unit's run at this launch."""
        progress = self._ledger.jobs.get(launched.unit.job_id)
        return progress is not None and (
            progress.launched.get(launched.unit) == launched
        )

    def _is_outdated(self, unit_run, launched, now_ms):
        """Return whether a launch is on workers that may not take it any more."""
        workers = unchanged_workers(launched, self._workers)
        if not (workers and self._evacuations.allow_starts(workers, now_ms)):
            return True
        if now_ms - unit_run.started_ms <= MAX_LAUNCH_AGE_MS:
            return False
        accepted = all(worker.accepts_work(now_ms) for worker in workers)
        return not (accepted and self._may_place_work(now_ms))

    def _units_with_unrecorded_ends(self):
        """Return the units with an end that a worker listed and the log lacks."""
        tasks = filter(self._ledger.has_task, self._unrecorded_ends.tasks())
        return {self._unit_of(task) for task in tasks}

    def _units_found_running(self):
        """Return the units with a run that has no record and may still exist."""
        return {
            self._unit_of(task)
            for task in self._found_runs.tasks(self._workers)
            if self._ledger.has_task(task)
        }

    def _is_over(self, unit):
        """Return whether a unit is recorded as done, or its job has ended."""
        progress = self._ledger.jobs[unit.job_id]
        return unit in progress.done or not progress.active

    def _stop_repeated_runs(self, ends, now_ms):
        """Stop later runs of units of which an earlier run turns out to be done."""
        orders = []
        for end in ends:
            if end.kind != EndKind.DONE or not self._ledger.has_task(end.task):
                continue
            unit = self._unit_of(end.task)
            unit_run = self._unit_runs.get(unit)
            if unit_run is not None and unit_run.run > end.run and not unit_run.ending:
                orders.extend(self._stop_unit_run(unit, StopCause.SUPERSEDED, now_ms))
        return orders

    def _unit_of(self, task):
        progress = self._ledger.jobs[task.job_id]
        return unit_of_task(task, progress.job.steps[task.step])

    def _handle_removed_runs(self, worker, removed_runs, now_ms):
        """Report lost runs, and stop what remains of their gangs; return actions.

        Forgets the worker if it is not listed any more and has no runs left.
        """
        orders = []
        for assigned_run, kind, _ in removed_runs:
            key = (assigned_run.task, assigned_run.run)
            if kind in LOST_RUN_KINDS:
                orders.append(RunLost(worker.worker_id, *key, kind))
            orders.extend(self._handle_task_removal(worker, *key, kind, now_ms))
        if worker.entry is None and not worker.assigned_runs:
            self._workers.pop(worker.worker_id, None)
        return orders

    def _handle_task_removal(self, worker, task, run, kind, now_ms):
        """Remove a task from its unit's run; stop the rest unless the task is done.

        `worker` is where it ran, or None if it was not started.
        """
        if not self._ledger.has_task(task):
            return []
        unit = self._unit_of(task)
        unit_run = self._unit_runs.get(unit)
        if unit_run is None or unit_run.run != run:
            return []
        unit_run.workers_by_task.pop(task, None)
        if not unit_run.workers_by_task:
            del self._unit_runs[unit]
            return []
        if kind == EndKind.DONE or unit_run.ending:
            return []
        return self._stop_unit_run(unit, cause_of_broken_gang(worker), now_ms)

    def _stop_unit_run(self, unit, cause, now_ms):
        """Stop the remaining tasks of a unit's run; return orders and the event."""
        unit_run = self._unit_runs[unit]
        self._unit_runs[unit] = unit_run._replace(ending=True)
        if not unit_run.launched:
            return []
        ledger, workers = self._ledger, self._workers
        orders = describe_unit_stop(unit_run, cause, ledger, workers, now_ms)
        for task, worker_id in unit_run.workers_by_task.items():
            worker, key = self._workers[worker_id], (task, unit_run.run)
            orders.extend(self._stop_assigned_run(worker, key, None, now_ms))
        return orders

    def _stop_assigned_run(self, worker, key, cause, now_ms):
        """Stop one task's run and the rest of its unit's run; return orders.

        `cause` is None if the stop of its unit has been described.
        """
        assigned_run = worker.assigned_runs.get(key)
        if assigned_run is None or assigned_run.phase == RunPhase.STOPPING:
            return []
        worker.assigned_runs[key] = assigned_run._replace(
            phase=RunPhase.STOPPING,
            order_answered_ms=ORDER_IN_FLIGHT,
            ordered_ms=now_ms,
        )
        orders = [StopRun(worker.worker_id, *key)]
        unit = self._unit_of(key[0]) if self._ledger.has_task(key[0]) else None
        unit_run = self._unit_runs.get(unit)
        if unit_run is not None and unit_run.run == key[1] and not unit_run.ending:
            orders.extend(self._stop_unit_run(unit, cause, now_ms))
        elif cause is not None:
            orders.extend(
                describe_task_stop(worker, assigned_run, cause, self._ledger, now_ms)
            )
        return orders

    def _stop_if_ended(self, worker, key, now_ms):
        """Stop a task that a predecessor left running though its job has ended."""
        assigned_run = worker.assigned_runs.get(key)
        if assigned_run is None or assigned_run.phase != RunPhase.RUNNING:
            return []
        unit = self._unit_of(key[0]) if self._ledger.has_task(key[0]) else None
        unit_run = self._unit_runs.get(unit)
        if unit_run is not None and unit_run.run == key[1] and not unit_run.ending:
            return []
        cause = cause_of_ended_job(self._ledger.jobs.get(key[0].job_id))
        return self._stop_assigned_run(worker, key, cause, now_ms)

    def _stop_unassigned_run(self, worker, listed, now_ms):
        """Stop a run without a launch record of this scheduler or a predecessor.

        Its unit does not start again before the run's end is listed or its lease over.
        The log line of the found run describes the stop.
        """
        worker.assigned_runs[listed.task, listed.run] = stopping_run(
            listed, self._ledger, now_ms
        )
        self._found_runs.add(worker.worker_id, listed.task, listed.run)
        return StopRun(worker.worker_id, listed.task, listed.run)
