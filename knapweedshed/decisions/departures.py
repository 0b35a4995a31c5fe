"""Moves units off workers that are about to leave, before their runs end there.

A run that ends because its worker is gone can't be told from one that goes on out of
reach: its unit would wait until the worker's lease has expired. A run that is stopped
before is listed as ended, and its unit starts again at once.
"""

import math
from typing import NamedTuple

from knapweedshed.decisions.overload.drain_notice import (
    DrainDecision,
    MemberProgress,
    decide_run,
    is_last_moment,
)
from knapweedshed.decisions.tracked_workers import COMPLETE_PERCENT, RunPhase
from knapweedshed.models.dispatch_actions import UnitMoved
from knapweedshed.models.work import unit_of_task, units_of_step

STARTUP_SAFETY_FACTOR = 1.25  # for tasks that take longer to start than estimated


class DepartingUnit(NamedTuple):
    """A unit with a run of which some tasks are on draining workers.

    `workers` are those `TrackedWorker`s; `time_left_ms` is the least time until one of
    them may be gone, infinity if none has told.
    """

    unit: object
    step: object
    unit_run: object
    workers: tuple
    time_left_ms: float


class Departures:
    """Chooses the units whose runs are stopped because a worker is leaving.

    Long-running units always move; ordinary ones only by the policy `drain_notice`.
    """

    def __init__(self, ledger, workers, unit_runs, speeds, limits, policies):
        self._ledger = ledger
        self._workers = workers
        self._unit_runs = unit_runs
        self._speeds = speeds
        self._limits = limits
        self._moves_ordinary_units = policies.drain_notice

    def find_moves(self, now_ms):
        """Return a `UnitMoved` for each unit whose run is to be stopped now."""
        departing = self._departing_units(now_ms)
        moves = self._lasting_moves(departing, now_ms)
        if self._moves_ordinary_units:
            moves.extend(self._ordinary_moves(departing, now_ms))
        return moves

    def _departing_units(self, now_ms):
        """Return the `DepartingUnit`s, the one with the least time left first."""
        workers_by_unit = {}
        for worker in self._workers.values():
            if not worker.is_draining:
                continue
            for task, run in worker.assigned_runs:
                unit = self._unit_with_run(task, run)
                if unit is not None:
                    workers_by_unit.setdefault(unit, {})[worker.worker_id] = worker
        departing = []
        for unit, workers in workers_by_unit.items():
            step = self._ledger.jobs[unit.job_id].job.steps[unit.step]
            leaves_at_ms = min(
                math.inf if worker.leaves_at_ms is None else worker.leaves_at_ms
                for worker in workers.values()
            )
            departing.append(
                DepartingUnit(
                    unit,
                    step,
                    self._unit_runs[unit],
                    tuple(workers.values()),
                    leaves_at_ms - now_ms,
                )
            )
        departing.sort(key=lambda item: (item.time_left_ms, item.unit))
        return departing

    def _unit_with_run(self, task, run):
        """Return the unit of a task if this is its present run and goes on, or None."""
        if not self._ledger.has_task(task):
            return None
        step = self._ledger.jobs[task.job_id].job.steps[task.step]
        unit = unit_of_task(task, step)
        unit_run = self._unit_runs.get(unit)
        if unit_run is None or unit_run.run != run:
            return None
        return unit if unit_run.launched and not unit_run.ending else None

    def _lasting_moves(self, departing, now_ms):
        """Return the moves of long-running units, as many as may be missed at a time.

        Those that would otherwise end with their worker move in any case.
        """
        moves = []
        missing = {}
        for item in departing:
            step, key = item.step, item.unit[:3]
            if not step.lasting:
                continue
            if step.may_miss:
                if key not in missing:
                    missing[key] = self._count_missing(key, step, now_ms)
                total = missing[key] + len(item.unit_run.workers_by_task)
                exceeds = missing[key] and total > step.may_miss
                if exceeds and not is_last_moment(item.time_left_ms, self._limits):
                    continue
                missing[key] = total
            moves.append(self._describe_move(item, math.inf, now_ms))
        return moves

    def _ordinary_moves(self, departing, now_ms):
        """Return the moves of units that can't end in time."""
        moves = []
        for item in departing:
            if item.step.lasting:
                continue
            decision, work_left_ms = decide_run(
                self._progress(item, now_ms),
                item.step,
                item.time_left_ms if item.time_left_ms < math.inf else 0,
                self._limits,
            )
            if decision == DrainDecision.STOP:
                moves.append(self._describe_move(item, work_left_ms, now_ms))
        return moves

    def _progress(self, item, now_ms):
        """Return the `MemberProgress` of all tasks of a unit."""
        unit, unit_run = item.unit, item.unit_run
        has_saved = unit in self._ledger.jobs[unit.job_id].saved
        members = []
        for task, worker_id in unit_run.workers_by_task.items():
            worker = self._workers[worker_id]
            listed_ms = max(worker.last_answer_ms, unit_run.started_ms)
            members.append(
                MemberProgress(
                    self._percent(task, worker, unit_run),
                    listed_ms - unit_run.started_ms,
                    now_ms - listed_ms,
                    not (has_saved or unit_run.adopted),
                    self._speeds.speed(worker_id),
                )
            )
        return members

    def _percent(self, task, worker, unit_run):
        assigned_run = worker.assigned_runs.get((task, unit_run.run))
        return assigned_run.percent if assigned_run else 0.0

    def _describe_move(self, item, work_left_ms, now_ms):
        unit_run = item.unit_run
        members = [
            (task, self._workers[worker_id])
            for task, worker_id in unit_run.workers_by_task.items()
        ]
        answered_ms = min(worker.last_answer_ms for _, worker in members)
        return UnitMoved(
            item.unit,
            unit_run.run,
            tuple(worker.worker_id for worker in item.workers),
            _whole_ms(item.time_left_ms),
            _whole_ms(work_left_ms),
            min(self._percent(task, worker, unit_run) for task, worker in members),
            now_ms - answered_ms,
        )

    def _count_missing(self, key, step, now_ms):
        """Return how many tasks of a long-running step are not at work."""
        tasks_per_unit = step.count if step.gang else 1
        return tasks_per_unit * sum(
            not self._is_at_work(self._unit_runs.get(unit), step, now_ms)
            for unit in units_of_step(*key, step)
        )

    def _is_at_work(self, unit_run, step, now_ms):
        """Return whether all tasks of a long-running unit are past their startup.

        Workers list progress every 2 s only; until then the estimate of the startup
        counts.
        """
        if unit_run is None or unit_run.ending or not unit_run.launched:
            return False
        startup_ms = STARTUP_SAFETY_FACTOR * step.estimate_ms
        for task, worker_id in unit_run.workers_by_task.items():
            assigned_runs = self._workers[worker_id].assigned_runs
            assigned_run = assigned_runs.get((task, unit_run.run))
            if assigned_run is None or assigned_run.phase == RunPhase.STOPPING:
                return False
            answered_ms = assigned_run.order_answered_ms
            if assigned_run.percent >= COMPLETE_PERCENT:
                continue
            if answered_ms < 0 or now_ms - answered_ms < startup_ms:
                return False
        return True


def _whole_ms(time_ms):
    """Return a time in whole milliseconds, or None if it is infinite."""
    return None if time_ms == math.inf else int(time_ms)
