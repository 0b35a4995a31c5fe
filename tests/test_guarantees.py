"""Guaranteed shapes, buddy cells and reclaiming."""

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
from knapweedshed.models.configuration import Organisation, Urgency
from knapweedshed.models.planning import (
    PendingReclaim,
    PlanningInput,
    RunningView,
    WaitingView,
    WorkerView,
)
from knapweedshed.models.shapes import Adjacency, Placement, Shape


def worker(name, free=0xFF, rack="r0"):
    return WorkerView(name, rack, 8, 1.0, free)


def waiting(job_id, who, shape, urgency=Urgency.NORMAL, reclaimable=True, since_ms=0):
    return WaitingView(job_id, who, shape, urgency, since_ms, 1_000, reclaimable)


def running(job_id, who, shape, places, cost=1, reclaimable=True, start=0):
    urgency = Urgency.BATCH
    return RunningView(
        job_id, who, shape, places, start, 10_000, reclaimable, cost, urgency
    )


def place(name, *indexes):
    return Placement(name, tuple(indexes))


def owner(*sizes):
    held = tuple(("north", Shape(1, size), 1) for size in sizes)
    return Organisation("owner", ("north",), held)


BORROWER = Organisation("borrower", ("north",))


def plan(workers, run=(), wait=(), organisations=(), claims=()):
    known = tuple((w.rack, w.accelerators) for w in workers)
    situation = PlanningInput(
        0,
        "north",
        tuple(workers),
        tuple(run),
        tuple(wait),
        organisations,
        claims,
        known,
    )
    return GuaranteePlanner().plan(situation)


def brute_force_packs(masks, needs):
    """Return whether cells of the needed sizes fit, by trying every way."""
    if not needs:
        return True
    size, *rest = needs
    for index, mask in enumerate(masks):
        for start in range(0, 8, size):
            wanted = cells.cell_mask(start, size)
            if mask & wanted == wanted:
                left = [*masks]
                left[index] = mask & ~wanted
                if brute_force_packs(left, rest):
                    return True
    return False


class CellTests(unittest.TestCase):
    """Aligned cells of a mask."""

    def test_places_in_small_blocks_come_first(self):
        self.assertEqual(cells.fitting_cells(0b1111_0010, 1)[0], (1, 1))

    def test_largest_block_is_aligned(self):
        self.assertEqual(cells.largest_block(0b0011_1100), 2)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.integers(0, 255), min_size=1, max_size=2),
        st.lists(st.sampled_from([1, 2, 4, 8]), max_size=4),
    )
    def test_counting_blocks_agrees_with_trying_every_packing(self, masks, needs):
        capacity = Capacity(("r0", mask) for mask in masks)
        counts = tuple((size, needs.count(size)) for size in set(needs))
        fits = capacity.deficit([Entitlement(counts)]) == 0
        largest_first = sorted(needs, reverse=True)
        self.assertEqual(fits, brute_force_packs(masks, largest_first))


class EntitlementTests(unittest.TestCase):
    """What is left of a guarantee."""

    def test_small_work_splits_a_large_cell(self):
        left = consume(Entitlement(((8, 1),)), Shape(1, 2))
        self.assertEqual(left.cells, ((2, 1), (4, 1)))

    def test_a_larger_shape_than_guaranteed_is_not_covered(self):
        self.assertIsNone(consume(Entitlement(((4, 2),)), Shape(1, 8)))

    def test_a_rack_unit_covers_a_rack_gang(self):
        organisation = Organisation(
            "o", ("north",), (("north", Shape(2, 8, Adjacency.RACK), 1),)
        )
        left = full_entitlement(organisation, "north")
        self.assertEqual(left.racks, ((2, 8),))
        after = consume(left, Shape(2, 8, Adjacency.RACK))
        self.assertEqual(after.accelerators, 0)

    def test_guarantees_that_do_not_fit_are_refused_by_name(self):
        reason = check_guarantees([owner(8, 8)], "north", [("r0", 8)])
        self.assertIn("owner", reason)


class PlanningTests(unittest.TestCase):
    """One planning step."""

    def test_the_cheapest_borrowers_are_stopped_and_no_more(self):
        run = [
            running("dear", "borrower", Shape(1, 4), (place("a", 0, 1, 2, 3),), 900),
            running("cheap", "borrower", Shape(1, 4), (place("a", 4, 5, 6, 7),), 10),
            running("other", "borrower", Shape(1, 8), (place("b", *range(8)),), 20),
        ]
        wait = [waiting("mine", "owner", Shape(1, 4))]
        made = plan([worker("a", 0), worker("b", 0)], run, wait, (owner(4), BORROWER))
        self.assertEqual([r.victims for r in made.reclaims], [("cheap",)])

    def test_a_gang_is_stopped_whole_and_counted_once(self):
        gang = (place("a", *range(8)), place("b", *range(8)))
        run = [running("gang", "borrower", Shape(2, 8), gang, 5)]
        wait = [waiting("mine", "owner", Shape(2, 8))]
        made = plan(
            [worker("a", 0), worker("b", 0)], run, wait, (owner(8, 8), BORROWER)
        )
        self.assertEqual([r.victims for r in made.reclaims], [("gang",)])

    def test_what_can_not_be_reclaimed_does_not_borrow_a_guarantee(self):
        wait = [waiting("fixed", "borrower", Shape(1, 2), reclaimable=False)]
        made = plan([worker("a")], (), wait, (owner(8), BORROWER))
        self.assertEqual(made.launches, ())

    def test_what_can_not_be_reclaimed_runs_on_what_nobody_is_guaranteed(self):
        wait = [waiting("fixed", "borrower", Shape(1, 2), reclaimable=False)]
        workers = [worker("a"), worker("b")]
        made = plan(workers, (), wait, (owner(8), BORROWER))
        self.assertEqual(len(made.launches), 1)

    def test_a_small_guaranteed_job_does_not_break_anothers_large_shape(self):
        single = Organisation("single", ("north",), (("north", Shape(1, 1), 1),))
        workers = [worker("a"), worker("b", 0b1111_1110)]
        wait = [waiting("one", "single", Shape(1, 1))]
        made = plan(workers, (), wait, (owner(8), single))
        self.assertEqual(made.launches[0].placements[0].worker, "b")

    def test_reclaimed_places_are_kept_for_their_job(self):
        claim = PendingReclaim("mine", (place("a", *range(8)),))
        wait = [
            waiting("mine", "owner", Shape(1, 8)),
            waiting("thief", "borrower", Shape(1, 2)),
        ]
        made = plan([worker("a")], (), wait, (owner(8), BORROWER), (claim,))
        self.assertEqual([launch.job_id for launch in made.launches], ["mine"])

    def test_a_job_that_waits_for_reclaimed_places_uses_its_guarantee_up(self):
        run = [
            running("b1", "borrower", Shape(1, 4), (place("a", 0, 1, 2, 3),)),
            running("b2", "borrower", Shape(1, 4), (place("a", 4, 5, 6, 7),)),
        ]
        claim = PendingReclaim("first", (place("a", 0, 1, 2, 3),))
        wait = [
            waiting("first", "owner", Shape(1, 4)),
            waiting("second", "owner", Shape(1, 4)),
        ]
        made = plan([worker("a", 0)], run, wait, (owner(4), BORROWER), (claim,))
        self.assertEqual(made.reclaims, ())

    def test_small_guaranteed_work_is_moved_out_of_anothers_large_shape(self):
        single = Organisation("single", ("north",), (("north", Shape(1, 1), 2),))
        run = [
            running("s1", "single", Shape(1, 1), (place("a", 0),), 5),
            running("s2", "single", Shape(1, 1), (place("b", 0),), 9),
        ]
        wait = [waiting("mine", "owner", Shape(1, 8))]
        workers = [worker("a", 0b1111_1110), worker("b", 0b1111_1110)]
        made = plan(workers, run, wait, (owner(8), single))
        self.assertEqual([r.victims for r in made.reclaims], [("s1",)])

    def test_an_impossible_shape_is_refused_with_its_reason(self):
        wait = [waiting("huge", "owner", Shape(3, 8))]
        made = plan([worker("a"), worker("b")], (), wait, (owner(8),))
        self.assertIn("holds 2 at the most", made.refusals[0].result.reason)

    def test_an_impossible_rack_shape_names_the_rack(self):
        reason = infeasibility_reason(
            Shape(2, 8, Adjacency.RACK), [("r0", 8), ("r1", 8)]
        )
        self.assertIn("one rack", reason)

    def test_a_waiting_gang_is_not_starved_by_small_jobs(self):
        run = [running("long", "x", Shape(1, 8), (place("a", *range(8)),))]
        wait = [waiting("gang", "x", Shape(2, 8), since_ms=-50_000)]
        small = WaitingView("s", "x", Shape(1, 2), Urgency.NORMAL, 0, 99_000, True)
        plain = Organisation("x", ("north",))
        made = plan([worker("a", 0), worker("b")], run, [*wait, small], (plain,))
        self.assertEqual(made.launches, ())

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
    def test_after_any_plan_all_unmet_guarantees_can_still_be_packed(self, jobs):
        wait = [
            waiting(f"j{i}", who, Shape(1, size), reclaimable=movable)
            for i, (who, size, movable) in enumerate(jobs)
        ]
        workers = [worker("a"), worker("b")]
        made = plan(workers, (), wait, (owner(8, 4), BORROWER))
        by_id = {job.job_id: job for job in wait}
        free = {"a": 0xFF, "b": 0xFF}
        left = full_entitlement(owner(8, 4), "north")
        for launch in made.launches:
            job = by_id[launch.job_id]
            if not launch.borrowed:
                left = consume(left, job.shape)
            if not launch.borrowed or not job.reclaimable:
                for spot in launch.placements:
                    free[spot.worker] &= ~cells.mask_of(spot.accelerators)
        capacity = Capacity(("r0", mask) for mask in free.values())
        self.assertEqual(capacity.deficit([left]), 0)

    def test_no_accelerator_is_given_twice(self):
        shapes = [Shape(1, 2), Shape(2, 4), Shape(1, 1), Shape(1, 8)]
        wait = [waiting(f"j{i}", "borrower", s) for i, s in enumerate(shapes * 2)]
        made = plan([worker("a"), worker("b")], (), wait, (BORROWER,))
        spots = [
            (spot.worker, index)
            for launch in made.launches
            for spot in launch.placements
            for index in spot.accelerators
        ]
        pairs = itertools.combinations(spots, 2)
        self.assertFalse(any(a == b for a, b in pairs))
