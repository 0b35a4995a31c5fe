"""Differences of an entry from the organisations in force."""

from knapweedshed.decisions.configuration_review.findings import difference

_ORGANISATION_EFFECTS = {
    "share": "its turns in short work change",
    "max_waiting": "submissions beyond it are refused",
    "quota_accelerators": "jobs started from then on stay within it (0: no quota)",
}
_SERVICE_EFFECTS = {
    "kind": "work submitted from then on runs there",
    "program": "work submitted from then on runs it",
    "urgency": "work submitted from then on ranks by it",
    "idempotent": "it says whether work may run again",
    "can_checkpoint": "it says whether jobs go on from a checkpoint",
    "shape": "jobs submitted from then on need it",
    "declared_run_ms": "plans expect it",
    "deadline_ms": "work submitted from then on waits that long",
}


def entry_differences(changed, in_force):
    """Return the `Finding`s on what changes for whom, as a tuple.

    `changed` maps names to an `Organisation`, or to None if it is removed.
    """
    earlier = {organisation.name: organisation for organisation in in_force}
    findings = []
    for name, organisation in sorted(changed.items()):
        place, before = ("parts", name), earlier.get(name)
        if organisation is None and before is not None:
            message = f"organisation {name!r} is removed: its callers lose access"
            findings.append(difference(place, message))
        elif organisation is not None and before is None:
            message = f"organisation {name!r} is new: its callers get access"
            findings.append(difference(place, message))
        elif organisation is not None:
            findings += _organisation_differences(place, before, organisation)
    return tuple(findings)


def _organisation_differences(place, before, after):
    for field, effect in _ORGANISATION_EFFECTS.items():
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            yield difference(
                (*place, field), f"{after.name!r}: {old} -> {new}: {effect}"
            )
    yield from _guarantee_differences(place, before, after)
    earlier = {service.name: service for service in before.services}
    for index, service in enumerate(after.services):
        service_place = (*place, "services", index)
        if service.name not in earlier:
            yield difference(
                service_place,
                f"service {service.name!r} is new: {after.name!r} can submit to it",
            )
        else:
            yield from _service_differences(
                service_place, earlier[service.name], service
            )
    names = {service.name for service in after.services}
    for name in sorted(set(earlier) - names):
        yield difference(
            (*place, "services"),
            f"service {name!r} is gone: {after.name!r} can't submit to it any more",
        )


def _guarantee_differences(place, before, after):
    old, new = _accelerators_by_centre(before), _accelerators_by_centre(after)
    changed = [c for c in sorted(old | new) if old.get(c, 0) != new.get(c, 0)]
    for centre in changed:
        yield difference(
            (*place, "guarantees"),
            f"guarantee of {after.name!r} in {centre}: {old.get(centre, 0)} ->"
            f" {new.get(centre, 0)} accelerators",
        )
    if not changed and sorted(before.guarantees) != sorted(after.guarantees):
        yield difference(
            (*place, "guarantees"),
            f"guarantee of {after.name!r}: other shapes of as many accelerators",
        )


def _accelerators_by_centre(organisation):
    totals = {}
    for centre, shape, count in organisation.guarantees:
        totals[centre] = totals.get(centre, 0) + shape.total_accelerators * count
    return totals


def _service_differences(place, before, after):
    for field, effect in _SERVICE_EFFECTS.items():
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            yield difference(
                (*place, field),
                f"service {after.name!r}: {_text(old)} -> {_text(new)}: {effect}",
            )


def _text(value):
    if not hasattr(value, "total_accelerators"):
        return f"{value}"
    return f"{value.members} x {value.accelerators} ({value.adjacency})"
