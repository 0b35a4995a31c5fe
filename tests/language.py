"""The scenarios' language: steps by pattern, over features read by a library."""

import re
from pathlib import Path
from typing import NamedTuple

from gherkin.parser import Parser

SCENARIOS = Path(__file__).parent / "scenarios"

_steps = []


class Scenario(NamedTuple):
    """A scenario and its steps' texts."""

    feature: str
    name: str
    steps: tuple[str, ...]


class StepError(Exception):
    """A step whose words no pattern matches."""


def step(pattern):
    """Register a function for steps that match `pattern` from end to end."""

    def register(function):
        _steps.append((re.compile(pattern + r"\Z"), function))
        return function

    return register


def load_scenarios():
    """Return all scenarios of all feature files, in order."""
    found = []
    for path in sorted(SCENARIOS.glob("*.feature")):
        feature = Parser().parse(path.read_text())["feature"]
        for child in feature["children"]:
            scenario = child["scenario"]
            texts = tuple(item["text"] for item in scenario["steps"])
            found.append(Scenario(path.stem, scenario["name"], texts))
    return found


def run_step(world, words):
    """Run the step that `words` name; raises StepError or AssertionError."""
    for pattern, function in _steps:
        match = pattern.match(words)
        if match:
            function(world, **match.groupdict())
            return
    raise StepError(f"no step matches {words!r}")
