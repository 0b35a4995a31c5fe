"""Emulated days of scheduling: invariants hold, and all work makes progress."""

import unittest

from knapweedshed.models.overload import OverloadPolicies
from scripts.work_day import draw_day, load_scenario
from scripts.work_emulator import Emulator

SEEDS = (1, 2, 3)
DAY_LENGTH_MS = 12_000


def emulate_day(name, seed, order="credit", **changed):
    """Emulate a short day of a scenario; `changed` overrides the scenario's fields."""
    shortened = {**load_scenario(name), "length_ms": DAY_LENGTH_MS, **changed}
    return Emulator(draw_day(shortened, seed), seed, order).run()


class DayTest(unittest.TestCase):
    """Days of each scenario, with slow, hanging and failing workers."""

    def test_no_task_runs_twice_and_no_worker_exceeds_its_capacity(self):
        for name in ("sahel", "oyelaran"):
            for order in ("credit", "first-come"):
                for seed in SEEDS:
                    result = emulate_day(name, seed, order)
                    self.assertEqual(result.violations, (), (name, order, seed))
                    self.assertGreater(result.runs, 0)

    def test_invariants_hold_while_load_is_shed(self):
        kinds = [
            {**kind, "a_second": 3 * kind["a_second"]}
            for kind in load_scenario("sahel")["kinds"]
        ]
        day = {**load_scenario("sahel"), "length_ms": DAY_LENGTH_MS, "kinds": kinds}
        for seed in SEEDS:
            policies = OverloadPolicies(load_shedding=True)
            emulator = Emulator(draw_day(day, seed), seed, overload=policies)
            result = emulator.run()
            self.assertEqual(result.violations, (), seed)
            self.assertGreater(result.runs, 0)

    def test_nothing_starves_at_the_end_of_a_day_with_low_load(self):
        kinds = [{**kind, "a_second": 0.1} for kind in load_scenario("sahel")["kinds"]]
        for seed in SEEDS:
            result = emulate_day("sahel", seed, kinds=kinds, troubles=(), bursts=())
            self.assertEqual(result.starved_jobs, 0, seed)

    def test_a_seed_reproduces_its_day(self):
        first, again = emulate_day("sahel", 7), emulate_day("sahel", 7)
        self.assertEqual(first.credit, again.credit)
        self.assertEqual(first.runs, again.runs)


class EmulatorTest(unittest.TestCase):
    """The emulator's own checks detect a violation."""

    def test_a_second_concurrent_start_of_a_task_is_reported(self):
        emulator = Emulator(draw_day(load_scenario("sahel"), 1), 1)
        duplicated = []
        start = emulator._start_run

        def start_twice(order):
            start(order)
            if not duplicated:
                duplicated.append(order)
                start(order._replace(run=order.run + 1))

        emulator._start_run = start_twice
        self.assertTrue(emulator.run().violations)


if __name__ == "__main__":
    unittest.main()
