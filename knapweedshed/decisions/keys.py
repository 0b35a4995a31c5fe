"""Validation of idempotency keys.

The age of a key is limited so that its record outlives every retry.
"""

from knapweedshed.results import Result, ResultCode

KEY_LIFETIME_MS = 24 * 3_600_000
MAX_CLOCK_SKEW_MS = 300_000
MAX_KEY_CHARACTERS = 200
MS_PER_SECOND = 1_000


def check_key(key, idempotent, wall_ms):
    """Return a `Result` that rejects the key, or None if it is valid.

    `wall_ms` is the wall clock time in milliseconds since the epoch. The key of
    non-idempotent work starts with its creation time in seconds since the epoch and a
    dash. A key older than `KEY_LIFETIME_MS` is rejected with `KEY_TOO_OLD`, as the
    records that would show its reuse may be gone.
    """
    if len(key) > MAX_KEY_CHARACTERS:
        return _bad_request(f"the key is longer than {MAX_KEY_CHARACTERS} characters")
    if idempotent:
        return None
    if not key:
        return _bad_request("non-idempotent work needs an idempotency key")
    seconds, dash, _ = key.partition("-")
    if not dash or not seconds.isdigit():
        return _bad_request(
            "the key of non-idempotent work must be <seconds since epoch>-<name>"
        )
    age_ms = wall_ms - int(seconds) * MS_PER_SECOND
    if age_ms < -MAX_CLOCK_SKEW_MS:
        return _bad_request("the key was made in the future")
    if age_ms > KEY_LIFETIME_MS:
        reason = f"the key is older than {KEY_LIFETIME_MS // 3_600_000} hours"
        return Result(ResultCode.KEY_TOO_OLD, reason)
    return None


def _bad_request(reason):
    return Result(ResultCode.BAD_REQUEST, reason)
