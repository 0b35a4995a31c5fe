"""Which scheduler of a data centre plans; safety never rests on the answer."""

from typing import NamedTuple

from knapweedshed.decisions.homes import rank


class Candidate(NamedTuple):
    """A live scheduler of the data centre, this one or a peer heard of lately."""

    process_id: str
    acting: bool
    leaving: bool


def is_acting(own_id, candidates):
    """Return whether the scheduler `own_id` should plan.

    A live scheduler that already acts keeps the role, so that a restarted one does
    not take it back; where two act, as after a partition, the higher rank stays.
    """
    staying = [c for c in candidates if not c.leaving]
    if not any(c.process_id == own_id for c in staying):
        return False
    acting = [c for c in staying if c.acting]
    best = max(
        acting or staying, key=lambda c: (rank(c.process_id, "acting"), c.process_id)
    )
    return best.process_id == own_id
