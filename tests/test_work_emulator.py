"""Whole days of decisions, emulated: what no day may break, and that work gets done."""

import unittest

from scripts.work_day import draw_day, load_scenario
from scripts.work_emulator import Emulator

SEEDS = (1, 2, 3)
SHORT_MS = 12_000


def play(name, seed, order="credit", **changed):
    """Play a short day."""
    scenario = {**load_scenario(name), "length_ms": SHORT_MS, **changed}
    return Emulator(draw_day(scenario, seed), seed, order).run()


class DayTest(unittest.TestCase):
    """Days of both users, with slow, hanging and failing workers."""

    def test_no_task_runs_twice_and_no_worker_is_overfull(self):
        for name in ("sahel", "oyelaran"):
            for order in ("credit", "first-come"):
                for seed in SEEDS:
                    played = play(name, seed, order)
                    self.assertEqual(played.violations, (), (name, order, seed))
                    self.assertGreater(played.runs, 0)

    def test_nothing_waits_at_the_end_of_a_calm_day(self):
        kinds = [{**kind, "a_second": 0.1} for kind in load_scenario("sahel")["kinds"]]
        for seed in SEEDS:
            played = play("sahel", seed, kinds=kinds, troubles=(), bursts=())
            self.assertEqual(played.starved_jobs, 0, seed)

    def test_a_seed_plays_the_same_day_again(self):
        first, again = play("sahel", 7), play("sahel", 7)
        self.assertEqual(first.credit, again.credit)
        self.assertEqual(first.runs, again.runs)


class EmulatorTest(unittest.TestCase):
    """The emulator's own checks can fail."""

    def test_a_start_beside_another_of_its_task_is_noted(self):
        emulator = Emulator(draw_day(load_scenario("sahel"), 1), 1)
        launched = []
        real = emulator._start_run

        def start_twice(order):
            real(order)
            if not launched:
                launched.append(order)
                real(order._replace(run=order.run + 1))

        emulator._start_run = start_twice
        self.assertTrue(emulator.run().violations)


if __name__ == "__main__":
    unittest.main()
