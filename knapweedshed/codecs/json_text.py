"""JSON for callers, operators and the platform's services."""

import base64
import json

from knapweedshed.codecs.plain import from_plain, to_plain

MAX_REASON_CHARS = 300
_BYTES_KEY = "base64"


class TextError(ValueError):
    """The text is not JSON, or not a known message."""


# Raised by reading fields of a decoded body that is not in the documented format.
DECODE_ERRORS = (
    TextError,
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    IndexError,
    OverflowError,
    RecursionError,
)


def dumps(value):
    """Return `value` as JSON; typed messages keep their class name."""
    return json.dumps(to_plain(value), default=_bytes_to_text, separators=(",", ":"))


def loads(text):
    """Return the plain values of JSON text; raises TextError."""
    try:
        return json.loads(text, object_hook=_text_to_bytes)
    except DECODE_ERRORS as error:
        raise TextError(f"not JSON: {error}"[:MAX_REASON_CHARS]) from error


def loads_message(text):
    """Return the typed message in JSON text; raises TextError."""
    return message_from_plain(loads(text))


def message_from_plain(plain):
    """Return the typed message of plain JSON values; raises TextError."""
    try:
        return from_plain(plain)
    except DECODE_ERRORS as error:
        raise TextError(f"not a known message: {error}"[:MAX_REASON_CHARS]) from error


def decode_base64(value):
    """Return the bytes that base64 text encodes; raises ValueError."""
    return base64.b64decode(value, validate=True)


def _bytes_to_text(value):
    if isinstance(value, bytes):
        return {_BYTES_KEY: base64.b64encode(value).decode("ascii")}
    raise TypeError(f"cannot encode {type(value).__name__}")


def _text_to_bytes(plain):
    if len(plain) == 1 and _BYTES_KEY in plain:
        return base64.b64decode(plain[_BYTES_KEY])
    return plain
