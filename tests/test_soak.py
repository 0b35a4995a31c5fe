"""Short seeded runs of the soak; `make soak` plays more and longer ones."""

import unittest

from tests.soak import run_seed

FAULTS_S = 15
SEED = 2
# Seeds that once broke a promise, each with a line on its cause.
REGRESSION_SEEDS = ()


class SoakTest(unittest.TestCase):
    """Real hosts under overlapping faults keep the promises."""

    def test_no_promise_is_broken(self):
        for seed in (SEED, *REGRESSION_SEEDS):
            with self.subTest(seed=seed):
                report = run_seed(seed, FAULTS_S)
                self.assertEqual(report.broken, ())
                self.assertGreater(report.completed, 0)
                self.assertTrue(report.faults)


if __name__ == "__main__":
    unittest.main()
