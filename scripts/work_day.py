"""A day of whole jobs drawn from a scenario file: arrivals, truths, worker speeds."""

import math
import random
import tomllib
from pathlib import Path
from typing import NamedTuple

from knapweedshed.models.work import Resources, Step, WorkerEntry, WorkJob

FOLDER = Path(__file__).resolve().parent / "days"
UNEVEN_SPREAD = 0.3  # of the logarithm of the tasks' work within a job: sheets
WIDTH_SPREAD = 0.8  # of the logarithm of a step's width: sheets
WORK_SPREAD = 0.4  # of the logarithm of a job's work: sheets
LONG_SHARE = 0.03  # a few jobs run many times longer than the rest: brief
LONG_FACTOR = 7.0
MOST_WORTH = 4.0  # a job counts at most four times its kind's worth: rules page
LEAST_WORTH = 0.3


class Kind(NamedTuple):
    """One kind of request; times in milliseconds, the rest as the scenario says."""

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


class Trouble(NamedTuple):
    """Workers that are slow, hang or fail what they start, for a while."""

    kind: str
    at_ms: int
    for_ms: int
    share: float
    factor: float = 0.0


class Burst(NamedTuple):
    """More of a kind for a while."""

    name: str
    at_ms: int
    for_ms: int
    factor: float


class Arrival(NamedTuple):
    """A job, what each of its tasks truly takes, and what it is worth."""

    at_ms: int
    kind: Kind
    job: WorkJob
    work_ms: dict
    chain_ms: float
    worth: float


class Window(NamedTuple):
    """A span in which a worker works at `factor` of its speed, or fails."""

    from_ms: int
    to_ms: int
    factor: float
    fails: bool = False


class DayWorker(NamedTuple):
    """A worker with its true speed and its troubles."""

    entry: WorkerEntry
    speed: float
    windows: tuple[Window, ...]


class Day(NamedTuple):
    """All that happens; the scheduler is not part of it."""

    length_ms: int
    workers: tuple[DayWorker, ...]
    arrivals: tuple[Arrival, ...]
    guaranteed: dict


def scenario(name):
    """Return the plain values of a scenario file."""
    return tomllib.loads((FOLDER / f"{name}.toml").read_text(encoding="utf-8"))


def draw_day(plain, seed, scale=1.0):
    """Return the `Day` of a scenario by `seed`, with `scale` times all sizes."""
    chance = random.Random(seed)
    workers = _draw_workers(plain, chance, scale)
    kinds = [
        Kind(**{**row, "accelerators": tuple(row["accelerators"])})
        for row in plain["kinds"]
    ]
    bursts = [Burst(**row) for row in plain.get("bursts", ())]
    count = plain["organisations"]
    total = len(workers) * plain["accelerators"]
    each = int(total * plain["guaranteed_share"] / count)
    guaranteed = {f"o{number}": each for number in range(count)}
    arrivals = []
    for kind in kinds:
        for at_ms in _times(kind, plain, bursts, chance, scale):
            number = len(arrivals)
            arrivals.append(_draw_job(kind, number, at_ms, guaranteed, chance))
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return Day(plain["length_ms"], workers, tuple(arrivals), guaranteed)


def _draw_workers(plain, chance, scale):
    capacity = Resources(plain["cpu_milli"], plain["memory_mb"], plain["accelerators"])
    count = round(plain["workers"] * scale)
    troubles = [Trouble(**row) for row in plain.get("troubles", ())]
    windows = [[] for _ in range(count)]
    for trouble in troubles:
        for number in chance.sample(range(count), max(1, int(count * trouble.share))):
            to_ms = trouble.at_ms + trouble.for_ms
            fails = trouble.kind == "fail"
            factor = 1.0 if fails else trouble.factor
            windows[number].append(Window(trouble.at_ms, to_ms, factor, fails))
    workers = []
    for number in range(count):
        rack = f"r1-{number // plain['rack_size']}"
        entry = WorkerEntry(
            f"w{number:04}", "service", "", "place", False, capacity, ("a", rack), 1
        )
        speed = chance.choice(plain["speeds"])
        workers.append(DayWorker(entry, speed, tuple(windows[number])))
    return tuple(workers)


def _times(kind, plain, bursts, chance, scale):
    """Return the arrivals of a kind: a Poisson process that swings in waves."""
    phase = chance.random() * 2 * math.pi
    most = 1 + plain["swing"]
    for burst in bursts:
        most = max(most, burst.factor * (1 + plain["swing"]))
    at_ms = 0.0
    while True:
        at_ms += chance.expovariate(kind.a_second * scale * most / 1_000)
        if at_ms >= plain["length_ms"]:
            return
        rate = 1 + plain["swing"] * math.sin(
            2 * math.pi * at_ms / plain["wave_ms"] + phase
        )
        for burst in bursts:
            if burst.name == kind.name:
                if burst.at_ms <= at_ms < burst.at_ms + burst.for_ms:
                    rate *= burst.factor
        if chance.random() * most < rate:
            yield int(at_ms)


def _draw_job(kind, number, at_ms, guaranteed, chance):
    job_id = f"{number:016x}"
    base_ms = kind.task_ms * _spread(chance, WORK_SPREAD)
    if chance.random() < LONG_SHARE:
        base_ms *= LONG_FACTOR
    wrong = _spread(chance, kind.estimate_spread)
    steps, work_ms, chain_ms = [], {}, 0.0
    accelerators = chance.choice(kind.accelerators)
    for index in range(_step_count(kind, chance)):
        count = max(1, round(kind.tasks * _spread(chance, WIDTH_SPREAD)))
        count = min(count, 32 // accelerators if kind.gang else int(6 * kind.tasks))
        step = Step(
            count,
            Resources(kind.cpu_milli, kind.memory_mb, accelerators),
            int(base_ms * wrong),
            after=(index - 1,) if index else (),
            gang=kind.gang and count > 1,
            same_rack=kind.gang and chance.random() < kind.same_rack_share,
            checkpoints=chance.random() < kind.checkpoint_share,
        )
        steps.append(step)
        parts = [base_ms * _spread(chance, UNEVEN_SPREAD) for _ in range(count)]
        for task, part in enumerate(parts):
            work_ms[index, task] = part
        chain_ms += max(parts)
    job = WorkJob(
        job_id,
        kind.name,
        "service",
        chance.choice(list(guaranteed)),
        kind.priority,
        kind.most_failures,
        kind.factor,
        kind.objective_ms,
        "text",
        tuple(steps),
        at_ms,
    )
    mean = kind.tasks * kind.task_ms * kind.steps
    size = sum(work_ms.values()) / mean
    worth = kind.worth * min(MOST_WORTH, LEAST_WORTH + (1 - LEAST_WORTH) * size)
    return Arrival(at_ms, kind, job, work_ms, chain_ms, worth)


def _step_count(kind, chance):
    """Return a whole number of mean `kind.steps`, 1 at least."""
    whole = int(kind.steps)
    return whole + (chance.random() < kind.steps - whole)


def _spread(chance, sigma):
    """Return a factor of mean 1, lognormal."""
    return math.exp(chance.gauss(-sigma * sigma / 2, sigma))
