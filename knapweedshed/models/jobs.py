"""Jobs for workers: what a caller submitted, and the status of it."""

from enum import StrEnum
from typing import NamedTuple

from knapweedshed.models.configuration import Urgency
from knapweedshed.models.shapes import Shape
from knapweedshed.results import ResultCode

INLINE_LIMIT_BYTES = 8 * 1024
CHUNK_BYTES = 512 * 1024


class InputReference(NamedTuple):
    """Where a job's input is stored: inline, or in chunks in a log stream.

    `length` is in bytes.
    """

    length: int
    digest: str
    stream: str = ""
    first_offset: int = -1
    chunks: int = 0
    inline: bytes = b""


class Job(NamedTuple):
    """A job for workers; has all that is needed to run it from the log alone.

    `home` is the data centre whose scheduler runs the job.
    """

    job_id: str
    organisation: str
    service: str
    key: str
    program: str
    home: str
    shape: Shape
    urgency: Urgency
    idempotent: bool
    can_checkpoint: bool
    declared_run_ms: int
    accepted_wall_ms: int
    deadline_wall_ms: int
    input: InputReference


class AnswerLocation(NamedTuple):
    """Where an answer is held, and the length and digest that verify it."""

    worker: str
    address: str
    task: str
    length: int
    digest: str


class JobState(StrEnum):
    """The state of a job, as callers see it."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    ENDED = "ended"


class JobStatus(NamedTuple):
    """A job's status, as reported to its caller."""

    job_id: str
    state: JobState
    code: ResultCode
    reason: str = ""
    organisation: str = ""
    service: str = ""
    answer: AnswerLocation | None = None
    wait_ms: int = 0
    run_ms: int = 0
    workers: tuple[str, ...] = ()


def inputs_stream(data_centre):
    """Return the name of the log stream that holds a data centre's job inputs."""
    return f"inputs-{data_centre}"
