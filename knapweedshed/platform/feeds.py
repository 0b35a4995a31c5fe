"""Feeds of the operator's configuration and of the workers' entries in the store."""

from knapweedshed.codecs import json_text
from knapweedshed.codecs.json_text import DECODE_ERRORS
from knapweedshed.links.service import ConfigurationFeed, WorkerFeed
from knapweedshed.models.outcomes import FAILURE_TYPES, NoAnswer
from knapweedshed.models.service_configuration import (
    ConfiguredOrganisation,
    Queue,
    ServiceConfiguration,
)
from knapweedshed.models.work import Resources, WorkerEntry
from knapweedshed.platform.configuration_fields import (
    DEFAULT_MAX_BODY_BYTES,
    QUEUE_FIELDS,
)
from knapweedshed.platform.fields import (
    parse_ipv4_address,
    parse_number,
    parse_text,
    parse_whole_number,
)
from knapweedshed.platform.store import Store

OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"
EVACUATION_KEY_PREFIX = "evacuate/"  # followed by the name of a data centre
MAX_PAGES_COUNT = 32  # of changes in one call; a page has at least one record
MAX_WORKER_ID_CHARS = 200
MAX_DATA_CENTRE_CHARS = 200
MAX_COLD_LEFT_MS = 3_600_000
MAX_UNREADABLE_COUNT = 1_000  # keys whose last reason is remembered
COLD_LEFT_FIELD = "cold_left_ms"
WORKER_STATES = ("ready", "draining")


class KeyedTopic:
    """Reads changes to the newest value of each key of a topic."""

    def __init__(self, clock, address, topic):
        self._store = Store(clock, address)
        self._topic = topic
        self._next_offset = -1
        self._changes = {}

    def close(self):
        """Close the connection."""
        self._store.close()

    def read_changes(self, wait_ms):
        """Wait up to `wait_ms`; return ({key: value}, is_complete) or a failure.

        Values are bytes; b"" says that the key was deleted. If `is_complete`, all keys
        of the topic are in the result: at the first read, and after the log dropped
        records that were not read yet. Otherwise the result has all changes up to the
        end of the topic. After a failure the next call returns what was read before it.
        """
        if self._next_offset < 0:
            return self._read_all()
        for _ in range(MAX_PAGES_COUNT):
            page = self._store.read(self._topic, self._next_offset, wait_ms)
            if isinstance(page, FAILURE_TYPES):
                return page
            if (
                page.first_offset != self._next_offset
                or page.first_retained > self._next_offset
            ):
                return self._read_all()
            self._next_offset += len(page.bodies)
            records = [_decode_keyed_record(body) for body in page.bodies]
            self._changes.update(record for record in records if record is not None)
            if self._next_offset >= page.end:
                changes, self._changes = self._changes, {}
                return changes, False
            wait_ms = 0
        return NoAnswer(f"the end of {self._topic} is not reached")

    def _read_all(self):
        result = self._store.read_newest(self._topic)
        if isinstance(result, FAILURE_TYPES):
            return result
        values, self._next_offset = result
        self._changes = {}
        return values, True


class StoreConfigurationFeed(ConfigurationFeed):
    """Feed of the operator's topic; logs and skips invalid records.

    `data_centres` has the names that can be evacuated; any name if it is empty, as with
    settings that don't list them.
    """

    def __init__(self, clock, address, logger, data_centres=()):
        self._topic = KeyedTopic(clock, address, OPERATOR_TOPIC)
        self._logger = logger
        self._data_centres = data_centres
        self._evacuated = None

    @property
    def evacuated_data_centres(self):
        """Return the names as of the last successful read, None before the first."""
        return self._evacuated

    def read(self, wait_ms):
        """Return a newer `ServiceConfiguration`, None if there is none, or a failure.

        Waits up to `wait_ms` for a change.
        """
        result = self._topic.read_changes(wait_ms)
        if isinstance(result, FAILURE_TYPES):
            return result
        values, is_complete = result
        self._update_evacuations(values, is_complete)
        value = values.get(CONFIGURATION_KEY)
        if not value:
            return None
        try:
            return decode_configuration(json_text.loads(value))
        except DECODE_ERRORS as error:
            self._logger.error(
                "configuration unreadable",
                extra={"reason": repr(error)[: json_text.MAX_REASON_CHARS]},
            )
            return None

    def close(self):
        """Close the connection."""
        self._topic.close()

    def _update_evacuations(self, values, is_complete):
        """Apply the records of evacuations among {key: value}.

        An evacuation ends by a record without a value, or by its absence from a
        complete list. A record that can't be read leaves its data centre as it was.
        """
        earlier = self._evacuated or frozenset()
        evacuated = set() if is_complete else set(earlier)
        for key, value in values.items():
            if not key.startswith(EVACUATION_KEY_PREFIX):
                continue
            name = key.removeprefix(EVACUATION_KEY_PREFIX)
            try:
                check_evacuation(name, value, self._data_centres)
            except DECODE_ERRORS as error:
                reason = repr(error)[: json_text.MAX_REASON_CHARS]
                self._logger.warning(
                    "evacuation unreadable", extra={"record": key, "reason": reason}
                )
                evacuated.update({name} & earlier)
                continue
            if value:
                evacuated.add(name)
            else:
                evacuated.discard(name)
        self._evacuated = frozenset(evacuated)


class StoreWorkerFeed(WorkerFeed):
    """Feed of the entries that workers write about themselves."""

    def __init__(self, clock, address, logger):
        self._topic = KeyedTopic(clock, address, SERVERS_TOPIC)
        self._clock = clock
        self._logger = logger
        self._entries = {}
        self._cold_workers = {}
        self._unreadable = {}

    def read(self):
        """Return a tuple of all valid `WorkerEntry`s, or a failure."""
        result = self._topic.read_changes(0)
        if isinstance(result, FAILURE_TYPES):
            return result
        values, is_complete = result
        if is_complete:
            self._entries = {}
            self._cold_workers = {
                key: known for key, known in self._cold_workers.items() if key in values
            }
        for key, value in values.items():
            entry = self._decode(key, value, is_complete) if value else None
            if entry is None:
                self._entries.pop(key, None)
                self._cold_workers.pop(key, None)
            else:
                self._entries[key] = entry
        return tuple(self._entries.values())

    def close(self):
        """Close the connection."""
        self._topic.close()

    def _decode(self, key, value, may_be_known):
        """Return the `WorkerEntry`, or None; `may_be_known` if it may not be new."""
        try:
            fields = json_text.loads(value)
            entry = decode_worker(key, fields)
        except DECODE_ERRORS as error:
            self._log_unreadable(key, repr(error)[: json_text.MAX_REASON_CHARS])
            return None
        self._unreadable.pop(key, None)
        if COLD_LEFT_FIELD not in fields:
            return entry
        return entry._replace(
            cold_until_ms=self._cold_until_ms(key, value, fields, may_be_known)
        )

    def _cold_until_ms(self, key, value, fields, may_be_known):
        """Return until when a worker is cold, counted from the first read of its entry.

        An invalid time is logged and has no other effect.
        """
        known_value, until_ms = self._cold_workers.get(key, (b"", 0))
        if may_be_known and value == known_value:
            return until_ms
        until_ms = 0
        try:
            left_ms = parse_cold_time(fields[COLD_LEFT_FIELD])
        except DECODE_ERRORS as error:
            reason = repr(error)[: json_text.MAX_REASON_CHARS]
            self._logger.warning(
                "cold time unreadable", extra={"worker": key, "reason": reason}
            )
        else:
            until_ms = self._clock.now_ms() + left_ms if left_ms else 0
        self._cold_workers[key] = (value, until_ms)
        return until_ms

    def _log_unreadable(self, key, reason):
        """Log an entry once for as long as it can't be read for the same reason."""
        if self._unreadable.get(key) == reason:
            return
        if len(self._unreadable) >= MAX_UNREADABLE_COUNT:
            self._unreadable.clear()
        self._unreadable[key] = reason
        self._logger.warning(
            "worker entry unreadable", extra={"worker": key, "reason": reason}
        )


def decode_configuration(fields):
    """Return the `ServiceConfiguration`; raises one of `DECODE_ERRORS`."""
    queues = tuple(
        Queue(**{field.name: field.decode(route) for field in QUEUE_FIELDS})
        for route in fields["routes"]
    )
    organisations = tuple(
        ConfiguredOrganisation(
            parse_text(tenant["name"]),
            tuple(parse_text(key) for key in tenant.get("api_keys", ())),
            int(parse_number(tenant.get("guaranteed", {}).get("gpu", 0))),
        )
        for tenant in fields.get("tenants", ())
    )
    max_body_bytes = fields.get("limits", {}).get(
        "max_body_bytes", DEFAULT_MAX_BODY_BYTES
    )
    return ServiceConfiguration(
        int(parse_number(fields["version"])),
        queues,
        organisations,
        int(parse_number(max_body_bytes)),
    )


def check_evacuation(name, value, data_centres):
    """Check a record that evacuates `name`; raises one of `DECODE_ERRORS`."""
    if not 0 < len(parse_text(name)) <= MAX_DATA_CENTRE_CHARS:
        raise ValueError(f"expected a name of {MAX_DATA_CENTRE_CHARS} characters")
    if data_centres and name not in data_centres:
        raise ValueError("no data centre of the settings has this name")
    if value and not isinstance(json_text.loads(value), dict):
        raise TypeError("expected a JSON object")


def decode_worker(worker_id, fields):
    """Return the `WorkerEntry`; raises one of `DECODE_ERRORS`.

    Everything that a connection to the worker needs is checked here.
    """
    if fields["state"] not in WORKER_STATES:
        raise ValueError(f"unknown worker state {fields['state']!r}"[:100])
    if not (worker_id.isascii() and worker_id.isprintable()) or " " in worker_id:
        raise ValueError("expected an id of printable ASCII characters")
    if not 0 < len(worker_id) <= MAX_WORKER_ID_CHARS:
        raise ValueError(f"expected an id of {MAX_WORKER_ID_CHARS} characters at most")
    labels = fields["labels"]
    if not isinstance(labels, list):
        raise TypeError("expected a list of labels")
    return WorkerEntry(
        worker_id,
        parse_text(fields["service"]),
        parse_ipv4_address(fields["addr"]),
        parse_text(fields["zone"]),
        fields["state"] == "draining",
        decode_resources(fields["capacity"]),
        tuple(parse_text(label) for label in labels),
        parse_whole_number(fields["born"]),
        parse_whole_number(fields.get("remaining_ms", 0)),
    )


def parse_cold_time(value):
    """Return for how long a worker stays cold, in ms; raises one of `DECODE_ERRORS`."""
    left_ms = parse_whole_number(value)
    if left_ms > MAX_COLD_LEFT_MS:
        raise ValueError(f"expected a number from 0 to {MAX_COLD_LEFT_MS}")
    return left_ms


def decode_resources(fields):
    """Return `Resources`, with 0 for missing fields; raises one of `DECODE_ERRORS`."""
    return Resources(
        parse_whole_number(fields.get("cpu", 0)),
        parse_whole_number(fields.get("mem_mb", 0)),
        parse_whole_number(fields.get("gpu", 0)),
    )


def _decode_keyed_record(body):
    """Return (key, value), or None if the record is too short for its key."""
    length = body[0] if body else 0
    if not length or len(body) < 1 + length:
        return None
    key = body[1 : 1 + length].decode("utf-8", "replace")
    return key, body[1 + length :]
