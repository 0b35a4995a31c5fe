"""Checks of single fields in the bodies of other writers.

A value that passes can be used in arithmetic, log lines, headers and connections.
"""

import ipaddress
import math

from knapweedshed.settings import parse_address

MAX_NUMBER = 1 << 53  # exact as a float; milliseconds until far beyond any clock
MAX_TEXT_CHARS = 2_000


def parse_whole_number(value):
    """Return a whole number from 0 to `MAX_NUMBER`; raises TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected a whole number, got {type(value).__name__}")
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"expected a number from 0 to {MAX_NUMBER}")
    return value


def parse_number(value):
    """Return a finite number from 0 to `MAX_NUMBER`; raises TypeError or ValueError."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"expected a number, got {type(value).__name__}")
    if not (math.isfinite(value) and 0 <= value <= MAX_NUMBER):
        raise ValueError(f"expected a number from 0 to {MAX_NUMBER}")
    return float(value)


def parse_text(value):
    """Return printable text of `MAX_TEXT_CHARS` characters at most.

    Raises TypeError or ValueError. Surrogates aren't printable: text that passes can be
    encoded.
    """
    if not parse_opaque_text(value).isprintable():
        raise ValueError("expected printable text")
    return value


def parse_opaque_text(value):
    """Return any text of `MAX_TEXT_CHARS` characters at most, to be given back.

    Raises TypeError or ValueError.
    """
    if not isinstance(value, str):
        raise TypeError(f"expected text, got {type(value).__name__}")
    if len(value) > MAX_TEXT_CHARS:
        raise ValueError(f"expected {MAX_TEXT_CHARS} characters at most")
    return value


def parse_ipv4_address(value):
    """Return `ip:port` with an IPv4 address; raises TypeError or ValueError."""
    if not parse_text(value).isascii():
        raise ValueError("expected an address in ASCII")
    host, _ = parse_address(value)
    ipaddress.IPv4Address(host)
    return value
