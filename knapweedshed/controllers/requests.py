"""Owns the requests of this entry's callers, and runs the filter chain."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

from knapweedshed.actors import tell
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.entry_messages import (
    CancelJob,
    CancelShortRequest,
    GetJob,
    JobReported,
    ReachableDataCentresChanged,
    RunShortRequest,
    ShortRequestEnded,
    SubmissionEnded,
    SubmitJob,
    SubmitRequest,
    WaitForJob,
    WatchJob,
)
from knapweedshed.controllers.membership import SetLeaving
from knapweedshed.controllers.messages import ConfigurationInForce, Drain, Tick
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
ENDED_RETENTION_MS = 120_000
ENDED_RETENTION_BYTES = 64 * 1024 * 1024


class ConnectRequests(NamedTuple):
    """Gives the requests controller the actors that it sends messages to."""

    runners: Any
    submissions: Any
    homes: Any


class TrackedJob(NamedTuple):
    """A request or job known at this entry, and its latest reply.

    `request` is None for a job that was submitted at another entry. `waiters` are
    futures to set to the final reply. `ended_ms` is 0 until then.
    """

    reply: Reply
    request: Request | None = None
    waiters: tuple = ()
    ended_ms: int = 0


class RequestsController(Controller):
    """Keeps the state of requests and jobs by job id, and runs the filter chain."""

    def __init__(self, context, data_centres):
        super().__init__(context)
        self._data_centres = frozenset(data_centres)
        self._configuration = Configuration()
        self._reachable = frozenset()
        self._leaving = False
        self._tracked = {}
        self._job_id_by_request_id = {}
        self._drain_replies = []
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
                RoutingFilter(lambda data_centre: data_centre in self._reachable),
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
        """Set the actors that this controller sends messages to."""
        self._runners = message.runners
        self._submissions = message.submissions
        self._homes = message.homes

    @receive.register
    def update_configuration(self, message: ConfigurationInForce):
        """Replace the configuration."""
        self._configuration = message.configuration

    @receive.register
    def set_reachable(self, message: ReachableDataCentresChanged):
        """Set which data centres can be reached."""
        self._reachable = message.data_centres

    @receive.register
    def set_leaving(self, message: SetLeaving):
        """Refuse new requests, and answer those who wait for accepted jobs.

        They can wait for an accepted job at any other entry.
        """
        self._leaving = True
        for job_id, tracked in self._tracked.items():
            if tracked.reply.status.code == ResultCode.ACCEPTED:
                self._tracked[job_id] = tracked._replace(waiters=())
                for waiter in tracked.waiters:
                    waiter.set(tracked.reply)

    @receive.register
    def submit(self, message: SubmitRequest):
        """Run a request through the chain; answer at once with its current status."""
        outcome = self._chain.enter(message.request)
        if isinstance(outcome, Reply):
            self._count_reply(outcome)
            message.reply.set(outcome)
            return
        tracked = self._tracked.get(outcome.job_id)
        if tracked is not None:
            self._chain.leave(outcome, _pending_reply(outcome))
            message.reply.set(tracked.reply)
            return
        reply = _pending_reply(outcome)
        self._tracked[outcome.job_id] = TrackedJob(reply, outcome)
        self._job_id_by_request_id[outcome.request_id] = outcome.job_id
        if outcome.service.kind == ServiceKind.RUNNER:
            tell(self._runners, RunShortRequest(outcome))
        else:
            tell(self._submissions, SubmitJob(outcome))
        message.reply.set(reply)

    @receive.register
    def wait_for_job(self, message: WaitForJob):
        """Answer once the job has ended, or at once if there is no such job."""
        tracked = self._find_or_watch(message.job_id)
        if tracked is None or is_final(tracked.reply.status.code):
            message.reply.set(
                tracked.reply if tracked else _not_found_reply(message.job_id)
            )
            return
        waiters = (*tracked.waiters, message.reply)
        self._tracked[message.job_id] = tracked._replace(waiters=waiters)

    @receive.register
    def get_job(self, message: GetJob):
        """Answer with the job's current status."""
        tracked = self._find_or_watch(message.job_id)
        message.reply.set(
            tracked.reply if tracked else _not_found_reply(message.job_id)
        )

    @receive.register
    def cancel_job(self, message: CancelJob):
        """Pass a cancellation to the job's home, or to the queue of short requests."""
        tracked = self._tracked.get(message.job_id)
        if tracked is not None and message.job_id.startswith(RUNNER_HOME):
            tell(self._runners, CancelShortRequest(tracked.request.request_id))
        if home_of(message.job_id) in self._data_centres:
            self._find_or_watch(message.job_id)
            tell(self._homes, message)

    @receive.register
    def handle_short_request_end(self, message: ShortRequestEnded):
        """Pass an attempt's outcome out through the chain, which may retry it."""
        job_id = self._job_id_by_request_id.get(message.request_id)
        tracked = self._tracked.get(job_id)
        if tracked is None or tracked.request.attempt != message.attempt:
            self._context.metrics.count("answers.late")
            return
        reply = _short_request_reply(tracked.request, message)
        outcome = self._chain.leave(tracked.request, reply)
        if isinstance(outcome, Resend):
            self._tracked[job_id] = tracked._replace(request=outcome.request)
            tell(self._runners, RunShortRequest(outcome.request))
            return
        self._finish(job_id, outcome)

    @receive.register
    def handle_submission_end(self, message: SubmissionEnded):
        """Pass a submission's outcome out through the chain; watch an accepted job."""
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
        self._finish(message.job_id, reply)

    @receive.register
    def update_job_status(self, message: JobReported):
        """Update a job's status from its home's report."""
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
        self._finish(job_id, Reply(status))

    @receive.register
    def tick(self, message: Tick):
        """Drop ended jobs past the retention limits, and answer drain requests."""
        now_ms = self._context.clock.now_ms()
        kept_bytes = 0
        for job_id, tracked in reversed(list(self._tracked.items())):
            if not tracked.ended_ms:
                continue
            kept_bytes += len(tracked.reply.body)
            if (
                now_ms - tracked.ended_ms > ENDED_RETENTION_MS
                or kept_bytes > ENDED_RETENTION_BYTES
            ):
                self._forget(job_id, tracked)
        self._answer_drain_requests()

    @receive.register
    def answer_when_drained(self, message: Drain):
        """Answer once no request is in progress here."""
        self._drain_replies.append(message.reply)
        self._answer_drain_requests()

    def dump(self):
        """Return how many requests are tracked and in progress."""
        return {
            "tracked": len(self._tracked),
            "under_way": len(self._in_progress()),
            "configuration": self._configuration.offset,
            "reachable": sorted(self._reachable),
        }

    def _find_or_watch(self, job_id):
        """Return the `TrackedJob` or None; watch a job at its home if new here."""
        tracked = self._tracked.get(job_id)
        if tracked is not None:
            return tracked
        if home_of(job_id) not in self._data_centres:
            return None
        status = JobStatus(job_id, JobState.WAITING, ResultCode.PENDING)
        tracked = TrackedJob(Reply(status, retry_after_ms=RETRY_AFTER_MS))
        self._tracked[job_id] = tracked
        tell(self._homes, WatchJob(job_id))
        return tracked

    def _finish(self, job_id, reply):
        """Record a job's final reply, and answer those who wait for it."""
        tracked = self._tracked[job_id]
        now_ms = self._context.clock.now_ms()
        request = tracked.request
        if request is not None:
            request = request._replace(body=b"")
            self._job_id_by_request_id.pop(request.request_id, None)
        self._tracked[job_id] = TrackedJob(reply, request, (), now_ms)
        self._count_reply(reply)
        for waiter in tracked.waiters:
            waiter.set(reply)

    def _count_reply(self, reply):
        self._context.metrics.count(f"request.{reply.status.code.name.lower()}")

    def _forget(self, job_id, tracked):
        del self._tracked[job_id]
        if tracked.request is not None:
            self._job_id_by_request_id.pop(tracked.request.request_id, None)

    def _in_progress(self):
        """Return the ids of jobs that a stop of this process would lose or cut off."""
        return [
            job_id
            for job_id, tracked in self._tracked.items()
            if tracked.waiters
            or tracked.reply.status.code == ResultCode.PENDING
            and tracked.request is not None
        ]

    def _answer_drain_requests(self):
        """Answer the drain requests if no request is in progress."""
        if not self._drain_replies or self._in_progress():
            return
        for reply in self._drain_replies:
            reply.set(True)
        self._drain_replies = []


def _pending_reply(request):
    status = JobStatus(
        request.job_id,
        JobState.WAITING,
        ResultCode.PENDING,
        "",
        request.organisation_name,
        request.service_name,
    )
    return Reply(status, retry_after_ms=RETRY_AFTER_MS)


def _not_found_reply(job_id):
    reason = "no such job is known here; short work is known where it was submitted"
    if not job_id.startswith(RUNNER_HOME):
        reason = "no such job is known"
    return Reply(JobStatus(job_id, JobState.ENDED, ResultCode.NOT_FOUND, reason))


def _short_request_reply(request, ended):
    status = _pending_reply(request).status._replace(state=JobState.ENDED)
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
