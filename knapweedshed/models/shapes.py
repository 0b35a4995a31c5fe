"""Shapes: how many accelerators a job needs, and how close together."""

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
    def total_accelerators(self):
        """The number of accelerators of all members together."""
        return self.members * self.accelerators


class Placement(NamedTuple):
    """The place of one member: indexes of accelerators in one worker."""

    worker: str
    accelerators: tuple[int, ...]
