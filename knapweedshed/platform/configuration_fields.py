"""Fields of the platform's configuration file: names, checks and defaults."""

from collections.abc import Callable
from typing import Any, NamedTuple

from knapweedshed.platform.fields import parse_number, parse_text

DEFAULT_MAX_BODY_BYTES = 262_144
DEFAULT_HEADER_TIMEOUT_MS = 3_000
DEFAULT_IDLE_TIMEOUT_MS = 15_000
ROUTES, TENANTS, LIMITS, VERSION = "routes", "tenants", "limits", "version"
NAME, API_KEYS, GUARANTEED, ACCELERATORS = "name", "api_keys", "guaranteed", "gpu"
MAX_BODY_BYTES = "max_body_bytes"
HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS = "header_timeout_ms", "idle_timeout_ms"


class Field(NamedTuple):
    """A field of a map: its name in the model and in the file, and its check.

    `default` is None if the field is required.
    """

    name: str
    key: str
    parse: Callable[[Any], Any]
    default: Any = None

    def decode(self, mapping):
        """Return the value in a map; raises one of `DECODE_ERRORS`."""
        if self.default is None:
            return self.parse(mapping[self.key])
        return self.parse(mapping.get(self.key, self.default))


def parse_count(value):
    """Return a number from 0 rounded down; raises TypeError or ValueError."""
    return int(parse_number(value))


QUEUE_FIELDS = (
    Field("name", NAME, parse_text),
    Field("host", "host", parse_text),
    Field("path_prefix", "path_prefix", parse_text),
    Field("service", "service", parse_text),
    Field("priority", "priority", parse_count, 0),
    Field("max_failures", "max_attempts", parse_count, 1),
    Field("objective_factor", "slo_factor", parse_number, 1.0),
    Field("objective_ms", "slo_ms", parse_count, 0),
    Field("public", "public", bool, False),
)
LIMIT_FIELDS = (
    Field("max_body_bytes", MAX_BODY_BYTES, parse_count, DEFAULT_MAX_BODY_BYTES),
    Field(
        "header_timeout_ms", HEADER_TIMEOUT_MS, parse_count, DEFAULT_HEADER_TIMEOUT_MS
    ),
    Field("idle_timeout_ms", IDLE_TIMEOUT_MS, parse_count, DEFAULT_IDLE_TIMEOUT_MS),
)
FILE_NAMES = {  # name of the model: name in the file
    "queues": ROUTES,
    "organisations": TENANTS,
    "guaranteed_accelerators": f"{GUARANTEED}.{ACCELERATORS}",
    **{field.name: field.key for field in QUEUE_FIELDS + LIMIT_FIELDS},
}
