"""Check that an answer is complete and unaltered."""

from knapweedshed.digests import digest_of


def is_intact(location, body):
    """Return whether `body` has the length and digest of its `AnswerLocation`."""
    return len(body) == location.length and digest_of(body) == location.digest
