"""Tells whether a test report's failures are all listed in KNOWN-RED.txt."""

import re
import sys

FAILURE = re.compile(r"^(?:FAIL|ERROR): \S+ \(([\w.]+)\)$", re.MULTILINE)
RAN = re.compile(r"^Ran (\d+) tests? in ", re.MULTILINE)


def listed_tests(text):
    """Return the ids that a KNOWN-RED file lists."""
    return {
        line.strip()
        for line in text.splitlines()
        if line.strip() and not line.startswith((" ", "\t", "#"))
    }


def judge(report, known):
    """Return (known failures, others); a report without either gives two Nones."""
    failures = set(FAILURE.findall(report))
    if not failures or not RAN.search(report):
        return None, None
    return failures & known, failures - known


def main(report_path, known_path):
    """Print the verdict; return 0 only if all that failed is known."""
    with open(report_path, encoding="utf-8") as file:
        report = file.read()
    with open(known_path, encoding="utf-8") as file:
        known = listed_tests(file.read())
    red, others = judge(report, known)
    if red is None or others:
        print(f"not in KNOWN-RED.txt: {sorted(others or ())}")
        return 1
    print(f"known red, see KNOWN-RED.txt: {sorted(red)}")
    print(f"known red count: {len(red)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:3]))
