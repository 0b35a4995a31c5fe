"""Review of the platform's configuration file, with the place of each fault in it."""

from difflib import get_close_matches

from knapweedshed.codecs.json_text import DECODE_ERRORS
from knapweedshed.decisions.configuration_review.findings import (
    Severity,
    error,
    format_place,
    warning,
)
from knapweedshed.decisions.configuration_review.service_differences import (
    service_differences,
)
from knapweedshed.decisions.configuration_review.service_review import (
    ReviewContext,
    ReviewedConfiguration,
    review_service_configuration,
)
from knapweedshed.links.configuration_review import ConfigurationReviewer
from knapweedshed.models.service_configuration import ConfiguredOrganisation, Queue
from knapweedshed.models.work import WorkerEntry
from knapweedshed.platform.configuration_fields import (
    ACCELERATORS,
    API_KEYS,
    FILE_NAMES,
    GUARANTEED,
    LIMIT_FIELDS,
    LIMITS,
    NAME,
    QUEUE_FIELDS,
    ROUTES,
    TENANTS,
    VERSION,
    Field,
    parse_count,
)
from knapweedshed.platform.feeds import decode_configuration, decode_resources
from knapweedshed.platform.fields import parse_text

TOP_KEYS = (VERSION, ROUTES, TENANTS, LIMITS)
TENANT_KEYS = (NAME, API_KEYS, GUARANTEED)
_VERSION_FIELD = Field("version", VERSION, parse_count)
_TENANT_NAME_FIELD = Field("name", NAME, parse_text)
_GUARANTEE_FIELD = Field("guaranteed_accelerators", ACCELERATORS, parse_count, 0)


class FleetConfigurationReviewer(ConfigurationReviewer):
    """Reviews the configuration of the operator's topic."""

    def review(self, files):
        """Return the `Finding`s; see the base class."""
        reviewed, findings = decode_for_review(files.content)
        if reviewed is None:
            return findings
        context = ReviewContext(
            _decode_in_force(files.in_force), decode_workers(files.workers)
        )
        findings += review_service_configuration(reviewed, context)
        if context.in_force is not None:
            findings += service_differences(reviewed, context.in_force)
        return findings

    def format_place(self, place):
        """Return the place with the names of the file."""
        return format_place(place, FILE_NAMES)


def decode_for_review(content):
    """Return (`ReviewedConfiguration` or None, `Finding`s on faults) of a file.

    It has what hosts can read; each fault that `decode_configuration` stops at is an
    error.
    """
    if not isinstance(content, dict):
        return None, (error((), "expected a JSON object"),)
    decoder = _Decoder()
    decoder.warn_of_misspelling(content, TOP_KEYS, ())
    version = decoder.decode_field(_VERSION_FIELD, content, ())
    queues = decoder.decode_list(content.get(ROUTES), ("queues",), decoder.decode_queue)
    organisations = decoder.decode_list(
        content.get(TENANTS, []), ("organisations",), decoder.decode_organisation
    )
    limits = decoder.require_map(content.get(LIMITS, {}), ("limits",)) or {}
    keys = tuple(field.key for field in LIMIT_FIELDS)
    decoder.warn_of_misspelling(limits, keys, ("limits",))
    limit_values = {
        field.name: _or_default(
            decoder.decode_field(field, limits, ("limits",)), field.default
        )
        for field in LIMIT_FIELDS
    }
    if not decoder.has_errors:
        decoder.check_readable(content)
    reviewed = ReviewedConfiguration(
        _or_default(version, -1), queues, organisations, **limit_values
    )
    return reviewed, tuple(decoder.findings)


def decode_workers(content):
    """Return `WorkerEntry`s of a list of workers, or None if there is none.

    Of each entry it reads service, labels, capacity and data centre. Raises ValueError
    if the list can't be decoded.
    """
    if content is None:
        return None
    try:
        entries = content.values() if isinstance(content, dict) else content
        return tuple(_decode_worker(str(n), entry) for n, entry in enumerate(entries))
    except DECODE_ERRORS as caught:
        raise ValueError(f"list of workers: {caught!r}"[:300]) from caught


def _decode_worker(worker_id, fields):
    return WorkerEntry(
        worker_id,
        parse_text(fields["service"]),
        "",
        parse_text(fields.get("zone", "")),
        False,
        decode_resources(fields["capacity"]),
        tuple(parse_text(label) for label in fields.get("labels", ())),
        0,
    )


def _decode_in_force(content):
    """Return the version in force or None; raises ValueError if it is not readable."""
    if content is None:
        return None
    reviewed, findings = decode_for_review(content)
    for finding in findings:
        if finding.severity == Severity.ERROR:
            place = format_place(finding.place, FILE_NAMES)
            raise ValueError(f"version in force: {place}: {finding.message}")
    return reviewed


class _Decoder:
    """Decodes what it can, and collects findings on the rest."""

    def __init__(self):
        self.findings = []

    @property
    def has_errors(self):
        """Whether a finding is an error."""
        return any(item.severity == Severity.ERROR for item in self.findings)

    def add_error(self, place, message):
        """Add an error."""
        self.findings.append(error(place, message))

    def require_map(self, value, place):
        """Return a value that is a map, otherwise None with a finding."""
        if isinstance(value, dict):
            return value
        self.add_error(place, f"expected an object, got {type(value).__name__}")
        return None

    def decode_field(self, field, mapping, place):
        """Return the value of a field, or None with a finding."""
        if field.default is None and field.key not in mapping:
            self.add_error((*place, field.name), "missing")
            return None
        try:
            return field.decode(mapping)
        except DECODE_ERRORS as caught:
            self.add_error((*place, field.name), f"{caught}")
            return None

    def decode_list(self, value, place, decode_item):
        """Return (index, value) of each item that `decode_item` can decode."""
        if not isinstance(value, list):
            self.add_error(place, "missing" if value is None else "expected a list")
            return ()
        decoded = [
            (index, decode_item(item, (*place, index)))
            for index, item in enumerate(value)
        ]
        return tuple(item for item in decoded if item[1] is not None)

    def decode_queue(self, route, place):
        """Return the `Queue`, or None with findings."""
        if self.require_map(route, place) is None:
            return None
        self.warn_of_misspelling(route, [field.key for field in QUEUE_FIELDS], place)
        if not isinstance(route.get("public", False), bool):
            # Hosts take any value that is not empty, also the text "false", as true.
            self.add_error((*place, "public"), "expected true or false")
        values = {
            field.name: self.decode_field(field, route, place) for field in QUEUE_FIELDS
        }
        return None if None in values.values() else Queue(**values)

    def decode_organisation(self, tenant, place):
        """Return the `ConfiguredOrganisation`, or None with findings."""
        if self.require_map(tenant, place) is None:
            return None
        self.warn_of_misspelling(tenant, TENANT_KEYS, place)
        name = self.decode_field(_TENANT_NAME_FIELD, tenant, place)
        # Hosts take text as a list of its characters, each of them a key.
        keys = self.decode_list(
            tenant.get(API_KEYS, []), (*place, "api_keys"), self._decode_key
        )
        guaranteed = self.require_map(tenant.get(GUARANTEED, {}), (*place, GUARANTEED))
        if guaranteed is None or name is None:
            return None
        count = self.decode_field(_GUARANTEE_FIELD, guaranteed, place)
        if count is None:
            return None
        return ConfiguredOrganisation(name, tuple(key for _, key in keys), count)

    def warn_of_misspelling(self, mapping, keys, place):
        """Warn of fields that no host reads, and that resemble one that hosts read."""
        for key in mapping:
            similar = get_close_matches(key, keys, 1, cutoff=0.75)
            if key not in keys and similar:
                message = f"unknown field; is {similar[0]!r} meant?"
                self.findings.append(warning((*place, key), message))

    def check_readable(self, content):
        """Add an error if hosts can't read the configuration."""
        try:
            decode_configuration(content)
        except DECODE_ERRORS as caught:
            self.add_error((), f"hosts can't read it: {caught!r}"[:300])

    def _decode_key(self, value, place):
        try:
            return parse_text(value)
        except DECODE_ERRORS as caught:
            self.add_error(place, f"{caught}")
            return None


def _or_default(value, default):
    return default if value is None else value
