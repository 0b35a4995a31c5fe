"""The planner of a data centre: lends free accelerators and reclaims them."""

from knapweedshed.decisions import reservation as reservations
from knapweedshed.decisions.feasibility import infeasibility_reason
from knapweedshed.decisions.guarantees import (
    Capacity,
    consume,
    split_running,
)
from knapweedshed.decisions.placement import (
    AcceleratorPool,
    create_placement_policy,
    placement_mask,
)
from knapweedshed.decisions.planner import Planner, create_refusal
from knapweedshed.decisions.queue_policy import create_queue_policy
from knapweedshed.decisions.reclaim import choose_victims
from knapweedshed.models.configuration import Urgency
from knapweedshed.models.planning import Launch, Plan, Reclaim, UnmetGuarantee

MAX_JOBS_PER_PASS = 2_000  # waiting jobs tried in one planning pass
MAX_RESERVATIONS = 2  # jobs with reserved accelerators in one pass
MAX_PLACEMENT_TRIES = 4  # placements checked against the guarantees for each job
MAX_WORKERS_TO_CLEAR = 32  # workers tried in one pass to make room for larger shapes
UNRECLAIMABLE_COST = 1 << 60  # above any sum of costs in accelerator-milliseconds


class GuaranteePlanner(Planner):
    """Lends free accelerators, and reclaims them for guaranteed shapes.

    After every placement all unused guaranteed shapes can still be packed together
    into the free and reclaimable accelerators. A deficit that existed before must not
    grow. Without `lending` only covered jobs run; without `reserving` no accelerators
    are reserved for jobs that don't fit.
    """

    def __init__(
        self, queue_policy=None, placement_policy=None, lending=True, reserving=True
    ):
        self._queue_policy = queue_policy or create_queue_policy()
        self._placement_policy = placement_policy or create_placement_policy()
        self._lending = lending
        self._reserving = reserving

    def plan(self, planning_input):
        """Return the jobs to launch, reclaim and refuse now."""
        return _PlanningPass(
            planning_input,
            self._queue_policy,
            self._placement_policy,
            self._lending,
            self._reserving,
        ).run()


class _PlanningPass:
    """The state of one planning pass.

    A job is covered if its organisation's unused entitlement holds its shape.
    Borrowers are reclaimable jobs that run without being covered, or that may be moved.
    `_available` maps workers to masks of free accelerators and those of borrowers;
    `_withheld` maps them to masks of accelerators reclaimed for a waiting job.
    `_min_unplaced_run_ms` maps the properties that decide whether a job fits to a
    predicted run time; like jobs that run at least as long are skipped in this pass.
    """

    def __init__(
        self, planning_input, queue_policy, placement_policy, lending, reserving
    ):
        self._input = planning_input
        self._queue_policy = queue_policy
        self._placement_policy = placement_policy
        self._lending = lending
        self._reserving = reserving
        self._pool = AcceleratorPool(planning_input.workers)
        self._pending_reclaims = {
            pending.job_id: pending for pending in planning_input.pending_reclaims
        }
        self._withheld = {}
        self._entitlements = {}
        self._used_accelerators = {}
        self._borrowers = []
        self._reservations = []
        self._min_unplaced_run_ms = {}
        self._launches = []
        self._reclaims = []
        self._refusals = []
        self._classify_running_jobs(frozenset())
        self._choose_movable_jobs()
        self._covered_reclaims = set()
        self._commit_pending_reclaims()

    def run(self):
        """Try the waiting jobs in queue order; return the `Plan`."""
        planning_input = self._input
        unmet = self._unmet_guarantees()
        covered = {
            job.job_id for job in planning_input.waiting if self._is_covered(job)
        }
        order = self._queue_policy.order(
            planning_input.waiting, planning_input.now_ms, covered
        )
        for job in order[:MAX_JOBS_PER_PASS]:
            self._try_job(job)
        return Plan(
            tuple(self._launches), tuple(self._reclaims), tuple(self._refusals), unmet
        )

    def _classify_running_jobs(self, movable):
        """Set entitlements, borrowers and the capacity that is left for guarantees."""
        self._borrowers = []
        self._split_running_by_guarantee(movable)
        self._available = self._available_masks()
        self._capacity = Capacity(
            (worker.rack, self._available[worker.name])
            for worker in self._input.workers
        )

    def _choose_movable_jobs(self):
        """Count covered jobs as borrowers where they leave no room for larger shapes.

        Small covered jobs can end up spread over all workers. If all covered jobs on a
        worker are reclaimable, they count as borrowers, the cheapest worker first, as
        long as that reduces the deficit. A job that is stopped for this starts again
        where it causes less fragmentation.
        """
        deficit = self._deficit()
        if not deficit:
            return
        movable = frozenset()
        for job_ids in self._movable_jobs_by_worker()[:MAX_WORKERS_TO_CLEAR]:
            if not deficit:
                return
            candidate_ids = movable | job_ids
            self._classify_running_jobs(candidate_ids)
            if self._deficit() < deficit:
                deficit, movable = self._deficit(), candidate_ids
        self._classify_running_jobs(movable)

    def _movable_jobs_by_worker(self):
        """Return the ids of the covered jobs of each worker, cheapest worker first.

        Workers with a job that can't be reclaimed are left out.
        """
        borrower_ids = {job.job_id for job in self._borrowers}
        costs = {}
        job_ids = {}
        for job in self._input.running:
            if job.job_id in borrower_ids:
                continue
            for placement in job.placements:
                cost = job.reclaim_cost if job.reclaimable else UNRECLAIMABLE_COST
                costs[placement.worker] = costs.get(placement.worker, 0) + cost
                job_ids.setdefault(placement.worker, set()).add(job.job_id)
        names = [name for name in job_ids if costs[name] < UNRECLAIMABLE_COST]
        names.sort(key=lambda name: (costs[name], name))
        return [frozenset(job_ids[name]) for name in names]

    def _split_running_by_guarantee(self, movable):
        """Set each organisation's entitlement and use, and collect the borrowers."""
        planning_input = self._input
        by_organisation = {}
        for job in planning_input.running:
            by_organisation.setdefault(job.organisation, []).append(job)
        self._organisations = {o.name: o for o in planning_input.organisations}
        for organisation in planning_input.organisations:
            running = by_organisation.get(organisation.name, ())
            entitlement, covered_ids = split_running(
                organisation, planning_input.data_centre, running, movable
            )
            self._entitlements[organisation.name] = entitlement
            self._used_accelerators[organisation.name] = sum(
                job.shape.total_accelerators for job in running
            )
            for job in running:
                if job.job_id not in covered_ids and job.reclaimable:
                    self._borrowers.append(job)

    def _available_masks(self):
        """Return the masks of free or borrowed accelerators by worker."""
        available = dict(self._pool.free)
        for job in self._borrowers:
            for placement in job.placements:
                if placement.worker in available:
                    available[placement.worker] |= placement_mask(placement)
        return available

    def _unmet_guarantees(self):
        """Return the guarantees that can't be packed, alone or only together."""
        if not self._capacity.deficit(self._entitlements.values()):
            return ()
        unmet = []
        for name, entitlement in sorted(self._entitlements.items()):
            missing = self._capacity.deficit([entitlement])
            if missing:
                unmet.append(UnmetGuarantee(name, missing))
        return tuple(unmet) or (UnmetGuarantee("all together", self._deficit()),)

    def _deficit(self):
        """Return the guaranteed accelerators that can't be packed."""
        return self._capacity.deficit(self._entitlements.values())

    def _is_covered(self, job):
        """Return whether the organisation's unused entitlement holds the job."""
        entitlement = self._entitlements.get(job.organisation)
        return entitlement is not None and consume(entitlement, job.shape) is not None

    def _try_job(self, job):
        """Launch, refuse, reclaim or reserve for a waiting job, or leave it waiting.

        A job like one that didn't fit in this pass is skipped. If only reservations
        were in the way, a job with a shorter predicted run time is still tried.
        """
        reason = self._impossible_reason(job)
        if reason:
            self._refusals.append(create_refusal(job, reason))
            return
        pending = self._pending_reclaims.get(job.job_id)
        if pending is not None:
            self._launch_if_reclaimed(job, pending)
            return
        covered = self._is_covered(job)
        if not covered and not self._may_borrow(job):
            return
        may_reclaim = covered or job.urgency == Urgency.URGENT
        signature = (
            job.shape,
            covered,
            may_reclaim,
            job.reclaimable,
            job.organisation,
        )
        if job.predicted_run_ms >= self._min_unplaced_run_ms.get(
            signature, job.predicted_run_ms + 1
        ):
            return
        placements = self._find_placements(job, covered)
        if placements is not None:
            self._launch(job, placements, covered)
            return
        reservation_blocked = not covered and self._is_blocked_by_reservation(job)
        if not self._reclaim_or_reserve(job, covered, may_reclaim):
            self._min_unplaced_run_ms[signature] = (
                job.predicted_run_ms if reservation_blocked else 0
            )

    def _impossible_reason(self, job):
        """Return why the job can never run, or ''."""
        reason = infeasibility_reason(job.shape, self._input.worker_sizes)
        if reason:
            return reason
        organisation = self._organisations.get(job.organisation)
        quota = organisation.quota_accelerators if organisation else 0
        if quota and job.shape.total_accelerators > quota:
            return (
                f"{job.shape.total_accelerators} accelerators"
                f" exceed the quota of {quota}"
            )
        return ""

    def _may_borrow(self, job):
        """Return whether lending is on and the quota allows an uncovered job."""
        organisation = self._organisations.get(job.organisation)
        if organisation is None or not self._lending:
            return False
        quota = organisation.quota_accelerators
        used = self._used_accelerators[job.organisation]
        return not quota or used + job.shape.total_accelerators <= quota

    def _launch_if_reclaimed(self, job, pending):
        """Launch a job once all accelerators reclaimed for it are free."""
        free = self._pool.free
        for placement in pending.placements:
            bits = placement_mask(placement)
            if free.get(placement.worker, 0) & bits != bits:
                return
        borrowed = job.job_id not in self._covered_reclaims
        self._pool.allocate(pending.placements)
        self._launches.append(Launch(job.job_id, pending.placements, borrowed))

    def _find_placements(self, job, covered):
        """Return placements that keep the guarantees packable, or None.

        An uncovered, reclaimable job needs no check, as it can be stopped.
        """
        usable = self._usable_masks(job, covered)
        preserved = self._available if covered else self._pool.free
        if not covered and job.reclaimable:
            return self._placement_policy.choose(
                job.shape, usable, self._pool, preserved
            )
        for _ in range(MAX_PLACEMENT_TRIES):
            placements = self._placement_policy.choose(
                job.shape, usable, self._pool, preserved
            )
            if placements is None or self._keeps_guarantees(job, placements, covered):
                return placements
            for placement in placements:
                usable[placement.worker] &= ~placement_mask(placement)
        return None

    def _usable_masks(self, job, covered):
        """Return the masks that a job may use; covered jobs ignore reservations."""
        usable = dict(self._pool.free)
        for name, bits in self._withheld.items():
            if name in usable:
                usable[name] &= ~bits
        if covered:
            return usable
        for reservation in self._reservations:
            if reservations.is_blocked(reservation, job, self._input.now_ms):
                for name, bits in reservation.masks.items():
                    usable[name] &= ~bits
        return usable

    def _keeps_guarantees(self, job, placements, covered):
        """Return whether the placements leave the deficit as it is or lower."""
        deficit_before = self._deficit()
        name = job.organisation
        entitlement = self._entitlements[name]
        self._mark_unavailable(placements)
        if covered:
            self._entitlements[name] = consume(entitlement, job.shape)
        still_packable = self._deficit() <= deficit_before
        self._entitlements[name] = entitlement
        self._mark_available(placements)
        return still_packable

    def _mark_unavailable(self, placements):
        for placement in placements:
            self._set_available_mask(
                placement,
                self._available[placement.worker] & ~placement_mask(placement),
            )

    def _mark_available(self, placements):
        for placement in placements:
            self._set_available_mask(
                placement, self._available[placement.worker] | placement_mask(placement)
            )

    def _set_available_mask(self, placement, bits):
        """Replace a worker's available mask and update the block counts."""
        rack = self._pool.workers[placement.worker].rack
        self._capacity.add(rack, self._available[placement.worker], -1)
        self._available[placement.worker] = bits
        self._capacity.add(rack, bits, 1)

    def _launch(self, job, placements, covered):
        """Add a launch to the plan and allocate its accelerators."""
        self._pool.allocate(placements)
        self._commit(job, placements, covered)
        self._launches.append(Launch(job.job_id, placements, not covered))

    def _commit_pending_reclaims(self):
        """Count jobs that wait for reclaimed accelerators as if they ran there."""
        waiting = {job.job_id: job for job in self._input.waiting}
        for pending in self._input.pending_reclaims:
            job = waiting.get(pending.job_id)
            placements = [p for p in pending.placements if p.worker in self._available]
            self._withhold(placements)
            if job is None:
                continue
            covered = self._is_covered(job)
            if covered:
                self._covered_reclaims.add(job.job_id)
            self._commit(job, placements, covered)

    def _commit(self, job, placements, covered):
        """Charge a job to its organisation, and mark its accelerators unavailable.

        Those of an uncovered, reclaimable job stay available, as it can be stopped.
        """
        if covered:
            self._entitlements[job.organisation] = consume(
                self._entitlements[job.organisation], job.shape
            )
        if covered or not job.reclaimable:
            self._mark_unavailable(placements)
        if job.organisation in self._used_accelerators:
            self._used_accelerators[job.organisation] += job.shape.total_accelerators

    def _is_blocked_by_reservation(self, job):
        """Return whether any reservation excludes the job."""
        now_ms = self._input.now_ms
        return any(reservations.is_blocked(r, job, now_ms) for r in self._reservations)

    def _reclaim_or_reserve(self, job, covered, may_reclaim):
        """Reclaim or reserve for a job that doesn't fit; return True if reclaimed."""
        if may_reclaim and self._reclaim(job, covered):
            return True
        if self._reserving and len(self._reservations) < MAX_RESERVATIONS:
            reservation = reservations.earliest_reservation(
                job, self._input, self._pool
            )
            if reservation is not None:
                self._reservations.append(reservation)
        return False

    def _reclaim(self, job, covered):
        """Stop borrowers for a job, other organisations' first; return success."""
        stopping_ids = {
            job_id for reclaim in self._reclaims for job_id in reclaim.victims
        }
        borrowers = [
            running
            for running in self._borrowers
            if running.job_id not in stopping_ids and running.urgency != Urgency.URGENT
        ]
        usable = self._usable_masks(job, covered)
        others = [r for r in borrowers if r.organisation != job.organisation]
        victims = choose_victims(job.shape, usable, others, self._pool)
        if victims is None:
            victims = choose_victims(job.shape, usable, borrowers, self._pool)
        if victims is None:
            return False
        if not self._keeps_guarantees(job, victims.placements, covered):
            return False
        self._withhold(victims.placements)
        self._commit(job, victims.placements, covered)
        self._reclaims.append(Reclaim(job.job_id, victims.job_ids, victims.placements))
        return True

    def _withhold(self, placements):
        """Keep reclaimed accelerators from all other jobs."""
        for placement in placements:
            bits = self._withheld.get(placement.worker, 0) | placement_mask(placement)
            self._withheld[placement.worker] = bits
