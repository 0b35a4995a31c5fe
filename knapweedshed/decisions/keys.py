"""Idempotency keys: how old one may be, so that its memory outlives every retry."""

from knapweedshed.results import Result, ResultCode

KEY_LIFE_MS = 24 * 3_600_000
CLOCK_SKEW_MS = 300_000
LONGEST_KEY = 200
MS_PER_SECOND = 1_000


def check_key(key, idempotent, wall_ms):
    """Return a `Result` that refuses the key, or None.

    The key of non-idempotent work begins with the seconds since the epoch at which it
    was made, and a dash: an older key than our memory reaches is refused by name.
    """
    if len(key) > LONGEST_KEY:
        return _bad(f"the key is longer than {LONGEST_KEY} characters")
    if idempotent:
        return None
    if not key:
        return _bad("non-idempotent work needs an idempotency key")
    seconds, dash, _ = key.partition("-")
    if not dash or not seconds.isdigit():
        return _bad(
            "the key of non-idempotent work must be <seconds since epoch>-<name>"
        )
    age_ms = wall_ms - int(seconds) * MS_PER_SECOND
    if age_ms < -CLOCK_SKEW_MS:
        return _bad("the key was made in the future")
    if age_ms > KEY_LIFE_MS:
        reason = f"the key is older than {KEY_LIFE_MS // 3_600_000} hours"
        return Result(ResultCode.KEY_TOO_OLD, reason)
    return None


def _bad(reason):
    return Result(ResultCode.BAD_REQUEST, reason)
