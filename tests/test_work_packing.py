"""Placement of units, and the choice of units to preempt."""

import unittest

from knapweedshed.decisions.packing import WorkerCapacity, place
from knapweedshed.decisions.preemption import PreemptionCandidate, choose_victims
from knapweedshed.models.work import Resources
from tests.dispatch_harness import CAPACITY, make_step

EIGHT_ACCELERATORS = Resources(8_000, 10_000, 8)
ONE_ACCELERATOR = Resources(8_000, 10_000, 1)


def make_worker(name, rack="r1-1", free=CAPACITY, **fields):
    """Return a worker with `free` resources in a rack."""
    return WorkerCapacity(name, rack, ("a", rack), free, **fields)


class PlaceTest(unittest.TestCase):
    """All tasks of a unit are placed, or none."""

    def test_nothing_is_placed_unless_all_tasks_fit(self):
        self.assertEqual(
            place(
                make_step(3, EIGHT_ACCELERATORS),
                3,
                [make_worker("w0"), make_worker("w1")],
            ),
            (),
        )

    def test_cpu_and_memory_limit_placement_as_accelerators_do(self):
        step = make_step(8, Resources(26_000, 10_000, 1))
        self.assertEqual(place(step, 8, [make_worker("w0")]), ())
        self.assertEqual(len(place(step, 2, [make_worker("w0")])), 2)

    def test_gang_bound_to_one_rack_is_placed_in_one_rack(self):
        step = make_step(2, EIGHT_ACCELERATORS, gang=True, same_rack=True)
        workers = [make_worker("w0", "r1-1"), make_worker("w1", "r1-2")]
        self.assertEqual(place(step, 2, workers), ())
        workers.append(make_worker("w2", "r1-2"))
        self.assertEqual(set(place(step, 2, workers)), {"w1", "w2"})

    def test_worker_without_the_required_label_is_not_used(self):
        step = make_step(1, ONE_ACCELERATOR, label="b")
        self.assertEqual(place(step, 1, [make_worker("w0")]), ())

    def test_limit_of_tasks_per_worker(self):
        step = make_step(4, ONE_ACCELERATOR, most_per_worker=2)
        workers = [
            make_worker("w0", resident_tasks=1),
            make_worker("w1"),
            make_worker("w2", resident_tasks=2),
        ]
        self.assertEqual(place(step, 4, workers), ())
        self.assertEqual(sorted(place(step, 3, workers)), ["w0", "w1", "w1"])

    def test_partly_used_workers_are_filled_first(self):
        used = make_worker("w1", free=Resources(64_000, 131_072, 2))
        self.assertEqual(
            place(make_step(1, ONE_ACCELERATOR), 1, [make_worker("w0"), used]), ("w1",)
        )

    def test_slowest_worker_that_is_fast_enough_is_taken(self):
        workers = [make_worker(f"w{s}", speed=s) for s in (0.5, 1.0, 2.0)]
        step = make_step(1, ONE_ACCELERATOR)
        self.assertEqual(place(step, 1, workers, target_speed=0.8), ("w1.0",))
        self.assertEqual(place(step, 1, workers, target_speed=0.1), ("w0.5",))
        self.assertEqual(place(step, 1, workers, target_speed=9.0), ("w2.0",))

    def test_data_rack_takes_precedence_over_speed(self):
        step = make_step(1, ONE_ACCELERATOR, data_rack="r1-2")
        workers = [make_worker("w0", "r1-1", speed=2.0), make_worker("w1", "r1-2")]
        self.assertEqual(place(step, 1, workers), ("w1",))


class VictimsTest(unittest.TestCase):
    """The cheapest running units that free enough resources."""

    def _candidates(self, *costs):
        tasks = tuple(("w0", ONE_ACCELERATOR) for _ in range(4))
        return [PreemptionCandidate(f"u{cost}", tasks, cost) for cost in costs]

    def test_cheapest_sufficient_units_are_chosen(self):
        workers = [make_worker("w0", free=Resources(64_000, 131_072, 0))]
        step = make_step(1, Resources(8_000, 10_000, 4))
        chosen = choose_victims(step, 1, workers, self._candidates(900, 5))
        self.assertEqual([item.unit for item in chosen], ["u5"])

    def test_nothing_is_chosen_where_preemption_does_not_help(self):
        workers = [make_worker("w0", free=Resources(64_000, 131_072, 0))]
        self.assertIsNone(
            choose_victims(
                make_step(2, EIGHT_ACCELERATORS), 2, workers, self._candidates(5)
            )
        )

    def test_total_cost_is_limited(self):
        workers = [make_worker("w0", free=Resources(64_000, 131_072, 0))]
        step = make_step(1, Resources(8_000, 10_000, 4))
        candidates = self._candidates(900)
        self.assertIsNone(choose_victims(step, 1, workers, candidates, max_cost=100))

    def test_unneeded_victims_are_removed_from_the_choice(self):
        workers = [
            make_worker("w0", free=Resources(64_000, 131_072, 0)),
            make_worker("w1"),
        ]
        workers[1] = make_worker("w1", free=Resources(64_000, 131_072, 4))
        candidates = [
            PreemptionCandidate("small", (("w1", ONE_ACCELERATOR),), 0.1),
            PreemptionCandidate(
                "large", tuple(("w0", ONE_ACCELERATOR) for _ in range(8)), 9
            ),
        ]
        chosen = choose_victims(
            make_step(1, EIGHT_ACCELERATORS), 1, workers, candidates
        )
        self.assertEqual([item.unit for item in chosen], ["large"])


if __name__ == "__main__":
    unittest.main()
