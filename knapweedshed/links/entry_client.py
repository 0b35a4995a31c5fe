"""A caller's side of the HTTP front end: any entry will do, one key for all tries."""

import threading
from typing import NamedTuple

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import json_text
from knapweedshed.links.http_client import HttpClient
from knapweedshed.models.outcomes import NoAnswer, NotSent
from knapweedshed.results import Result, ResultCode, is_final

POLL_MS = 5_000
PAUSE_MS = 200
CALL_LIMIT_MS = 12_000
BULK_LIMIT_MS = 60_000


class Answered(NamedTuple):
    """What an entry says of a job; `body` is the answer where the code is OK."""

    code: ResultCode
    reason: str = ""
    job_id: str = ""
    body: bytes = b""
    wait_ms: int = 0
    run_ms: int = 0
    holder: str = ""
    digest: str = ""


class Work(NamedTuple):
    """What a caller wants run; the key goes with every try."""

    organisation: str
    service: str
    key: str
    body: bytes
    members: int = 0


class EntryClient:
    """Talks to one entry at a time, and goes on to the next when it fails."""

    def __init__(self, clock, entries):
        self._clock = clock
        self._clients = [HttpClient(clock, address) for address in entries]
        self._pause = threading.Event()

    def close(self):
        """Close the connections."""
        for client in self._clients:
            client.close()

    def run(self, work, limit_ms, notify=None):
        """Submit work and return its final `Answered`, or the last one in time.

        The same key goes with every try, so that no try runs it a second time.
        `notify` is called with each `Answered` on the way.
        """
        end_ms = self._clock.now_ms() + limit_ms
        answered = self.submit(work, end_ms)
        while not is_final(answered.code) and self._clock.now_ms() < end_ms:
            if notify is not None:
                notify(answered)
            answered = self._next(work, end_ms, answered)
        return answered

    def submit(self, work, end_ms, wait=True):
        """Submit once, at the first entry that answers; return an `Answered`."""
        left_ms = max(1, end_ms - self._clock.now_ms())
        fields = {"wait_ms": min(POLL_MS, left_ms) if wait else 0}
        if work.members:
            fields["members"] = work.members
        headers = {"Idempotency-Key": work.key, "X-Time-Left-Ms": str(left_ms)}
        path = f"/v1/organisations/{work.organisation}/services/{work.service}/jobs"
        return self._any("POST", path, work.body, fields, headers)

    def wait(self, job_id, limit_ms, notify=None):
        """Return a job's final `Answered`, or the last one in time."""
        end_ms = self._clock.now_ms() + limit_ms
        answered = self.look(job_id, min(POLL_MS, limit_ms))
        while not is_final(answered.code) and self._clock.now_ms() < end_ms:
            if notify is not None:
                notify(answered)
            answered = self.look(job_id, min(POLL_MS, end_ms - self._clock.now_ms()))
            self._rest(answered)
        return answered

    def look(self, job_id, wait_ms=0):
        """Return how a job stands."""
        fields = {"wait_ms": max(0, wait_ms)}
        return self._any("GET", f"/v1/jobs/{job_id}", b"", fields, {})

    def cancel(self, job_id):
        """Ask for a job to be cancelled."""
        return self._any("DELETE", f"/v1/jobs/{job_id}", b"", {}, {})

    def read(self, method, path, body=b""):
        """Return (status, plain JSON) of the first entry that answers, or a Result."""
        for client in list(self._clients):
            response = client.request(method, path, body, None, CALL_LIMIT_MS)
            if isinstance(response, (NotSent, NoAnswer)):
                self._turn()
                continue
            try:
                return response.status, json_text.loads(response.body)
            except json_text.TextError as error:
                return Result(ResultCode.INTERNAL, str(error))
        return Result(ResultCode.NO_RESPONSE, "no entry answers")

    def _next(self, work, end_ms, answered):
        if answered.code == ResultCode.NO_RESPONSE or not answered.job_id:
            self._pause.wait(PAUSE_MS / MS_PER_SECOND)
            return self.submit(work, end_ms)
        left_ms = end_ms - self._clock.now_ms()
        looked = self.look(answered.job_id, min(POLL_MS, left_ms))
        if looked.code in (ResultCode.NOT_FOUND, ResultCode.NO_RESPONSE):
            return self.submit(work, end_ms)
        self._rest(looked)
        return looked

    def _rest(self, answered):
        if not is_final(answered.code):
            self._pause.wait(PAUSE_MS / MS_PER_SECOND)

    def _any(self, method, path, body, fields, headers):
        last = Answered(ResultCode.NO_RESPONSE, "no entry answers")
        for client in list(self._clients):
            response = client.request(
                method, path, body, fields, BULK_LIMIT_MS, headers
            )
            if isinstance(response, (NotSent, NoAnswer)):
                last = Answered(ResultCode.NO_RESPONSE, response.reason)
                self._turn()
                continue
            answered = _answered(response)
            if answered.code in (ResultCode.LEAVING, ResultCode.NOT_READY):
                last = answered._replace(code=ResultCode.NO_RESPONSE)
                self._turn()
                continue
            return answered
        return last

    def _turn(self):
        self._clients.append(self._clients.pop(0))


def _answered(response):
    headers = response.headers
    try:
        code = ResultCode(int(headers.get("X-Result-Code", ResultCode.INTERNAL)))
    except ValueError:
        return Answered(ResultCode.INTERNAL, "the entry's code is not known here")
    if code == ResultCode.OK:
        return Answered(
            code,
            "",
            headers.get("X-Job", ""),
            response.body,
            int(headers.get("X-Wait-Ms", 0)),
            int(headers.get("X-Run-Ms", 0)),
            headers.get("X-Holder", ""),
            headers.get("X-Digest", ""),
        )
    try:
        row = json_text.loads(response.body)
    except json_text.TextError:
        row = {}
    return Answered(code, row.get("reason", ""), row.get("job", ""))
