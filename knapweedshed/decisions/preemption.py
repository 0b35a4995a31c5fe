"""Chooses which running units give way to a unit that must start."""

import math
from typing import NamedTuple

from knapweedshed.decisions.packing import place

SPARED_TRIES_COUNT = 12  # the dearest victims are where sparing one pays


class Holding(NamedTuple):
    """A running unit: where it holds what, and the work that a stop would lose.

    `places` has (worker id, need) for each of its tasks.
    """

    unit: object
    places: tuple
    cost: float


def choose_victims(step, count, sites, holdings, spread=False, most_cost=math.inf):
    """Return the holdings to stop so that the tasks fit, or None if nothing helps
    that costs no more than `most_cost` core-seconds.

    Cheapest first until it fits; then each that turns out to be needless is spared,
    the dearest first. For work that wants one rack each rack is tried by itself.
    """
    groups = [sites]
    if step.gang and step.same_rack and not spread:
        racks = {}
        for site in sites:
            racks.setdefault(site.rack, []).append(site)
        groups = list(racks.values())
    best = None
    for group in groups:
        chosen = _victims_in(step, count, group, holdings, spread)
        if chosen is None:
            continue
        cost = sum(holding.cost for holding in chosen)
        if cost <= most_cost and (best is None or cost < best[0]):
            best = (cost, chosen)
    return None if best is None else best[1]


def _victims_in(step, count, sites, holdings, spread):
    here = {site.worker_id for site in sites}
    helpful = [
        holding
        for holding in holdings
        if any(worker_id in here for worker_id, _ in holding.places)
    ]
    helpful.sort(key=lambda holding: holding.cost / _accelerators(holding, here))

    def fits(chosen):
        return bool(place(step, count, _freed(sites, chosen), spread))

    if not fits(helpful):
        return None
    chosen = helpful[: _shortest_prefix(helpful, fits)]
    dearest_first = sorted(chosen, key=lambda item: -item.cost)
    for holding in dearest_first[:SPARED_TRIES_COUNT]:
        fewer = [item for item in chosen if item is not holding]
        if fits(fewer):
            chosen = fewer
    return chosen


def _shortest_prefix(helpful, fits):
    """Return how many of the cheapest suffice; all of them do."""
    low, high = 0, len(helpful)
    while low < high:
        middle = (low + high) // 2
        if fits(helpful[:middle]):
            high = middle
        else:
            low = middle + 1
    return low


def _accelerators(holding, here):
    """Return what a stop would free here, as a number above 0."""
    freed = [need for worker_id, need in holding.places if worker_id in here]
    return sum(need.accelerators + need.cpu_milli / 8_000 for need in freed) or 0.001


def _freed(sites, holdings):
    extra = {}
    for holding in holdings:
        for worker_id, need in holding.places:
            extra.setdefault(worker_id, []).append(need)
    freed = []
    for site in sites:
        free = site.free
        for need in extra.get(site.worker_id, ()):
            free = free.plus(need)
        freed.append(site._replace(free=free))
    return freed
