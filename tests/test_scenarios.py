"""Runs every scenario with real processes; a few at a time, each on its own ports."""

import os
import queue
import time
import traceback
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests import checks, steps  # noqa: F401 - register the steps
from tests.language import load_scenarios, run_step
from tests.world import World

PORTS = (20_000, 24_000, 28_000)
ONLY = os.environ.get("SCENARIO", "")
KEEP_LOGS = os.environ.get("KEEP_LOGS", "")

_results = {}


def _run(scenario, ports):
    port = ports.get()
    world = World(port)
    began = time.monotonic()
    words = ""
    try:
        for words in scenario.steps:
            run_step(world, words)
        fault = ""
    except Exception as error:
        detail = "" if isinstance(error, AssertionError) else traceback.format_exc()
        fault = f"at step {words!r}: {error} {detail}"
    finally:
        if fault and KEEP_LOGS and world.cluster is not None:
            os.makedirs(KEEP_LOGS, exist_ok=True)
            for process in [*world.cluster.processes, world.cluster.standin]:
                path = os.path.join(KEEP_LOGS, f"{process.name}.log")
                with open(path, "w") as target:
                    target.write(process.output())
        world.close()
        ports.put(port)
    return fault, time.monotonic() - began


def setUpModule():  # noqa: N802 - unittest's name
    """Run all scenarios; the tests below look at what came of each."""
    ports = queue.Queue()
    for port in PORTS:
        ports.put(port)
    chosen = [s for s in load_scenarios() if ONLY in f"{s.feature} {s.name}"]
    with ThreadPoolExecutor(len(PORTS)) as pool:
        running = {s: pool.submit(_run, s, ports) for s in chosen}
        for scenario, future in running.items():
            _results[scenario] = future.result()


class ScenarioTests(unittest.TestCase):
    """One test for each scenario."""


def _make_test(scenario):
    def test(self):
        if scenario not in _results:
            self.skipTest("not chosen")
        fault, seconds = _results[scenario]
        print(f"{scenario.feature}: {scenario.name}: {seconds:.1f} s")
        self.assertEqual(fault, "")

    return test


for _scenario in load_scenarios():
    _name = f"{_scenario.feature}_{_scenario.name}".replace(" ", "_").replace("-", "_")
    setattr(ScenarioTests, f"test_{_name}", _make_test(_scenario))
