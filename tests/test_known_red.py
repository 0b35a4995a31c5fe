"""CI tolerates failures of exactly the tests that KNOWN-RED.txt lists."""

import unittest

from scripts.known_red import classify_failures, listed_tests

KNOWN_RED_TEXT = "# words\n\ntests.test_a.A.test_one\n  seen: FAIL\n"
FAILURE_LINE = "FAIL: test_{0} (tests.test_a.A.test_{0})\n"


class KnownRedTest(unittest.TestCase):
    """Which failures count as known, and which never do."""

    def test_only_test_ids_are_read(self):
        self.assertEqual(listed_tests(KNOWN_RED_TEXT), {"tests.test_a.A.test_one"})

    def test_known_and_other_failures_are_separated(self):
        report = (
            FAILURE_LINE.format("one")
            + FAILURE_LINE.format("two")
            + "Ran 9 tests in 1s\n"
        )
        known, other_failures = classify_failures(report, listed_tests(KNOWN_RED_TEXT))
        self.assertEqual(known, {"tests.test_a.A.test_one"})
        self.assertEqual(other_failures, {"tests.test_a.A.test_two"})

    def test_report_without_failures_or_without_tests_gives_no_verdict(self):
        self.assertEqual(classify_failures("Ran 9 tests in 1s\n", set()), (None, None))
        self.assertEqual(
            classify_failures(FAILURE_LINE.format("one"), set()), (None, None)
        )

    def test_module_that_fails_to_import_is_never_known(self):
        report = "ERROR: tests.test_b (unittest.loader._FailedTest.test_b)\n"
        _, other_failures = classify_failures(
            report + "Ran 9 tests in 1s\n", listed_tests(KNOWN_RED_TEXT)
        )
        self.assertEqual(other_failures, {"unittest.loader._FailedTest.test_b"})


if __name__ == "__main__":
    unittest.main()
