"""CBOR for the messages between our own processes."""

import cbor2

from knapweedshed.codecs.plain import from_plain, to_plain


class MessageError(ValueError):
    """Bytes that are no message of ours."""


def encode(message):
    """Return the bytes of a typed message."""
    return cbor2.dumps(to_plain(message))


def decode(data):
    """Return the typed message; raises MessageError."""
    try:
        return from_plain(cbor2.loads(data))
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise MessageError(str(error)) from error
