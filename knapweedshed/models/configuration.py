"""The published configuration: organisations, their guarantees and services."""

from enum import StrEnum
from typing import Any, NamedTuple, TypedDict

from knapweedshed.models.shapes import Shape

SCHEMA_VERSION = 1


class ServiceKind(StrEnum):
    """Whether a service runs on runners (short work) or on workers (jobs)."""

    RUNNER = "runner"
    WORKER = "worker"


class Urgency(StrEnum):
    """How a service's work ranks under load, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


URGENCY_RANK = {Urgency.URGENT: 0, Urgency.NORMAL: 1, Urgency.BATCH: 2}


class Service(NamedTuple):
    """A kind of work that an organisation submits.

    `declared_run_ms` is the run time that the operator expects, `deadline_ms` how
    long the work may wait to be started if the caller states no time left.
    """

    name: str
    kind: ServiceKind
    program: str
    urgency: Urgency = Urgency.NORMAL
    idempotent: bool = True
    can_checkpoint: bool = False
    shape: Shape = Shape()
    declared_run_ms: int = 60_000
    deadline_ms: int = 86_400_000


class Organisation(NamedTuple):
    """A tenant: the home data centres of its jobs, guarantees, limits and services.

    `guarantees` has (data centre, shape, count). `quota_accelerators` is 0 without a
    quota. `share` is the weight in fair queueing of short work. `max_waiting` limits
    the jobs that wait in a data centre and the short work in progress at one entry.
    """

    name: str
    data_centres: tuple[str, ...]
    guarantees: tuple[tuple[str, Shape, int], ...] = ()
    share: int = 1
    max_waiting: int = 10_000
    quota_accelerators: int = 0
    services: tuple[Service, ...] = ()

    def service(self, name):
        """Return the service called `name`, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None


class Configuration(NamedTuple):
    """The configuration in force after the log has been applied up to `offset`.

    `versions` has (organisation, offset of its last change).
    """

    offset: int = -1
    organisations: tuple[Organisation, ...] = ()
    versions: tuple[tuple[str, int], ...] = ()
    digest: str = ""

    def organisation(self, name):
        """Return the organisation called `name`, or None."""
        for organisation in self.organisations:
            if organisation.name == name:
                return organisation
        return None

    def version_of(self, name):
        """Return the offset that last changed organisation `name`, or -1."""
        return dict(self.versions).get(name, -1)


class ConfigurationEntry(TypedDict):
    """One record of the configuration stream, as published.

    `base` has the version of each changed organisation that the author edited.
    """

    schema: int
    id: str
    base: dict[str, int]
    parts: dict[str, Any]
    author: str
