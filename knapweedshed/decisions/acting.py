"""Choice of the acting scheduler of a data centre, which plans its jobs.

Safety doesn't depend on this choice: several schedulers may act at the same time.
"""

from typing import NamedTuple

from knapweedshed.decisions.homes import rendezvous_weight


class Candidate(NamedTuple):
    """A live scheduler: this process, or a peer with a recent heartbeat."""

    process_id: str
    acting: bool
    leaving: bool


def should_act(own_id, candidates):
    """Return whether the scheduler `own_id` should be the acting one.

    A live scheduler that is already acting keeps the role, so a restarted one doesn't
    take it back. If two are acting, as after a network partition, the one with the
    higher rendezvous hashing weight stays.
    """
    staying = [c for c in candidates if not c.leaving]
    if not any(c.process_id == own_id for c in staying):
        return False
    acting = [c for c in staying if c.acting]
    best = max(
        acting or staying,
        key=lambda c: (rendezvous_weight(c.process_id, "acting"), c.process_id),
    )
    return best.process_id == own_id
