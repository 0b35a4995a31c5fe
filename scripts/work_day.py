"""Draws an emulated day of jobs from a scenario file.

A day has the arrivals, the true work of each task, and the workers' true speeds and
faults, which the scheduler doesn't see.
"""

import math
import random
import tomllib
from pathlib import Path
from typing import NamedTuple

from knapweedshed.models.work import Resources, Step, WorkerEntry, WorkJob

SCENARIOS_FOLDER = Path(__file__).resolve().parent / "days"
TASK_WORK_SIGMA = 0.3  # of the log of a task's work within its job, as in the benchmark
STEP_WIDTH_SIGMA = 0.8  # of the log of a step's task count, as in the benchmark
JOB_WORK_SIGMA = 0.4  # of the log of a job's work, as in the benchmark
LONG_JOB_SHARE = 0.03  # users have a few jobs that run many times longer
LONG_JOB_FACTOR = 7.0
MAX_WORTH_FACTOR = 4.0  # the benchmark scores a job at most 4 times its kind
BASE_WORTH_SHARE = 0.3  # of a kind's worth, earned whatever the size of the job


class JobKind(NamedTuple):
    """One kind of job, as in the scenario file.

    `worth` is earned for an end within the objective, `late_worth` for a somewhat later
    one. The objective is `factor` times the critical path plus `objective_ms`.
    `a_second` is the mean rate of arrivals per second; `tasks` and `steps` are means.
    `fails_share` is the share of runs that fail; `estimate_spread` is the deviation of
    the logarithm of run time estimates.
    """

    name: str
    priority: int
    worth: float
    late_worth: float
    a_second: float
    tasks: float
    task_ms: int
    cpu_milli: int
    memory_mb: int
    accelerators: tuple[int, ...]
    factor: float
    objective_ms: int
    most_failures: int
    fails_share: float
    estimate_spread: float
    gang: bool = False
    same_rack_share: float = 0.0
    checkpoint_share: float = 0.0
    steps: float = 1.0


class WorkerFault(NamedTuple):
    """A period in which a share of the workers is slow, hangs or fails started runs.

    Starts at `at_ms` and lasts `for_ms`; the scenario file lists them as `troubles`.
    `factor` multiplies the speed of the slow ones; it is 0 for those that hang.
    """

    kind: str
    at_ms: int
    for_ms: int
    share: float
    factor: float = 0.0


class Burst(NamedTuple):
    """A period in which the kind `name` arrives at `factor` times its rate.

    It starts at `at_ms` and lasts `for_ms`.
    """

    name: str
    at_ms: int
    for_ms: int
    factor: float


class Arrival(NamedTuple):
    """A job with the true work of its tasks and its worth.

    `work_ms` is the work by (step, task), in milliseconds at speed 1.
    `critical_path_ms` is the sum over steps of the longest task's work.
    """

    at_ms: int
    kind: JobKind
    job: WorkJob
    work_ms: dict
    critical_path_ms: float
    worth: float


class SpeedWindow(NamedTuple):
    """A period in which a worker runs at `factor` times its speed, or fails runs."""

    from_ms: int
    to_ms: int
    factor: float
    fails: bool = False


class EmulatedWorker(NamedTuple):
    """A worker with its true speed and its faults."""

    entry: WorkerEntry
    speed: float
    windows: tuple[SpeedWindow, ...]


class Day(NamedTuple):
    """All inputs of one emulated day.

    `guarantees` are accelerators by organisation. `save_ms` is the work between two
    checkpoints of a run, 0 if each stop saves.
    """

    length_ms: int
    workers: tuple[EmulatedWorker, ...]
    arrivals: tuple[Arrival, ...]
    guarantees: dict
    save_ms: int = 0


def load_scenario(name):
    """Return the values of days/`name`.toml; raises OSError or TOMLDecodeError."""
    return tomllib.loads(
        (SCENARIOS_FOLDER / f"{name}.toml").read_text(encoding="utf-8")
    )


def draw_day(scenario, seed, scale=1.0):
    """Return the `Day` that `seed` gives.

    `scale` multiplies the number of workers and the rates of arrivals.
    """
    rng = random.Random(seed)
    workers = _draw_workers(scenario, rng, scale)
    kinds = [
        JobKind(**{**row, "accelerators": tuple(row["accelerators"])})
        for row in scenario["kinds"]
    ]
    bursts = [Burst(**row) for row in scenario.get("bursts", ())]
    count = scenario["organisations"]
    total = len(workers) * scenario["accelerators"]
    guarantee = int(total * scenario["guaranteed_share"] / count)
    guarantees = {f"o{number}": guarantee for number in range(count)}
    arrivals = []
    for kind in kinds:
        for at_ms in _draw_arrival_times(kind, scenario, bursts, rng, scale):
            number = len(arrivals)
            arrivals.append(_draw_job(kind, number, at_ms, guarantees, rng))
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return Day(
        scenario["length_ms"],
        workers,
        tuple(arrivals),
        guarantees,
        scenario.get("save_ms", 0),
    )


def _draw_workers(scenario, rng, scale):
    capacity = Resources(
        scenario["cpu_milli"], scenario["memory_mb"], scenario["accelerators"]
    )
    count = round(scenario["workers"] * scale)
    faults = [WorkerFault(**row) for row in scenario.get("troubles", ())]
    windows = [[] for _ in range(count)]
    for fault in faults:
        for number in rng.sample(range(count), max(1, int(count * fault.share))):
            to_ms = fault.at_ms + fault.for_ms
            fails = fault.kind == "fail"
            factor = 1.0 if fails else fault.factor
            windows[number].append(SpeedWindow(fault.at_ms, to_ms, factor, fails))
    workers = []
    for number in range(count):
        rack = f"r1-{number // scenario['rack_size']}"
        entry = WorkerEntry(
            f"w{number:04}", "service", "", "place", False, capacity, ("a", rack), 1
        )
        speed = rng.choice(scenario["speeds"])
        workers.append(EmulatedWorker(entry, speed, tuple(windows[number])))
    return tuple(workers)


def _draw_arrival_times(kind, scenario, bursts, rng, scale):
    """Yield arrival times of a kind, in milliseconds.

    Thins a Poisson process at the peak rate to one whose rate follows a sine wave, with
    period `wave_ms` and amplitude `swing`, a share of the mean rate.
    """
    phase = rng.random() * 2 * math.pi
    peak_rate = 1 + scenario["swing"]
    for burst in bursts:
        peak_rate = max(peak_rate, burst.factor * (1 + scenario["swing"]))
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(kind.a_second * scale * peak_rate / 1_000)
        if at_ms >= scenario["length_ms"]:
            return
        rate = 1 + scenario["swing"] * math.sin(
            2 * math.pi * at_ms / scenario["wave_ms"] + phase
        )
        for burst in bursts:
            if burst.name == kind.name:
                if burst.at_ms <= at_ms < burst.at_ms + burst.for_ms:
                    rate *= burst.factor
        if rng.random() * peak_rate < rate:
            yield int(at_ms)


def _draw_job(kind, number, at_ms, guarantees, rng):
    job_id = f"{number:016x}"
    mean_task_ms = kind.task_ms * _lognormal_factor(rng, JOB_WORK_SIGMA)
    if rng.random() < LONG_JOB_SHARE:
        mean_task_ms *= LONG_JOB_FACTOR
    estimate_factor = _lognormal_factor(rng, kind.estimate_spread)
    steps, work_ms, critical_path_ms = [], {}, 0.0
    accelerators = rng.choice(kind.accelerators)
    for index in range(_draw_step_count(kind, rng)):
        count = max(1, round(kind.tasks * _lognormal_factor(rng, STEP_WIDTH_SIGMA)))
        # A gang has at most 32 accelerators, other steps 6 times the mean task count.
        count = min(count, 32 // accelerators if kind.gang else int(6 * kind.tasks))
        step = Step(
            count,
            Resources(kind.cpu_milli, kind.memory_mb, accelerators),
            int(mean_task_ms * estimate_factor),
            after=(index - 1,) if index else (),
            gang=kind.gang and count > 1,
            same_rack=kind.gang and rng.random() < kind.same_rack_share,
            checkpoints=rng.random() < kind.checkpoint_share,
        )
        steps.append(step)
        task_times_ms = [
            mean_task_ms * _lognormal_factor(rng, TASK_WORK_SIGMA) for _ in range(count)
        ]
        for task, task_time_ms in enumerate(task_times_ms):
            work_ms[index, task] = task_time_ms
        critical_path_ms += max(task_times_ms)
    job = WorkJob(
        job_id,
        kind.name,
        "service",
        rng.choice(list(guarantees)),
        kind.priority,
        kind.most_failures,
        kind.factor,
        kind.objective_ms,
        "text",
        tuple(steps),
        at_ms,
    )
    mean_work_ms = kind.tasks * kind.task_ms * kind.steps
    relative_size = sum(work_ms.values()) / mean_work_ms
    worth = kind.worth * min(
        MAX_WORTH_FACTOR, BASE_WORTH_SHARE + (1 - BASE_WORTH_SHARE) * relative_size
    )
    return Arrival(at_ms, kind, job, work_ms, critical_path_ms, worth)


def _draw_step_count(kind, rng):
    """Return a random whole number with mean `kind.steps`."""
    whole_steps = int(kind.steps)
    return whole_steps + (rng.random() < kind.steps - whole_steps)


def _lognormal_factor(rng, sigma):
    """Return a lognormal factor with mean 1."""
    return math.exp(rng.gauss(-sigma * sigma / 2, sigma))
