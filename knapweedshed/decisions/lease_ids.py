"""Lease ids, which contain the lease's worker and the worker's incarnation.

Only that incarnation can tell what became of the lease.
"""

_SEPARATOR = "~"


def lease_id_of(worker, incarnation, suffix):
    """Return the lease id for a grant by an incarnation of a worker."""
    return _SEPARATOR.join((worker, incarnation, suffix))


def worker_of(lease_id):
    """Return the worker in a lease id."""
    return lease_id.split(_SEPARATOR)[0]


def incarnation_of(lease_id):
    """Return the incarnation in a lease id; raises IndexError if it has none."""
    return lease_id.split(_SEPARATOR)[1]
