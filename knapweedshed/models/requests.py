"""A caller's request on its way through the filter chain."""

from typing import NamedTuple

from knapweedshed.models.configuration import Organisation, Service
from knapweedshed.models.jobs import JobStatus


class Request(NamedTuple):
    """One submission; filters add what they find out.

    `deadline_ms` is on the process's own monotonic clock; what travels between
    processes is the time left.
    """

    request_id: str
    organisation_name: str
    service_name: str
    key: str
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
    tried: tuple[str, ...] = ()
    attempt: int = 0


class Reply(NamedTuple):
    """What goes back up the chain: the status, and the answer where it is at hand."""

    status: JobStatus
    body: bytes = b""
    holder: str = ""
    retry_after_ms: int = 0
    attempt_id: str = ""
