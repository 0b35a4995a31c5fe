"""Review of a configuration of queues and organisations."""

from typing import NamedTuple

from knapweedshed.decisions.configuration_review.findings import (
    error,
    find_repeats,
    warning,
)
from knapweedshed.models.service_configuration import ConfiguredOrganisation, Queue
from knapweedshed.models.work import WorkerEntry

# The smallest body with a description of 4,000 bytes and one step, if no byte of the
# description is escaped.
MIN_BODY_BYTES = 4_096


class ReviewedConfiguration(NamedTuple):
    """What could be decoded of a configuration.

    `queues` and `organisations` have (index in the file, value), without those that
    could not be decoded.
    """

    version: int
    queues: tuple[tuple[int, Queue], ...]
    organisations: tuple[tuple[int, ConfiguredOrganisation], ...]
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class ReviewContext(NamedTuple):
    """What a configuration is compared with; None for what is not known."""

    in_force: ReviewedConfiguration | None = None
    workers: tuple[WorkerEntry, ...] | None = None


def review_service_configuration(reviewed, context):
    """Return the `Finding`s on faults, as a tuple."""
    return (
        *_review_names(reviewed),
        *_review_api_keys(reviewed),
        *_review_matching(reviewed),
        *_review_services(reviewed, context),
        *_review_queue_limits(reviewed),
        *_review_guarantees(reviewed, context),
        *_review_limits(reviewed),
        *_review_version(reviewed, context),
    )


def _review_names(reviewed):
    for section in ("queues", "organisations"):
        items = getattr(reviewed, section)
        names = [((section, index, "name"), item.name) for index, item in items]
        for place, first, name in find_repeats(names):
            message = f"{name!r} is also the name of number {first[1]}"
            yield error(place, message)
        for place, name in names:
            if not name:
                yield error(place, "the name is empty")
    for index, queue in reviewed.queues:
        for field in ("host", "service"):
            if not getattr(queue, field):
                yield error(("queues", index, field), f"the {field} is empty")


def _review_api_keys(reviewed):
    """Yield findings on keys, which are secret and appear in no message."""
    places = [
        (("organisations", index, "api_keys", number), key)
        for index, organisation in reviewed.organisations
        for number, key in enumerate(organisation.api_keys)
    ]
    names = dict(reviewed.organisations)
    for place, first, _ in find_repeats(places):
        if place[1] == first[1]:
            yield error(place, f"the same key as api_keys[{first[3]}]")
        else:
            owner = names[first[1]].name
            yield error(
                place,
                f"the key also belongs to organisation {owner!r}, which all calls with"
                " it count for",
            )
    for place, key in places:
        if not key:
            yield error(place, "the key is empty: calls without a key would match it")


def _review_matching(reviewed):
    prefixes = [
        (("queues", index, "path_prefix"), (queue.host, queue.path_prefix))
        for index, queue in reviewed.queues
    ]
    queues = dict(reviewed.queues)
    for place, first, (host, prefix) in find_repeats(prefixes):
        earlier = queues[first[1]].name
        yield warning(
            place,
            f"no call matches it: {earlier!r} has host {host!r} and prefix {prefix!r}"
            " too, and comes first",
        )
    for place, (_, prefix) in prefixes:
        if prefix and not prefix.startswith("/"):
            yield warning(place, f"no path starts with {prefix!r}")


def _review_services(reviewed, context):
    if context.workers is None:
        return
    offered = {worker.service for worker in context.workers}
    in_force = context.in_force
    known = {queue.service for _, queue in in_force.queues} if in_force else set()
    for index, queue in reviewed.queues:
        if not queue.service or queue.service in offered:
            continue
        place = ("queues", index, "service")
        if in_force is not None and queue.service not in known:
            yield error(
                place,
                f"unknown service {queue.service!r}: no worker has it, and no queue in"
                " force uses it",
            )
        else:
            yield warning(
                place, f"service {queue.service!r} has no worker: its jobs never start"
            )


def _review_queue_limits(reviewed):
    for index, queue in reviewed.queues:
        if not queue.max_failures:
            yield error(
                ("queues", index, "max_failures"), "0 attempts: no job could run"
            )
        if not queue.objective_factor and not queue.objective_ms:
            yield error(
                ("queues", index, "objective_factor"),
                "the objective is 0 ms: every job would miss it",
            )


def _review_guarantees(reviewed, context):
    for index, organisation in reviewed.organisations:
        if organisation.guaranteed_accelerators and not organisation.api_keys:
            yield warning(
                ("organisations", index, "guaranteed_accelerators"),
                f"nobody can use the guarantee: {organisation.name!r} has no keys",
            )
    if context.workers is None:
        return
    guaranteed = sum(o.guaranteed_accelerators for _, o in reviewed.organisations)
    available = sum(worker.capacity.accelerators for worker in context.workers)
    if guaranteed > available:
        yield error(
            ("organisations",),
            f"{guaranteed} accelerators are guaranteed, but the workers have"
            f" {available}",
        )


def _review_limits(reviewed):
    if reviewed.max_body_bytes < MIN_BODY_BYTES:
        yield error(
            ("limits", "max_body_bytes"),
            f"{reviewed.max_body_bytes} bytes are too few for a job with a description"
            f" of 4000 bytes, which needs {MIN_BODY_BYTES}",
        )
    for name in ("header_timeout_ms", "idle_timeout_ms"):
        if not getattr(reviewed, name):
            yield error(("limits", name), "0 ms: no request could be read")
    if reviewed.header_timeout_ms > reviewed.idle_timeout_ms > 0:
        yield error(
            ("limits", "header_timeout_ms"),
            f"{reviewed.header_timeout_ms} ms are above the idle time-out of"
            f" {reviewed.idle_timeout_ms} ms, which would end the connection first",
        )


def _review_version(reviewed, context):
    in_force = context.in_force
    if in_force is None or reviewed.version > in_force.version:
        return
    if reviewed._replace(version=in_force.version) != in_force:
        yield error(
            ("version",),
            f"version {reviewed.version} is not above {in_force.version}, which is in"
            " force: hosts would ignore it",
        )
