"""Owns submissions until they are jobs, in the log or taken by a scheduler."""

from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import tell
from knapweedshed.codecs import json_text
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.entry_messages import (
    DirectSettled,
    DirectSubmit,
    JobSettled,
    SubmitJob,
)
from knapweedshed.controllers.ledger import jobs_stream
from knapweedshed.controllers.messages import (
    AppendDone,
    AppendFailed,
    AppendRecord,
    Tick,
)
from knapweedshed.models.jobs import (
    CHUNK_BYTES,
    INLINE_LIMIT_BYTES,
    InputReference,
    Job,
    inputs_stream,
)
from knapweedshed.models.ledger import InputChunk, JobAccepted
from knapweedshed.results import Result, ResultCode

ACCEPT_LIMIT_MS = 10_000
RETRY_MS = 300


class Submission(NamedTuple):
    """A job on its way into the log.

    `waiting` maps record ids to the appends that have no good answer yet;
    `unknown` says that the acceptance itself may stand although its answer was lost.
    """

    job: Job
    body: bytes
    deadline_ms: int
    waiting: dict
    first_offset: int = -1
    accepting: bool = False
    unknown: bool = False
    retry_at_ms: int = 0


class SubmissionsController(Controller):
    """Puts a job's input and acceptance into its home's streams.

    Every retry carries the same record id, so a second copy is harmless. Idempotent
    work goes to its home's scheduler directly while the log is down.
    """

    def __init__(self, context, requests, appender, homes):
        super().__init__(context)
        self._requests = requests
        self._appender = appender
        self._homes = homes
        self._submissions = {}
        self._records = {}

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def submit(self, message: SubmitJob):
        """Begin with the input where it is large, else with the acceptance."""
        request = message.request
        job = self._job(request)
        now_ms = self._context.clock.now_ms()
        deadline_ms = min(request.deadline_ms, now_ms + ACCEPT_LIMIT_MS)
        submission = Submission(job, request.body, deadline_ms, {})
        self._submissions[job.job_id] = submission
        if len(request.body) > INLINE_LIMIT_BYTES:
            self._append_chunks(submission)
        else:
            self._append_acceptance(submission)

    @receive.register
    def appended(self, message: AppendDone):
        """Go on to the acceptance, or settle."""
        job_id = self._records.pop(message.record_id, None)
        submission = self._submissions.get(job_id)
        if submission is None:
            return
        submission.waiting.pop(message.record_id, None)
        if submission.accepting:
            self._settle(job_id, Result(ResultCode.ACCEPTED))
            return
        first = submission.first_offset
        first = message.offset if first < 0 else min(first, message.offset)
        submission = submission._replace(first_offset=first)
        self._submissions[job_id] = submission
        if not submission.waiting:
            self._append_acceptance(submission)

    @receive.register
    def not_appended(self, message: AppendFailed):
        """Try again soon; give idempotent work to its home directly meanwhile."""
        job_id = self._records.get(message.record_id)
        submission = self._submissions.get(job_id)
        if submission is None:
            return
        retry_at_ms = self._context.clock.now_ms() + RETRY_MS
        unknown = submission.unknown or (submission.accepting and message.unknown)
        submission = submission._replace(retry_at_ms=retry_at_ms, unknown=unknown)
        self._submissions[job_id] = submission
        if submission.job.idempotent:
            inline = submission.job.input._replace(
                inline=submission.body, stream="", first_offset=-1, chunks=0
            )
            job = submission.job._replace(input=inline)
            tell(self._homes, DirectSubmit(job, self.actor_ref))

    @receive.register
    def direct_settled(self, message: DirectSettled):
        """A scheduler took the job without the log."""
        if message.taken and message.job_id in self._submissions:
            reason = "taken while the log is down"
            self._settle(message.job_id, Result(ResultCode.ACCEPTED, reason))

    @receive.register
    def tick(self, message: Tick):
        """Retry appends that failed, and give up at the deadline."""
        now_ms = self._context.clock.now_ms()
        for job_id, submission in list(self._submissions.items()):
            if now_ms > submission.deadline_ms:
                self._give_up(job_id, submission)
            elif submission.retry_at_ms and now_ms >= submission.retry_at_ms:
                self._submissions[job_id] = submission._replace(retry_at_ms=0)
                for record in submission.waiting.values():
                    tell(self._appender, record)

    def dump(self):
        """Return the submissions under way."""
        return {"under_way": list(self._submissions)}

    def _job(self, request):
        service = request.service
        shape = service.shape
        if request.members:
            shape = shape._replace(members=request.members)
        clock = self._context.clock
        wall_ms = clock.wall_ms()
        body = request.body
        small = len(body) <= INLINE_LIMIT_BYTES
        reference = InputReference(
            len(body), request.digest, inline=body if small else b""
        )
        return Job(
            request.job_id,
            request.organisation.name,
            service.name,
            request.idempotency_key,
            service.program,
            request.home,
            shape,
            service.urgency,
            service.idempotent,
            service.can_checkpoint,
            service.declared_run_ms,
            wall_ms,
            wall_ms + max(0, request.deadline_ms - clock.now_ms()),
            reference,
        )

    def _append_chunks(self, submission):
        job, body = submission.job, submission.body
        pieces = [body[i : i + CHUNK_BYTES] for i in range(0, len(body), CHUNK_BYTES)]
        stream = inputs_stream(job.home)
        reference = job.input._replace(stream=stream, chunks=len(pieces))
        submission = submission._replace(job=job._replace(input=reference))
        self._submissions[job.job_id] = submission
        for index, piece in enumerate(pieces):
            self._append(submission, stream, InputChunk(job.job_id, index, piece))

    def _append_acceptance(self, submission):
        job = submission.job
        reference = job.input._replace(first_offset=submission.first_offset)
        job = job._replace(input=reference)
        submission = submission._replace(job=job, accepting=True)
        self._submissions[job.job_id] = submission
        self._append(submission, jobs_stream(job.home), JobAccepted(job))

    def _append(self, submission, stream, message):
        record = AppendRecord(
            stream, self._context.new_id(), json_text.dumps(message), self.actor_ref
        )
        submission.waiting[record.record_id] = record
        self._records[record.record_id] = submission.job.job_id
        tell(self._appender, record)

    def _give_up(self, job_id, submission):
        if submission.unknown:
            reason = "its acceptance had no answer from the log; ask again by job id"
            self._settle(job_id, Result(ResultCode.OUTCOME_UNKNOWN, reason))
            return
        reason = "the log took no record of it in time"
        self._settle(job_id, Result(ResultCode.LOG_UNAVAILABLE, reason))

    def _settle(self, job_id, result):
        submission = self._submissions.pop(job_id)
        for record_id in submission.waiting:
            self._records.pop(record_id, None)
        tell(self._requests, JobSettled(job_id, result))
