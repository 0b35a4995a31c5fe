"""Finds workers for the tasks of one unit."""

import math
from typing import NamedTuple

from knapweedshed.models.work import Resources

LEVELS_PER_DOUBLING = 2  # of speed: what is learned is not finer than that
LOWEST_SPEED = 0.05  # keeps the logarithm of a stalled worker finite


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


def place(step, count, sites, spread=False, wanted_speed=0.0):
    """Return `count` worker ids, or () if the tasks don't fit.

    A gang that wants one rack gets one, unless `spread` allows several. The slowest
    workers that have `wanted_speed` are taken first, so that faster ones stay free for
    work that needs them; without such, the fastest.
    """
    room = [(copies_at(site, step), site) for site in sites]
    room = [pair for pair in room if pair[0]]
    if sum(copies for copies, _ in room) < count:
        return ()
    if step.gang and step.same_rack and not spread:
        return _in_one_rack(step, count, room, wanted_speed)
    room.sort(key=lambda pair: _best_first(step, pair, wanted_speed))
    return _fill(count, room)


def place_some(step, most, sites, wanted_speed=0.0):
    """Return the worker ids of as many single tasks as fit, `most` at the most."""
    room = [(copies_at(site, step), site) for site in sites]
    room = [pair for pair in room if pair[0]]
    room.sort(key=lambda pair: _best_first(step, pair, wanted_speed))
    count = min(most, sum(copies for copies, _ in room))
    return _fill(count, room)


def _in_one_rack(step, count, room, wanted_speed):
    racks = {}
    for copies, site in room:
        racks.setdefault(site.rack, []).append((copies, site))
    best = None
    for rack, members in racks.items():
        total = sum(copies for copies, _ in members)
        if total < count:
            continue
        members.sort(key=lambda pair: _best_first(step, pair, wanted_speed))
        chosen = _fill(count, members)
        speeds = {site.worker_id: site.speed for _, site in members}
        slowest = min(speeds[worker_id] for worker_id in chosen)
        far = rack != step.data_rack and bool(step.data_rack)
        key = (far, *_speed_key(slowest, wanted_speed), total)
        if best is None or key < best[0]:
            best = (key, chosen)
    return best[1] if best else ()


def _best_first(step, pair, wanted_speed):
    copies, site = pair
    far = bool(step.data_rack) and site.rack != step.data_rack
    speed_key = _speed_key(site.speed, wanted_speed)
    return (far, *speed_key, site.free.accelerators, copies, site.worker_id)


def _speed_key(speed, wanted_speed):
    level = round(math.log2(max(speed, LOWEST_SPEED)) * LEVELS_PER_DOUBLING)
    if speed >= wanted_speed:
        return (False, level)
    return (True, -level)


def _fill(count, room):
    if not count:
        return ()
    chosen = []
    for copies, site in room:
        taken = min(copies, count - len(chosen))
        chosen.extend([site.worker_id] * taken)
        if len(chosen) == count:
            return tuple(chosen)
    return ()
