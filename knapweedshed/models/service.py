"""Configuration of queues, services and organisations, as operators publish it."""

from typing import NamedTuple


class Queue(NamedTuple):
    """Where callers hand jobs in: by host name and path prefix."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_failures: int = 1
    objective_factor: float = 1.0
    objective_ms: int = 0
    public: bool = False


class Owner(NamedTuple):
    """An organisation: the keys of its callers, and its guaranteed accelerators."""

    name: str
    keys: tuple[str, ...]
    guaranteed: int = 0


class ServiceConfiguration(NamedTuple):
    """One version in full; version -1 says that none is known yet."""

    version: int = -1
    queues: tuple[Queue, ...] = ()
    owners: tuple[Owner, ...] = ()
    max_body_bytes: int = 262_144

    def owner_of_key(self, key):
        """Return the name of the organisation whose key this is, or ""."""
        for owner in self.owners:
            if key in owner.keys:
                return owner.name
        return ""

    def queue_for(self, host, path):
        """Return the queue with the longest prefix that `path` begins with, or None."""
        found = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if found is None or len(queue.prefix) > len(found.prefix):
                    found = queue
        return found

    def guaranteed(self, organisation):
        """Return the accelerators that an organisation is guaranteed."""
        for owner in self.owners:
            if owner.name == organisation:
                return owner.guaranteed
        return 0
