"""CI passes over just the tests that KNOWN-RED.txt lists."""

import unittest

from scripts.known_red import classify_failures, listed_tests

KNOWN = "# words\n\ntests.test_a.A.test_one\n  seen: FAIL\n"
FAILS = "FAIL: test_{0} (tests.test_a.A.test_{0})\n"


class KnownRedTest(unittest.TestCase):
    """What counts as known, and what never does."""

    def test_only_ids_are_read(self):
        self.assertEqual(listed_tests(KNOWN), {"tests.test_a.A.test_one"})

    def test_known_and_other_failures_are_told_apart(self):
        report = FAILS.format("one") + FAILS.format("two") + "Ran 9 tests in 1s\n"
        known_failures, other_failures = classify_failures(report, listed_tests(KNOWN))
        self.assertEqual(known_failures, {"tests.test_a.A.test_one"})
        self.assertEqual(other_failures, {"tests.test_a.A.test_two"})

    def test_report_that_names_no_failure_or_ran_nothing_is_not_passed_over(self):
        self.assertEqual(classify_failures("Ran 9 tests in 1s\n", set()), (None, None))
        self.assertEqual(classify_failures(FAILS.format("one"), set()), (None, None))

    def test_module_that_cant_be_imported_is_not_known(self):
        report = "ERROR: tests.test_b (unittest.loader._FailedTest.test_b)\n"
        _, other_failures = classify_failures(
            report + "Ran 9 tests in 1s\n", listed_tests(KNOWN)
        )
        self.assertEqual(other_failures, {"unittest.loader._FailedTest.test_b"})


if __name__ == "__main__":
    unittest.main()
