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


class Role:
    """What one host knows of the scheduler's role, beside the fold of the log.

    `host` is its name and incarnation, parted by a slash.
    """

    def __init__(self, host, cores, random, now_ms):
        self._host = host
        self._cores = cores
        self._random = random
        self._heard_ms = now_ms
        self._read_ms = now_ms
        self._caught_up = False
        self._claimed_ms = -1
        self._delay_ms = claim_delay_ms(cores, random)
        self._leaving = False
        self._fenced_epoch = 0

    def read(self, now_ms, caught_up):
        """The log answered a read; the first whole read begins the silence anew."""
        self._read_ms = now_ms
        if caught_up and not self._caught_up:
            self._caught_up = True
            self._heard_ms = now_ms

    def heard(self, now_ms):
        """A record of the acting scheduler was read."""
        self._heard_ms = now_ms

    def leave(self):
        """This host stops: it claims no more."""
        self._leaving = True

    def fenced(self, epoch):
        """A worker has seen a higher fence than `epoch`."""
        self._fenced_epoch = epoch

    def should_act(self, ledger):
        """Return whether the log says that this host acts, and no worker denies it."""
        return acts(self._standing(ledger)) and self._fenced_epoch < ledger.epoch

    def may_order(self, ledger, now_ms):
        """Return whether orders may still be given."""
        return may_order(self._standing(ledger), now_ms)

    def claim(self, ledger, now_ms):
        """Return whether to claim the next epoch now; count it as claimed."""
        if not should_claim(self._standing(ledger), now_ms, self._delay_ms):
            return False
        self._claimed_ms = now_ms
        self._delay_ms = claim_delay_ms(self._cores, self._random)
        return True

    def _standing(self, ledger):
        return Standing(
            self._host,
            ledger.epoch,
            self._known_acting(ledger.acting_host),
            self._caught_up,
            self._heard_ms,
            self._read_ms,
            self._claimed_ms,
            self._leaving,
        )

    def _known_acting(self, acting_host):
        """Return the acting host, or "" where it is an earlier life of this one."""
        same_name = acting_host.split("/")[0] == self._host.split("/")[0]
        return "" if same_name and acting_host != self._host else acting_host


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
