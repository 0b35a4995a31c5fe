"""Whether an answer is whole."""

from knapweedshed.digests import digest_of


def is_whole(location, body):
    """Return whether `body` has the length and digest that its holder gave."""
    return len(body) == location.length and digest_of(body) == location.digest
