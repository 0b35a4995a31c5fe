"""Assigns the tasks of a unit to workers."""

import math
from typing import NamedTuple

from knapweedshed.models.work import Resources

SPEED_LEVELS_PER_DOUBLING = 2  # learned speeds are no more precise than this
MIN_RANKED_SPEED_RATIO = 0.05  # keeps the logarithm of a stalled worker's speed finite


class WorkerCapacity(NamedTuple):
    """The free capacity and the properties of a worker, as placement considers them.

    `speed` is relative to the average worker. `resident_tasks` is how many tasks of
    the step to place are already at the worker.
    """

    worker_id: str
    rack: str
    labels: tuple[str, ...]
    free: Resources
    speed: float = 1.0
    resident_tasks: int = 0


def count_fitting_tasks(worker, step):
    """Return how many more tasks of `step` the worker can take."""
    if step.label and step.label not in worker.labels:
        return 0
    fitting = worker.free.copies_that_fit(step.need)
    if step.most_per_worker:
        fitting = min(fitting, step.most_per_worker - worker.resident_tasks)
    return max(0, fitting)


def place(step, count, workers, multi_rack=False, target_speed=0.0):
    """Return `count` worker ids, one for each task, or () if the tasks don't all fit.

    A gang with `same_rack` is placed within one rack, unless `multi_rack` is set. The
    slowest workers that reach `target_speed` are preferred, which leaves faster ones
    free for work that needs them; if none reaches it, the fastest are preferred.
    """
    candidates = [(count_fitting_tasks(worker, step), worker) for worker in workers]
    candidates = [candidate for candidate in candidates if candidate[0]]
    if sum(fitting for fitting, _ in candidates) < count:
        return ()
    if step.gang and step.same_rack and not multi_rack:
        return _place_in_one_rack(step, count, candidates, target_speed)
    candidates.sort(key=lambda candidate: _preference(step, candidate, target_speed))
    return _assign_in_order(count, candidates)


def place_up_to(step, max_count, workers, target_speed=0.0):
    """Return worker ids for as many single tasks as fit, at most `max_count`."""
    candidates = [(count_fitting_tasks(worker, step), worker) for worker in workers]
    candidates = [candidate for candidate in candidates if candidate[0]]
    candidates.sort(key=lambda candidate: _preference(step, candidate, target_speed))
    count = min(max_count, sum(fitting for fitting, _ in candidates))
    return _assign_in_order(count, candidates)


def _place_in_one_rack(step, count, candidates, target_speed):
    """Place a gang in the preferred rack that has room for all of it, or return ().

    The data rack is preferred, then a suitable speed of the slowest chosen worker,
    then the rack with the least room.
    """
    racks = {}
    for fitting, worker in candidates:
        racks.setdefault(worker.rack, []).append((fitting, worker))
    best = None
    for rack, members in racks.items():
        total = sum(fitting for fitting, _ in members)
        if total < count:
            continue
        members.sort(key=lambda candidate: _preference(step, candidate, target_speed))
        chosen = _assign_in_order(count, members)
        speeds = {worker.worker_id: worker.speed for _, worker in members}
        slowest = min(speeds[worker_id] for worker_id in chosen)
        remote = rack != step.data_rack and bool(step.data_rack)
        key = (remote, *_speed_preference(slowest, target_speed), total)
        if best is None or key < best[0]:
            best = (key, chosen)
    return best[1] if best else ()


def _preference(step, candidate, target_speed):
    """Return a sort key: the data rack, a suitable speed, then the fullest worker."""
    fitting, worker = candidate
    remote = bool(step.data_rack) and worker.rack != step.data_rack
    speed_key = _speed_preference(worker.speed, target_speed)
    return (remote, *speed_key, worker.free.accelerators, fitting, worker.worker_id)


def _speed_preference(speed, target_speed):
    """Return a sort key: slowest first at or above the target, else fastest first."""
    level = round(
        math.log2(max(speed, MIN_RANKED_SPEED_RATIO)) * SPEED_LEVELS_PER_DOUBLING
    )
    if speed >= target_speed:
        return (False, level)
    return (True, -level)


def _assign_in_order(count, candidates):
    """Fill candidates one after the other; return worker ids, or () if too few."""
    if not count:
        return ()
    chosen = []
    for fitting, worker in candidates:
        assigned = min(fitting, count - len(chosen))
        chosen.extend([worker.worker_id] * assigned)
        if len(chosen) == count:
            return tuple(chosen)
    return ()
