"""Record types of a data centre's job stream in the platform's log."""

from typing import NamedTuple

from knapweedshed.models.jobs import AnswerLocation, Job
from knapweedshed.results import ResultCode


class JobAccepted(NamedTuple):
    """A job is accepted and has to be run; the first record for a job id wins."""

    job: Job


class InputChunk(NamedTuple):
    """One part of a job's input, in the data centre's input stream."""

    job_id: str
    index: int
    data: bytes


class IntentRecorded(NamedTuple):
    """An attempt may start under these leases only; the lowest offset wins."""

    job_id: str
    attempt: int
    intent_id: str
    lease_ids: tuple[str, ...]


class AttemptRefuted(NamedTuple):
    """The attempt under one intent provably did not run.

    The workers confirmed this for every lease that the intent names. The record does
    not refute another scheduler's intent for the same attempt.
    """

    job_id: str
    attempt: int
    intent_id: str
    proof: str


class Checkpointed(NamedTuple):
    """A stopped attempt can resume from these checkpoint tokens, one per member."""

    job_id: str
    attempt: int
    tokens: tuple[str, ...]


class CancelAsked(NamedTuple):
    """The caller has requested cancellation of the job."""

    job_id: str


class JobEnded(NamedTuple):
    """A job has ended; the first record for a job id wins."""

    job_id: str
    code: ResultCode
    reason: str = ""
    answer: AnswerLocation | None = None
    wait_ms: int = 0
    run_ms: int = 0
    workers: tuple[str, ...] = ()


class OpenJob(NamedTuple):
    """The state of a job that has not ended, as derived from the log.

    `refuted` is the number of the last attempt that did not run or was stopped at a
    checkpoint. `tokens` are those of the last checkpoint.
    """

    job: Job
    refuted: int = 0
    intent: IntentRecorded | None = None
    tokens: tuple[str, ...] = ()
    cancelled: bool = False

    @property
    def attempt(self):
        """The number of the current attempt, the one that an intent may be for."""
        return self.refuted + 1


class LedgerSnapshot(NamedTuple):
    """Open and ended jobs, appended again before log retention drops their records.

    This is part `part` of `parts`; all parts together replace the stream up to offset
    `through`.
    """

    through: int
    part: int
    parts: int
    open_jobs: tuple[OpenJob, ...] = ()
    closed: tuple[JobEnded, ...] = ()


RECORD_TYPES = (
    JobAccepted,
    InputChunk,
    IntentRecorded,
    AttemptRefuted,
    Checkpointed,
    CancelAsked,
    JobEnded,
    OpenJob,
    LedgerSnapshot,
)
