"""Digests of inputs and answers, and the stable hash for choosing homes."""

import hashlib

import xxhash


def digest_of(data):
    """Return the hex SHA-256 of bytes; names an input or answer between parties."""
    return hashlib.sha256(data).hexdigest()


def stable_hash(*words):
    """Return a 64-bit hash that every process computes alike."""
    return xxhash.xxh64_intdigest("\x1f".join(words).encode("utf-8"))
