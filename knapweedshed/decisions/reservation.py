"""Holds places for a waiting gang, so that small work can't starve it."""

from typing import NamedTuple

from knapweedshed.decisions.cells import cell_mask, cell_size, full_mask
from knapweedshed.decisions.placement import groups_for, mask


class Reservation(NamedTuple):
    """Masks by worker that are kept for a gang, expected free at `ready_ms`."""

    job_id: str
    masks: dict[str, int]
    ready_ms: int


def reserve(job, situation, board):
    """Return the `Reservation` that is ready first for a waiting gang, or None."""
    ends = _ends(situation, board)
    best = None
    for names in groups_for(job.shape, board):
        cells = _cells(job.shape, ends, board, names, situation.now_ms)
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


def blocks(reservation, job, now_ms):
    """Return whether `job` may not use the reserved places.

    What ends before the gang's turn, by the learned estimate, may backfill them.
    """
    if job.job_id == reservation.job_id:
        return False
    return now_ms + job.predicted_ms > reservation.ready_ms


def _ends(situation, board):
    ends = {}
    for running in situation.running:
        for place in running.placements:
            if place.worker in board.workers:
                entry = (mask(place), running.ends_ms)
                ends.setdefault(place.worker, []).append(entry)
    return ends


def _cells(shape, ends, board, names, now_ms):
    size = cell_size(shape.accelerators)
    cells = []
    for name in names:
        worker = board.workers[name]
        here = ends.get(name, ())
        known = board.free[name]
        for bits, _ in here:
            known |= bits
        known &= full_mask(worker.accelerators)
        for start in range(0, worker.accelerators, size):
            wanted = cell_mask(start, shape.accelerators)
            if known & wanted != wanted:
                continue
            ready_ms = max((end for bits, end in here if bits & wanted), default=now_ms)
            cells.append((ready_ms, name, start))
    return cells
