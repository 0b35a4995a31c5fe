"""Review of an entry of the product's own configuration."""

from typing import NamedTuple

from knapweedshed.decisions.cells import cell_size
from knapweedshed.decisions.configuration_review.findings import (
    error,
    find_repeats,
    warning,
)
from knapweedshed.decisions.feasibility import check_guarantees
from knapweedshed.decisions.guarantees import consume, full_entitlement
from knapweedshed.decisions.operator_entries import EntryError, parse_organisation
from knapweedshed.models.configuration import (
    SCHEMA_VERSION,
    Organisation,
    ServiceKind,
)
from knapweedshed.models.shapes import Adjacency

_LIST_FIELDS = ("guarantees", "services")


class WorkerSize(NamedTuple):
    """Where a worker is, and how many accelerators it has."""

    data_centre: str
    rack: str
    accelerators: int


class OwnReviewContext(NamedTuple):
    """What an entry is compared with; None for what is not known."""

    in_force: tuple[Organisation, ...] | None = None
    workers: tuple[WorkerSize, ...] | None = None


def review_entry(entry, context):
    """Return ({name: `Organisation` or None if removed}, `Finding`s on faults).

    The map has only organisations without errors.
    """
    if not isinstance(entry, dict) or not isinstance(entry.get("parts"), dict):
        return {}, (error(("parts",), "expected a map of organisations"),)
    changed, findings = {}, list(_review_head(entry))
    for name, part in sorted(entry["parts"].items()):
        place = ("parts", name)
        faults = [] if part is None else list(_review_part(name, part, place))
        findings += faults
        if faults:
            continue
        changed[name] = None if part is None else parse_organisation(name, part)
        findings += _review_change(name, changed[name], place, context)
    return changed, (*findings, *_review_capacity(changed, context))


def _review_head(entry):
    """Yield findings on the fields beside the parts."""
    schema = entry.get("schema")
    if schema != SCHEMA_VERSION:
        message = f"expected {SCHEMA_VERSION}, got {schema!r}: all readers would stop"
        yield error(("schema",), message)
    if not entry["parts"]:
        yield error(("parts",), "the entry changes no organisation")
    base = entry.get("base")
    if base is None:  # `config print` adds it
        return
    if not isinstance(base, dict):
        yield error(("base",), "expected a map of versions")
        return
    for name in sorted(set(entry["parts"]) - set(base)):
        yield error(("base", name), "missing: the version that the part is based on")


def _review_part(name, part, place):
    """Yield an error for each invalid field, and each invalid item of a list."""
    if not isinstance(part, dict):
        yield error(place, "expected a map, or null to remove the organisation")
        return
    data_centres = {"data_centres": part.get("data_centres")}
    fault = _parse_fault(name, data_centres)
    if fault:
        yield error((*place, "data_centres"), fault)
        return
    for field, value in part.items():
        if field in _LIST_FIELDS and isinstance(value, list):
            items = [((*place, field, i), [item]) for i, item in enumerate(value)]
        else:
            items = [((*place, field), value)]
        for item_place, item in items:
            fault = _parse_fault(name, {**data_centres, field: item})
            if fault:
                yield error(item_place, fault)
    services = part.get("services", [])
    if isinstance(services, list):
        names = [
            ((*place, "services", i, "name"), item.get("name"))
            for i, item in enumerate(services)
            if isinstance(item, dict) and isinstance(item.get("name"), str)
        ]
        for repeat, first, service in find_repeats(names):
            yield error(repeat, f"{service!r} is also the name of number {first[3]}")


def _parse_fault(name, part):
    """Return why a part is invalid, or ""."""
    try:
        parse_organisation(name, part)
    except (EntryError, TypeError) as caught:  # a list where a name is expected
        return str(caught)
    return ""


def _review_change(name, organisation, place, context):
    """Yield findings on a valid part beside the version in force."""
    in_force = {o.name: o for o in context.in_force or ()}
    previous = in_force.get(name)
    if organisation is None:
        if context.in_force is not None and previous is None:
            yield warning(place, f"organisation {name!r} is removed, but not in force")
        return
    if previous is not None and previous.data_centres != organisation.data_centres:
        message = "can't be edited: keys have their homes there"
        yield error((*place, "data_centres"), message)
    yield from _review_guarantees(organisation, place)
    for index, service in enumerate(organisation.services):
        service_place = (*place, "services", index)
        if service.declared_run_ms > service.deadline_ms:
            yield warning(
                (*service_place, "deadline_ms"),
                f"{service.deadline_ms} ms to wait are below the run time of"
                f" {service.declared_run_ms} ms",
            )
        if service.kind != ServiceKind.WORKER:
            continue
        total = service.shape.total_accelerators
        quota = organisation.quota_accelerators
        if 0 < quota < total:
            yield error(
                (*service_place, "shape"),
                f"{total} accelerators are above the organisation's quota of {quota}",
            )
        if context.workers is not None and not _has_room(
            organisation, service.shape, context.workers
        ):
            yield warning(
                (*service_place, "shape"),
                "no data centre of the organisation has workers for it",
            )


def _review_guarantees(organisation, place):
    """Yield a warning for each data centre whose guarantee covers no service."""
    shapes = {
        service.shape
        for service in organisation.services
        if service.kind == ServiceKind.WORKER
    }
    for centre in sorted({centre for centre, _, _ in organisation.guarantees}):
        entitlement = full_entitlement(organisation, centre)
        if all(consume(entitlement, shape) is None for shape in shapes):
            yield warning(
                (*place, "guarantees"),
                f"the guarantee in {centre} covers no service's default shape",
            )


def _review_capacity(changed, context):
    """Yield errors for guarantees that don't fit beside those in force."""
    if context.workers is None:
        return
    in_force = {o.name: o for o in context.in_force or ()}
    organisations = [o for o in {**in_force, **changed}.values() if o is not None]
    organisations.sort(key=lambda o: o.name)
    centres = {centre for o in organisations for centre, _, _ in o.guarantees}
    for centre in sorted(centres):
        sizes = [(w.rack, w.accelerators) for w in _at(centre, context.workers)]
        reason = check_guarantees(organisations, centre, sizes)
        if reason:
            yield error(("parts",), reason)


def _has_room(organisation, shape, workers):
    """Return whether a gang fits on the empty workers of one data centre."""
    for centre in organisation.data_centres:
        racks = {}
        for worker in _at(centre, workers):
            rack = worker.rack if shape.adjacency == Adjacency.RACK else ""
            members = worker.accelerators // cell_size(shape.accelerators)
            racks[rack] = racks.get(rack, 0) + members
        if any(members >= shape.members for members in racks.values()):
            return True
    return False


def _at(data_centre, workers):
    return [worker for worker in workers if worker.data_centre == data_centre]
