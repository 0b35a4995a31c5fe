"""Runs the scenarios with real processes, several at a time, each on its own ports.

SCENARIO selects those whose feature and name contain it; KEEP_LOGS names a folder that
gets the logs of failed scenarios.
"""

import os
import queue
import time
import traceback
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests import checks, steps  # noqa: F401 - register the steps
from tests.language import load_scenarios, run_step
from tests.world import World

BASE_PORTS = (20_000, 24_000, 28_000)
NAME_FILTER = os.environ.get("SCENARIO", "")
LOG_FOLDER = os.environ.get("KEEP_LOGS", "")

_results = {}


def _run(scenario, ports):
    port = ports.get()
    world = World(port)
    started_s = time.monotonic()
    text = ""
    try:
        for text in scenario.steps:
            run_step(world, text)
        failure = ""
    except Exception as error:
        detail = "" if isinstance(error, AssertionError) else traceback.format_exc()
        failure = f"at step {text!r}: {error} {detail}"
    finally:
        if failure and LOG_FOLDER and world.cluster is not None:
            os.makedirs(LOG_FOLDER, exist_ok=True)
            for process in [*world.cluster.processes, world.cluster.standin]:
                path = os.path.join(LOG_FOLDER, f"{process.name}.log")
                with open(path, "w") as target:
                    target.write(process.output())
        world.close()
        ports.put(port)
    return failure, time.monotonic() - started_s


def setUpModule():  # noqa: N802 - unittest's name
    """Run the selected scenarios and store a result for each of the tests below."""
    ports = queue.Queue()
    for port in BASE_PORTS:
        ports.put(port)
    selected = [s for s in load_scenarios() if NAME_FILTER in f"{s.feature} {s.name}"]
    with ThreadPoolExecutor(len(BASE_PORTS)) as pool:
        running = {s: pool.submit(_run, s, ports) for s in selected}
        for scenario, future in running.items():
            _results[scenario] = future.result()


class ScenarioTests(unittest.TestCase):
    """One test for each scenario, added below."""


def _make_test(scenario):
    def test(self):
        if scenario not in _results:
            self.skipTest("not selected by SCENARIO")
        failure, seconds = _results[scenario]
        print(f"{scenario.feature}: {scenario.name}: {seconds:.1f} s")
        self.assertEqual(failure, "")

    return test


for _scenario in load_scenarios():
    _name = f"{_scenario.feature}_{_scenario.name}".replace(" ", "_").replace("-", "_")
    setattr(ScenarioTests, f"test_{_name}", _make_test(_scenario))
