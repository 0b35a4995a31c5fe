"""What is free in a data centre: workers' reports, less what we have just given out."""

from knapweedshed.decisions.cells import full_mask, mask_of
from knapweedshed.models.planning import WorkerView
from knapweedshed.models.workers import ENDED_STATES


class Inventory:
    """Folds worker reports and our own placements into `WorkerView`s."""

    def __init__(self):
        self._hosts = {}
        self._leaving = frozenset()
        self._reports = {}
        self._given = {}

    @property
    def reports(self):
        """The last report of each reachable worker, by name."""
        return self._reports

    def known(self, hosts, leaving):
        """Take in which workers there are; return the names that are gone."""
        names = {host.name for host in hosts}
        gone = set(self._hosts) - names
        self._hosts = {host.name: host for host in hosts}
        self._leaving = frozenset(leaving)
        for name in gone:
            self._reports.pop(name, None)
        return gone

    def reported(self, name, report):
        """Take in a report, or None for a worker that can't be reached."""
        if report is None:
            self._reports.pop(name, None)
        elif name in self._hosts:
            self._reports[name] = report

    def give(self, job_id, placements):
        """Note that a job holds these placements."""
        self._given[job_id] = placements

    def take_back(self, job_id):
        """Note that a job holds nothing more."""
        self._given.pop(job_id, None)

    def unheard(self):
        """Return the listed workers that have not reported."""
        return sorted(set(self._hosts) - set(self._reports))

    def views(self, usable):
        """Return the `WorkerView`s of those workers in `usable` that may get work."""
        busy = self._busy()
        views = []
        for name in usable:
            report = self._reports.get(name)
            if report is None or name in self._leaving:
                continue
            free = full_mask(report.accelerators) & ~busy.get(name, 0)
            rack = self._hosts[name].rack
            views.append(
                WorkerView(name, rack, report.accelerators, report.speed, free)
            )
        return tuple(views)

    def listed(self):
        """Return (rack, accelerators) of every listed worker that has reported."""
        return tuple(
            (self._hosts[name].rack, report.accelerators)
            for name, report in sorted(self._reports.items())
            if name not in self._leaving
        )

    def address_of(self, name):
        """Return a worker's address, or ''."""
        host = self._hosts.get(name)
        return host.address if host else ""

    def rack_of(self, name):
        """Return a worker's rack, or ''."""
        host = self._hosts.get(name)
        return host.rack if host else ""

    def names(self):
        """Return the names of all listed workers."""
        return sorted(self._hosts)

    def _busy(self):
        busy = {}
        for name, report in self._reports.items():
            for lease in report.leases:
                if lease.state not in ENDED_STATES:
                    bits = mask_of(lease.accelerators)
                    busy[name] = busy.get(name, 0) | bits
        for placements in self._given.values():
            for place in placements:
                bits = mask_of(place.accelerators)
                busy[place.worker] = busy.get(place.worker, 0) | bits
        return busy
