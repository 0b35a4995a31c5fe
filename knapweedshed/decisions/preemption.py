"""Chooses which running units give way to a unit that must start."""

import math
from typing import NamedTuple

from knapweedshed.decisions.packing import copies_at
from knapweedshed.models.work import Resources

SPARED_TRIES_COUNT = 12  # the dearest victims are where sparing one pays
LEAST_SIZE = 0.001  # of what takes nothing, in accelerators: keeps costs finite


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
    at_worker = _by_worker(holdings)
    best = None
    for group in groups:
        chosen = _victims_in(step, count, group, at_worker)
        if chosen is None:
            continue
        cost = sum(holding.cost for holding in chosen)
        if cost <= most_cost and (best is None or cost < best[0]):
            best = (cost, chosen)
    return None if best is None else best[1]


def _victims_in(step, count, sites, at_worker):
    clearing = _Clearing(step, sites)
    helpful = {
        holding.unit: holding
        for site in sites
        for holding in at_worker.get(site.worker_id, ())
    }
    cheapest_first = sorted(helpful.values(), key=clearing.cost_of_place)
    chosen = {}
    for holding in cheapest_first:
        if clearing.copies >= count:
            break
        clearing.stop(holding)
        chosen[holding.unit] = holding
    if clearing.copies < count:
        return None
    dearest_first = sorted(chosen.values(), key=lambda item: -item.cost)
    for holding in dearest_first[:SPARED_TRIES_COUNT]:
        clearing.spare(holding)
        if clearing.copies >= count:
            del chosen[holding.unit]
        else:
            clearing.stop(holding)
    return list(chosen.values())


class _Clearing:
    """Sites, and how many tasks of a step fit there, as units are stopped."""

    def __init__(self, step, sites):
        self._step = step
        self._sites = {site.worker_id: site for site in sites}
        self._copies = {site.worker_id: copies_at(site, step) for site in sites}
        self.copies = sum(self._copies.values())

    def cost_of_place(self, holding):
        """Return the cost of a stop for what it frees here."""
        size = sum(
            need.accelerators + need.cpu_milli / 8_000
            for worker_id, need in holding.places
            if worker_id in self._sites
        )
        return holding.cost / (size or LEAST_SIZE)

    def stop(self, holding):
        """Count what a unit holds as free."""
        self._change(holding, Resources.plus)

    def spare(self, holding):
        """Count what a unit holds as taken again."""
        self._change(holding, Resources.minus)

    def _change(self, holding, changed):
        for worker_id, need in holding.places:
            site = self._sites.get(worker_id)
            if site is None:
                continue
            site = site._replace(free=changed(site.free, need))
            self._sites[worker_id] = site
            copies = copies_at(site, self._step)
            self.copies += copies - self._copies[worker_id]
            self._copies[worker_id] = copies


def _by_worker(holdings):
    found = {}
    for holding in holdings:
        for worker_id in {worker_id for worker_id, _ in holding.places}:
            found.setdefault(worker_id, []).append(holding)
    return found
