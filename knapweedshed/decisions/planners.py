"""The planners, by name."""

from knapweedshed.decisions.placement import create_placement
from knapweedshed.decisions.planner import PlainPlanner
from knapweedshed.decisions.planning import GuaranteePlanner
from knapweedshed.decisions.queueing import create_queueing


def create_planner(name="guarantee"):
    """Return the planner called `name`."""
    if name == "guarantee":
        return GuaranteePlanner()
    first_fit = create_placement("first-fit")
    if name == "fifo":
        return PlainPlanner(create_queueing("fifo"), first_fit, skip=False)
    if name == "fifo-skip":
        return PlainPlanner(create_queueing("fifo"), first_fit, skip=True)
    if name == "strict-priority":
        return GuaranteePlanner(
            create_queueing("strict-priority"),
            first_fit,
            lending=False,
            reserving=False,
        )
    raise ValueError(f"unknown planner {name!r}")
