"""When a host claims the scheduler's role, and when it must not act on it.

The log decides who acts: the first claim of the next epoch. These rules only choose
good moments; safety rests on the epoch, which every order carries as its fence.
"""

from typing import NamedTuple

SILENT_MS = 1_600  # three beats and a slow store's answer
BEAT_MS = 450  # a successor must tell silence from a slow store
JITTER_MS = 400  # spreads the claims of hosts that notice together
WEAK_HOST_MS = 600  # more than the jitter: the weakest claim after all others
ENOUGH_CORES = 1.0  # the acting host of 176 workers took 0.36 on a calm day
CLAIM_AGAIN_MS = 1_500  # a claim that isn't read back by then is made again
TERM_MS = 10_000  # longest acting without word from the log: outlasts its outages


class Standing(NamedTuple):
    """What a host knows of the role.

    `heard_ms` is when the acting scheduler's last record was read here, or when this
    host was first able to read; `read_ms` when the log last answered a read.
    """

    host: str
    epoch: int
    acting_host: str
    caught_up: bool
    heard_ms: int
    read_ms: int
    claimed_ms: int = -1
    leaving: bool = False


def acts(standing):
    """Return whether the log says that this host acts."""
    return standing.epoch > 0 and standing.acting_host == standing.host


def may_order(standing, now_ms):
    """Return whether an acting host may still give orders without word of the log."""
    return acts(standing) and now_ms - standing.read_ms < TERM_MS


def claim_delay_ms(cores, random):
    """Return how long a host of so many cores waits before it claims."""
    weakness = max(0.0, 1 - cores / ENOUGH_CORES)
    return random.randrange(JITTER_MS) + int(weakness * WEAK_HOST_MS)


def should_claim(standing, now_ms, jitter_ms):
    """Return whether to claim the next epoch now."""
    if standing.leaving or not standing.caught_up or acts(standing):
        return False
    if now_ms - standing.read_ms > SILENT_MS:
        return False
    if standing.claimed_ms >= 0 and now_ms - standing.claimed_ms < CLAIM_AGAIN_MS:
        return False
    silent_ms = now_ms - standing.heard_ms
    if not standing.acting_host:
        return silent_ms >= jitter_ms
    return silent_ms >= SILENT_MS + jitter_ms
