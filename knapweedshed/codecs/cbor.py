"""CBOR encoding of the messages between the scheduler's processes."""

import cbor2

from knapweedshed.codecs.json_text import DECODE_ERRORS, MAX_REASON_CHARS
from knapweedshed.codecs.plain import from_plain, to_plain


class MessageError(ValueError):
    """The bytes are not a valid message."""


def encode(message):
    """Return a typed message as CBOR."""
    return cbor2.dumps(to_plain(message))


def decode(data):
    """Return the typed message in CBOR bytes; raises MessageError."""
    try:
        return from_plain(cbor2.loads(data))
    except (cbor2.CBORDecodeError, *DECODE_ERRORS) as error:
        raise MessageError(str(error)[:MAX_REASON_CHARS]) from error
