"""Free accelerators of a data centre, by worker reports and own allocations."""

from knapweedshed.decisions.cells import full_mask, mask_of
from knapweedshed.models.planning import WorkerView
from knapweedshed.models.workers import ENDED_LEASE_STATES


class Inventory:
    """Builds `WorkerView`s from worker reports and this scheduler's allocations.

    Accelerators that this scheduler has allocated count as busy even if no report lists
    a lease on them, as a report may be older than a launch.
    """

    def __init__(self):
        self._hosts = {}
        self._leaving = frozenset()
        self._reports = {}
        self._allocated = {}

    @property
    def reports(self):
        """The last report of each reachable worker, by name."""
        return self._reports

    def update_hosts(self, hosts, leaving):
        """Replace the listed workers; return the names that are no longer listed.

        `leaving` holds the names of workers that must get no new jobs.
        """
        names = {host.name for host in hosts}
        removed_names = set(self._hosts) - names
        self._hosts = {host.name: host for host in hosts}
        self._leaving = frozenset(leaving)
        for name in removed_names:
            self._reports.pop(name, None)
        return removed_names

    def update_report(self, name, report):
        """Store a worker's report; None marks the worker as unreachable."""
        if report is None:
            self._reports.pop(name, None)
        elif name in self._hosts:
            self._reports[name] = report

    def allocate(self, job_id, placements):
        """Record that a job holds these placements."""
        self._allocated[job_id] = placements

    def release(self, job_id):
        """Record that a job holds no placements."""
        self._allocated.pop(job_id, None)

    def unheard(self):
        """Return the sorted names of listed workers without a report."""
        return sorted(set(self._hosts) - set(self._reports))

    def worker_views(self, usable):
        """Return `WorkerView`s of the workers in `usable` that may get jobs.

        Workers without a report and leaving workers are left out.
        """
        busy_masks = self._busy_masks()
        views = []
        for name in usable:
            report = self._reports.get(name)
            if report is None or name in self._leaving:
                continue
            free = full_mask(report.accelerators) & ~busy_masks.get(name, 0)
            rack = self._hosts[name].rack
            views.append(
                WorkerView(name, rack, report.accelerators, report.speed, free)
            )
        return tuple(views)

    def worker_sizes(self):
        """Return (rack, accelerators) of workers that reported and are not leaving."""
        return tuple(
            (self._hosts[name].rack, report.accelerators)
            for name, report in sorted(self._reports.items())
            if name not in self._leaving
        )

    def address_of(self, name):
        """Return a worker's address, or '' if it is not listed."""
        host = self._hosts.get(name)
        return host.address if host else ""

    def rack_of(self, name):
        """Return a worker's rack, or '' if it is not listed."""
        host = self._hosts.get(name)
        return host.rack if host else ""

    def names(self):
        """Return the sorted names of all listed workers."""
        return sorted(self._hosts)

    def _busy_masks(self):
        """Return the masks of leased or allocated accelerators by worker."""
        busy_masks = {}
        for name, report in self._reports.items():
            for lease in report.leases:
                if lease.state not in ENDED_LEASE_STATES:
                    bits = mask_of(lease.accelerators)
                    busy_masks[name] = busy_masks.get(name, 0) | bits
        for placements in self._allocated.values():
            for placement in placements:
                bits = mask_of(placement.accelerators)
                busy_masks[placement.worker] = (
                    busy_masks.get(placement.worker, 0) | bits
                )
        return busy_masks
