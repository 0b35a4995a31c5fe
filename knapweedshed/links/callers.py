"""HTTP API of the entry processes, which serve callers and operators.

The answer of a job is returned as bytes.

A long poll occupies a server thread, so their number is limited; above the limit a
caller gets the job's current state at once and has to ask again. Long polls therefore
never block submissions and urgent work.
"""

import threading

import pykka

from knapweedshed.actors import tell
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import json_text
from knapweedshed.controllers.configuration import GetHistory, Publish
from knapweedshed.controllers.entry_messages import (
    CancelJob,
    FetchAnswer,
    FetchListing,
    GetJob,
    SubmitRequest,
    WaitForJob,
)
from knapweedshed.decisions.configuration import Decision, check_entry
from knapweedshed.decisions.feasibility import check_guarantees
from knapweedshed.links.http_server import HttpResponse, json_response
from knapweedshed.models.outcomes import Refused
from knapweedshed.models.requests import Request
from knapweedshed.results import OK, Result, ResultCode, is_final

REPLY_TIMEOUT_MS = 3_000
MAX_LONG_POLL_MS = 25_000
PUBLISH_TIMEOUT_MS = 10_000
FETCH_TIMEOUT_MS = 40_000
RETRY_AFTER_MS = 300

_HTTP_STATUS_OF_CODE = {
    ResultCode.OK: 200,
    ResultCode.PENDING: 202,
    ResultCode.ACCEPTED: 202,
    ResultCode.UNKNOWN_ORGANISATION: 404,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.NOT_FOUND: 404,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.KEY_CONFLICT: 409,
    ResultCode.CONFIGURATION_CONFLICT: 409,
    ResultCode.EXPIRED: 504,
    ResultCode.FAILED: 422,
    ResultCode.STOPPED: 409,
    ResultCode.INTERNAL: 500,
}


class EntryApi:
    """Converts HTTP requests to messages to actors, and their replies to responses."""

    def __init__(self, context, actors, max_long_polls, dump):
        """Create the API.

        `actors` has the actors `requests`, `homes` and `configuration`, and `answers`,
        a tuple of actors that read answers. `dump` returns the state dump.
        """
        self._context = context
        self._actors = actors
        self._long_poll_slots = threading.BoundedSemaphore(max_long_polls)
        self._dump = dump

    def handle(self, http_request):
        """Dispatch a request to the handler of its method and path."""
        parts = tuple(part for part in http_request.path.split("/") if part)
        for method, pattern, handler in _ROUTES:
            path_arguments = _match_path(pattern, parts)
            if method == http_request.method and path_arguments is not None:
                return handler(self, http_request, *path_arguments)
        reason = f"{http_request.method} {http_request.path} is not served"
        return _error_response(Result(ResultCode.NOT_FOUND, reason))

    def submit(self, http_request, organisation, service):
        """Submit work; wait for its end up to the caller's `wait_ms`."""
        request = self._build_request(http_request, organisation, service)
        if isinstance(request, Result):
            return _error_response(request)
        wait_ms = _parse_count(http_request.query.get("wait_ms", "0"))
        reply = self._ask(self._actors.requests, lambda r: SubmitRequest(request, r))
        return self._wait_and_respond(reply, wait_ms or 0)

    def get_job(self, http_request, job_id):
        """Return a job's state, or its answer; wait for its end up to `wait_ms`."""
        wait_ms = _parse_count(http_request.query.get("wait_ms", "0")) or 0
        reply = self._ask(self._actors.requests, lambda r: GetJob(job_id, r))
        return self._wait_and_respond(reply, wait_ms)

    def cancel(self, http_request, job_id):
        """Request the cancellation of a job."""
        tell(self._actors.requests, CancelJob(job_id))
        return json_response({"job": job_id, "code": int(ResultCode.ACCEPTED)}, 202)

    def get_listing(self, http_request, kind):
        """Return the jobs or workers of all reachable data centres."""
        rows = self._ask(self._actors.homes, lambda r: FetchListing(kind, r))
        return json_response({"rows": rows or ()})

    def list_organisations(self, http_request):
        """Return the organisations in force."""
        configuration, _ = self._read_history()
        return json_response(
            {"version": configuration.offset, "rows": configuration.organisations}
        )

    def get_configuration(self, http_request):
        """Return the organisations' versions in force, the base of the next entry."""
        configuration, _ = self._read_history()
        return json_response(
            {
                "version": configuration.offset,
                "digest": configuration.digest,
                "versions": dict(configuration.versions),
            }
        )

    def get_history(self, http_request):
        """Return the decisions on the latest configuration entries."""
        _, history = self._read_history()
        return json_response({"rows": [_decision_row(item) for item in history]})

    def check_configuration(self, http_request):
        """Validate a configuration entry without publishing it."""
        entry = _decode_object(http_request)
        if isinstance(entry, Result):
            return _error_response(entry)
        configuration, _ = self._read_history()
        result, checked = check_entry(configuration, entry)
        if result.ok:
            result = self._check_inventory(checked)
        return json_response({"code": int(result.code), "reason": result.reason})

    def _check_inventory(self, configuration):
        """Refuse guarantees that don't all fit on the reachable workers together."""
        rows = self._ask(self._actors.homes, lambda r: FetchListing("workers", r)) or ()
        sizes_by_data_centre = {}
        for row in rows:
            worker_size = (row["rack"], row["accelerators"])
            sizes_by_data_centre.setdefault(row["data_centre"], []).append(worker_size)
        for data_centre, worker_sizes in sorted(sizes_by_data_centre.items()):
            reason = check_guarantees(
                configuration.organisations, data_centre, worker_sizes
            )
            if reason:
                return Result(ResultCode.CONFIGURATION_REFUSED, reason)
        return OK

    def publish_configuration(self, http_request):
        """Publish a configuration entry and return the decision on it."""
        entry = _decode_object(http_request)
        if isinstance(entry, Result):
            return _error_response(entry)
        entry.setdefault("id", self._context.new_id())
        decision = self._ask(
            self._actors.configuration,
            lambda r: Publish(entry, r),
            PUBLISH_TIMEOUT_MS,
        )
        if decision is None:
            reason = f"entry {entry['id']} had no answer from the log; see the history"
            return _error_response(Result(ResultCode.OUTCOME_UNKNOWN, reason))
        if not isinstance(decision, Decision):
            return _error_response(Result(ResultCode.LOG_UNAVAILABLE, decision.reason))
        status = 200 if decision.result.ok else _http_status(decision.result.code)
        return json_response(_decision_row(decision), status)

    def dump_state(self, http_request):
        """Return this process's state dump."""
        return json_response(self._dump())

    def _build_request(self, http_request, organisation, service):
        members = _parse_count(http_request.query.get("members", "0"))
        time_left_ms = _parse_count(http_request.headers("X-Time-Left-Ms") or "0")
        if members is None or time_left_ms is None:
            reason = "members and X-Time-Left-Ms must be whole numbers"
            return Result(ResultCode.BAD_REQUEST, reason)
        if http_request.query.get("members") is not None and members == 0:
            return Result(ResultCode.BAD_REQUEST, "a gang of 0 members can't run")
        return Request(
            self._context.new_id(),
            organisation,
            service,
            http_request.headers("Idempotency-Key"),
            http_request.body,
            self._context.clock.now_ms(),
            time_left_ms,
            members=members,
        )

    def _wait_and_respond(self, reply, wait_ms):
        if reply is None:
            reason = "this entry is too busy to say; ask again"
            return _error_response(Result(ResultCode.OUTCOME_UNKNOWN, reason))
        status = reply.status
        if wait_ms and not is_final(status.code):
            reply = self._long_poll(reply, min(wait_ms, MAX_LONG_POLL_MS))
        return self._encode_reply(reply)

    def _long_poll(self, reply, wait_ms):
        if not self._long_poll_slots.acquire(blocking=False):
            self._context.metrics.count("waits.refused")
            return reply
        try:
            job_id = reply.status.job_id
            ended = self._ask(
                self._actors.requests, lambda r: WaitForJob(job_id, r), wait_ms
            )
        finally:
            self._long_poll_slots.release()
        if ended is not None:
            return ended
        return self._ask(self._actors.requests, lambda r: GetJob(job_id, r)) or reply

    def _encode_reply(self, reply):
        status = reply.status
        if not is_final(status.code):
            return _status_response(status, RETRY_AFTER_MS)
        if status.code != ResultCode.OK:
            return _status_response(status)
        body = reply.body
        if not body and status.answer.length:
            body = self._fetch_answer(status.answer)
        if isinstance(body, bytes):
            headers = _answer_headers(status)
            return HttpResponse(200, body, headers, "application/octet-stream")
        if isinstance(body, Refused):
            answer_lost = status._replace(
                code=ResultCode.ANSWER_LOST, reason=f"it ran, but: {body.reason}"
            )
            return _status_response(answer_lost)
        pending = status._replace(
            code=ResultCode.PENDING, reason="it ran; its answer can't be reached now"
        )
        return _status_response(pending, RETRY_AFTER_MS)

    def _fetch_answer(self, location):
        link = self._context.random.choice(self._actors.answers)
        return self._ask(link, lambda r: FetchAnswer(location, r), FETCH_TIMEOUT_MS)

    def _read_history(self):
        return self._ask(self._actors.configuration, GetHistory)

    def _ask(self, ref, build_message, timeout_ms=REPLY_TIMEOUT_MS):
        reply = pykka.ThreadingFuture()
        tell(ref, build_message(reply))
        try:
            return reply.get(timeout=timeout_ms / MS_PER_SECOND)
        except pykka.Timeout:
            return None


_ROUTES = (
    (
        "POST",
        ("v1", "organisations", "*", "services", "*", "jobs"),
        EntryApi.submit,
    ),
    ("GET", ("v1", "jobs", "*"), EntryApi.get_job),
    ("DELETE", ("v1", "jobs", "*"), EntryApi.cancel),
    ("GET", ("v1", "listings", "*"), EntryApi.get_listing),
    ("GET", ("v1", "organisations"), EntryApi.list_organisations),
    ("GET", ("v1", "configuration"), EntryApi.get_configuration),
    ("GET", ("v1", "configuration", "history"), EntryApi.get_history),
    ("POST", ("v1", "configuration", "check"), EntryApi.check_configuration),
    ("POST", ("v1", "configuration"), EntryApi.publish_configuration),
    ("GET", ("v1", "state"), EntryApi.dump_state),
)


def _match_path(pattern, parts):
    if len(pattern) != len(parts):
        return None
    path_arguments = []
    for expected, part in zip(pattern, parts, strict=True):
        if expected == "*":
            path_arguments.append(part)
        elif expected != part:
            return None
    return path_arguments


def _parse_count(value):
    return int(value) if value.isdigit() and len(value) < 12 else None


def _decode_object(http_request):
    try:
        value = json_text.loads(http_request.body)
    except json_text.TextError as error:
        return Result(ResultCode.BAD_REQUEST, str(error))
    if not isinstance(value, dict):
        return Result(ResultCode.BAD_REQUEST, "expected a JSON object")
    return value


def _http_status(code):
    if code in _HTTP_STATUS_OF_CODE:
        return _HTTP_STATUS_OF_CODE[code]
    if code < ResultCode.EXPIRED:
        return 400
    if code < ResultCode.OUTCOME_UNKNOWN:
        return 503
    return 504


def _status_response(status, retry_after_ms=0):
    row = {
        "job": status.job_id,
        "state": status.state,
        "code": int(status.code),
        "reason": status.reason,
        "workers": status.workers,
    }
    if retry_after_ms:
        row["retry_after_ms"] = retry_after_ms
    headers = (("X-Result-Code", str(int(status.code))), ("X-Job", status.job_id))
    return json_response(row, _http_status(status.code), headers)


def _error_response(result):
    row = {"code": int(result.code), "reason": result.reason}
    headers = (("X-Result-Code", str(int(result.code))),)
    return json_response(row, _http_status(result.code), headers)


def _answer_headers(status):
    return (
        ("X-Result-Code", "0"),
        ("X-Job", status.job_id),
        ("X-Digest", status.answer.digest),
        ("X-Wait-Ms", str(status.wait_ms)),
        ("X-Run-Ms", str(status.run_ms)),
        ("X-Holder", ",".join(status.workers)),
    )


def _decision_row(decision):
    return {
        "offset": decision.offset,
        "id": decision.entry_id,
        "code": int(decision.result.code),
        "reason": decision.result.reason,
        "author": decision.author,
        "parts": decision.parts,
    }
