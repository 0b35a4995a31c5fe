"""Functions that build the parts of a configuration entry, and print it."""

from knapweedshed.codecs import text
from knapweedshed.decisions.operator_entries import EntryError, parse_organisation
from knapweedshed.models.configuration import SCHEMA_VERSION


def shape(accelerators=1, members=1, adjacency="any"):
    """Return a shape: `members` of `accelerators` adjacent ones each.

    `adjacency` is `any`, or `rack` for members that must share a rack.
    """
    return {
        "members": members,
        "accelerators": accelerators,
        "adjacency": adjacency,
    }


def guarantee(data_centre, wanted, count=1):
    """Return a guarantee of `count` shapes in a data centre."""
    return {"data_centre": data_centre, "shape": wanted, "count": count}


def runner_service(name, program, urgency="urgent", run_ms=200, deadline_ms=30_000):
    """Return a service of short idempotent work that goes to runners."""
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
    """Return a service of jobs that run on workers' accelerators."""
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
    """Return (name, part) of an organisation; raises EntryError at a fault."""
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
    """Return (name, None): the organisation is taken out."""
    return name, None


def publish_text(*parts, author=""):
    """Return the entry's text; `knapweedshed config print` adds what it is based on."""
    entry = {"schema": SCHEMA_VERSION, "author": author, "parts": dict(parts)}
    return text.dumps(entry)
