"""Owns the runners' load and the short requests that wait for them."""

from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.entry_messages import (
    CancelShort,
    RunnerCall,
    RunnerCalled,
    RunShort,
    ShortEnded,
)
from knapweedshed.controllers.messages import RunnersKnown, Tick
from knapweedshed.decisions.health import Health
from knapweedshed.decisions.overload import WaitingLimit
from knapweedshed.decisions.prediction import create_predictor
from knapweedshed.decisions.routing import RunnerView, create_routing, smoothed
from knapweedshed.decisions.short_queue import ShortQueue, ShortRequest
from knapweedshed.models.outcomes import FAILURE_TYPES, Refused, RunnerAnswer
from knapweedshed.models.workers import Host
from knapweedshed.results import Result, ResultCode

REFUSED_PAUSE_MS = 25
SHORTEST_TRY_MS = 2_000
TRY_FACTOR = 6


class _Dispatch(NamedTuple):
    pass


class _Runner(NamedTuple):
    host: Host
    ours: int = 0
    others: int = 0
    latency_ms: float = 50.0
    full_until_ms: int = 0


class RunnersController(Controller):
    """Hands short requests to runners that have room, the most urgent first."""

    def __init__(self, context, timer, requests, callers):
        super().__init__(context)
        self._timer = timer
        self._requests = requests
        self._idle = list(callers)
        self._limit = WaitingLimit()
        self._queue = ShortQueue(self._limit.most)
        self._waiting = {}
        self._runners = {}
        self._routing = create_routing()
        self._prediction = create_predictor()
        self._health = Health()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def runners_known(self, message: RunnersKnown):
        """Take in which runners may be given new work."""
        self._runners = {
            host.name: self._runners.get(host.name, _Runner(host))._replace(host=host)
            for host in message.hosts
        }
        self._dispatch()

    @receive.register
    def run_short(self, message: RunShort):
        """Put a request into the queue; when that is full, the least one is shed."""
        request = message.request
        service = request.service
        kind = (request.organisation.name, service.name)
        waiting = ShortRequest(
            request.request_id,
            request.organisation.name,
            request.organisation.share,
            service.urgency,
            self._prediction.total_ms(kind, service.declared_run_ms),
            request.deadline_ms,
        )
        self._waiting[request.request_id] = request
        self._queue.set_most(self._limit.most)
        shed = self._queue.push(waiting)
        if shed is not None:
            self._give_up(shed, ResultCode.OVERLOADED, "shed for more urgent work")
        self._dispatch()

    @receive.register
    def called(self, message: RunnerCalled):
        """Take in what came of a call."""
        self._idle.append(message.caller)
        call = message.call
        outcome = message.outcome
        self._note_load(call.runner, outcome, message.took_ms)
        if isinstance(outcome, Refused):
            self._wait_again(call.request)
        else:
            self._limit.ended(self._context.clock.now_ms())
            self._note_health(call, outcome, message.took_ms)
            request = call.request
            ended = ShortEnded(
                request.request_id,
                request.attempt,
                call.runner,
                outcome,
                message.took_ms,
            )
            tell(self._requests, ended)
        self._dispatch()

    @receive.register
    def cancel(self, message: CancelShort):
        """Drop a request that still waits."""
        waiting = self._queue.discard(message.request_id)
        if waiting is not None:
            reason = "cancelled before it ran"
            self._give_up(waiting, ResultCode.CANCELLED, reason)

    @receive.register
    def dispatch_again(self, message: _Dispatch):
        """Try again after a runner was full."""
        self._dispatch()

    @receive.register
    def tick(self, message: Tick):
        """Expire what waited too long."""
        for late in self._queue.expired(self._context.clock.now_ms()):
            code, reason = ResultCode.EXPIRED, "its deadline came before a runner"
            if not self._runners:
                code, reason = ResultCode.NO_RUNNER, "no runner is known here"
            self._give_up(late, code, reason)
        self._context.metrics.gauge("short.waiting", len(self._queue))
        self._dispatch()

    def dump(self):
        """Return the queue's length and each runner's load."""
        return {
            "waiting": len(self._queue),
            "idle_callers": len(self._idle),
            "runners": {
                name: [runner.ours, runner.others, round(runner.latency_ms)]
                for name, runner in self._runners.items()
            },
            "health": self._health.dump(),
        }

    def _dispatch(self):
        while self._idle and len(self._queue):
            waiting = self._queue.pop()
            request = self._waiting[waiting.request_id]
            view = self._routing.choose(self._views(request), self._context.random)
            if view is None:
                self._queue.push_back(waiting)
                return
            del self._waiting[waiting.request_id]
            self._call(request, view, waiting.predicted_ms)

    def _call(self, request, view, predicted_ms):
        runner = self._runners[view.name]
        self._runners[view.name] = runner._replace(ours=runner.ours + 1)
        self._health.probe_started(view.name)
        left_ms = max(1, request.deadline_ms - self._context.clock.now_ms())
        try_ms = max(SHORTEST_TRY_MS, TRY_FACTOR * predicted_ms) << request.attempt
        call = RunnerCall(
            request,
            view.name,
            runner.host.address,
            min(left_ms, try_ms),
            self.actor_ref,
        )
        tell(self._idle.pop(), call)

    def _views(self, request):
        now_ms = self._context.clock.now_ms()
        usable = self._health.usable(sorted(self._runners), now_ms)
        untried = [name for name in usable if name not in request.tried_runners]
        views = []
        for name in untried or usable:
            runner = self._runners[name]
            slots = runner.host.slots
            busy = runner.ours + runner.others
            if runner.full_until_ms > now_ms:
                busy = max(busy, slots)
            views.append(RunnerView(name, slots, busy, runner.latency_ms))
        return views

    def _note_load(self, name, outcome, took_ms):
        runner = self._runners.get(name)
        if runner is None:
            return
        runner = runner._replace(ours=max(0, runner.ours - 1))
        if isinstance(outcome, Refused):
            now_ms = self._context.clock.now_ms()
            runner = runner._replace(full_until_ms=now_ms + REFUSED_PAUSE_MS)
            self._timer.after(REFUSED_PAUSE_MS, self.actor_ref, _Dispatch())
        elif isinstance(outcome, RunnerAnswer):
            runner = runner._replace(
                others=max(0, outcome.in_flight - runner.ours),
                latency_ms=smoothed(runner.latency_ms, took_ms),
            )
        self._runners[name] = runner

    def _note_health(self, call, outcome, took_ms):
        if isinstance(outcome, FAILURE_TYPES):
            self._health.failed(call.runner, self._context.clock.now_ms())
            return
        self._health.succeeded(call.runner)
        request = call.request
        kind = (request.organisation.name, request.service.name)
        self._prediction.observe(kind, took_ms)

    def _wait_again(self, request):
        """Queue a refused request again: a runner's refusal means it was not run."""
        self._context.metrics.count("short.refused")
        self.run_short(RunShort(request))

    def _give_up(self, waiting, code, reason):
        request = self._waiting.pop(waiting.request_id)
        result = Result(code, reason)
        self._context.metrics.count(f"short.{code.name.lower()}")
        ended = ShortEnded(request.request_id, request.attempt, "", result)
        tell(self._requests, ended)
