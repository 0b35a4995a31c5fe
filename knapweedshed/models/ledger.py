"""Records of a data centre's job stream in the platform's log."""

from typing import NamedTuple

from knapweedshed.models.jobs import AnswerLocation, Job
from knapweedshed.results import ResultCode


class JobAccepted(NamedTuple):
    """A caller's job is ours from here on; the first record for a job id wins."""

    job: Job


class InputChunk(NamedTuple):
    """One part of a job's input, in the data centre's input stream."""

    job_id: str
    index: int
    data: bytes


class IntentRecorded(NamedTuple):
    """An attempt may start under exactly these leases; first by offset wins."""

    job_id: str
    attempt: int
    intent_id: str
    lease_ids: tuple[str, ...]


class AttemptRefuted(NamedTuple):
    """Proof that the attempt under one intent did not run.

    Its workers said so, for every lease that the intent names. Another scheduler's
    intent for the same attempt is not refuted by it.
    """

    job_id: str
    attempt: int
    intent_id: str
    proof: str


class Checkpointed(NamedTuple):
    """A stopped attempt can go on from these tokens, one a member."""

    job_id: str
    attempt: int
    tokens: tuple[str, ...]


class CancelAsked(NamedTuple):
    """The caller wants the job no more."""

    job_id: str


class JobEnded(NamedTuple):
    """How a job ended; the first record for a job id wins."""

    job_id: str
    code: ResultCode
    reason: str = ""
    answer: AnswerLocation | None = None
    wait_ms: int = 0
    run_ms: int = 0
    workers: tuple[str, ...] = ()


class OpenJob(NamedTuple):
    """A job that has not ended, as the fold has it."""

    job: Job
    refuted: int = 0
    intent: IntentRecorded | None = None
    tokens: tuple[str, ...] = ()
    cancelled: bool = False

    @property
    def attempt(self):
        """The number of the attempt that may have an intent now."""
        return self.refuted + 1


class LedgerSnapshot(NamedTuple):
    """Open and ended jobs, re-appended before retention drops them.

    Part `part` of `parts`; all parts stand for the stream up to `through`.
    """

    through: int
    part: int
    parts: int
    open_jobs: tuple[OpenJob, ...] = ()
    closed: tuple[JobEnded, ...] = ()


RECORDS = (
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
