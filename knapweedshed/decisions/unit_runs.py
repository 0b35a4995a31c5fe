"""A unit that is somewhere, and the time limits that bound where it may be."""

from typing import NamedTuple

from knapweedshed.models.work import Unit


class Bounds(NamedTuple):
    """Time limits of the workers' platform, in milliseconds."""

    lease_ms: int = 6_000
    term_ms: int = 10_000
    early_ms: int = 250


class UnitRun(NamedTuple):
    """A unit that is somewhere; `where` maps its tasks to worker ids.

    `workers` are those it was launched at. `over` says that the run has failed or was
    stopped, and only has to clear; `taken_up` that a predecessor started it.
    """

    unit: Unit
    run: int
    where: dict
    over: bool
    started_ms: int
    launched: bool
    workers: tuple[str, ...] = ()
    taken_up: bool = False
