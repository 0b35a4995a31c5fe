"""Client of the entry processes' HTTP API, with failover between entries."""

import threading
from typing import NamedTuple

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import json_text
from knapweedshed.links.http_client import HttpClient
from knapweedshed.models.outcomes import NoAnswer, NotSent
from knapweedshed.results import Result, ResultCode, is_final

MAX_LONG_POLL_MS = 5_000
RETRY_PAUSE_MS = 200
JSON_REQUEST_TIMEOUT_MS = 12_000
JOB_REQUEST_TIMEOUT_MS = 60_000


class EntryResponse(NamedTuple):
    """An entry's response about a job.

    `body` is the job's answer where the code is OK; `holder` lists the job's workers.
    """

    code: ResultCode
    reason: str = ""
    job_id: str = ""
    body: bytes = b""
    wait_ms: int = 0
    run_ms: int = 0
    holder: str = ""
    digest: str = ""


class JobSubmission(NamedTuple):
    """Work to submit; all retries use the same idempotency key."""

    organisation: str
    service: str
    key: str
    body: bytes
    members: int = 0


class EntryClient:
    """Sends requests to one entry at a time and switches to the next on failure."""

    def __init__(self, clock, entries):
        self._clock = clock
        self._clients = [HttpClient(clock, address) for address in entries]
        self._pause_event = threading.Event()

    def close(self):
        """Close the connections."""
        for client in self._clients:
            client.close()

    def run(self, submission, timeout_ms, on_progress=None):
        """Submit work and return its final `EntryResponse`, or the last one in time.

        All retries use the same key, so that none runs the work a second time.
        `on_progress` is called with each response that is not final.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        response = self.submit(submission, deadline_ms)
        while not is_final(response.code) and self._clock.now_ms() < deadline_ms:
            if on_progress is not None:
                on_progress(response)
            response = self._poll_or_resubmit(submission, deadline_ms, response)
        return response

    def submit(self, submission, deadline_ms, wait=True):
        """Submit once, to the first entry that responds; return its `EntryResponse`."""
        time_left_ms = max(1, deadline_ms - self._clock.now_ms())
        query = {"wait_ms": min(MAX_LONG_POLL_MS, time_left_ms) if wait else 0}
        if submission.members:
            query["members"] = submission.members
        headers = {
            "Idempotency-Key": submission.key,
            "X-Time-Left-Ms": str(time_left_ms),
        }
        path = (
            f"/v1/organisations/{submission.organisation}"
            f"/services/{submission.service}/jobs"
        )
        return self._request_any_entry("POST", path, submission.body, query, headers)

    def wait(self, job_id, timeout_ms, on_progress=None):
        """Return a job's final `EntryResponse`, or the last one in time."""
        deadline_ms = self._clock.now_ms() + timeout_ms
        response = self.get_job(job_id, min(MAX_LONG_POLL_MS, timeout_ms))
        while not is_final(response.code) and self._clock.now_ms() < deadline_ms:
            if on_progress is not None:
                on_progress(response)
            response = self.get_job(
                job_id, min(MAX_LONG_POLL_MS, deadline_ms - self._clock.now_ms())
            )
            self._pause_unless_final(response)
        return response

    def get_job(self, job_id, wait_ms=0):
        """Return a job's state, waiting up to `wait_ms` for its end."""
        query = {"wait_ms": max(0, wait_ms)}
        return self._request_any_entry("GET", f"/v1/jobs/{job_id}", b"", query, {})

    def cancel(self, job_id):
        """Request the cancellation of a job."""
        return self._request_any_entry("DELETE", f"/v1/jobs/{job_id}", b"", {}, {})

    def request_json(self, method, path, body=b""):
        """Return (HTTP status, decoded JSON) from the first entry that responds.

        Return a `Result` if none does or if the body is not JSON.
        """
        for client in list(self._clients):
            http_response = client.request(
                method, path, body, None, JSON_REQUEST_TIMEOUT_MS
            )
            if isinstance(http_response, (NotSent, NoAnswer)):
                self._rotate_entries()
                continue
            try:
                return http_response.status, json_text.loads(http_response.body)
            except json_text.TextError as error:
                return Result(ResultCode.INTERNAL, str(error))
        return Result(ResultCode.NO_RESPONSE, "no entry answers")

    def _poll_or_resubmit(self, submission, deadline_ms, response):
        if response.code == ResultCode.NO_RESPONSE or not response.job_id:
            self._pause_event.wait(RETRY_PAUSE_MS / MS_PER_SECOND)
            return self.submit(submission, deadline_ms)
        time_left_ms = deadline_ms - self._clock.now_ms()
        latest = self.get_job(response.job_id, min(MAX_LONG_POLL_MS, time_left_ms))
        if latest.code in (ResultCode.NOT_FOUND, ResultCode.NO_RESPONSE):
            return self.submit(submission, deadline_ms)
        self._pause_unless_final(latest)
        return latest

    def _pause_unless_final(self, response):
        if not is_final(response.code):
            self._pause_event.wait(RETRY_PAUSE_MS / MS_PER_SECOND)

    def _request_any_entry(self, method, path, body, query, headers):
        last_response = EntryResponse(ResultCode.NO_RESPONSE, "no entry answers")
        for client in list(self._clients):
            http_response = client.request(
                method, path, body, query, JOB_REQUEST_TIMEOUT_MS, headers
            )
            if isinstance(http_response, (NotSent, NoAnswer)):
                last_response = EntryResponse(
                    ResultCode.NO_RESPONSE, http_response.reason
                )
                self._rotate_entries()
                continue
            response = _decode_response(http_response)
            if response.code in (ResultCode.LEAVING, ResultCode.NOT_READY):
                last_response = response._replace(code=ResultCode.NO_RESPONSE)
                self._rotate_entries()
                continue
            return response
        return last_response

    def _rotate_entries(self):
        self._clients.append(self._clients.pop(0))


def _decode_response(http_response):
    headers = http_response.headers
    try:
        code = ResultCode(int(headers.get("X-Result-Code", ResultCode.INTERNAL)))
    except ValueError:
        return EntryResponse(ResultCode.INTERNAL, "the entry's code is not known here")
    if code == ResultCode.OK:
        return EntryResponse(
            code,
            "",
            headers.get("X-Job", ""),
            http_response.body,
            int(headers.get("X-Wait-Ms", 0)),
            int(headers.get("X-Run-Ms", 0)),
            headers.get("X-Holder", ""),
            headers.get("X-Digest", ""),
        )
    try:
        error_body = json_text.loads(http_response.body)
    except json_text.TextError:
        error_body = {}
    return EntryResponse(code, error_body.get("reason", ""), error_body.get("job", ""))
