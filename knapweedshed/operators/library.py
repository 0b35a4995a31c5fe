"""Functions that build the parts of a configuration entry and its text."""

from knapweedshed.codecs import json_text
from knapweedshed.decisions.operator_entries import EntryError, parse_organisation
from knapweedshed.models.configuration import SCHEMA_VERSION


def shape(accelerators=1, members=1, adjacency="any"):
    """Return a shape of `members` with `accelerators` adjacent accelerators each.

    `adjacency` is `any`, or `rack` if all members must be in one rack.
    """
    return {
        "members": members,
        "accelerators": accelerators,
        "adjacency": adjacency,
    }


def guarantee(data_centre, wanted, count=1):
    """Return a guarantee of `count` times the shape `wanted` in a data centre."""
    return {"data_centre": data_centre, "shape": wanted, "count": count}


def runner_service(name, program, urgency="urgent", run_ms=200, deadline_ms=30_000):
    """Return a service of short idempotent work, which runs on runners.

    `run_ms` is the expected run time.
    """
    return {
        "name": name,
        "kind": "runner",
        "program": program,
        "urgency": urgency,
        "declared_run_ms": run_ms,
        "deadline_ms": deadline_ms,
    }


def worker_service(
    name,
    program,
    wanted,
    urgency="normal",
    idempotent=True,
    can_checkpoint=False,
    run_ms=60_000,
    deadline_ms=86_400_000,
):
    """Return a service of jobs, which run on the accelerators of workers.

    `wanted` is the default shape, `run_ms` the expected run time.
    """
    return {
        "name": name,
        "kind": "worker",
        "program": program,
        "shape": wanted,
        "urgency": urgency,
        "idempotent": idempotent,
        "can_checkpoint": can_checkpoint,
        "declared_run_ms": run_ms,
        "deadline_ms": deadline_ms,
    }


def organisation(
    name, data_centres, guarantees=(), services=(), share=1, quota_accelerators=0
):
    """Return (name, part) of an organisation; raises EntryError if it is invalid."""
    part = {
        "data_centres": list(data_centres),
        "guarantees": list(guarantees),
        "services": list(services),
        "share": share,
        "quota_accelerators": quota_accelerators,
    }
    try:
        parse_organisation(name, part)
    except EntryError as error:
        raise EntryError(f"organisation {name!r}: {error}") from error
    return name, part


def removed(name):
    """Return (name, None), which removes the organisation."""
    return name, None


def publish_text(*parts, author=""):
    """Return the entry as JSON; `knapweedshed config print` adds its base versions."""
    entry = {"schema": SCHEMA_VERSION, "author": author, "parts": dict(parts)}
    return json_text.dumps(entry)
