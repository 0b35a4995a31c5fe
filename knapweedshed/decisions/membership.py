"""Which hosts may be given new work: leaving is sticky for an incarnation."""

from typing import NamedTuple

from knapweedshed.models.workers import HostState


class Known(NamedTuple):
    """A host and whether it may be given new work."""

    host: object
    leaving: bool


class Members:
    """Folds the platform's list, hosts' own words and peers' words.

    The first source that says a host leaves wins; only a new incarnation of the host
    brings it back. A list that is empty or lost changes nothing.
    """

    def __init__(self):
        self._hosts = {}
        self._leaving = {}

    def listed(self, hosts):
        """Take in the platform's list."""
        if not hosts:
            return
        for host in hosts:
            if host.state == HostState.LEAVING:
                self.leaves(host.name, host.incarnation)
        self._hosts = {host.name: host for host in hosts}

    def leaves(self, name, incarnation):
        """Note that an incarnation of a host is leaving."""
        self._leaving.setdefault(name, set()).add(incarnation)

    def known(self, role, data_centre):
        """Return `Known` for each listed host of a role in a data centre."""
        return tuple(
            Known(host, host.incarnation in self._leaving.get(name, ()))
            for name, host in sorted(self._hosts.items())
            if host.role == role and host.data_centre == data_centre
        )
