"""Actors that call one worker: one sends commands, the other syncs leases and state."""

from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.messages import (
    CommandAnswered,
    RenewLeases,
    WorkerCommand,
    WorkerReported,
)
from knapweedshed.models.outcomes import FAILURE_TYPES

RETRY_DELAY_MS = 500


class _SyncNext(NamedTuple):
    pass


class WorkerCommandLink(Actor):
    """Sends commands to one worker, one at a time, and reports their outcomes."""

    def __init__(self, context, worker):
        super().__init__(context)
        self._worker = worker

    def on_stop(self):
        """Close the connection."""
        self._worker.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def command(self, message: WorkerCommand):
        """Send a command; the outcome repeats it without its body."""
        answer = self._send(message)
        self._context.metrics.count(f"worker.{message.verb}")
        without_body = message._replace(body=b"")
        tell(message.receiver, CommandAnswered(without_body, answer))

    def _send(self, command):
        worker = self._worker
        lease_id = command.lease_id
        if command.verb == "grant":
            return worker.grant(
                lease_id, command.labels, command.accelerators, command.term_ms
            )
        if command.verb == "release":
            return worker.release(lease_id)
        if command.verb == "stop":
            return worker.stop(lease_id, True)
        if command.verb == "free":
            return worker.free(lease_id)
        held = command.verb == "start-held"
        return worker.start(
            lease_id, command.program, command.body, held, command.checkpoint
        )


class WorkerSyncLink(Actor):
    """Renews the leases of one worker and reports its state, both in one exchange."""

    def __init__(self, context, worker, timer, name, receiver, periods):
        super().__init__(context)
        self._worker = worker
        self._timer = timer
        self._name = name
        self._receiver = receiver
        self._periods = periods
        self._lease_ids = ()
        self._known_version = -1

    def on_start(self):
        """Start syncing."""
        self.actor_ref.tell(_SyncNext())

    def on_stop(self):
        """Close the connection."""
        self._worker.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def renew(self, message: RenewLeases):
        """Set the leases to renew from the next exchange on."""
        self._lease_ids = message.lease_ids

    @receive.register
    def sync_next(self, message: _SyncNext):
        """Renew the leases and wait up to the renewal period for a change of state."""
        sent_ms = self._context.clock.now_ms()
        lease_ids = self._lease_ids
        report = self._worker.sync(
            lease_ids,
            self._periods.term_ms,
            self._known_version,
            self._periods.renew_ms,
        )
        if isinstance(report, FAILURE_TYPES):
            tell(self._receiver, WorkerReported(self._name, None, sent_ms, ()))
            self._timer.after(RETRY_DELAY_MS, self.actor_ref, _SyncNext())
            return
        self._known_version = report.version
        tell(self._receiver, WorkerReported(self._name, report, sent_ms, lease_ids))
        self.actor_ref.tell(_SyncNext())
