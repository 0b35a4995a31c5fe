"""Links to one worker: one actor sends commands, one renews leases and watches."""

from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import Actor, tell
from knapweedshed.controllers.messages import (
    CommandAnswered,
    Renew,
    WorkerCommand,
    WorkerReported,
)
from knapweedshed.models.outcomes import FAILURE_TYPES

RETRY_MS = 500


class _SyncNext(NamedTuple):
    pass


class WorkerCommands(Actor):
    """Sends one command at a time to one worker, and tells what came of it."""

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
        """Send a command."""
        answer = self._send(message)
        self._context.metrics.count(f"worker.{message.verb}")
        kept = message._replace(body=b"")
        tell(message.receiver, CommandAnswered(kept, answer))

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


class WorkerWatch(Actor):
    """Renews the leases of one worker in one exchange, and reports what it holds."""

    def __init__(self, context, worker, timer, name, receiver, periods):
        super().__init__(context)
        self._worker = worker
        self._timer = timer
        self._name = name
        self._receiver = receiver
        self._periods = periods
        self._renew = ()
        self._version = -1

    def on_start(self):
        """Begin watching."""
        self.actor_ref.tell(_SyncNext())

    def on_stop(self):
        """Close the connection."""
        self._worker.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def renew(self, message: Renew):
        """Renew these leases from the next exchange on."""
        self._renew = message.lease_ids

    @receive.register
    def sync_next(self, message: _SyncNext):
        """Renew and wait at the worker for a change, up to the renewal period."""
        sent_ms = self._context.clock.now_ms()
        renewed = self._renew
        report = self._worker.sync(
            renewed, self._periods.term_ms, self._version, self._periods.renew_ms
        )
        if isinstance(report, FAILURE_TYPES):
            tell(self._receiver, WorkerReported(self._name, None, sent_ms, ()))
            self._timer.after(RETRY_MS, self.actor_ref, _SyncNext())
            return
        self._version = report.version
        tell(self._receiver, WorkerReported(self._name, report, sent_ms, renewed))
        self.actor_ref.tell(_SyncNext())
