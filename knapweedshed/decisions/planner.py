"""What every planner of a data centre does, and the baselines."""

from abc import ABC, abstractmethod

from knapweedshed.decisions.feasibility import impossible
from knapweedshed.decisions.placement import Board
from knapweedshed.models.planning import Launch, Plan, Refusal
from knapweedshed.results import Result, ResultCode


class Planner(ABC):
    """Turns a `Situation` into a `Plan`; keeps nothing between calls."""

    @abstractmethod
    def plan(self, situation):
        """Return the `Plan` for this moment."""


class PlainPlanner(Planner):
    """Baseline: an order and a placement, without guarantees.

    With `skip`, work that doesn't fit is passed over; without, it blocks the rest.
    """

    def __init__(self, queueing, placement, skip):
        self._queueing = queueing
        self._placement = placement
        self._skip = skip

    def plan(self, situation):
        """Launch in order what fits."""
        board = Board(situation.workers)
        launches = []
        refusals = []
        failed = set()
        for job in self._queueing.order(situation.waiting, situation.now_ms, ()):
            reason = impossible(job.shape, situation.known)
            if reason:
                refusals.append(refusal(job, reason))
                continue
            if job.shape in failed:
                continue
            places = self._placement.place(job.shape, board.free, board, board.free)
            if places is not None:
                board.take(places)
                launches.append(Launch(job.job_id, places, False))
                continue
            if not self._skip:
                break
            failed.add(job.shape)
        return Plan(tuple(launches), (), tuple(refusals))


def refusal(job, reason):
    """Return the refusal of a job that can never run."""
    return Refusal(job.job_id, Result(ResultCode.SHAPE_IMPOSSIBLE, reason))
