"""Hosts that may be given new work; an incarnation that leaves never comes back."""

from typing import NamedTuple

from knapweedshed.models.workers import HostState


class HostMembership(NamedTuple):
    """A host, and whether it is leaving and so gets no new work."""

    host: object
    leaving: bool


class HostRegistry:
    """Combines the platform's host list with the notices of hosts and peers.

    A host is leaving as soon as any source says so, and only a new incarnation of the
    host may be given work again. An empty or missing list has no effect.
    """

    def __init__(self):
        self._hosts = {}
        self._leaving = {}

    def update_listing(self, hosts):
        """Apply the platform's host list; an empty list is ignored."""
        if not hosts:
            return
        for host in hosts:
            if host.state == HostState.LEAVING:
                self.mark_leaving(host.name, host.incarnation)
        self._hosts = {host.name: host for host in hosts}

    def mark_leaving(self, name, incarnation):
        """Record that an incarnation of a host is leaving."""
        self._leaving.setdefault(name, set()).add(incarnation)

    def hosts_of_role(self, role, data_centre):
        """Return `HostMembership` of each listed host of a role in a data centre."""
        return tuple(
            HostMembership(host, host.incarnation in self._leaving.get(name, ()))
            for name, host in sorted(self._hosts.items())
            if host.role == role and host.data_centre == data_centre
        )
