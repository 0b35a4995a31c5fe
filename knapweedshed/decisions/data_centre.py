"""What a scheduler knows of its data centre: workers, their health, and run times."""

from knapweedshed.decisions.entries import running_view, waiting_view
from knapweedshed.decisions.health import HealthTracker
from knapweedshed.decisions.inventory import Inventory
from knapweedshed.decisions.prediction import create_prediction
from knapweedshed.models.attempts import Outcome
from knapweedshed.models.planning import Claim, Situation
from knapweedshed.models.workers import LeaseState


class DataCentre:
    """Folds reports, placements and ended attempts into `Situation`s."""

    def __init__(self, name):
        self._name = name
        self._health = HealthTracker()
        self._prediction = create_prediction()
        self.inventory = Inventory()

    def launched(self, job_id, placements):
        """Note that a job was given these placements."""
        self.inventory.give(job_id, placements)
        for place in placements:
            self._health.probe_started(place.worker)

    def ended(self, entry, attempt, now_ms):
        """Learn from an attempt that has ended."""
        self.inventory.take_back(attempt.job_id)
        lease = attempt.members[0].lease if attempt.members else None
        finished = attempt.goal == Outcome.FINISHED
        if entry is not None and finished and lease is not None:
            self._prediction.observe(entry.kind, lease.run_ms)
        for member in attempt.members:
            worker = member.placement.worker
            if finished:
                self._health.succeeded(worker)
            elif member.lease and member.lease.state == LeaseState.FAILED:
                self._health.failed(worker, now_ms)

    def situation(self, now_ms, entries, claims, organisations):
        """Return what the planner looks at now."""
        waiting = []
        running = []
        for entry in entries:
            if entry.placements:
                running.append(running_view(entry, now_ms, self._prediction))
            elif entry.may_start(now_ms):
                waiting.append(waiting_view(entry, self._prediction))
        usable = self._health.usable(self.inventory.names(), now_ms)
        complete = not self.inventory.unheard()
        return Situation(
            now_ms,
            self._name,
            self.inventory.views(usable),
            tuple(running),
            tuple(waiting),
            organisations,
            tuple(Claim(job_id, places) for job_id, places in claims.items()),
            self.inventory.listed() if complete else (),
        )

    def rows(self, now_ms):
        """Return a plain row for each worker that has reported."""
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
        """Return who has not reported, and who failed lately."""
        return {
            "unheard": self.inventory.unheard(),
            "health": self._health.dump(),
        }
