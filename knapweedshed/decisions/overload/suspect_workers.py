"""Load: some workers fail all that they start, while gangs arrive at a high rate.

One faulty worker breaks a whole gang, and a unit has only a few attempts. After a
failure a worker is a suspect until it succeeds: gangs, and units that have failed
before, avoid it, and only single tasks try it out.
"""

from collections import Counter

from knapweedshed.models.work import GANG_INDEX

# A worker that nobody tries out is used again after this, longer than most runs.
SUSPICION_MS = 10_000
# A service with less than half of its room in use must find room for each gang, also if
# failures have other causes than their workers.
MAX_SUSPECT_SHARE = 0.2


class SuspectWorkers:
    """The workers whose last end was a failure, and who avoids them."""

    def __init__(self, ledger, workers):
        self._ledger = ledger
        self._workers = workers
        self._until_ms = {}

    def note_failure(self, worker, now_ms):
        """Suspect a `TrackedWorker`; the latest suspects come last."""
        self._until_ms.pop(worker.worker_id, None)
        self._until_ms[worker.worker_id] = now_ms + SUSPICION_MS

    def note_success(self, worker):
        """Suspect a worker no longer."""
        self._until_ms.pop(worker.worker_id, None)

    def extend(self, avoided_workers, units, now_ms):
        """Return {unit: {worker id: until}} with the suspects that `units` avoid.

        `avoided_workers` has what units avoid for their own reasons.
        """
        self._until_ms = {
            worker_id: until_ms
            for worker_id, until_ms in self._until_ms.items()
            if until_ms > now_ms and worker_id in self._workers
        }
        if not self._until_ms:
            return avoided_workers
        suspects_by_service = self._suspects_by_service()
        extended = dict(avoided_workers)
        for unit in units:
            service = self._ledger.jobs[unit.job_id].job.service
            suspects = suspects_by_service.get(service)
            if suspects and self._avoids_suspects(unit):
                own = avoided_workers.get(unit)
                extended[unit] = {**suspects, **own} if own else suspects
        return extended

    def _suspects_by_service(self):
        """Return {service: {worker id: until}} of its latest suspects.

        The only worker of a service is left out: whoever avoids it can't run at all.
        """
        service_by_worker = {
            worker_id: worker.entry.service
            for worker_id, worker in self._workers.items()
            if worker.entry is not None
        }
        suspects_by_service = {}
        for worker_id, until_ms in self._until_ms.items():
            service = service_by_worker.get(worker_id)
            suspects_by_service.setdefault(service, []).append((worker_id, until_ms))
        counts = Counter(service_by_worker.values())
        return {
            service: dict(suspects[-max(1, int(MAX_SUSPECT_SHARE * counts[service])) :])
            for service, suspects in suspects_by_service.items()
            if counts[service] > 1
        }

    def _avoids_suspects(self, unit):
        if unit.index == GANG_INDEX:
            return True
        return unit in self._ledger.jobs[unit.job_id].failed_runs
