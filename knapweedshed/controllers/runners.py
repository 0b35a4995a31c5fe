"""Owns the load of the runners and the queue of short requests."""

from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.entry_messages import (
    CancelShortRequest,
    RunnerCall,
    RunnerCallEnded,
    RunShortRequest,
    ShortRequestEnded,
)
from knapweedshed.controllers.messages import RunnersChanged, Tick
from knapweedshed.decisions.health import HealthTracker
from knapweedshed.decisions.overload.waiting_limit import WaitingLimit
from knapweedshed.decisions.prediction import create_predictor
from knapweedshed.decisions.routing import (
    RunnerView,
    create_routing_policy,
    smooth_latency_ms,
)
from knapweedshed.decisions.short_queue import ShortQueue, ShortRequest
from knapweedshed.models.outcomes import FAILURE_TYPES, Refused, RunnerAnswer
from knapweedshed.models.workers import Host
from knapweedshed.results import Result, ResultCode

REFUSED_PAUSE_MS = 25
MIN_ATTEMPT_TIMEOUT_MS = 2_000
ATTEMPT_TIMEOUT_FACTOR = 6  # times the predicted run time


class _RetryDispatch(NamedTuple):
    """Dispatch again: a runner that refused a request may have a free slot."""


class _RunnerLoad(NamedTuple):
    """A runner's calls in progress from this entry and from others.

    `latency_ms` is a moving average of call durations that starts at 50 ms;
    `full_until_ms` is the end of the pause after a refusal.
    """

    host: Host
    own_calls: int = 0
    other_calls: int = 0
    latency_ms: float = 50.0
    full_until_ms: int = 0


class RunnersController(Controller):
    """Dispatches short requests to runners with free slots, the most urgent first."""

    def __init__(self, context, timer, requests, callers):
        super().__init__(context)
        self._timer = timer
        self._requests = requests
        self._idle_callers = list(callers)
        self._waiting_limit = WaitingLimit()
        self._queue = ShortQueue(self._waiting_limit.max_waiting)
        self._queued_requests = {}
        self._runners = {}
        self._routing = create_routing_policy()
        self._predictor = create_predictor()
        self._health = HealthTracker()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def update_runners(self, message: RunnersChanged):
        """Update the runners that accept new work."""
        self._runners = {
            host.name: self._runners.get(host.name, _RunnerLoad(host))._replace(
                host=host
            )
            for host in message.hosts
        }
        self._dispatch()

    @receive.register
    def run_short_request(self, message: RunShortRequest):
        """Queue a request; a full queue sheds the one it would serve last."""
        request = message.request
        service = request.service
        service_key = (request.organisation.name, service.name)
        queued = ShortRequest(
            request.request_id,
            request.organisation.name,
            request.organisation.share,
            service.urgency,
            self._predictor.total_ms(service_key, service.declared_run_ms),
            request.deadline_ms,
        )
        self._queued_requests[request.request_id] = request
        self._queue.set_limit(self._waiting_limit.max_waiting)
        shed = self._queue.push(queued)
        if shed is not None:
            self._reject(shed, ResultCode.OVERLOADED, "shed for more urgent work")
        self._dispatch()

    @receive.register
    def handle_call_end(self, message: RunnerCallEnded):
        """Record a call's outcome, and report it unless the runner refused the call."""
        self._idle_callers.append(message.caller)
        call = message.call
        outcome = message.outcome
        self._update_load(call.runner, outcome, message.took_ms)
        if isinstance(outcome, Refused):
            self._requeue(call.request)
        else:
            self._waiting_limit.record_end(self._context.clock.now_ms())
            self._update_health(call, outcome, message.took_ms)
            request = call.request
            ended = ShortRequestEnded(
                request.request_id,
                request.attempt,
                call.runner,
                outcome,
                message.took_ms,
            )
            tell(self._requests, ended)
        self._dispatch()

    @receive.register
    def cancel_short_request(self, message: CancelShortRequest):
        """Remove a request that is still queued."""
        queued = self._queue.discard(message.request_id)
        if queued is not None:
            reason = "cancelled before it ran"
            self._reject(queued, ResultCode.CANCELLED, reason)

    @receive.register
    def retry_dispatch(self, message: _RetryDispatch):
        """Dispatch again after a runner was full."""
        self._dispatch()

    @receive.register
    def tick(self, message: Tick):
        """Reject queued requests whose deadline has passed."""
        for overdue in self._queue.take_expired(self._context.clock.now_ms()):
            code, reason = ResultCode.EXPIRED, "its deadline came before a runner"
            if not self._runners:
                code, reason = ResultCode.NO_RUNNER, "no runner is known here"
            self._reject(overdue, code, reason)
        self._context.metrics.gauge("short.waiting", len(self._queue))
        self._dispatch()

    def dump(self):
        """Return the queue's length and each runner's load."""
        return {
            "waiting": len(self._queue),
            "idle_callers": len(self._idle_callers),
            "runners": {
                name: [runner.own_calls, runner.other_calls, round(runner.latency_ms)]
                for name, runner in self._runners.items()
            },
            "health": self._health.dump(),
        }

    def _dispatch(self):
        """Call runners until the queue, the idle callers or the free slots run out."""
        while self._idle_callers and len(self._queue):
            queued = self._queue.pop()
            request = self._queued_requests[queued.request_id]
            view = self._routing.choose(
                self._runner_views(request), self._context.random
            )
            if view is None:
                self._queue.requeue(queued)
                return
            del self._queued_requests[queued.request_id]
            self._call(request, view, queued.predicted_ms)

    def _call(self, request, view, predicted_ms):
        """Call a runner; the timeout doubles with each attempt, up to the deadline."""
        runner = self._runners[view.name]
        self._runners[view.name] = runner._replace(own_calls=runner.own_calls + 1)
        self._health.record_assignment(view.name)
        remaining_ms = max(1, request.deadline_ms - self._context.clock.now_ms())
        attempt_timeout_ms = (
            max(MIN_ATTEMPT_TIMEOUT_MS, ATTEMPT_TIMEOUT_FACTOR * predicted_ms)
            << request.attempt
        )
        call = RunnerCall(
            request,
            view.name,
            runner.host.address,
            min(remaining_ms, attempt_timeout_ms),
            self.actor_ref,
        )
        tell(self._idle_callers.pop(), call)

    def _runner_views(self, request):
        """Return the usable runners, without those already tried if others remain."""
        now_ms = self._context.clock.now_ms()
        usable = self._health.usable(sorted(self._runners), now_ms)
        untried = [name for name in usable if name not in request.tried_runners]
        views = []
        for name in untried or usable:
            runner = self._runners[name]
            slots = runner.host.slots
            busy = runner.own_calls + runner.other_calls
            if runner.full_until_ms > now_ms:
                busy = max(busy, slots)
            views.append(RunnerView(name, slots, busy, runner.latency_ms))
        return views

    def _update_load(self, name, outcome, took_ms):
        """Update a runner's load; one that refused counts as full for a short pause."""
        runner = self._runners.get(name)
        if runner is None:
            return
        runner = runner._replace(own_calls=max(0, runner.own_calls - 1))
        if isinstance(outcome, Refused):
            now_ms = self._context.clock.now_ms()
            runner = runner._replace(full_until_ms=now_ms + REFUSED_PAUSE_MS)
            self._timer.after(REFUSED_PAUSE_MS, self.actor_ref, _RetryDispatch())
        elif isinstance(outcome, RunnerAnswer):
            runner = runner._replace(
                other_calls=max(0, outcome.in_flight - runner.own_calls),
                latency_ms=smooth_latency_ms(runner.latency_ms, took_ms),
            )
        self._runners[name] = runner

    def _update_health(self, call, outcome, took_ms):
        """Record a success or failure of a runner, and learn the service's run time."""
        if isinstance(outcome, FAILURE_TYPES):
            self._health.record_failure(call.runner, self._context.clock.now_ms())
            return
        self._health.record_success(call.runner)
        request = call.request
        service_key = (request.organisation.name, request.service.name)
        self._predictor.observe(service_key, took_ms)

    def _requeue(self, request):
        """Queue a refused request again: a runner does not run what it refuses."""
        self._context.metrics.count("short.refused")
        self.run_short_request(RunShortRequest(request))

    def _reject(self, queued, code, reason):
        """End a queued request without running it."""
        request = self._queued_requests.pop(queued.request_id)
        result = Result(code, reason)
        self._context.metrics.count(f"short.{code.name.lower()}")
        ended = ShortRequestEnded(request.request_id, request.attempt, "", result)
        tell(self._requests, ended)
