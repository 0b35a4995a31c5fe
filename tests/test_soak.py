"""Short seeded runs of the soak; `make soak` plays more and longer ones."""

import unittest

from tests.soak import SHORT_KEEP_S, run_seed

FAULTS_S = 15
SEED = 2
# Twice the time for which the store keeps records there.
SHORT_KEEP_FAULTS_S = 40
SHORT_KEEP_SEED = 3
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

    def test_no_promise_is_broken_where_hosts_begin_within_the_log(self):
        # Hosts that began there ran jobs again that had ended (review/11).
        report = run_seed(SHORT_KEEP_SEED, SHORT_KEEP_FAULTS_S, keep_s=SHORT_KEEP_S)
        self.assertEqual(report.broken, ())
        self.assertGreater(report.completed, 0)


if __name__ == "__main__":
    unittest.main()
