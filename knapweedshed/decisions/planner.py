"""The base class of planners, and the baseline planner."""

from abc import ABC, abstractmethod

from knapweedshed.decisions.feasibility import infeasibility_reason
from knapweedshed.decisions.placement import AcceleratorPool
from knapweedshed.models.planning import Launch, Plan, Refusal
from knapweedshed.results import Result, ResultCode


class Planner(ABC):
    """Computes a `Plan` from a `PlanningInput`; keeps no state between calls."""

    @abstractmethod
    def plan(self, planning_input):
        """Return the `Plan` for the given input."""


class BaselinePlanner(Planner):
    """Baseline: a queue policy and a placement policy, without guarantees.

    With `skip_unplaceable`, a job that doesn't fit is skipped; otherwise it blocks the
    jobs behind it.
    """

    def __init__(self, queue_policy, placement_policy, skip_unplaceable):
        self._queue_policy = queue_policy
        self._placement_policy = placement_policy
        self._skip_unplaceable = skip_unplaceable

    def plan(self, planning_input):
        """Return a plan that launches the jobs that fit, in queue order."""
        pool = AcceleratorPool(planning_input.workers)
        launches = []
        refusals = []
        unplaceable_shapes = set()
        for job in self._queue_policy.order(
            planning_input.waiting, planning_input.now_ms, ()
        ):
            reason = infeasibility_reason(job.shape, planning_input.worker_sizes)
            if reason:
                refusals.append(create_refusal(job, reason))
                continue
            if job.shape in unplaceable_shapes:
                continue
            placements = self._placement_policy.choose(
                job.shape, pool.free, pool, pool.free
            )
            if placements is not None:
                pool.allocate(placements)
                launches.append(Launch(job.job_id, placements, False))
                continue
            if not self._skip_unplaceable:
                break
            unplaceable_shapes.add(job.shape)
        return Plan(tuple(launches), (), tuple(refusals))


def create_refusal(job, reason):
    """Return the `Refusal` of a job that can never run, for the given reason."""
    return Refusal(job.job_id, Result(ResultCode.SHAPE_IMPOSSIBLE, reason))
