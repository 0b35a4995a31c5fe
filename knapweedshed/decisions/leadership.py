"""Decides when a host claims the scheduler's role, and when it must not act.

The log elects the acting scheduler: the first claim of the next epoch in it wins. The
rules here only choose good moments to claim. Safety rests on the epoch, which every
order to a worker carries as its fence. The leader is the acting scheduler.
"""

from typing import NamedTuple

LEADER_TIMEOUT_MS = 1_600  # three heartbeats and the answer of a slow log
HEARTBEAT_PERIOD_MS = 450  # short enough to tell a silent host from a slow log
CLAIM_JITTER_MS = 400  # spreads the claims of hosts that time out together
WEAK_HOST_DELAY_MS = 600  # above the jitter: the weakest host claims after all others
SUFFICIENT_LINK_MBPS = 50.0  # acting for 1,500 workers takes 9 Mbit/s and more
SUFFICIENT_CORES_COUNT = 1.0  # acting for 176 workers under light load takes 0.36 cores
CLAIM_RETRY_MS = 1_500  # a claim that is not read back by then is repeated
# After an outage of the log the acting host is given this time to be heard again: its
# last append may only now have timed out.
RETURN_GRACE_MS = 1_000
MAX_ACTING_WITHOUT_LOG_MS = 10_000  # since the last read; outlasts the log's outages


class LeadershipState(NamedTuple):
    """A host's knowledge about the scheduler's role.

    `leader_heard_ms` is when this host last read a record of the acting scheduler, or
    when it first caught up with the log. `log_read_ms` is when the log last answered a
    read. `claimed_ms` is when this host last claimed, or -1. `caught_up` means that it
    has read the whole log once, `leaving` that it is stopping.
    """

    host: str
    epoch: int
    acting_host: str
    caught_up: bool
    leader_heard_ms: int
    log_read_ms: int
    claimed_ms: int = -1
    leaving: bool = False


class LeaderElection:
    """One host's part in the election; the `ledger` arguments are its `WorkLedger`.

    `host` is its name and incarnation, separated by a slash; `cores` is its number of
    processor cores, `link_mbps` the bandwidth of its link; `random` provides the
    jitter.
    """

    def __init__(self, host, cores, random, now_ms, link_mbps=SUFFICIENT_LINK_MBPS):
        self._host = host
        self._cores = cores
        self._link_mbps = link_mbps
        self._random = random
        self._leader_heard_ms = now_ms
        self._log_read_ms = now_ms
        self._caught_up = False
        self._claimed_ms = -1
        self._delay_ms = claim_delay_ms(cores, random, link_mbps)
        self._leaving = False
        self._fenced_epoch = 0

    def note_log_read(self, now_ms, caught_up):
        """Note a successful read; the leader timeout starts once caught up.

        A leader that was not heard while this host could not read is not silent yet.
        """
        if now_ms - self._log_read_ms > LEADER_TIMEOUT_MS:
            self._leader_heard_ms = max(
                self._leader_heard_ms, now_ms - LEADER_TIMEOUT_MS + RETURN_GRACE_MS
            )
        self._log_read_ms = now_ms
        if caught_up and not self._caught_up:
            self._caught_up = True
            self._leader_heard_ms = now_ms

    def note_gap(self):
        """Note that records were missed: who acts isn't known before the log's end."""
        self._caught_up = False

    def note_leader_heard(self, now_ms):
        """Note that a record of the acting scheduler was read."""
        self._leader_heard_ms = now_ms

    def leave(self):
        """Stop claiming, because this host is stopping."""
        self._leaving = True

    def note_fenced(self, epoch):
        """Note that a worker has seen a higher fence than `epoch`."""
        self._fenced_epoch = epoch

    def should_act(self, ledger):
        """Return whether this host acts by the log, and no worker has fenced it."""
        return is_acting_host(self._state(ledger)) and self._fenced_epoch < ledger.epoch

    def may_send_orders(self, ledger, now_ms):
        """Return whether this host may still send orders to workers."""
        return may_send_orders(self._state(ledger), now_ms)

    def take_claim(self, ledger, now_ms):
        """Return whether to claim the next epoch now; if so, mark it as claimed."""
        if not should_claim(self._state(ledger), now_ms, self._delay_ms):
            return False
        self._claimed_ms = now_ms
        self._delay_ms = claim_delay_ms(self._cores, self._random, self._link_mbps)
        return True

    def _state(self, ledger):
        return LeadershipState(
            self._host,
            ledger.epoch,
            self._live_acting_host(ledger.acting_host),
            self._caught_up,
            self._leader_heard_ms,
            self._log_read_ms,
            self._claimed_ms,
            self._leaving,
        )

    def _live_acting_host(self, acting_host):
        """Return the acting host, or "" if it is an earlier incarnation of this one."""
        same_name = acting_host.split("/")[0] == self._host.split("/")[0]
        return "" if same_name and acting_host != self._host else acting_host


def is_acting_host(state):
    """Return whether the log names this host as the acting scheduler."""
    return state.epoch > 0 and state.acting_host == state.host


def may_send_orders(state, now_ms):
    """Return whether this host acts and has read the log recently enough for orders."""
    return (
        is_acting_host(state) and now_ms - state.log_read_ms < MAX_ACTING_WITHOUT_LOG_MS
    )


def claim_delay_ms(cores, random, link_mbps=SUFFICIENT_LINK_MBPS):
    """Return how long a host delays its claim: a jitter, and more if it is weak.

    A host is as weak as the weaker of its processor and its link.
    """
    strength = min(cores / SUFFICIENT_CORES_COUNT, link_mbps / SUFFICIENT_LINK_MBPS)
    weakness = max(0.0, 1 - strength)
    return random.randrange(CLAIM_JITTER_MS) + int(weakness * WEAK_HOST_DELAY_MS)


def should_claim(state, now_ms, delay_ms):
    """Return whether to claim the next epoch now.

    A host claims `delay_ms` after the leader timeout, or after the role became free.
    It does not claim while its own reads of the log fail.
    """
    if state.leaving or not state.caught_up or is_acting_host(state):
        return False
    if now_ms - state.log_read_ms > LEADER_TIMEOUT_MS:
        return False
    if state.claimed_ms >= 0 and now_ms - state.claimed_ms < CLAIM_RETRY_MS:
        return False
    silent_ms = now_ms - state.leader_heard_ms
    if not state.acting_host:
        return silent_ms >= delay_ms
    return silent_ms >= LEADER_TIMEOUT_MS + delay_ms
