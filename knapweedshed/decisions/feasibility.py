"""What an inventory can ever hold: single shapes, and all guarantees together."""

from knapweedshed.decisions.cells import cell_size
from knapweedshed.decisions.guarantees import Capacity, entitlement_of
from knapweedshed.models.shapes import Adjacency


def impossible(shape, known):
    """Return why `shape` can never run on the `known` (rack, accelerators), or ''."""
    if not known:
        return ""
    size = cell_size(shape.accelerators)
    cells = {}
    for rack, accelerators in known:
        fitting = accelerators // size + (accelerators % size >= shape.accelerators)
        cells[rack] = cells.get(rack, 0) + fitting
    if shape.adjacency == Adjacency.RACK:
        most = max(cells.values())
        where = "one rack"
    else:
        most = sum(cells.values())
        where = "this data centre"
    if most >= shape.members:
        return ""
    return (
        f"{shape.members} members of {shape.accelerators} adjacent accelerators:"
        f" {where} holds {most} at the most"
    )


def check_guarantees(organisations, data_centre, known):
    """Return why the guarantees can't be packed into an empty inventory, or ''."""
    capacity = Capacity((rack, (1 << accelerators) - 1) for rack, accelerators in known)
    packed = []
    for organisation in organisations:
        packed.append(entitlement_of(organisation, data_centre))
        missing = capacity.deficit(packed)
        if missing:
            return (
                f"organisation {organisation.name!r}: its guarantee in {data_centre}"
                f" doesn't fit beside the others; {missing} accelerators are missing"
            )
    return ""
