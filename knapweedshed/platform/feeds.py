"""The operator's configuration and the workers' entries, as the store keeps them."""

from knapweedshed.codecs import json_text
from knapweedshed.links.service import ConfigurationFeed, WorkerFeed
from knapweedshed.models.outcomes import FAILURE_TYPES
from knapweedshed.models.service_configuration import (
    ConfiguredOrganisation,
    Queue,
    ServiceConfiguration,
)
from knapweedshed.models.work import Resources, WorkerEntry
from knapweedshed.platform.store import UNREADABLE, Store

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"
STATES = ("ready", "draining")


class KeyedTopic:
    """Follows the newest value of each key of a topic."""

    def __init__(self, clock, address, topic):
        self._store = Store(clock, address)
        self._topic = topic
        self._next = -1

    def close(self):
        """Close the connection."""
        self._store.close()

    def changes(self, wait_ms):
        """Return ({key: value bytes, b"" if dropped}, whole), or a failure.

        `whole` says that keys which are not named don't exist.
        """
        if self._next < 0:
            return self._all()
        page = self._store.read(self._topic, self._next, wait_ms)
        if isinstance(page, FAILURE_TYPES):
            return page
        if page.first_offset != self._next or page.first_retained > self._next:
            return self._all()
        self._next += len(page.bodies)
        return dict(_split(body) for body in page.bodies), False

    def _all(self):
        found = self._store.newest(self._topic)
        if isinstance(found, FAILURE_TYPES):
            return found
        values, self._next = found
        return values, True


class StoredConfiguration(ConfigurationFeed):
    """The operator's newest configuration."""

    def __init__(self, clock, address, logger):
        self._topic = KeyedTopic(clock, address, OPERATOR_TOPIC)
        self._logger = logger

    def read(self, wait_ms):
        """Return a newer `ServiceConfiguration`, None, or a failure."""
        found = self._topic.changes(wait_ms)
        if isinstance(found, FAILURE_TYPES):
            return found
        value = found[0].get(CONFIGURATION_KEY)
        if not value:
            return None
        try:
            return decode_configuration(json_text.loads(value))
        except UNREADABLE as error:
            self._logger.error(
                "configuration unreadable", extra={"reason": repr(error)[:300]}
            )
            return None

    def close(self):
        """Close the connection."""
        self._topic.close()


class StoredWorkers(WorkerFeed):
    """The workers' own entries."""

    def __init__(self, clock, address, logger):
        self._topic = KeyedTopic(clock, address, SERVERS_TOPIC)
        self._logger = logger
        self._entries = {}

    def read(self):
        """Return all `WorkerEntry`s that can be read, or a failure."""
        found = self._topic.changes(0)
        if isinstance(found, FAILURE_TYPES):
            return found
        values, whole = found
        if whole:
            self._entries = {}
        for key, value in values.items():
            entry = self._decode(key, value) if value else None
            if entry is None:
                self._entries.pop(key, None)
            else:
                self._entries[key] = entry
        return tuple(self._entries.values())

    def close(self):
        """Close the connection."""
        self._topic.close()

    def _decode(self, key, value):
        try:
            return decode_worker(key, json_text.loads(value))
        except UNREADABLE as error:
            self._logger.warning(
                "worker entry unreadable",
                extra={"worker": key, "reason": repr(error)[:300]},
            )
            return None


def decode_configuration(plain):
    """Return the `ServiceConfiguration`; raises KeyError, TypeError or ValueError."""
    queues = tuple(
        Queue(
            route["name"],
            route["host"],
            route["path_prefix"],
            route["service"],
            int(route.get("priority", 0)),
            int(route.get("max_attempts", 1)),
            float(route.get("slo_factor", 1.0)),
            int(route.get("slo_ms", 0)),
            bool(route.get("public", False)),
        )
        for route in plain["routes"]
    )
    organisations = tuple(
        ConfiguredOrganisation(
            tenant["name"],
            tuple(tenant.get("api_keys", ())),
            int(tenant.get("guaranteed", {}).get("gpu", 0)),
        )
        for tenant in plain.get("tenants", ())
    )
    body_bytes = int(plain.get("limits", {}).get("max_body_bytes", 262_144))
    return ServiceConfiguration(
        int(plain["version"]), queues, organisations, body_bytes
    )


def decode_worker(worker_id, plain):
    """Return the `WorkerEntry`; raises KeyError, TypeError or ValueError."""
    if plain["state"] not in STATES:
        raise ValueError(f"state {plain['state']!r}")
    capacity = plain["capacity"]
    labels = plain["labels"]
    if not all(isinstance(label, str) for label in labels):
        raise TypeError("labels are not text")
    return WorkerEntry(
        worker_id,
        _text(plain["service"]),
        _text(plain["addr"]),
        _text(plain["zone"]),
        plain["state"] == "draining",
        decode_need(capacity),
        tuple(labels),
        _whole(plain["born"]),
        _whole(plain.get("remaining_ms", 0)),
    )


def decode_need(plain):
    """Return `Resources`; absent fields are 0."""
    return Resources(
        _whole(plain.get("cpu", 0)),
        _whole(plain.get("mem_mb", 0)),
        _whole(plain.get("gpu", 0)),
    )


def _split(body):
    length = body[0]
    key = body[1 : 1 + length].decode("utf-8", "replace")
    return key, body[1 + length :]


def _whole(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"expected a whole number, got {value!r}"[:100])
    return value


def _text(value):
    if not isinstance(value, str):
        raise TypeError(f"expected text, got {value!r}"[:100])
    return value
