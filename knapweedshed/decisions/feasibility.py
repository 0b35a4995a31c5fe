"""Checks whether an empty inventory can hold a shape, or all guarantees together."""

from knapweedshed.decisions.cells import cell_size
from knapweedshed.decisions.guarantees import Capacity, full_entitlement
from knapweedshed.models.shapes import Adjacency


def infeasibility_reason(shape, worker_sizes):
    """Return why `shape` fits on no empty inventory of these workers, or ''.

    `worker_sizes` are (rack, accelerators) pairs; if there are none, nothing is known
    and the answer is ''.
    """
    if not worker_sizes:
        return ""
    size = cell_size(shape.accelerators)
    cells_by_rack = {}
    for rack, accelerators in worker_sizes:
        worker_cells = accelerators // size + (
            accelerators % size >= shape.accelerators
        )
        cells_by_rack[rack] = cells_by_rack.get(rack, 0) + worker_cells
    if shape.adjacency == Adjacency.RACK:
        max_members = max(cells_by_rack.values())
        scope = "one rack"
    else:
        max_members = sum(cells_by_rack.values())
        scope = "this data centre"
    if max_members >= shape.members:
        return ""
    return (
        f"{shape.members} members of {shape.accelerators} adjacent accelerators:"
        f" {scope} holds {max_members} at the most"
    )


def check_guarantees(organisations, data_centre, worker_sizes):
    """Return why the guarantees can't be packed into an empty inventory, or ''.

    `worker_sizes` are the (rack, accelerators) pairs of the data centre's workers.
    """
    capacity = Capacity(
        (rack, (1 << accelerators) - 1) for rack, accelerators in worker_sizes
    )
    entitlements = []
    for organisation in organisations:
        entitlements.append(full_entitlement(organisation, data_centre))
        missing = capacity.deficit(entitlements)
        if missing:
            return (
                f"organisation {organisation.name!r}: its guarantee in {data_centre}"
                f" doesn't fit beside the others; {missing} accelerators are missing"
            )
    return ""
