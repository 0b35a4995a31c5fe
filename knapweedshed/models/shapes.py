"""Accelerator shapes: how many, and how close together."""

from enum import StrEnum
from typing import NamedTuple


class Adjacency(StrEnum):
    """How close the members of a gang must be to each other."""

    ANY = "any"
    RACK = "rack"


class Shape(NamedTuple):
    """A gang of `members`, each with adjacent `accelerators` in one worker."""

    members: int = 1
    accelerators: int = 1
    adjacency: Adjacency = Adjacency.ANY

    @property
    def total(self):
        """Accelerators that the whole shape takes."""
        return self.members * self.accelerators


class Placement(NamedTuple):
    """One member's place: accelerator indexes in one worker."""

    worker: str
    accelerators: tuple[int, ...]
