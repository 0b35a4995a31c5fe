"""Interface to what reviews a configuration file of one kind."""

from abc import ABC, abstractmethod
from typing import Any, NamedTuple


class ReviewInput(NamedTuple):
    """Decoded files of a review; `in_force` and `workers` are None if not given."""

    content: Any
    in_force: Any = None
    workers: Any = None


class ConfigurationReviewer(ABC):
    """Decodes one kind of configuration and reviews it."""

    @abstractmethod
    def review(self, files):
        """Return the `Finding`s on a `ReviewInput`, as a tuple.

        Faults of the configuration are findings. Raises ValueError if the version in
        force or the list of workers can't be decoded.
        """

    @abstractmethod
    def format_place(self, place):
        """Return the place of a finding with the names of the file."""


_reviewers: dict[str, Any] = {}


def register_reviewer(kind, factory):
    """Register a factory of reviewers under a kind of configuration."""
    _reviewers[kind] = factory


def create_reviewer(kind):
    """Return the reviewer of a kind; raises ValueError if there is none."""
    factory = _reviewers.get(kind)
    if factory is None:
        known = ", ".join(sorted(_reviewers))
        raise ValueError(f"--kind {kind!r}: expected one of {known}")
    return factory()
