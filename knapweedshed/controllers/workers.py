"""Owns the links to the data centre's workers, and which leases are renewed."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.messages import (
    ActingChanged,
    CommandAnswered,
    Renew,
    WorkerCommand,
    WorkerReported,
    WorkersKnown,
)
from knapweedshed.decisions.lease_ids import worker_of
from knapweedshed.links.workers import WorkerCommands, WorkerWatch
from knapweedshed.models.outcomes import NotSent
from knapweedshed.models.workers import ENDED_LEASE_STATES

RENEW_MS_PER_WORKER = 75


class Periods:
    """The lease term and renewal period, which grow with the number of workers."""

    def __init__(self, term_ms, renew_ms):
        self._term_ms = term_ms
        self._renew_ms = renew_ms
        self._workers = 0

    @property
    def renew_ms(self):
        """How long a watch waits at its worker between renewals."""
        return max(self._renew_ms, self._workers * RENEW_MS_PER_WORKER)

    @property
    def term_ms(self):
        """For how long a renewal makes a lease live."""
        return max(self._term_ms, 3 * self.renew_ms)

    def scale(self, workers):
        """Set the number of workers."""
        self._workers = workers


class _Links(NamedTuple):
    address: str
    commands: Any
    watch: Any


class WorkersController(Controller):
    """Makes and ends links as workers come and go; renews whatever they hold.

    While acting, every live lease of a report is renewed in one exchange for each
    worker; whoever should end is freed by name.
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
        """Stop the links without waiting for what they wait for."""
        for links in self._links.values():
            _stop_links(links)

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def workers_known(self, message: WorkersKnown):
        """Open links to new workers, and close those of workers that are gone."""
        hosts = {host.name: host for host in message.hosts}
        self._periods.scale(len(hosts))
        for name, links in list(self._links.items()):
            host = hosts.get(name)
            if host is None or host.address != links.address:
                _stop_links(links)
                del self._links[name]
                self._reports.pop(name, None)
        for name, host in hosts.items():
            if name not in self._links:
                self._links[name] = self._open(host)

    @receive.register
    def acting(self, message: ActingChanged):
        """Begin or end renewing."""
        self._acting = message.acting
        for name in self._links:
            self._set_renewals(name)

    @receive.register
    def command(self, message: WorkerCommand):
        """Send a command to the worker that its lease id names."""
        links = self._links.get(worker_of(message.lease_id))
        if links is None:
            answer = NotSent("no such worker is listed")
            tell(message.receiver, CommandAnswered(message._replace(body=b""), answer))
            return
        tell(links.commands, message)

    @receive.register
    def reported(self, message: WorkerReported):
        """Renew what a report shows, and pass it on."""
        if message.worker not in self._links:
            return
        if message.report is not None:
            self._reports[message.worker] = message.report
            self._set_renewals(message.worker)
        for receiver in self._receivers:
            tell(receiver, message)

    def dump(self):
        """Return the number of leases that each worker shows."""
        return {
            "acting": self._acting,
            "term_ms": self._periods.term_ms,
            "renew_ms": self._periods.renew_ms,
            "leases": {name: len(r.leases) for name, r in self._reports.items()},
        }

    def _open(self, host):
        commands = WorkerCommands.start(
            self._context, self._platform.worker(host.address)
        )
        watch = WorkerWatch.start(
            self._context,
            self._platform.worker(host.address),
            self._timer,
            host.name,
            self.actor_ref,
            self._periods,
        )
        return _Links(host.address, commands, watch)

    def _set_renewals(self, name):
        report = self._reports.get(name)
        if report is None:
            return
        live = ()
        if self._acting:
            live = tuple(
                lease.lease_id
                for lease in report.leases
                if lease.state not in ENDED_LEASE_STATES
            )
        tell(self._links[name].watch, Renew(live))


def _stop_links(links):
    links.commands.stop(block=False)
    links.watch.stop(block=False)
