"""Parsing and validation of the configuration maps that operators publish."""

from knapweedshed.models.configuration import (
    Organisation,
    Service,
    ServiceKind,
    Urgency,
)
from knapweedshed.models.shapes import Adjacency, Shape

MAX_GANG_MEMBERS = 128
MAX_ACCELERATORS_PER_MEMBER = 64


class EntryError(ValueError):
    """An invalid configuration entry; the message names the field."""


def parse_organisation(name, part):
    """Parse a map into an `Organisation`; raises EntryError if it is invalid."""
    part = _require_map(part, "organisation")
    _reject_unknown_fields(
        part,
        "organisation",
        ("data_centres", "guarantees", "share", "max_waiting")
        + ("quota_accelerators", "services"),
    )
    data_centres = part.get("data_centres")
    if (
        not isinstance(data_centres, list)
        or not data_centres
        or not all(map(_is_name, data_centres))
    ):
        raise EntryError("data_centres: expected a list of names")
    guarantees = tuple(
        _parse_guarantee(item, index, data_centres)
        for index, item in enumerate(_list_field(part, "guarantees"))
    )
    services = tuple(_parse_service(item) for item in _list_field(part, "services"))
    names = [service.name for service in services]
    if len(set(names)) != len(names):
        raise EntryError("services: two have the same name")
    return Organisation(
        name,
        tuple(data_centres),
        guarantees,
        _integer_field(part, "share", 1, minimum=1),
        _integer_field(part, "max_waiting", 10_000, minimum=1),
        _integer_field(part, "quota_accelerators", 0),
        services,
    )


def parse_shape(mapping, where):
    """Parse a map into a `Shape`; raises EntryError if it is invalid.

    `where` names the map in error messages.
    """
    mapping = _require_map(mapping, where)
    _reject_unknown_fields(mapping, where, ("members", "accelerators", "adjacency"))
    members = _integer_field(
        mapping, "members", 1, minimum=1, maximum=MAX_GANG_MEMBERS, where=where
    )
    accelerators = _integer_field(
        mapping,
        "accelerators",
        1,
        minimum=1,
        maximum=MAX_ACCELERATORS_PER_MEMBER,
        where=where,
    )
    adjacency = _enum_field(mapping, "adjacency", Adjacency, Adjacency.ANY, where)
    return Shape(members, accelerators, adjacency)


def _parse_guarantee(item, index, data_centres):
    where = f"guarantees[{index}]"
    item = _require_map(item, where)
    _reject_unknown_fields(item, where, ("data_centre", "shape", "count"))
    data_centre = item.get("data_centre")
    if data_centre not in data_centres:
        raise EntryError(f"{where}: data centre {data_centre!r} is not one of its own")
    shape = parse_shape(item.get("shape"), f"{where}.shape")
    return data_centre, shape, _integer_field(item, "count", 1, minimum=1, where=where)


def _parse_service(item):
    item = _require_map(item, "services")
    name = item.get("name")
    if not _is_name(name):
        raise EntryError(f"services: {name!r} is not a name")
    where = f"service {name!r}"
    _reject_unknown_fields(
        item,
        where,
        ("name", "kind", "program", "urgency", "idempotent", "can_checkpoint")
        + ("shape", "declared_run_ms", "deadline_ms"),
    )
    kind = _enum_field(item, "kind", ServiceKind, ServiceKind.WORKER, where)
    idempotent = _boolean_field(item, "idempotent", True, where)
    if kind == ServiceKind.RUNNER and not idempotent:
        raise EntryError(f"{where}: non-idempotent work can't go to runners")
    program = item.get("program")
    if not _is_name(program):
        raise EntryError(f"{where}: program {program!r} is not a name")
    return Service(
        name,
        kind,
        program,
        _enum_field(item, "urgency", Urgency, Urgency.NORMAL, where),
        idempotent,
        _boolean_field(item, "can_checkpoint", False, where),
        parse_shape(item.get("shape", {}), f"{where}.shape"),
        _integer_field(item, "declared_run_ms", 60_000, minimum=1, where=where),
        _integer_field(item, "deadline_ms", 86_400_000, minimum=1, where=where),
    )


def _is_name(value):
    """Return whether a value is 1 to 64 letters, digits, dashes and underscores."""
    if not isinstance(value, str) or not value or len(value) > 64:
        return False
    return all(char.isalnum() or char in "-_" for char in value)


def _require_map(value, where):
    if not isinstance(value, dict):
        raise EntryError(f"{where}: expected a map")
    return value


def _list_field(part, name):
    value = part.get(name, [])
    if not isinstance(value, list):
        raise EntryError(f"{name}: expected a list")
    return value


def _reject_unknown_fields(mapping, where, names):
    unknown = sorted(set(mapping) - set(names))
    if unknown:
        raise EntryError(f"{where}: unknown field {unknown[0]!r}")


def _integer_field(mapping, name, default, minimum=0, maximum=10**12, where=""):
    value = mapping.get(name, default)
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not minimum <= value <= maximum:
        prefix = f"{where}: " if where else ""
        raise EntryError(
            f"{prefix}{name}: expected a whole number of {minimum} or more"
        )
    return value


def _boolean_field(mapping, name, default, where):
    value = mapping.get(name, default)
    if not isinstance(value, bool):
        raise EntryError(f"{where}: {name}: expected true or false")
    return value


def _enum_field(mapping, name, enum_type, default, where):
    value = mapping.get(name, default)
    try:
        return enum_type(value)
    except ValueError as error:
        known = ", ".join(kind.value for kind in enum_type)
        raise EntryError(f"{where}: {name}: expected one of {known}") from error
