"""Checks whether all failures of a test report are listed in KNOWN-RED.txt."""

import re
import sys

FAILURE_LINE = re.compile(r"^(?:FAIL|ERROR): \S+ \(([\w.]+)\)$", re.MULTILINE)
RAN_LINE = re.compile(r"^Ran (\d+) tests? in ", re.MULTILINE)


def listed_tests(text):
    """Return the set of test ids that the text of KNOWN-RED.txt lists.

    An entry starts with its test id; indented lines are details and # starts a comment.
    """
    return {
        line.strip()
        for line in text.splitlines()
        if line.strip() and not line.startswith((" ", "\t", "#"))
    }


def classify_failures(report, known):
    """Return (known failures, other failures) as two sets of test ids.

    Returns (None, None) if the report names no failure or lacks the count of tests run,
    because the cause of the failed run is then unknown.
    """
    failures = set(FAILURE_LINE.findall(report))
    if not failures or not RAN_LINE.search(report):
        return None, None
    return failures & known, failures - known


def main(report_path, known_path):
    """Print the result; return 0 if every failure is known, else 1."""
    with open(report_path, encoding="utf-8") as file:
        report = file.read()
    with open(known_path, encoding="utf-8") as file:
        known = listed_tests(file.read())
    known_failures, other_failures = classify_failures(report, known)
    if known_failures is None or other_failures:
        print(f"not in KNOWN-RED.txt: {sorted(other_failures or ())}")
        return 1
    print(f"known red, see KNOWN-RED.txt: {sorted(known_failures)}")
    print(f"known red count: {len(known_failures)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
