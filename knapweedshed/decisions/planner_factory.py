"""Creates planners by name."""

from knapweedshed.decisions.placement import create_placement_policy
from knapweedshed.decisions.planner import BaselinePlanner
from knapweedshed.decisions.planning import GuaranteePlanner
from knapweedshed.decisions.queue_policy import create_queue_policy


def create_planner(name="guarantee"):
    """Return the planner of this name; raises ValueError if there is none."""
    if name == "guarantee":
        return GuaranteePlanner()
    first_fit = create_placement_policy("first-fit")
    if name == "fifo":
        return BaselinePlanner(
            create_queue_policy("fifo"), first_fit, skip_unplaceable=False
        )
    if name == "fifo-skip":
        return BaselinePlanner(
            create_queue_policy("fifo"), first_fit, skip_unplaceable=True
        )
    if name == "strict-priority":
        return GuaranteePlanner(
            create_queue_policy("strict-priority"),
            first_fit,
            lending=False,
            reserving=False,
        )
    raise ValueError(f"unknown planner {name!r}")
