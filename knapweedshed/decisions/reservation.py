"""Reserves accelerators for a waiting gang, so that small jobs can't starve it."""

from typing import NamedTuple

from knapweedshed.decisions.cells import cell_mask, cell_size, full_mask
from knapweedshed.decisions.placement import candidate_groups, placement_mask


class Reservation(NamedTuple):
    """Accelerator masks by worker, reserved for one job.

    All of them are predicted to be free at `ready_ms`, in milliseconds of the planner's
    clock.
    """

    job_id: str
    masks: dict[str, int]
    ready_ms: int


def earliest_reservation(job, planning_input, pool):
    """Return the `Reservation` with the earliest predicted start, or None."""
    ends = _predicted_ends(planning_input, pool)
    best = None
    for names in candidate_groups(job.shape, pool):
        cells = _candidate_cells(job.shape, ends, pool, names, planning_input.now_ms)
        if len(cells) < job.shape.members:
            continue
        cells.sort()
        chosen = cells[: job.shape.members]
        ready_ms = chosen[-1][0]
        if best is None or ready_ms < best[0]:
            best = (ready_ms, chosen)
    if best is None:
        return None
    masks = {}
    for _, name, start in best[1]:
        wanted = cell_mask(start, job.shape.accelerators)
        masks[name] = masks.get(name, 0) | wanted
    return Reservation(job.job_id, masks, best[0])


def is_blocked(reservation, job, now_ms):
    """Return whether `job` may not use the reserved accelerators.

    A job that is predicted to end before the reserved start may backfill them.
    """
    if job.job_id == reservation.job_id:
        return False
    return now_ms + job.predicted_run_ms > reservation.ready_ms


def _predicted_ends(planning_input, pool):
    """Return lists of (accelerator mask, predicted end in ms) by worker."""
    ends = {}
    for running in planning_input.running:
        for placement in running.placements:
            if placement.worker in pool.workers:
                entry = (placement_mask(placement), running.predicted_end_ms)
                ends.setdefault(placement.worker, []).append(entry)
    return ends


def _candidate_cells(shape, ends, pool, names, now_ms):
    """Return (ready ms, worker, start) of each cell that is or will be free."""
    size = cell_size(shape.accelerators)
    cells = []
    for name in names:
        worker = pool.workers[name]
        worker_ends = ends.get(name, ())
        usable = pool.free[name]
        for bits, _ in worker_ends:
            usable |= bits
        usable &= full_mask(worker.accelerators)
        for start in range(0, worker.accelerators, size):
            wanted = cell_mask(start, shape.accelerators)
            if usable & wanted != wanted:
                continue
            ready_ms = max(
                (end for bits, end in worker_ends if bits & wanted), default=now_ms
            )
            cells.append((ready_ms, name, start))
    return cells
