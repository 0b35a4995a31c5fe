"""Reads the plain maps that operators publish into typed organisations."""

from knapweedshed.models.configuration import (
    Organisation,
    Service,
    ServiceKind,
    Urgency,
)
from knapweedshed.models.shapes import Adjacency, Shape

MOST_MEMBERS = 128
MOST_ADJACENT = 64


class EntryError(ValueError):
    """An entry that can't be accepted; the text names the field."""


def parse_organisation(name, part):
    """Return the `Organisation` in a plain map; raises EntryError."""
    part = _map(part, "organisation")
    _only(
        part,
        "organisation",
        ("data_centres", "guarantees", "share", "max_waiting")
        + ("quota_accelerators", "services"),
    )
    places = part.get("data_centres")
    if not isinstance(places, list) or not places or not all(map(_is_name, places)):
        raise EntryError("data_centres: expected a list of names")
    guarantees = tuple(
        _guarantee(item, index, places)
        for index, item in enumerate(_list(part, "guarantees"))
    )
    services = tuple(_service(item) for item in _list(part, "services"))
    names = [service.name for service in services]
    if len(set(names)) != len(names):
        raise EntryError("services: two have the same name")
    return Organisation(
        name,
        tuple(places),
        guarantees,
        _count(part, "share", 1, least=1),
        _count(part, "max_waiting", 10_000, least=1),
        _count(part, "quota_accelerators", 0),
        services,
    )


def parse_shape(plain, where):
    """Return the `Shape` in a plain map; raises EntryError."""
    plain = _map(plain, where)
    _only(plain, where, ("members", "accelerators", "adjacency"))
    members = _count(plain, "members", 1, least=1, most=MOST_MEMBERS, where=where)
    accelerators = _count(
        plain, "accelerators", 1, least=1, most=MOST_ADJACENT, where=where
    )
    adjacency = _choice(plain, "adjacency", Adjacency, Adjacency.ANY, where)
    return Shape(members, accelerators, adjacency)


def _guarantee(item, index, places):
    where = f"guarantees[{index}]"
    item = _map(item, where)
    _only(item, where, ("data_centre", "shape", "count"))
    place = item.get("data_centre")
    if place not in places:
        raise EntryError(f"{where}: data centre {place!r} is not one of its own")
    shape = parse_shape(item.get("shape"), f"{where}.shape")
    return place, shape, _count(item, "count", 1, least=1, where=where)


def _service(item):
    item = _map(item, "services")
    name = item.get("name")
    if not _is_name(name):
        raise EntryError(f"services: {name!r} is not a name")
    where = f"service {name!r}"
    _only(
        item,
        where,
        ("name", "kind", "program", "urgency", "idempotent", "can_checkpoint")
        + ("shape", "declared_run_ms", "deadline_ms"),
    )
    kind = _choice(item, "kind", ServiceKind, ServiceKind.WORKER, where)
    idempotent = _flag(item, "idempotent", True, where)
    if kind == ServiceKind.RUNNER and not idempotent:
        raise EntryError(f"{where}: non-idempotent work can't go to runners")
    program = item.get("program")
    if not _is_name(program):
        raise EntryError(f"{where}: program {program!r} is not a name")
    return Service(
        name,
        kind,
        program,
        _choice(item, "urgency", Urgency, Urgency.NORMAL, where),
        idempotent,
        _flag(item, "can_checkpoint", False, where),
        parse_shape(item.get("shape", {}), f"{where}.shape"),
        _count(item, "declared_run_ms", 60_000, least=1, where=where),
        _count(item, "deadline_ms", 86_400_000, least=1, where=where),
    )


def _is_name(value):
    if not isinstance(value, str) or not value or len(value) > 64:
        return False
    return all(char.isalnum() or char in "-_" for char in value)


def _map(value, where):
    if not isinstance(value, dict):
        raise EntryError(f"{where}: expected a map")
    return value


def _list(part, name):
    value = part.get(name, [])
    if not isinstance(value, list):
        raise EntryError(f"{name}: expected a list")
    return value


def _only(plain, where, names):
    unknown = sorted(set(plain) - set(names))
    if unknown:
        raise EntryError(f"{where}: unknown field {unknown[0]!r}")


def _count(plain, name, default, least=0, most=10**12, where=""):
    value = plain.get(name, default)
    whole = isinstance(value, int) and not isinstance(value, bool)
    if not whole or not least <= value <= most:
        prefix = f"{where}: " if where else ""
        raise EntryError(f"{prefix}{name}: expected a whole number of {least} or more")
    return value


def _flag(plain, name, default, where):
    value = plain.get(name, default)
    if not isinstance(value, bool):
        raise EntryError(f"{where}: {name}: expected true or false")
    return value


def _choice(plain, name, kinds, default, where):
    value = plain.get(name, default)
    try:
        return kinds(value)
    except ValueError as error:
        known = ", ".join(kind.value for kind in kinds)
        raise EntryError(f"{where}: {name}: expected one of {known}") from error
