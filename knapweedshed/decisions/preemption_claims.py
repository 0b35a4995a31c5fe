"""Claims of waiting units on the places that others were preempted for.

Without a claim the freed capacity goes to whoever comes first in the next planning
pass, and the unit preempts again and again until it runs.
"""

from typing import NamedTuple

# A stop takes 200 to 900 ms, and a repeated one 1 s more.
CLAIM_DURATION_MS = 1_500


class PreemptionClaim(NamedTuple):
    """A unit's claim on a place, in milliseconds on the monotonic clock.

    `worker_ids` has the worker of each task, or () if the place was not reserved.
    `lost_core_s` is the work lost by all preemptions for this unit so far.
    """

    until_ms: int
    worker_ids: tuple[str, ...]
    lost_core_s: float


class PreemptionClaims:
    """The claims of all waiting units."""

    def __init__(self):
        self._claims = {}

    def __contains__(self, unit):
        return self.place(unit) is not None

    @property
    def units(self):
        """Return the units that others were ever preempted for and that still wait."""
        return self._claims.keys()

    def place(self, unit):
        """Return the worker ids that a unit claims, or None without a claim."""
        claim = self._claims.get(unit)
        return claim.worker_ids if claim and claim.until_ms else None

    def has_preempted(self, unit):
        """Return whether others were ever preempted for a unit that still waits."""
        return unit in self._claims

    def lost_core_s(self, unit):
        """Return the work lost by all preemptions for a unit, in core-seconds."""
        claim = self._claims.get(unit)
        return claim.lost_core_s if claim else 0.0

    def add(self, unit, worker_ids, lost_core_s, now_ms):
        """Claim a place for a unit after a preemption."""
        total_core_s = self.lost_core_s(unit) + lost_core_s
        until_ms = now_ms + CLAIM_DURATION_MS
        self._claims[unit] = PreemptionClaim(until_ms, worker_ids, total_core_s)

    def update(self, waiting_units, now_ms):
        """End the claims that have expired; forget units that don't wait any more."""
        waiting = set(waiting_units)
        self._claims = {
            unit: claim if claim.until_ms > now_ms else claim._replace(until_ms=0)
            for unit, claim in self._claims.items()
            if unit in waiting
        }
