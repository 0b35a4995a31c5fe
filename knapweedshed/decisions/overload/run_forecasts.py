"""Predicts when running work ends, as urgent waves may find the service full.

Predictions rest on the progress that workers report; a run that has reported none, or
that was taken over from a predecessor, has an unknown end.
"""

import math
from typing import NamedTuple

from knapweedshed.decisions.tracked_workers import COMPLETE_PERCENT

# Progress is in whole percents and up to a second old; a run that exceeds its
# predicted end by more than this share of its run time is stalled.
MAX_OVERRUN_SHARE = 0.1


class RunForecast(NamedTuple):
    """When a unit's run is expected to end, and the share of its work that remains.

    `end_ms` is infinite if unknown. `has_saved` tells whether a worker has listed a
    saved state; `done_share` is what the slowest task has certainly done.
    """

    end_ms: float
    remaining_share: float
    done_share: float
    has_saved: bool

    def ends_by(self, until_ms, started_ms, now_ms):
        """Return whether the run is expected to end by `until_ms` and isn't stalled."""
        if self.end_ms > until_ms:
            return False
        overrun_ms = now_ms - self.end_ms
        return overrun_ms <= MAX_OVERRUN_SHARE * (self.end_ms - started_ms)


def forecast_run(unit_run, step, workers, now_ms):
    """Return the `RunForecast` of a `UnitRun`; a gang ends with its slowest task."""
    end_ms, done_share, has_saved = 0.0, 1.0, False
    for task, worker_id in unit_run.workers_by_task.items():
        assigned_run = workers[worker_id].assigned_runs.get((task, unit_run.run))
        if assigned_run is None:
            return RunForecast(math.inf, 1.0, 0.0, has_saved)
        has_saved = has_saved or bool(assigned_run.saved)
        done_share = min(done_share, assigned_run.percent / COMPLETE_PERCENT)
        if assigned_run.percent > 0:
            ran_ms = max(0, assigned_run.progressed_ms - unit_run.started_ms)
            expected_ms = ran_ms * COMPLETE_PERCENT / assigned_run.percent
            end_ms = max(end_ms, unit_run.started_ms + expected_ms)
    if unit_run.adopted or step.lasting or done_share <= 0.0:
        remaining_share = 1.0 if step.lasting else 1.0 - done_share
        return RunForecast(math.inf, remaining_share, done_share, has_saved)
    expected_ms = max(1.0, end_ms - unit_run.started_ms)
    remaining_share = max(0.0, (end_ms - now_ms) / expected_ms)
    if now_ms - end_ms > MAX_OVERRUN_SHARE * expected_ms:
        remaining_share = 1.0 - done_share
    return RunForecast(end_ms, remaining_share, done_share, has_saved)
