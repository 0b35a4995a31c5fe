"""Ranks workers that are still cold as slow.

Addresses the return of a data centre after its evacuation: its workers are idle and so
attract work, but run slower than learned until they are warm.
"""

# Below the speed that any work aims at, so that placement takes cold workers last.
COLD_SPEED_RATIO = 0.01


def ranked_speed(entry, learned_speed, now_ms):
    """Return the speed by which placement ranks the worker of an entry."""
    if now_ms >= entry.cold_until_ms:
        return learned_speed
    return min(learned_speed, COLD_SPEED_RATIO)
