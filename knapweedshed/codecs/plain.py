"""Typed messages to plain maps and back, shared by every encoding.

A `NamedTuple` becomes a map of its fields under its class name, so that a reader
of another release drops fields that it does not know and defaults those it lacks.
"""

from enum import Enum

TYPE_KEY = "_"

_registry = {}


class UnknownMessageError(ValueError):
    """A map names a message class that this release does not have."""


def register(*classes):
    """Make `NamedTuple` classes known to the decoder."""
    for cls in classes:
        _registry[cls.__name__] = cls


def to_plain(value):
    """Return `value` as maps, lists and scalars."""
    fields = getattr(value, "_fields", None)
    if fields is not None:
        plain = {name: to_plain(getattr(value, name)) for name in fields}
        plain[TYPE_KEY] = type(value).__name__
        return plain
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [to_plain(item) for item in value]
    return value


def from_plain(plain):
    """Return the typed value; raises UnknownMessageError or TypeError."""
    if isinstance(plain, dict):
        name = plain.get(TYPE_KEY)
        if name is None:
            return {key: from_plain(item) for key, item in plain.items()}
        cls = _registry.get(name)
        if cls is None:
            raise UnknownMessageError(f"unknown message {name!r}")
        known = {
            key: from_plain(item) for key, item in plain.items() if key in cls._fields
        }
        return _with_enums(cls(**known))
    if isinstance(plain, list):
        return tuple(from_plain(item) for item in plain)
    return plain


def _with_enums(value):
    changed = {}
    for name, kind in type(value).__annotations__.items():
        if isinstance(kind, type) and issubclass(kind, Enum):
            changed[name] = kind(getattr(value, name))
    return value._replace(**changed) if changed else value
