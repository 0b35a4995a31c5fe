"""Evacuated data centres: where operators let no new work start.

Addresses an evacuation under load, described in docs/design/hard-load.md: launches are
recorded and starts are on their way at any time, and none may arrive there later than a
time limit after the evacuation was published. What runs there goes on.
"""

from typing import NamedTuple

from knapweedshed.decisions.tracked_workers import ORDER_IN_FLIGHT, RunPhase
from knapweedshed.models.dispatch_actions import StartsGivenUp, WithdrawStarts

# Shares of the time limit, counted from when the evacuations were last read. Of 5,000
# ms the first leaves 1 s to wait behind other orders, the second 1.5 s for a connection
# (500 ms) and an exchange (600 ms). The third leaves 500 ms for a worker's clock that
# runs slow, and for the age of its last answer.
MAX_READ_AGE_SHARE = 0.5
MAX_SEND_AGE_SHARE = 0.7
MAX_START_AGE_SHARE = 0.9


class Evacuations(NamedTuple):
    """The evacuated `data_centres`, as the operator's topic said at `read_ms`.

    `read_ms` is when the last successful read was sent, on the monotonic clock; None
    before the first complete one. An evacuation published later than that is unknown
    here. Nothing may start `limit_ms` after it was published; 0 if the deployment has
    no evacuations.
    """

    data_centres: frozenset[str] = frozenset()
    read_ms: int | None = None
    limit_ms: int = 0

    def are_known(self, now_ms):
        """Return whether the last read is recent enough to start work by it."""
        if not self.limit_ms:
            return True
        if self.read_ms is None:
            return False
        return now_ms - self.read_ms <= self.limit_ms * MAX_READ_AGE_SHARE

    def cover(self, worker):
        """Return whether a worker is, or may be, in an evacuated data centre.

        A worker that isn't listed may be in any data centre.
        """
        if not self.data_centres:
            return False
        return worker.entry is None or worker.entry.data_centre in self.data_centres

    def allow_starts(self, workers, now_ms):
        """Return whether runs may be started on all of these workers."""
        return self.are_known(now_ms) and not any(map(self.cover, workers))

    def latest_send_ms(self, latest_ms):
        """Return until when a start may be sent: `latest_ms`, or earlier."""
        if not self.limit_ms or self.read_ms is None:
            return latest_ms
        return min(latest_ms, self.read_ms + int(self.limit_ms * MAX_SEND_AGE_SHARE))

    def start_lease_ms(self, lease_ms, now_ms):
        """Return the lease that a start ordered now brings: `lease_ms`, or less.

        A worker refuses a start whose lease has ended, so the network can't deliver one
        after the time limit. Holds extend the lease.
        """
        if not self.limit_ms or self.read_ms is None:
            return lease_ms
        left_ms = self.read_ms + int(self.limit_ms * MAX_START_AGE_SHARE) - now_ms
        return min(lease_ms, left_ms)

    def usable_entries(self, entries):
        """Return the worker entries outside of the evacuated data centres."""
        if not self.data_centres:
            return entries
        return [
            entry for entry in entries if entry.data_centre not in self.data_centres
        ]


NO_EVACUATIONS = Evacuations()


def give_up_starts(earlier, evacuations, workers, unit_runs):
    """Return (units whose launch must not start, actions) if an evacuation began.

    The units have a member in an evacuated data centre, and a launch that is not read
    back yet. The actions withdraw the starts that wait to be sent there.
    """
    units, worker_ids = [], set()
    if evacuations.data_centres <= earlier.data_centres:
        return units, []
    for unit, unit_run in unit_runs.items():
        covered = {
            (task, worker_id)
            for task, worker_id in unit_run.workers_by_task.items()
            if evacuations.cover(workers[worker_id])
        }
        if not covered or unit_run.ending:
            continue
        if not unit_run.launched:
            units.append(unit)
            continue
        worker_ids.update(
            worker_id
            for task, worker_id in covered
            if _is_unanswered_start(workers[worker_id], (task, unit_run.run))
        )
    actions = [WithdrawStarts(worker_id) for worker_id in sorted(worker_ids)]
    if units or worker_ids:
        actions.append(StartsGivenUp(tuple(units), tuple(sorted(worker_ids))))
    return units, actions


def _is_unanswered_start(worker, key):
    assigned_run = worker.assigned_runs.get(key)
    return (
        assigned_run is not None
        and assigned_run.phase == RunPhase.STARTING
        and assigned_run.order_answered_ms == ORDER_IN_FLIGHT
    )
