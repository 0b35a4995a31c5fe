"""Digests of inputs and answers, and the hash that chooses the home of a key."""

import hashlib

import xxhash


def digest_of(data):
    """Return the hexadecimal SHA-256 digest of bytes; identifies inputs and answers."""
    return hashlib.sha256(data).hexdigest()


def stable_hash(*words):
    """Return a 64-bit hash that is the same in every process."""
    return xxhash.xxh64_intdigest("\x1f".join(words).encode("utf-8"))
