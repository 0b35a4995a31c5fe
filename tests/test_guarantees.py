"""Guaranteed shapes, buddy allocation of cells and preemption of borrowers."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.decisions import cells
from knapweedshed.decisions.feasibility import check_guarantees, infeasibility_reason
from knapweedshed.decisions.guarantees import (
    Capacity,
    Entitlement,
    consume,
    full_entitlement,
)
from knapweedshed.decisions.planning import GuaranteePlanner
from knapweedshed.decisions.queue_policy import create_queue_policy
from knapweedshed.models.configuration import Organisation, Urgency
from knapweedshed.models.planning import (
    PendingReclaim,
    PlanningInput,
    RunningView,
    WaitingView,
    WorkerView,
)
from knapweedshed.models.shapes import Adjacency, Placement, Shape


def make_worker(name, free=0xFF, rack="r0"):
    """Return a worker with 8 accelerators; `free` is the bit mask of the free ones."""
    return WorkerView(name, rack, 8, 1.0, free)


def make_waiting(
    job_id, organisation, shape, urgency=Urgency.NORMAL, reclaimable=True, since_ms=0
):
    return WaitingView(
        job_id, organisation, shape, urgency, since_ms, 1_000, reclaimable
    )


def make_running(
    job_id, organisation, shape, placements, cost=1, reclaimable=True, start_ms=0
):
    urgency = Urgency.BATCH
    return RunningView(
        job_id,
        organisation,
        shape,
        placements,
        start_ms,
        10_000,
        reclaimable,
        cost,
        urgency,
    )


def make_placement(name, *indexes):
    return Placement(name, tuple(indexes))


def make_owner(*sizes):
    """Return an organisation that is guaranteed one shape of each size."""
    guarantees = tuple(("north", Shape(1, size), 1) for size in sizes)
    return Organisation("owner", ("north",), guarantees)


BORROWER = Organisation("borrower", ("north",))


def make_plan(
    workers,
    running=(),
    waiting=(),
    organisations=(),
    pending_reclaims=(),
    planner=None,
):
    """Return the plan of one planning step in data centre "north" at time 0 ms."""
    inventory = tuple((w.rack, w.accelerators) for w in workers)
    planning_input = PlanningInput(
        0,
        "north",
        tuple(workers),
        tuple(running),
        tuple(waiting),
        organisations,
        pending_reclaims,
        inventory,
    )
    return (planner or GuaranteePlanner()).plan(planning_input)


def brute_force_packs(masks, needs):
    """Return whether cells of the needed sizes fit, by exhaustive search."""
    if not needs:
        return True
    size, *rest = needs
    for index, mask in enumerate(masks):
        for start in range(0, 8, size):
            cell = cells.cell_mask(start, size)
            if mask & cell == cell:
                remaining = [*masks]
                remaining[index] = mask & ~cell
                if brute_force_packs(remaining, rest):
                    return True
    return False


class CellTests(unittest.TestCase):
    """Aligned cells in a mask of free accelerators."""

    def test_cells_in_the_smallest_free_blocks_come_first(self):
        self.assertEqual(cells.fitting_cells(0b1111_0010, 1)[0], (1, 1))

    def test_largest_block_is_aligned(self):
        self.assertEqual(cells.largest_block(0b0011_1100), 2)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.integers(0, 255), min_size=1, max_size=2),
        st.lists(st.sampled_from([1, 2, 4, 8]), max_size=4),
    )
    def test_counting_blocks_equals_an_exhaustive_packing_search(self, masks, needs):
        capacity = Capacity(("r0", mask) for mask in masks)
        counts = tuple((size, needs.count(size)) for size in set(needs))
        fits = capacity.deficit([Entitlement(counts)]) == 0
        largest_first = sorted(needs, reverse=True)
        self.assertEqual(fits, brute_force_packs(masks, largest_first))


class EntitlementTests(unittest.TestCase):
    """The part of a guarantee that is left after a job used some of it."""

    def test_small_job_splits_a_large_cell(self):
        remaining = consume(Entitlement(((8, 1),)), Shape(1, 2))
        self.assertEqual(remaining.cells, ((2, 1), (4, 1)))

    def test_shape_larger_than_the_guarantee_is_not_covered(self):
        self.assertIsNone(consume(Entitlement(((4, 2),)), Shape(1, 8)))

    def test_rack_guarantee_covers_a_rack_gang(self):
        organisation = Organisation(
            "o", ("north",), (("north", Shape(2, 8, Adjacency.RACK), 1),)
        )
        remaining = full_entitlement(organisation, "north")
        self.assertEqual(remaining.rack_units, ((2, 8),))
        remaining = consume(remaining, Shape(2, 8, Adjacency.RACK))
        self.assertEqual(remaining.accelerators, 0)

    def test_guarantees_that_do_not_fit_are_refused_naming_the_organisation(self):
        reason = check_guarantees([make_owner(8, 8)], "north", [("r0", 8)])
        self.assertIn("owner", reason)


class PlanningTests(unittest.TestCase):
    """Launches, reclaims and refusals of one planning step."""

    def test_only_the_cheapest_borrowers_are_preempted(self):
        running = [
            make_running(
                "dear", "borrower", Shape(1, 4), (make_placement("a", 0, 1, 2, 3),), 900
            ),
            make_running(
                "cheap", "borrower", Shape(1, 4), (make_placement("a", 4, 5, 6, 7),), 10
            ),
            make_running(
                "other", "borrower", Shape(1, 8), (make_placement("b", *range(8)),), 20
            ),
        ]
        waiting = [make_waiting("mine", "owner", Shape(1, 4))]
        plan = make_plan(
            [make_worker("a", 0), make_worker("b", 0)],
            running,
            waiting,
            (make_owner(4), BORROWER),
        )
        self.assertEqual([r.victims for r in plan.reclaims], [("cheap",)])

    def test_gang_is_preempted_whole_and_counted_once(self):
        gang = (make_placement("a", *range(8)), make_placement("b", *range(8)))
        running = [make_running("gang", "borrower", Shape(2, 8), gang, 5)]
        waiting = [make_waiting("mine", "owner", Shape(2, 8))]
        plan = make_plan(
            [make_worker("a", 0), make_worker("b", 0)],
            running,
            waiting,
            (make_owner(8, 8), BORROWER),
        )
        self.assertEqual([r.victims for r in plan.reclaims], [("gang",)])

    def test_non_reclaimable_job_does_not_borrow_guaranteed_capacity(self):
        waiting = [make_waiting("fixed", "borrower", Shape(1, 2), reclaimable=False)]
        plan = make_plan([make_worker("a")], (), waiting, (make_owner(8), BORROWER))
        self.assertEqual(plan.launches, ())

    def test_non_reclaimable_job_runs_on_unguaranteed_capacity(self):
        waiting = [make_waiting("fixed", "borrower", Shape(1, 2), reclaimable=False)]
        workers = [make_worker("a"), make_worker("b")]
        plan = make_plan(workers, (), waiting, (make_owner(8), BORROWER))
        self.assertEqual(len(plan.launches), 1)

    def test_small_guaranteed_job_does_not_fragment_anothers_guarantee(self):
        single = Organisation("single", ("north",), (("north", Shape(1, 1), 1),))
        workers = [make_worker("a"), make_worker("b", 0b1111_1110)]
        waiting = [make_waiting("one", "single", Shape(1, 1))]
        plan = make_plan(workers, (), waiting, (make_owner(8), single))
        self.assertEqual(plan.launches[0].placements[0].worker, "b")

    def test_reclaimed_placements_are_reserved_for_their_job(self):
        pending_reclaim = PendingReclaim("mine", (make_placement("a", *range(8)),))
        waiting = [
            make_waiting("mine", "owner", Shape(1, 8)),
            make_waiting("thief", "borrower", Shape(1, 2)),
        ]
        plan = make_plan(
            [make_worker("a")],
            (),
            waiting,
            (make_owner(8), BORROWER),
            (pending_reclaim,),
        )
        self.assertEqual([launch.job_id for launch in plan.launches], ["mine"])

    def test_job_with_a_pending_reclaim_consumes_its_guarantee(self):
        running = [
            make_running(
                "b1", "borrower", Shape(1, 4), (make_placement("a", 0, 1, 2, 3),)
            ),
            make_running(
                "b2", "borrower", Shape(1, 4), (make_placement("a", 4, 5, 6, 7),)
            ),
        ]
        pending_reclaim = PendingReclaim("first", (make_placement("a", 0, 1, 2, 3),))
        waiting = [
            make_waiting("first", "owner", Shape(1, 4)),
            make_waiting("second", "owner", Shape(1, 4)),
        ]
        plan = make_plan(
            [make_worker("a", 0)],
            running,
            waiting,
            (make_owner(4), BORROWER),
            (pending_reclaim,),
        )
        self.assertEqual(plan.reclaims, ())

    def test_small_guaranteed_job_is_preempted_for_anothers_large_guarantee(self):
        single = Organisation("single", ("north",), (("north", Shape(1, 1), 2),))
        running = [
            make_running("s1", "single", Shape(1, 1), (make_placement("a", 0),), 5),
            make_running("s2", "single", Shape(1, 1), (make_placement("b", 0),), 9),
        ]
        waiting = [make_waiting("mine", "owner", Shape(1, 8))]
        workers = [make_worker("a", 0b1111_1110), make_worker("b", 0b1111_1110)]
        plan = make_plan(workers, running, waiting, (make_owner(8), single))
        self.assertEqual([r.victims for r in plan.reclaims], [("s1",)])

    def test_urgent_job_reclaims_though_an_ordinary_one_of_its_shape_may_not(self):
        running = [
            make_running(
                "batch", "borrower", Shape(1, 8), (make_placement("a", *range(8)),)
            )
        ]
        waiting = [
            make_waiting("ordinary", "borrower", Shape(1, 8)),
            make_waiting("urgent", "borrower", Shape(1, 8), Urgency.URGENT, since_ms=1),
        ]
        plan = make_plan(
            [make_worker("a", 0)],
            running,
            waiting,
            (BORROWER,),
            planner=GuaranteePlanner(create_queue_policy("fifo")),
        )
        self.assertEqual([reclaim.job_id for reclaim in plan.reclaims], ["urgent"])

    def test_impossible_shape_is_refused_with_its_reason(self):
        waiting = [make_waiting("huge", "owner", Shape(3, 8))]
        plan = make_plan(
            [make_worker("a"), make_worker("b")], (), waiting, (make_owner(8),)
        )
        self.assertIn("holds 2 at the most", plan.refusals[0].result.reason)

    def test_impossible_rack_shape_names_the_rack(self):
        reason = infeasibility_reason(
            Shape(2, 8, Adjacency.RACK), [("r0", 8), ("r1", 8)]
        )
        self.assertIn("one rack", reason)

    def test_waiting_gang_is_not_starved_by_small_jobs(self):
        running = [
            make_running("long", "x", Shape(1, 8), (make_placement("a", *range(8)),))
        ]
        waiting = [make_waiting("gang", "x", Shape(2, 8), since_ms=-50_000)]
        small = WaitingView("s", "x", Shape(1, 2), Urgency.NORMAL, 0, 99_000, True)
        plain = Organisation("x", ("north",))
        plan = make_plan(
            [make_worker("a", 0), make_worker("b")],
            running,
            [*waiting, small],
            (plain,),
        )
        self.assertEqual(plan.launches, ())

    @settings(max_examples=120, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["owner", "borrower"]),
                st.sampled_from([1, 2, 4, 8]),
                st.booleans(),
            ),
            max_size=8,
        )
    )
    def test_unused_guarantees_still_fit_after_any_plan(self, jobs):
        waiting = [
            make_waiting(f"j{i}", organisation, Shape(1, size), reclaimable=reclaimable)
            for i, (organisation, size, reclaimable) in enumerate(jobs)
        ]
        workers = [make_worker("a"), make_worker("b")]
        plan = make_plan(workers, (), waiting, (make_owner(8, 4), BORROWER))
        by_id = {job.job_id: job for job in waiting}
        free = {"a": 0xFF, "b": 0xFF}
        remaining = full_entitlement(make_owner(8, 4), "north")
        for launch in plan.launches:
            job = by_id[launch.job_id]
            if not launch.borrowed:
                remaining = consume(remaining, job.shape)
            if not launch.borrowed or not job.reclaimable:
                for placement in launch.placements:
                    free[placement.worker] &= ~cells.mask_of(placement.accelerators)
        capacity = Capacity(("r0", mask) for mask in free.values())
        self.assertEqual(capacity.deficit([remaining]), 0)

    def test_no_accelerator_is_allocated_twice(self):
        shapes = [Shape(1, 2), Shape(2, 4), Shape(1, 1), Shape(1, 8)]
        waiting = [
            make_waiting(f"j{i}", "borrower", s) for i, s in enumerate(shapes * 2)
        ]
        plan = make_plan([make_worker("a"), make_worker("b")], (), waiting, (BORROWER,))
        allocations = [
            (placement.worker, index)
            for launch in plan.launches
            for placement in launch.placements
            for index in placement.accelerators
        ]
        pairs = itertools.combinations(allocations, 2)
        self.assertFalse(any(a == b for a, b in pairs))
