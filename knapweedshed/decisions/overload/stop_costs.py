"""Weighs what a stop loses, as waves of urgent work cause many stops in a full service.

A stop is worth it only if it loses less than the waiting unit gains. `CostedStops`
also leaves runs alone that end soon, or that were stopped before.
"""

from abc import ABC, abstractmethod

from knapweedshed.decisions.overload.run_forecasts import forecast_run
from knapweedshed.decisions.preemption import PreemptionCandidate
from knapweedshed.decisions.work_order import core_seconds

MS_PER_SECOND = 1_000
# A run with less of its work left is not stopped unless a guarantee requires it.
MIN_REMAINING_SHARE = 0.2
# A run's next save is between 0 and one saving interval away, with equal likelihood.
MEAN_UNSAVED_SHARE = 0.5


class StopRules(ABC):
    """Says what a stop costs, and which runs are not worth stopping."""

    @abstractmethod
    def candidate(self, unit_run, step, workers, now_ms):
        """Return the `PreemptionCandidate` for a `UnitRun` of `step`."""

    @abstractmethod
    def units_about_to_end(self, runs, ledger, workers, now_ms):
        """Return the units that end by themselves as soon as a stop would end them."""

    @abstractmethod
    def record_stops(self, victims):
        """Record that candidates are preempted.

        Returns (core-seconds lost by it, units that were preempted before).
        """

    @abstractmethod
    def forget_ended_jobs(self, open_jobs):
        """Forget the stops of jobs that are over."""


class ElapsedTimeStops(StopRules):
    """A stop loses all the time since the start, with checkpoints at most a second."""

    def candidate(self, unit_run, step, workers, now_ms):
        """Return a candidate that costs its run time in core-seconds."""
        ran_ms = now_ms - unit_run.started_ms
        if step.checkpoints:
            ran_ms = min(ran_ms, MS_PER_SECOND)
        return _candidate(unit_run, step, ran_ms)

    def units_about_to_end(self, runs, ledger, workers, now_ms):
        """Return no unit: nothing is known about ends."""
        return ()

    def record_stops(self, victims):
        """Return the cost; nothing is recorded."""
        return sum(victim.cost for victim in victims), ()

    def forget_ended_jobs(self, open_jobs):
        """Forget nothing, as nothing is recorded."""


class CostedStops(StopRules):
    """A stop loses the work since the last save, and the time of a restore.

    What earlier preemptions of a unit lost is added to its cost. It is remembered until
    its job is over; a new acting host starts without it.
    """

    def __init__(self, limits):
        self._limits = limits
        self._lost_core_s = {}

    def candidate(self, unit_run, step, workers, now_ms):
        """Return a candidate; it is spared if it ends soon or was preempted before."""
        forecast = forecast_run(unit_run, step, workers, now_ms)
        lost_ms = self._lost_ms(unit_run, step, forecast, now_ms)
        candidate = _candidate(unit_run, step, lost_ms)
        earlier_core_s = self._lost_core_s.get(unit_run.unit)
        return candidate._replace(
            cost=candidate.cost + (earlier_core_s or 0.0),
            spared=earlier_core_s is not None
            or forecast.remaining_share < MIN_REMAINING_SHARE,
        )

    def units_about_to_end(self, runs, ledger, workers, now_ms):
        """Return the units that are expected to end within the time that a stop takes.

        For a unit that waits their room is as good as room that stops will free, and
        it comes no later: the start takes as long after either.
        """
        until_ms = now_ms + self._limits.stop_ms
        units = []
        for unit, unit_run in runs.items():
            if unit_run.ending or not unit_run.launched:
                continue
            step = ledger.jobs[unit.job_id].job.steps[unit.step]
            forecast = forecast_run(unit_run, step, workers, now_ms)
            if forecast.ends_by(until_ms, unit_run.started_ms, now_ms):
                units.append(unit)
        return units

    def record_stops(self, victims):
        """Add what the victims lose to their earlier losses."""
        again = tuple(
            victim.unit for victim in victims if victim.unit in self._lost_core_s
        )
        lost_core_s = 0.0
        for victim in victims:
            earlier_core_s = self._lost_core_s.get(victim.unit, 0.0)
            lost_core_s += victim.cost - earlier_core_s
            self._lost_core_s[victim.unit] = victim.cost
        return lost_core_s, again

    def forget_ended_jobs(self, open_jobs):
        """Forget the stops of jobs that are over."""
        self._lost_core_s = {
            unit: lost_core_s
            for unit, lost_core_s in self._lost_core_s.items()
            if unit.job_id in open_jobs
        }

    def _lost_ms(self, unit_run, step, forecast, now_ms):
        """Return the run time that a stop loses, in milliseconds.

        The work done follows from the observed progress. Before the first save all run
        time is lost. After it, when the next save is due is unknown, as estimates of
        the work are imprecise, so half of an interval counts.
        """
        ran_ms = now_ms - unit_run.started_ms
        if not step.checkpoints:
            return ran_ms
        work_ms = ran_ms
        if forecast.done_share > 0:
            work_ms = forecast.done_share * step.estimate_ms
        if not forecast.has_saved and work_ms < self._limits.save_ms:
            return ran_ms
        interval_ms = self._limits.save_ms * ran_ms / max(1.0, work_ms)
        unsaved_ms = min(ran_ms, MEAN_UNSAVED_SHARE * interval_ms)
        return unsaved_ms + self._limits.restore_ms


def create_stop_rules(policies, limits):
    """Return the `StopRules` that `OverloadPolicies` ask for."""
    return CostedStops(limits) if policies.costed_preemption else ElapsedTimeStops()


def _candidate(unit_run, step, lost_ms):
    allocations = tuple(
        (worker_id, step.need) for worker_id in unit_run.workers_by_task.values()
    )
    lost_core_s = core_seconds(step._replace(estimate_ms=lost_ms), len(allocations))
    return PreemptionCandidate(unit_run.unit, allocations, lost_core_s)
