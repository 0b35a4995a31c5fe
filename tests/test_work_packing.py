"""Placement of units, and who gives way."""

import unittest

from knapweedshed.decisions.packing import Site, place
from knapweedshed.decisions.preemption import PreemptionCandidate, choose_victims
from knapweedshed.models.work import Resources
from tests.work_world import CAPACITY, make_step

EIGHT = Resources(8_000, 10_000, 8)
ONE = Resources(8_000, 10_000, 1)


def site(name, rack="r1-1", free=CAPACITY, **fields):
    """Return a site."""
    return Site(name, rack, ("a", rack), free, **fields)


class PlaceTest(unittest.TestCase):
    """All tasks of a unit, or none."""

    def test_nothing_is_placed_where_not_all_fit(self):
        self.assertEqual(place(make_step(3, EIGHT), 3, [site("w0"), site("w1")]), ())

    def test_processor_and_memory_bound_as_accelerators_do(self):
        step = make_step(8, Resources(26_000, 10_000, 1))
        self.assertEqual(place(step, 8, [site("w0")]), ())
        self.assertEqual(len(place(step, 2, [site("w0")])), 2)

    def test_gang_of_one_rack_waits_for_one_rack(self):
        step = make_step(2, EIGHT, gang=True, same_rack=True)
        sites = [site("w0", "r1-1"), site("w1", "r1-2")]
        self.assertEqual(place(step, 2, sites), ())
        sites.append(site("w2", "r1-2"))
        self.assertEqual(set(place(step, 2, sites)), {"w1", "w2"})

    def test_label_must_be_there(self):
        step = make_step(1, ONE, label="b")
        self.assertEqual(place(step, 1, [site("w0")]), ())

    def test_at_most_so_many_on_a_worker(self):
        step = make_step(4, ONE, most_per_worker=2)
        sites = [site("w0", resident_tasks=1), site("w1"), site("w2", resident_tasks=2)]
        self.assertEqual(place(step, 4, sites), ())
        self.assertEqual(sorted(place(step, 3, sites)), ["w0", "w1", "w1"])

    def test_full_workers_are_filled_first(self):
        used = site("w1", free=Resources(64_000, 131_072, 2))
        self.assertEqual(place(make_step(1, ONE), 1, [site("w0"), used]), ("w1",))

    def test_slowest_worker_that_is_fast_enough_is_taken(self):
        sites = [site(f"w{s}", speed=s) for s in (0.5, 1.0, 2.0)]
        step = make_step(1, ONE)
        self.assertEqual(place(step, 1, sites, target_speed=0.8), ("w1.0",))
        self.assertEqual(place(step, 1, sites, target_speed=0.1), ("w0.5",))
        self.assertEqual(place(step, 1, sites, target_speed=9.0), ("w2.0",))

    def test_data_rack_goes_before_speed(self):
        step = make_step(1, ONE, data_rack="r1-2")
        sites = [site("w0", "r1-1", speed=2.0), site("w1", "r1-2")]
        self.assertEqual(place(step, 1, sites), ("w1",))


class VictimsTest(unittest.TestCase):
    """The cheapest others that make room."""

    def _holdings(self, *costs):
        full = tuple(("w0", ONE) for _ in range(4))
        return [PreemptionCandidate(f"u{cost}", full, cost) for cost in costs]

    def test_cheapest_that_suffice_are_stopped(self):
        sites = [site("w0", free=Resources(64_000, 131_072, 0))]
        step = make_step(1, Resources(8_000, 10_000, 4))
        chosen = choose_victims(step, 1, sites, self._holdings(900, 5))
        self.assertEqual([item.unit for item in chosen], ["u5"])

    def test_nobody_is_stopped_where_that_does_not_help(self):
        sites = [site("w0", free=Resources(64_000, 131_072, 0))]
        self.assertIsNone(
            choose_victims(make_step(2, EIGHT), 2, sites, self._holdings(5))
        )

    def test_loss_is_bounded(self):
        sites = [site("w0", free=Resources(64_000, 131_072, 0))]
        step = make_step(1, Resources(8_000, 10_000, 4))
        holdings = self._holdings(900)
        self.assertIsNone(choose_victims(step, 1, sites, holdings, max_cost=100))

    def test_needless_victims_are_spared(self):
        sites = [site("w0", free=Resources(64_000, 131_072, 0)), site("w1")]
        sites[1] = site("w1", free=Resources(64_000, 131_072, 4))
        holdings = [
            PreemptionCandidate("small", (("w1", ONE),), 0.1),
            PreemptionCandidate("large", tuple(("w0", ONE) for _ in range(8)), 9),
        ]
        chosen = choose_victims(make_step(1, EIGHT), 1, sites, holdings)
        self.assertEqual([item.unit for item in chosen], ["large"])


if __name__ == "__main__":
    unittest.main()
