"""Converts typed messages to plain maps and back; shared by all encodings.

A `NamedTuple` becomes a map of its fields and its class name, so that a reader of
another release can ignore unknown fields and use defaults for missing ones.
"""

from enum import Enum

TYPE_KEY = "_"

_classes_by_name = {}


class UnknownMessageError(ValueError):
    """A map names a message type that this release does not have."""


def register(*classes):
    """Register `NamedTuple` classes with the decoder, by class name."""
    for message_class in classes:
        _classes_by_name[message_class.__name__] = message_class


def to_plain(value):
    """Return `value` converted to maps, lists and scalars."""
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
    """Return the typed value of plain maps, lists and scalars.

    Raises UnknownMessageError, TypeError if a required field is missing, or ValueError
    if an enum has no such value.
    """
    if isinstance(plain, dict):
        name = plain.get(TYPE_KEY)
        if name is None:
            return {key: from_plain(item) for key, item in plain.items()}
        message_class = _classes_by_name.get(name)
        if message_class is None:
            raise UnknownMessageError(f"unknown message {name!r}")
        known_fields = {
            key: from_plain(item)
            for key, item in plain.items()
            if key in message_class._fields
        }
        return _restore_enums(message_class(**known_fields))
    if isinstance(plain, list):
        return tuple(from_plain(item) for item in plain)
    return plain


def _restore_enums(value):
    changed = {}
    for name, annotation in type(value).__annotations__.items():
        if isinstance(annotation, type) and issubclass(annotation, Enum):
            changed[name] = annotation(getattr(value, name))
    return value._replace(**changed) if changed else value
