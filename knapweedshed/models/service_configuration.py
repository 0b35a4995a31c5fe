"""The published configuration of multi-step jobs: queues and organisations."""

from typing import NamedTuple


class Queue(NamedTuple):
    """A queue that callers submit to, found by host name and path prefix.

    Jobs of priority 0 are the most urgent; `WorkJob` describes their objective. A
    `public` queue accepts calls without an API key.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_failures: int = 1
    objective_factor: float = 1.0
    objective_ms: int = 0
    public: bool = False


class ConfiguredOrganisation(NamedTuple):
    """An organisation: its API keys, and how many accelerators it is guaranteed."""

    name: str
    api_keys: tuple[str, ...]
    guaranteed_accelerators: int = 0


class ServiceConfiguration(NamedTuple):
    """One version of the whole configuration; version -1 means none is known yet."""

    version: int = -1
    queues: tuple[Queue, ...] = ()
    organisations: tuple[ConfiguredOrganisation, ...] = ()
    max_body_bytes: int = 262_144

    def organisation_of_api_key(self, api_key):
        """Return the name of the organisation that the API key belongs to, or ""."""
        for configured in self.organisations:
            if api_key in configured.api_keys:
                return configured.name
        return ""

    def queue_for(self, host, path):
        """Return the queue with the longest prefix of `path`, or None."""
        found = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.path_prefix):
                if found is None or len(queue.path_prefix) > len(found.path_prefix):
                    found = queue
        return found

    def guaranteed_accelerators(self, organisation):
        """Return how many accelerators an organisation is guaranteed."""
        for configured in self.organisations:
            if configured.name == organisation:
                return configured.guaranteed_accelerators
        return 0
