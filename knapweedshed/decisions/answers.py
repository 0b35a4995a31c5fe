"""Integrity check of answers."""

from knapweedshed.digests import digest_of


def is_intact(location, body):
    """Return whether `body` has the length and digest given by its holder."""
    return len(body) == location.length and digest_of(body) == location.digest
