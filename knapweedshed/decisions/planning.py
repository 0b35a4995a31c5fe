"""The planner of a data centre: lends what is free, reclaims it for its owners."""

from knapweedshed.decisions import reservation as reservations
from knapweedshed.decisions.feasibility import impossible
from knapweedshed.decisions.guarantees import (
    Capacity,
    consume,
    split_running,
)
from knapweedshed.decisions.placement import Board, create_placement, mask
from knapweedshed.decisions.planner import Planner, refusal
from knapweedshed.decisions.queueing import create_queueing
from knapweedshed.decisions.reclaim import choose_victims
from knapweedshed.models.configuration import Urgency
from knapweedshed.models.planning import Launch, Plan, Reclaim, Unmet

LONGEST_SCAN = 2_000
MOST_RESERVATIONS = 2
MOST_ALTERNATIVES = 4
MOST_MOVES = 32
LARGEST_COST = 1 << 60


class GuaranteePlanner(Planner):
    """Lends what is free, and reclaims it for the guaranteed shapes of its owners.

    After every placement all unmet guaranteed shapes can still be packed together
    into what is free or reclaimable; a deficit that was there before may not grow.
    """

    def __init__(self, queueing=None, placement=None, lending=True, reserving=True):
        self._queueing = queueing or create_queueing()
        self._placement = placement or create_placement()
        self._lending = lending
        self._reserving = reserving

    def plan(self, situation):
        """Return what to launch, reclaim and refuse now."""
        return _Step(
            situation, self._queueing, self._placement, self._lending, self._reserving
        ).run()


class _Step:
    """The state of one planning step."""

    def __init__(self, situation, queueing, placement, lending, reserving):
        self._situation = situation
        self._queueing = queueing
        self._placement = placement
        self._lending = lending
        self._reserving = reserving
        self._board = Board(situation.workers)
        self._claims = {claim.job_id: claim for claim in situation.claims}
        self._withheld = {}
        self._left = {}
        self._used = {}
        self._borrowers = []
        self._reservations = []
        self._failed = {}
        self._launches = []
        self._reclaims = []
        self._refusals = []
        self._settle_borrowers(frozenset())
        self._make_movable()
        self._covered_claims = set()
        self._commit_claims()

    def run(self):
        """Try the waiting jobs in order."""
        situation = self._situation
        unmet = self._unmet()
        covered = {job.job_id for job in situation.waiting if self._covers(job)}
        order = self._queueing.order(situation.waiting, situation.now_ms, covered)
        for job in order[:LONGEST_SCAN]:
            self._try(job)
        return Plan(
            tuple(self._launches), tuple(self._reclaims), tuple(self._refusals), unmet
        )

    def _settle_borrowers(self, movable):
        self._borrowers = []
        self._split_organisations(movable)
        self._available = self._available_masks()
        self._capacity = Capacity(
            (worker.rack, self._available[worker.name])
            for worker in self._situation.workers
        )

    def _make_movable(self):
        """Let guaranteed work be moved where it breaks up another's larger shape.

        Small guaranteed jobs may stand in as many workers as there are. A worker's
        reclaimable ones count as borrowers, the cheapest worker first, as long as that
        brings the deficit down; what is stopped so starts again where it breaks less.
        """
        deficit = self._deficit()
        if not deficit:
            return
        movable = frozenset()
        for jobs in self._cheapest_workers()[:MOST_MOVES]:
            if not deficit:
                return
            more = movable | jobs
            self._settle_borrowers(more)
            if self._deficit() < deficit:
                deficit, movable = self._deficit(), more
        self._settle_borrowers(movable)

    def _cheapest_workers(self):
        """Return, worker by worker, the reclaimable jobs that run guaranteed there."""
        lent = {job.job_id for job in self._borrowers}
        costs = {}
        jobs = {}
        for job in self._situation.running:
            if job.job_id in lent:
                continue
            for place in job.placements:
                cost = job.reclaim_cost if job.reclaimable else LARGEST_COST
                costs[place.worker] = costs.get(place.worker, 0) + cost
                jobs.setdefault(place.worker, set()).add(job.job_id)
        names = [name for name in jobs if costs[name] < LARGEST_COST]
        names.sort(key=lambda name: (costs[name], name))
        return [frozenset(jobs[name]) for name in names]

    def _split_organisations(self, movable):
        situation = self._situation
        by_organisation = {}
        for job in situation.running:
            by_organisation.setdefault(job.organisation, []).append(job)
        self._organisations = {o.name: o for o in situation.organisations}
        for organisation in situation.organisations:
            running = by_organisation.get(organisation.name, ())
            left, guaranteed = split_running(
                organisation, situation.data_centre, running, movable
            )
            self._left[organisation.name] = left
            self._used[organisation.name] = sum(job.shape.total for job in running)
            for job in running:
                if job.job_id not in guaranteed and job.reclaimable:
                    self._borrowers.append(job)

    def _available_masks(self):
        available = dict(self._board.free)
        for job in self._borrowers:
            for place in job.placements:
                if place.worker in available:
                    available[place.worker] |= mask(place)
        return available

    def _unmet(self):
        if not self._capacity.deficit(self._left.values()):
            return ()
        unmet = []
        for name, left in sorted(self._left.items()):
            missing = self._capacity.deficit([left])
            if missing:
                unmet.append(Unmet(name, missing))
        return tuple(unmet) or (Unmet("all together", self._deficit()),)

    def _deficit(self):
        return self._capacity.deficit(self._left.values())

    def _covers(self, job):
        left = self._left.get(job.organisation)
        return left is not None and consume(left, job.shape) is not None

    def _try(self, job):
        reason = self._never(job)
        if reason:
            self._refusals.append(refusal(job, reason))
            return
        claim = self._claims.get(job.job_id)
        if claim is not None:
            self._try_claim(job, claim)
            return
        covered = self._covers(job)
        if not covered and not self._may_run_uncovered(job):
            return
        signature = (job.shape, covered, job.reclaimable, job.organisation)
        if job.predicted_ms >= self._failed.get(signature, job.predicted_ms + 1):
            return
        places = self._find(job, covered)
        if places is not None:
            self._launch(job, places, covered)
            return
        held_back = not covered and self._is_held_back(job)
        if not self._blocked(job, covered):
            self._failed[signature] = job.predicted_ms if held_back else 0

    def _never(self, job):
        reason = impossible(job.shape, self._situation.known)
        if reason:
            return reason
        organisation = self._organisations.get(job.organisation)
        quota = organisation.quota_accelerators if organisation else 0
        if quota and job.shape.total > quota:
            return f"{job.shape.total} accelerators exceed the quota of {quota}"
        return ""

    def _may_run_uncovered(self, job):
        organisation = self._organisations.get(job.organisation)
        if organisation is None or not self._lending:
            return False
        quota = organisation.quota_accelerators
        used = self._used[job.organisation]
        return not quota or used + job.shape.total <= quota

    def _try_claim(self, job, claim):
        free = self._board.free
        for place in claim.placements:
            bits = mask(place)
            if free.get(place.worker, 0) & bits != bits:
                return
        borrowed = job.job_id not in self._covered_claims
        self._board.take(claim.placements)
        self._launches.append(Launch(job.job_id, claim.placements, borrowed))

    def _find(self, job, covered):
        usable = self._usable(job, covered)
        spare = self._available if covered else self._board.free
        if not covered and job.reclaimable:
            return self._placement.place(job.shape, usable, self._board, spare)
        for _ in range(MOST_ALTERNATIVES):
            places = self._placement.place(job.shape, usable, self._board, spare)
            if places is None or self._keeps_guarantees(job, places, covered):
                return places
            for place in places:
                usable[place.worker] &= ~mask(place)
        return None

    def _usable(self, job, covered):
        """Return the masks that a job may use; an owner passes reservations."""
        usable = dict(self._board.free)
        for name, bits in self._withheld.items():
            if name in usable:
                usable[name] &= ~bits
        if covered:
            return usable
        for reservation in self._reservations:
            if reservations.blocks(reservation, job, self._situation.now_ms):
                for name, bits in reservation.masks.items():
                    usable[name] &= ~bits
        return usable

    def _keeps_guarantees(self, job, places, covered):
        before = self._deficit()
        name = job.organisation
        left = self._left[name]
        self._occupy(places)
        if covered:
            self._left[name] = consume(left, job.shape)
        kept = self._deficit() <= before
        self._left[name] = left
        self._vacate(places)
        return kept

    def _occupy(self, places):
        for place in places:
            self._change_available(place, self._available[place.worker] & ~mask(place))

    def _vacate(self, places):
        for place in places:
            self._change_available(place, self._available[place.worker] | mask(place))

    def _change_available(self, place, bits):
        rack = self._board.workers[place.worker].rack
        self._capacity.add(rack, self._available[place.worker], -1)
        self._available[place.worker] = bits
        self._capacity.add(rack, bits, 1)

    def _launch(self, job, places, covered):
        self._board.take(places)
        self._commit(job, places, covered)
        self._launches.append(Launch(job.job_id, places, not covered))

    def _commit_claims(self):
        """Count the jobs that wait for reclaimed places as if they ran there."""
        waiting = {job.job_id: job for job in self._situation.waiting}
        for claim in self._situation.claims:
            job = waiting.get(claim.job_id)
            places = [p for p in claim.placements if p.worker in self._available]
            self._withhold(places)
            if job is None:
                continue
            covered = self._covers(job)
            if covered:
                self._covered_claims.add(job.job_id)
            self._commit(job, places, covered)

    def _commit(self, job, places, covered):
        """Count a job against its organisation, and its places as used."""
        if covered:
            self._left[job.organisation] = consume(
                self._left[job.organisation], job.shape
            )
        if covered or not job.reclaimable:
            self._occupy(places)
        if job.organisation in self._used:
            self._used[job.organisation] += job.shape.total

    def _is_held_back(self, job):
        now_ms = self._situation.now_ms
        return any(reservations.blocks(r, job, now_ms) for r in self._reservations)

    def _blocked(self, job, covered):
        """Reclaim or reserve for a job that found no place; return if reclaimed."""
        may_reclaim = covered or job.urgency == Urgency.URGENT
        if may_reclaim and self._reclaim(job, covered):
            return True
        if self._reserving and len(self._reservations) < MOST_RESERVATIONS:
            held = reservations.reserve(job, self._situation, self._board)
            if held is not None:
                self._reservations.append(held)
        return False

    def _reclaim(self, job, covered):
        taken = {job_id for reclaim in self._reclaims for job_id in reclaim.victims}
        borrowers = [
            running
            for running in self._borrowers
            if running.job_id not in taken and running.urgency != Urgency.URGENT
        ]
        usable = self._usable(job, covered)
        others = [r for r in borrowers if r.organisation != job.organisation]
        victims = choose_victims(job.shape, usable, others, self._board)
        if victims is None:
            victims = choose_victims(job.shape, usable, borrowers, self._board)
        if victims is None:
            return False
        if not self._keeps_guarantees(job, victims.placements, covered):
            return False
        self._withhold(victims.placements)
        self._commit(job, victims.placements, covered)
        self._reclaims.append(Reclaim(job.job_id, victims.job_ids, victims.placements))
        return True

    def _withhold(self, placements):
        for place in placements:
            bits = self._withheld.get(place.worker, 0) | mask(place)
            self._withheld[place.worker] = bits
