"""Owns submissions until the job is in the log or accepted by a scheduler."""

from functools import singledispatchmethod
from typing import NamedTuple

from knapweedshed.actors import tell
from knapweedshed.codecs import json_text
from knapweedshed.controllers.base import Controller
from knapweedshed.controllers.entry_messages import (
    DirectSubmission,
    DirectSubmissionEnded,
    SubmissionEnded,
    SubmitJob,
)
from knapweedshed.controllers.ledger import job_stream_name
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

ACCEPT_TIMEOUT_MS = 10_000
APPEND_RETRY_DELAY_MS = 300


class Submission(NamedTuple):
    """A job that is being written to the log.

    `pending_appends` maps record ids to appends that have not succeeded yet.
    `accepting` is True once the acceptance is being appended; `acceptance_unknown` is
    True if the acceptance may be in the log although its answer was lost.
    """

    job: Job
    body: bytes
    deadline_ms: int
    pending_appends: dict
    first_offset: int = -1
    accepting: bool = False
    acceptance_unknown: bool = False
    retry_at_ms: int = 0


class SubmissionsController(Controller):
    """Appends a job's input and acceptance to its home's streams.

    Every retry has the same record id, so a second copy is harmless. While the log is
    down, idempotent jobs are submitted to their home's scheduler directly.
    """

    def __init__(self, context, requests, appender, homes):
        super().__init__(context)
        self._requests = requests
        self._appender = appender
        self._homes = homes
        self._submissions = {}
        self._job_id_by_record_id = {}

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def submit_job(self, message: SubmitJob):
        """Append the input if it is too large to be inline, else the acceptance."""
        request = message.request
        job = self._create_job(request)
        now_ms = self._context.clock.now_ms()
        deadline_ms = min(request.deadline_ms, now_ms + ACCEPT_TIMEOUT_MS)
        submission = Submission(job, request.body, deadline_ms, {})
        self._submissions[job.job_id] = submission
        if len(request.body) > INLINE_LIMIT_BYTES:
            self._append_chunks(submission)
        else:
            self._append_acceptance(submission)

    @receive.register
    def handle_append_done(self, message: AppendDone):
        """Append the acceptance after the last chunk; finish after the acceptance."""
        job_id = self._job_id_by_record_id.pop(message.record_id, None)
        submission = self._submissions.get(job_id)
        if submission is None:
            return
        submission.pending_appends.pop(message.record_id, None)
        if submission.accepting:
            self._finish(job_id, Result(ResultCode.ACCEPTED))
            return
        first = submission.first_offset
        first = message.offset if first < 0 else min(first, message.offset)
        submission = submission._replace(first_offset=first)
        self._submissions[job_id] = submission
        if not submission.pending_appends:
            self._append_acceptance(submission)

    @receive.register
    def handle_append_failure(self, message: AppendFailed):
        """Schedule a retry; meanwhile submit an idempotent job directly."""
        job_id = self._job_id_by_record_id.get(message.record_id)
        submission = self._submissions.get(job_id)
        if submission is None:
            return
        retry_at_ms = self._context.clock.now_ms() + APPEND_RETRY_DELAY_MS
        acceptance_unknown = submission.acceptance_unknown or (
            submission.accepting and message.unknown
        )
        submission = submission._replace(
            retry_at_ms=retry_at_ms, acceptance_unknown=acceptance_unknown
        )
        self._submissions[job_id] = submission
        if submission.job.idempotent:
            inline = submission.job.input._replace(
                inline=submission.body, stream="", first_offset=-1, chunks=0
            )
            job = submission.job._replace(input=inline)
            tell(self._homes, DirectSubmission(job, self.actor_ref))

    @receive.register
    def handle_direct_submission_end(self, message: DirectSubmissionEnded):
        """Finish if a scheduler accepted the job without the log."""
        if message.accepted and message.job_id in self._submissions:
            reason = "taken while the log is down"
            self._finish(message.job_id, Result(ResultCode.ACCEPTED, reason))

    @receive.register
    def tick(self, message: Tick):
        """Retry failed appends, and end submissions whose deadline has passed."""
        now_ms = self._context.clock.now_ms()
        for job_id, submission in list(self._submissions.items()):
            if now_ms > submission.deadline_ms:
                self._expire(job_id, submission)
            elif submission.retry_at_ms and now_ms >= submission.retry_at_ms:
                self._submissions[job_id] = submission._replace(retry_at_ms=0)
                for record in submission.pending_appends.values():
                    tell(self._appender, record)

    def dump(self):
        """Return the job ids of the submissions in progress."""
        return {"under_way": list(self._submissions)}

    def _create_job(self, request):
        service = request.service
        shape = service.shape
        if request.members:
            shape = shape._replace(members=request.members)
        clock = self._context.clock
        wall_ms = clock.wall_ms()
        body = request.body
        fits_inline = len(body) <= INLINE_LIMIT_BYTES
        reference = InputReference(
            len(body), request.digest, inline=body if fits_inline else b""
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
        """Append the input in chunks to the home's input stream."""
        job, body = submission.job, submission.body
        chunks = [body[i : i + CHUNK_BYTES] for i in range(0, len(body), CHUNK_BYTES)]
        stream = inputs_stream(job.home)
        reference = job.input._replace(stream=stream, chunks=len(chunks))
        submission = submission._replace(job=job._replace(input=reference))
        self._submissions[job.job_id] = submission
        for index, chunk in enumerate(chunks):
            self._append_record(
                submission, stream, InputChunk(job.job_id, index, chunk)
            )

    def _append_acceptance(self, submission):
        """Append the job's acceptance, which refers to the input's first offset."""
        job = submission.job
        reference = job.input._replace(first_offset=submission.first_offset)
        job = job._replace(input=reference)
        submission = submission._replace(job=job, accepting=True)
        self._submissions[job.job_id] = submission
        self._append_record(submission, job_stream_name(job.home), JobAccepted(job))

    def _append_record(self, submission, stream, message):
        record = AppendRecord(
            stream, self._context.new_id(), json_text.dumps(message), self.actor_ref
        )
        submission.pending_appends[record.record_id] = record
        self._job_id_by_record_id[record.record_id] = submission.job.job_id
        tell(self._appender, record)

    def _expire(self, job_id, submission):
        """End a submission at its deadline; its outcome may be unknown."""
        if submission.acceptance_unknown:
            reason = "its acceptance had no answer from the log; ask again by job id"
            self._finish(job_id, Result(ResultCode.OUTCOME_UNKNOWN, reason))
            return
        reason = "the log took no record of it in time"
        self._finish(job_id, Result(ResultCode.LOG_UNAVAILABLE, reason))

    def _finish(self, job_id, result):
        submission = self._submissions.pop(job_id)
        for record_id in submission.pending_appends:
            self._job_id_by_record_id.pop(record_id, None)
        tell(self._requests, SubmissionEnded(job_id, result))
