"""Findings of a review, and the checks that all configurations share."""

from enum import StrEnum
from typing import NamedTuple


class Severity(StrEnum):
    """How a finding counts.

    An error must be mended before publication, a warning is a part without effect or an
    unusual one, a difference is a change from the version in force.
    """

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"


class Finding(NamedTuple):
    """One result of a review.

    `place` has the names and indexes that lead to the value in the configuration.
    """

    severity: Severity
    place: tuple[str | int, ...]
    message: str


def error(place, message):
    """Return a `Finding` that must be mended."""
    return Finding(Severity.ERROR, place, message)


def warning(place, message):
    """Return a `Finding` to look at."""
    return Finding(Severity.WARNING, place, message)


def difference(place, message):
    """Return a `Finding` on a change from the version in force."""
    return Finding(Severity.DIFFERENCE, place, message)


def format_place(place, names=None):
    """Return a place like `services[2].shape`.

    `names` maps names of the model to those of the file; others stay as they are.
    """
    names = names or {}
    text = ""
    for part in place:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += ("." if text else "") + names.get(part, part)
    return text


def find_repeats(items):
    """Yield (place, first place, value) of each value that an earlier item has.

    `items` are (place, value) pairs.
    """
    first_places = {}
    for place, value in items:
        if value in first_places:
            yield place, first_places[value], value
        else:
            first_places[value] = place
