"""Step definitions by pattern, and scenarios loaded from Gherkin feature files."""

import re
from pathlib import Path
from typing import NamedTuple

from gherkin.parser import Parser

SCENARIOS_FOLDER = Path(__file__).parent / "scenarios"

_step_functions = []


class Scenario(NamedTuple):
    """A scenario with the file that it is in and the texts of its steps."""

    feature: str
    name: str
    steps: tuple[str, ...]


class StepError(Exception):
    """No pattern matches the text of a step."""


def step(pattern):
    """Register a function for steps whose whole text matches `pattern`."""

    def register(function):
        _step_functions.append((re.compile(pattern + r"\Z"), function))
        return function

    return register


def load_scenarios():
    """Return all scenarios of all feature files, in order."""
    scenarios = []
    for path in sorted(SCENARIOS_FOLDER.glob("*.feature")):
        feature = Parser().parse(path.read_text())["feature"]
        for child in feature["children"]:
            scenario = child["scenario"]
            texts = tuple(item["text"] for item in scenario["steps"])
            scenarios.append(Scenario(path.stem, scenario["name"], texts))
    return scenarios


def run_step(world, text):
    """Run the step whose pattern matches `text`; raises StepError or AssertionError."""
    for pattern, function in _step_functions:
        match = pattern.match(text)
        if match:
            function(world, **match.groupdict())
            return
    raise StepError(f"no step matches {text!r}")
