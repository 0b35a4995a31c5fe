"""Lease ids name the worker and the incarnation that must vouch for them."""

_SEPARATOR = "~"


def lease_id_of(worker, incarnation, suffix):
    """Return a lease id for a grant by this incarnation of a worker."""
    return _SEPARATOR.join((worker, incarnation, suffix))


def worker_of(lease_id):
    """Return the worker that a lease id names."""
    return lease_id.split(_SEPARATOR)[0]


def incarnation_of(lease_id):
    """Return the worker's incarnation that a lease id names."""
    return lease_id.split(_SEPARATOR)[1]
