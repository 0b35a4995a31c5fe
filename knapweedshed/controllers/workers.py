"""Owns the links to the data centre's workers, and which leases they renew."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    ActingChanged,
    CommandAnswered,
    RenewLeases,
    WorkerCommand,
    WorkerReported,
    WorkersChanged,
)
from knapweedshed.decisions.lease_ids import worker_of
from knapweedshed.links.workers import WorkerCommandLink, WorkerSyncLink
from knapweedshed.models.outcomes import NotSent
from knapweedshed.models.workers import ENDED_LEASE_STATES

RENEW_MS_PER_WORKER = 75


class LeasePeriods:
    """The lease term and renewal period in ms; both grow with the number of workers."""

    def __init__(self, term_ms, renew_ms):
        self._term_ms = term_ms
        self._renew_ms = renew_ms
        self._worker_count = 0

    @property
    def renew_ms(self):
        """For how many ms at most a sync waits at its worker; the next one renews."""
        return max(self._renew_ms, self._worker_count * RENEW_MS_PER_WORKER)

    @property
    def term_ms(self):
        """For how many ms a renewal extends a lease: at least three renewal periods."""
        return max(self._term_ms, 3 * self.renew_ms)

    def set_worker_count(self, worker_count):
        """Set the number of workers."""
        self._worker_count = worker_count


class _WorkerLinks(NamedTuple):
    """A worker's address and the two actors that own connections to it."""

    address: str
    commands: Any
    sync_link: Any


class WorkersController(Controller):
    """Opens and closes links as workers come and go, and keeps their leases renewed.

    While this scheduler acts, the sync with each worker renews every live lease in the
    worker's report. A lease that should end is freed by an explicit command.
    """

    def __init__(self, context, timer, platform, periods, receivers):
        super().__init__(context)
        self._timer = timer
        self._platform = platform
        self._periods = periods
        self._receivers = receivers
        self._links = {}
        self._acting = False
        self._reports = {}

    def on_stop(self):
        """Stop the links, without waiting for their requests in progress."""
        for links in self._links.values():
            _stop_links(links)

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def update_workers(self, message: WorkersChanged):
        """Open links to new workers, and close those of workers that are gone."""
        hosts = {host.name: host for host in message.hosts}
        self._periods.set_worker_count(len(hosts))
        for name, links in list(self._links.items()):
            host = hosts.get(name)
            if host is None or host.address != links.address:
                _stop_links(links)
                del self._links[name]
                self._reports.pop(name, None)
        for name, host in hosts.items():
            if name not in self._links:
                self._links[name] = self._open_links(host)

    @receive.register
    def handle_acting_changed(self, message: ActingChanged):
        """Begin or stop renewing leases."""
        self._acting = message.acting
        for name in self._links:
            self._set_renewals(name)

    @receive.register
    def send_command(self, message: WorkerCommand):
        """Pass a command to the link of the worker that its lease id names."""
        links = self._links.get(worker_of(message.lease_id))
        if links is None:
            answer = NotSent("no such worker is listed")
            tell(message.receiver, CommandAnswered(message._replace(body=b""), answer))
            return
        tell(links.commands, message)

    @receive.register
    def handle_worker_report(self, message: WorkerReported):
        """Renew the live leases of a report, and pass the report on."""
        if message.worker not in self._links:
            return
        if message.report is not None:
            self._reports[message.worker] = message.report
            self._set_renewals(message.worker)
        for receiver in self._receivers:
            tell(receiver, message)

    def dump(self):
        """Return the lease term, renewal period and number of leases by worker."""
        return {
            "acting": self._acting,
            "term_ms": self._periods.term_ms,
            "renew_ms": self._periods.renew_ms,
            "leases": {name: len(r.leases) for name, r in self._reports.items()},
        }

    def _open_links(self, host):
        commands = WorkerCommandLink.start(
            self._context, self._platform.worker(host.address)
        )
        sync_link = WorkerSyncLink.start(
            self._context,
            self._platform.worker(host.address),
            self._timer,
            host.name,
            self.actor_ref,
            self._periods,
        )
        return _WorkerLinks(host.address, commands, sync_link)

    def _set_renewals(self, name):
        """Tell a worker's sync link which leases to renew: the live ones, or none."""
        report = self._reports.get(name)
        if report is None:
            return
        renewed = ()
        if self._acting:
            renewed = tuple(
                lease.lease_id
                for lease in report.leases
                if lease.state not in ENDED_LEASE_STATES
            )
        tell(self._links[name].sync_link, RenewLeases(renewed))


def _stop_links(links):
    links.commands.stop(block=False)
    links.sync_link.stop(block=False)
