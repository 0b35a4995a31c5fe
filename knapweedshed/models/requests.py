"""Submissions of jobs and short work, as they pass through the filter chain."""

from typing import NamedTuple

from knapweedshed.models.configuration import Organisation, Service
from knapweedshed.models.jobs import JobStatus


class Request(NamedTuple):
    """One submission; filters fill in the fields that are empty at first.

    `received_ms` and `deadline_ms` are on the process's monotonic clock, so processes
    send each other the time left instead. `home` is the data centre whose scheduler
    runs the job, or `RUNNER_HOME` for short work.
    `tried_runners` are those that an earlier attempt went to.
    """

    request_id: str
    organisation_name: str
    service_name: str
    idempotency_key: str
    body: bytes
    received_ms: int
    time_left_ms: int = 0
    deadline_ms: int = 0
    organisation: Organisation | None = None
    service: Service | None = None
    job_id: str = ""
    digest: str = ""
    members: int = 0
    home: str = ""
    runner: str = ""
    tried_runners: tuple[str, ...] = ()
    attempt: int = 0


class Reply(NamedTuple):
    """The reply to a submission: the job's status, and the answer if it is here.

    `holder` names the runner that produced the answer.
    """

    status: JobStatus
    body: bytes = b""
    holder: str = ""
    retry_after_ms: int = 0
    attempt_id: str = ""
