"""Differences of a configuration of queues and organisations from the one in force."""

from knapweedshed.decisions.configuration_review.findings import difference

_QUEUE_EFFECTS = {  # field: what a change of it takes effect on
    "priority": "jobs submitted from then on rank by it",
    "max_failures": "jobs submitted from then on may fail that often",
    "objective_factor": "jobs submitted from then on are due by it",
    "objective_ms": "jobs submitted from then on are due by it",
}
_LIMIT_EFFECTS = {
    "max_body_bytes": "larger bodies of any caller are rejected",
    "header_timeout_ms": "it applies to the connections of all callers",
    "idle_timeout_ms": "it applies to the connections of all callers",
}


def service_differences(reviewed, in_force):
    """Return the `Finding`s on what changes for whom, as a tuple."""
    return (
        *_organisation_differences(reviewed, in_force),
        *_queue_differences(reviewed, in_force),
        *_service_set_differences(reviewed, in_force),
        *_limit_differences(reviewed, in_force),
    )


def _organisation_differences(reviewed, in_force):
    earlier = {o.name: o for _, o in in_force.organisations}
    names = {o.name for _, o in reviewed.organisations}
    for index, organisation in reviewed.organisations:
        name, place = organisation.name, ("organisations", index)
        if name not in earlier:
            yield difference(
                place,
                f"organisation {name!r} is new: it gets access with"
                f" {_count(organisation.api_keys, 'key')} and a guarantee of"
                f" {organisation.guaranteed_accelerators} accelerators",
            )
            continue
        yield from _key_differences(place, earlier[name], organisation)
        before = earlier[name].guaranteed_accelerators
        after = organisation.guaranteed_accelerators
        if before != after:
            yield difference(
                (*place, "guaranteed_accelerators"),
                f"guarantee of {name!r}: {before} -> {after} accelerators, for its"
                " urgent work from then on",
            )
    for name, organisation in earlier.items():
        if name not in names:
            yield difference(
                ("organisations",),
                f"organisation {name!r} is gone:"
                f" {_count(organisation.api_keys, 'key')} and a guarantee of"
                f" {organisation.guaranteed_accelerators} accelerators end; callers"
                " with its keys lose access to queues that aren't public",
            )


def _key_differences(place, before, after):
    removed = set(before.api_keys) - set(after.api_keys)
    added = set(after.api_keys) - set(before.api_keys)
    if removed:
        yield difference(
            (*place, "api_keys"),
            f"{_count(removed, 'key')} of {after.name!r} removed: callers with them no"
            " longer count for it, and without another organisation lose access to"
            " queues that aren't public",
        )
    if added:
        yield difference(
            (*place, "api_keys"),
            f"{_count(added, 'key')} of {after.name!r} added: callers with them get"
            " access",
        )


def _queue_differences(reviewed, in_force):
    earlier = {queue.name: queue for _, queue in in_force.queues}
    names = {queue.name for _, queue in reviewed.queues}
    for index, queue in reviewed.queues:
        place = ("queues", index)
        if queue.name not in earlier:
            yield difference(
                place,
                f"queue {queue.name!r} is new: calls to {_address(queue)} go to service"
                f" {queue.service!r}",
            )
        else:
            yield from _changed_fields(place, earlier[queue.name], queue)
    for name, queue in earlier.items():
        if name not in names:
            yield difference(
                ("queues",),
                f"queue {name!r} is gone: callers of {_address(queue)} lose access,"
                " unless another queue matches",
            )


def _changed_fields(place, before, after):
    name = after.name
    if _address(before) != _address(after):
        yield difference(
            (*place, "path_prefix"),
            f"queue {name!r} moves from {_address(before)} to {_address(after)}:"
            " callers of the former lose access, unless another queue matches",
        )
    if before.service != after.service:
        yield difference(
            (*place, "service"),
            f"queue {name!r} goes from service {before.service!r} to"
            f" {after.service!r}: jobs submitted from then on; earlier ones stay",
        )
    if before.public != after.public:
        effect = "get access" if after.public else "lose access"
        yield difference(
            (*place, "public"), f"queue {name!r}: callers without a key {effect}"
        )
    for field, effect in _QUEUE_EFFECTS.items():
        old, new = getattr(before, field), getattr(after, field)
        if old != new:
            yield difference(
                (*place, field), f"queue {name!r}: {old:g} -> {new:g}: {effect}"
            )


def _service_set_differences(reviewed, in_force):
    before = {queue.service for _, queue in in_force.queues}
    after = {queue.service for _, queue in reviewed.queues}
    for service in sorted(after - before):
        yield difference(("queues",), f"service {service!r} gets its first queue")
    for service in sorted(before - after):
        yield difference(
            ("queues",),
            f"service {service!r} has no queue any more: it gets no new jobs",
        )


def _limit_differences(reviewed, in_force):
    for field, effect in _LIMIT_EFFECTS.items():
        before, after = getattr(in_force, field), getattr(reviewed, field)
        if before != after:
            yield difference(("limits", field), f"{before} -> {after}: {effect}")


def _address(queue):
    return f"{queue.host}{queue.path_prefix}"


def _count(items, noun):
    return f"{len(items)} {noun}" if len(items) == 1 else f"{len(items)} {noun}s"
