"""Owns the callers' requests at this entry, and runs the filter chain."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.entry_messages import (
    CancelJob,
    CancelShort,
    JobReported,
    JobSettled,
    LookAt,
    PlacesReachable,
    RunShort,
    ShortEnded,
    Submit,
    SubmitJob,
    WaitFor,
    WatchJob,
)
from knapweedshed.controllers.membership import SetLeaving
from knapweedshed.controllers.messages import (
    ConfigurationInForce,
    Draining,
    Tick,
)
from knapweedshed.decisions.homes import home_of
from knapweedshed.filters.admission import AdmissionFilter
from knapweedshed.filters.answer import AnswerFilter
from knapweedshed.filters.base import Resend
from knapweedshed.filters.chain import FilterChain
from knapweedshed.filters.deadline import DeadlineFilter
from knapweedshed.filters.idempotency import RUNNER_HOME, IdempotencyFilter
from knapweedshed.filters.limits import LimitsFilter
from knapweedshed.filters.organisation import OrganisationFilter
from knapweedshed.filters.retry import RetryFilter
from knapweedshed.filters.routing import RoutingFilter
from knapweedshed.models.configuration import Configuration, ServiceKind
from knapweedshed.models.jobs import AnswerLocation, JobState, JobStatus
from knapweedshed.models.outcomes import FAILURE_TYPES
from knapweedshed.models.requests import Reply, Request
from knapweedshed.results import Result, ResultCode, is_final

RETRY_AFTER_MS = 500
KEEP_MS = 120_000
KEEP_BYTES = 64 * 1024 * 1024


class ConnectRequests(NamedTuple):
    """The actors that the requests controller talks to."""

    runners: Any
    submissions: Any
    homes: Any


class Tracked(NamedTuple):
    """A request or job that this entry knows."""

    reply: Reply
    request: Request | None = None
    waiters: tuple = ()
    ended_ms: int = 0


class RequestsController(Controller):
    """One table of requests and jobs by job id, and the filter chain."""

    def __init__(self, context, places):
        super().__init__(context)
        self._places = frozenset(places)
        self._configuration = Configuration()
        self._reachable = frozenset()
        self._leaving = False
        self._tracked = {}
        self._by_request = {}
        self._drained = []
        self._runners = None
        self._submissions = None
        self._homes = None
        clock, metrics = context.clock, context.metrics
        self._chain = FilterChain(
            (
                DeadlineFilter(),
                OrganisationFilter(lambda: self._configuration),
                AdmissionFilter(lambda: self._leaving),
                IdempotencyFilter(clock),
                LimitsFilter(),
                RoutingFilter(lambda place: place in self._reachable),
                RetryFilter(clock, metrics),
                AnswerFilter(metrics),
            )
        )

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def connect(self, message: ConnectRequests):
        """Learn the actors that this one talks to."""
        self._runners = message.runners
        self._submissions = message.submissions
        self._homes = message.homes

    @receive.register
    def in_force(self, message: ConfigurationInForce):
        """Take in the configuration."""
        self._configuration = message.configuration

    @receive.register
    def reachable(self, message: PlacesReachable):
        """Take in which data centres can be reached."""
        self._reachable = message.places

    @receive.register
    def set_leaving(self, message: SetLeaving):
        """Refuse new requests, and send those who wait for a job to other entries."""
        self._leaving = True
        for job_id, tracked in self._tracked.items():
            if tracked.reply.status.code == ResultCode.ACCEPTED:
                self._tracked[job_id] = tracked._replace(waiters=())
                for waiter in tracked.waiters:
                    waiter.set(tracked.reply)

    @receive.register
    def submit(self, message: Submit):
        """Run the chain; answer at once with what is known."""
        outcome = self._chain.enter(message.request)
        if isinstance(outcome, Reply):
            self._count(outcome)
            message.reply.set(outcome)
            return
        tracked = self._tracked.get(outcome.job_id)
        if tracked is not None:
            self._chain.leave(outcome, _pending(outcome))
            message.reply.set(tracked.reply)
            return
        reply = _pending(outcome)
        self._tracked[outcome.job_id] = Tracked(reply, outcome)
        self._by_request[outcome.request_id] = outcome.job_id
        if outcome.service.kind == ServiceKind.RUNNER:
            tell(self._runners, RunShort(outcome))
        else:
            tell(self._submissions, SubmitJob(outcome))
        message.reply.set(reply)

    @receive.register
    def wait_for(self, message: WaitFor):
        """Answer when the job has ended, or was settled."""
        tracked = self._follow(message.job_id)
        if tracked is None or is_final(tracked.reply.status.code):
            message.reply.set(tracked.reply if tracked else _not_found(message.job_id))
            return
        waiters = (*tracked.waiters, message.reply)
        self._tracked[message.job_id] = tracked._replace(waiters=waiters)

    @receive.register
    def look_at(self, message: LookAt):
        """Answer with what is known now."""
        tracked = self._follow(message.job_id)
        message.reply.set(tracked.reply if tracked else _not_found(message.job_id))

    @receive.register
    def cancel(self, message: CancelJob):
        """Pass a cancellation to the job's home, or to the queue of short work."""
        tracked = self._tracked.get(message.job_id)
        if tracked is not None and message.job_id.startswith(RUNNER_HOME):
            tell(self._runners, CancelShort(tracked.request.request_id))
        if home_of(message.job_id) in self._places:
            self._follow(message.job_id)
            tell(self._homes, message)

    @receive.register
    def short_ended(self, message: ShortEnded):
        """Take a try's outcome up the chain, which may send it again."""
        job_id = self._by_request.get(message.request_id)
        tracked = self._tracked.get(job_id)
        if tracked is None or tracked.request.attempt != message.attempt:
            self._context.metrics.count("answers.late")
            return
        reply = _short_reply(tracked.request, message)
        outcome = self._chain.leave(tracked.request, reply)
        if isinstance(outcome, Resend):
            self._tracked[job_id] = tracked._replace(request=outcome.request)
            tell(self._runners, RunShort(outcome.request))
            return
        self._settle(job_id, outcome)

    @receive.register
    def job_settled(self, message: JobSettled):
        """Take a submission's outcome up the chain; follow the job if accepted."""
        tracked = self._tracked.get(message.job_id)
        if tracked is None or tracked.request is None:
            return
        status = tracked.reply.status._replace(
            code=message.result.code, reason=message.result.reason
        )
        accepted = message.result.code == ResultCode.ACCEPTED
        if not accepted:
            status = status._replace(state=JobState.ENDED)
        reply = self._chain.leave(tracked.request, Reply(status))
        if accepted:
            request = tracked.request._replace(body=b"")
            self._tracked[message.job_id] = tracked._replace(
                reply=reply, request=request
            )
            tell(self._homes, WatchJob(message.job_id))
            return
        self._settle(message.job_id, reply)

    @receive.register
    def job_reported(self, message: JobReported):
        """Take in how a job stands at its home."""
        job_id = message.status.job_id
        tracked = self._tracked.get(job_id)
        if tracked is None or is_final(tracked.reply.status.code):
            return
        status = message.status
        if not is_final(status.code):
            status = status._replace(code=ResultCode.ACCEPTED)
            reply = Reply(status, retry_after_ms=RETRY_AFTER_MS)
            self._tracked[job_id] = tracked._replace(reply=reply)
            return
        self._settle(job_id, Reply(status))

    @receive.register
    def tick(self, message: Tick):
        """Forget what ended long ago; answer a drain."""
        now_ms = self._context.clock.now_ms()
        kept = 0
        for job_id, tracked in reversed(list(self._tracked.items())):
            if not tracked.ended_ms:
                continue
            kept += len(tracked.reply.body)
            if now_ms - tracked.ended_ms > KEEP_MS or kept > KEEP_BYTES:
                self._forget(job_id, tracked)
        self._answer_drained()

    @receive.register
    def draining(self, message: Draining):
        """Answer once no request is under way here."""
        self._drained.append(message.reply)
        self._answer_drained()

    def dump(self):
        """Return how many requests are known and under way."""
        return {
            "tracked": len(self._tracked),
            "under_way": len(self._under_way()),
            "configuration": self._configuration.offset,
            "reachable": sorted(self._reachable),
        }

    def _follow(self, job_id):
        """Return what is known of a job, asking its home if it is not known here."""
        tracked = self._tracked.get(job_id)
        if tracked is not None:
            return tracked
        if home_of(job_id) not in self._places:
            return None
        status = JobStatus(job_id, JobState.WAITING, ResultCode.PENDING)
        tracked = Tracked(Reply(status, retry_after_ms=RETRY_AFTER_MS))
        self._tracked[job_id] = tracked
        tell(self._homes, WatchJob(job_id))
        return tracked

    def _settle(self, job_id, reply):
        tracked = self._tracked[job_id]
        now_ms = self._context.clock.now_ms()
        request = tracked.request
        if request is not None:
            request = request._replace(body=b"")
            self._by_request.pop(request.request_id, None)
        self._tracked[job_id] = Tracked(reply, request, (), now_ms)
        self._count(reply)
        for waiter in tracked.waiters:
            waiter.set(reply)

    def _count(self, reply):
        self._context.metrics.count(f"request.{reply.status.code.name.lower()}")

    def _forget(self, job_id, tracked):
        del self._tracked[job_id]
        if tracked.request is not None:
            self._by_request.pop(tracked.request.request_id, None)

    def _under_way(self):
        """Return the jobs that would be lost or cut if this process stopped now."""
        return [
            job_id
            for job_id, tracked in self._tracked.items()
            if tracked.waiters
            or tracked.reply.status.code == ResultCode.PENDING
            and tracked.request is not None
        ]

    def _answer_drained(self):
        if not self._drained or self._under_way():
            return
        for reply in self._drained:
            reply.set(True)
        self._drained = []


def _pending(request):
    status = JobStatus(
        request.job_id,
        JobState.WAITING,
        ResultCode.PENDING,
        "",
        request.organisation_name,
        request.service_name,
    )
    return Reply(status, retry_after_ms=RETRY_AFTER_MS)


def _not_found(job_id):
    reason = "no such job is known here; short work is known where it was submitted"
    if not job_id.startswith(RUNNER_HOME):
        reason = "no such job is known"
    return Reply(JobStatus(job_id, JobState.ENDED, ResultCode.NOT_FOUND, reason))


def _short_reply(request, ended):
    status = _pending(request).status._replace(state=JobState.ENDED)
    outcome = ended.outcome
    if isinstance(outcome, Result):
        status = status._replace(code=outcome.code, reason=outcome.reason)
        return Reply(status, holder=ended.runner)
    if isinstance(outcome, FAILURE_TYPES):
        status = status._replace(code=ResultCode.NO_RESPONSE, reason=outcome.reason)
        return Reply(status, holder=ended.runner)
    workers = (ended.runner,)
    if outcome.failed:
        reason = outcome.body.decode("utf-8", "replace")
        status = status._replace(code=ResultCode.FAILED, reason=reason, workers=workers)
        return Reply(status, holder=ended.runner)
    location = AnswerLocation(
        ended.runner, "", request.job_id, len(outcome.body), outcome.digest
    )
    status = status._replace(
        code=ResultCode.OK, answer=location, run_ms=ended.run_ms, workers=workers
    )
    return Reply(status, outcome.body, ended.runner)
