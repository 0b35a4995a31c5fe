"""A scheduler's state of its data centre: inventory, worker health and run times."""

from knapweedshed.decisions.entries import running_view, waiting_view
from knapweedshed.decisions.health import HealthTracker
from knapweedshed.decisions.inventory import Inventory
from knapweedshed.decisions.prediction import create_predictor
from knapweedshed.models.attempts import AttemptOutcome
from knapweedshed.models.planning import PendingReclaim, PlanningInput
from knapweedshed.models.workers import LeaseState


class DataCentre:
    """Builds `PlanningInput`s from worker reports, placements and ended attempts."""

    def __init__(self, name):
        self._name = name
        self._health = HealthTracker()
        self._predictor = create_predictor()
        self.inventory = Inventory()

    def record_launch(self, job_id, placements):
        """Record that a job was launched on these placements."""
        self.inventory.allocate(job_id, placements)
        for placement in placements:
            self._health.record_assignment(placement.worker)

    def record_attempt_end(self, entry, attempt, now_ms):
        """Release an ended attempt's accelerators; update run times and worker health.

        `entry` is None if the job has ended meanwhile.
        """
        self.inventory.release(attempt.job_id)
        lease = attempt.members[0].lease if attempt.members else None
        finished = attempt.target_outcome == AttemptOutcome.FINISHED
        if entry is not None and finished and lease is not None:
            self._predictor.observe(entry.kind, lease.run_ms)
        for member in attempt.members:
            worker = member.placement.worker
            if finished:
                self._health.record_success(worker)
            elif member.lease and member.lease.state == LeaseState.FAILED:
                self._health.record_failure(worker, now_ms)

    def planning_input(self, now_ms, entries, pending_reclaims, organisations):
        """Return the `PlanningInput` for now.

        `pending_reclaims` maps job ids to the placements being reclaimed for them.
        """
        waiting = []
        running = []
        for entry in entries:
            if entry.placements:
                running.append(running_view(entry, now_ms, self._predictor))
            elif entry.may_start(now_ms):
                waiting.append(waiting_view(entry, self._predictor))
        usable = self._health.usable(self.inventory.names(), now_ms)
        all_reported = not self.inventory.unheard()
        return PlanningInput(
            now_ms,
            self._name,
            self.inventory.worker_views(usable),
            tuple(running),
            tuple(waiting),
            organisations,
            tuple(
                PendingReclaim(job_id, placements)
                for job_id, placements in pending_reclaims.items()
            ),
            self.inventory.worker_sizes() if all_reported else (),
        )

    def rows(self, now_ms):
        """Return one dict for each worker that has reported, for the worker listing."""
        usable = set(self._health.usable(self.inventory.names(), now_ms))
        return tuple(
            {
                "worker": name,
                "data_centre": self._name,
                "rack": self.inventory.rack_of(name),
                "accelerators": report.accelerators,
                "speed": report.speed,
                "leases": len(report.leases),
                "usable": name in usable,
            }
            for name, report in sorted(self.inventory.reports.items())
        )

    def dump(self):
        """Return the workers without a report, and recent failures, for state dumps."""
        return {
            "unheard": self.inventory.unheard(),
            "health": self._health.dump(),
        }
