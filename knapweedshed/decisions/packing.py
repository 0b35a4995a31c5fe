"""Finds workers for the tasks of one unit."""

from typing import NamedTuple

from knapweedshed.models.work import Resources


class Site(NamedTuple):
    """A worker as a place for tasks; `resident` counts tasks of the step there."""

    worker_id: str
    rack: str
    labels: tuple[str, ...]
    free: Resources
    speed: float = 1.0
    resident: int = 0


def copies_at(site, step):
    """Return how many tasks of `step` the site can take."""
    if step.label and step.label not in site.labels:
        return 0
    copies = site.free.copies_of(step.need)
    if step.most_per_worker:
        copies = min(copies, step.most_per_worker - site.resident)
    return max(0, copies)


def place(step, count, sites, spread=False):
    """Return `count` worker ids, or () if the tasks don't fit.

    A gang that wants one rack gets one, unless `spread` allows several.
    """
    room = [(copies_at(site, step), site) for site in sites]
    room = [pair for pair in room if pair[0]]
    if sum(copies for copies, _ in room) < count:
        return ()
    if step.gang and step.same_rack and not spread:
        return _in_one_rack(step, count, room)
    return _fill(count, sorted(room, key=lambda pair: _near_first(step, pair)))


def _in_one_rack(step, count, room):
    racks = {}
    for copies, site in room:
        racks.setdefault(site.rack, []).append((copies, site))
    best = None
    for rack, members in racks.items():
        total = sum(copies for copies, _ in members)
        if total < count:
            continue
        chosen = _fill(count, sorted(members, key=_tight_first))
        speeds = {site.worker_id: site.speed for _, site in members}
        slowest = min(speeds[worker_id] for worker_id in chosen)
        key = (rack != step.data_rack and bool(step.data_rack), -slowest, total)
        if best is None or key < best[0]:
            best = (key, chosen)
    return best[1] if best else ()


def _near_first(step, pair):
    copies, site = pair
    far = bool(step.data_rack) and site.rack != step.data_rack
    return (far, *_tight_first(pair))


def _tight_first(pair):
    copies, site = pair
    return (-site.speed, site.free.accelerators, copies, site.worker_id)


def _fill(count, room):
    chosen = []
    for copies, site in room:
        taken = min(copies, count - len(chosen))
        chosen.extend([site.worker_id] * taken)
        if len(chosen) == count:
            return tuple(chosen)
    return ()
