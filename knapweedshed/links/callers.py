"""The front end for callers and operators: plain HTTP, answers as bytes.

A caller that waits holds a thread only while a permit is free; without one it is told
at once to ask again. So submissions and urgent work never wait behind long polls.
"""

import threading

import pykka

from knapweedshed.actors import tell
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import json_text
from knapweedshed.controllers.configuration import AskHistory, Publish
from knapweedshed.controllers.entry_messages import (
    AskRows,
    CancelJob,
    FetchAnswer,
    LookAt,
    Submit,
    WaitFor,
)
from knapweedshed.decisions.configuration import Decision, check_entry
from knapweedshed.decisions.feasibility import check_guarantees
from knapweedshed.links.http_server import Answer, json_answer
from knapweedshed.models.outcomes import Refused
from knapweedshed.models.requests import Request
from knapweedshed.results import OK, Result, ResultCode, is_final

REPLY_LIMIT_MS = 3_000
LONGEST_WAIT_MS = 25_000
PUBLISH_LIMIT_MS = 10_000
FETCH_LIMIT_MS = 40_000
RETRY_AFTER_MS = 300

_STATUS_OF = {
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


class CallersFront:
    """Turns HTTP calls into typed messages, and replies into responses."""

    def __init__(self, context, actors, waiting_threads, dump):
        """`actors` has requests, homes, configuration and answers (a tuple)."""
        self._context = context
        self._actors = actors
        self._permits = threading.BoundedSemaphore(waiting_threads)
        self._dump = dump

    def handle(self, call):
        """Serve one call."""
        parts = tuple(part for part in call.path.split("/") if part)
        for method, pattern, serve in _ROUTES:
            found = _match(pattern, parts)
            if method == call.method and found is not None:
                return serve(self, call, *found)
        reason = f"{call.method} {call.path} is not served"
        return _refusal(Result(ResultCode.NOT_FOUND, reason))

    def submit(self, call, organisation, service):
        """Submit work; wait for its end as long as the caller asked."""
        request = self._request(call, organisation, service)
        if isinstance(request, Result):
            return _refusal(request)
        wait_ms = _number(call.query.get("wait_ms", "0"))
        reply = self._ask(self._actors.requests, lambda r: Submit(request, r))
        return self._finish(reply, wait_ms or 0)

    def look(self, call, job_id):
        """Return how a job stands, or its answer."""
        wait_ms = _number(call.query.get("wait_ms", "0")) or 0
        reply = self._ask(self._actors.requests, lambda r: LookAt(job_id, r))
        return self._finish(reply, wait_ms)

    def cancel(self, call, job_id):
        """Ask for a job to be cancelled."""
        tell(self._actors.requests, CancelJob(job_id))
        return json_answer({"job": job_id, "code": int(ResultCode.ACCEPTED)}, 202)

    def rows(self, call, kind):
        """Return the jobs or workers of all data centres in reach."""
        rows = self._ask(self._actors.homes, lambda r: AskRows(kind, r))
        return json_answer({"rows": rows or ()})

    def organisations(self, call):
        """Return the organisations in force."""
        configuration, _ = self._history()
        return json_answer(
            {"version": configuration.offset, "rows": configuration.organisations}
        )

    def configuration(self, call):
        """Return each organisation's version in force, to base an entry on."""
        configuration, _ = self._history()
        return json_answer(
            {
                "version": configuration.offset,
                "digest": configuration.digest,
                "versions": dict(configuration.versions),
            }
        )

    def history(self, call):
        """Return what was decided on the latest entries."""
        _, history = self._history()
        return json_answer({"rows": [_decision_row(item) for item in history]})

    def check(self, call):
        """Say what would become of an entry, and change nothing."""
        plain = _json_object(call)
        if isinstance(plain, Result):
            return _refusal(plain)
        configuration, _ = self._history()
        result, after = check_entry(configuration, plain)
        if result.ok:
            result = self._check_inventory(after)
        return json_answer({"code": int(result.code), "reason": result.reason})

    def _check_inventory(self, configuration):
        """Refuse guarantees that the workers in reach can't hold all together."""
        rows = self._ask(self._actors.homes, lambda r: AskRows("workers", r)) or ()
        known = {}
        for row in rows:
            spot = (row["rack"], row["accelerators"])
            known.setdefault(row["data_centre"], []).append(spot)
        for place, spots in sorted(known.items()):
            reason = check_guarantees(configuration.organisations, place, spots)
            if reason:
                return Result(ResultCode.CONFIGURATION_REFUSED, reason)
        return OK

    def publish(self, call):
        """Append an entry, and say what was decided on it."""
        plain = _json_object(call)
        if isinstance(plain, Result):
            return _refusal(plain)
        plain.setdefault("id", self._context.new_id())
        decision = self._ask(
            self._actors.configuration,
            lambda r: Publish(plain, r),
            PUBLISH_LIMIT_MS,
        )
        if decision is None:
            reason = f"entry {plain['id']} had no answer from the log; see the history"
            return _refusal(Result(ResultCode.OUTCOME_UNKNOWN, reason))
        if not isinstance(decision, Decision):
            return _refusal(Result(ResultCode.LOG_UNAVAILABLE, decision.reason))
        status = 200 if decision.result.ok else _status(decision.result.code)
        return json_answer(_decision_row(decision), status)

    def state(self, call):
        """Return this process's state dump."""
        return json_answer(self._dump())

    def _request(self, call, organisation, service):
        members = _number(call.query.get("members", "0"))
        time_left_ms = _number(call.headers("X-Time-Left-Ms") or "0")
        if members is None or time_left_ms is None:
            reason = "members and X-Time-Left-Ms must be whole numbers"
            return Result(ResultCode.BAD_REQUEST, reason)
        if call.query.get("members") is not None and members == 0:
            return Result(ResultCode.BAD_REQUEST, "a gang of 0 members can't run")
        return Request(
            self._context.new_id(),
            organisation,
            service,
            call.headers("Idempotency-Key"),
            call.body,
            self._context.clock.now_ms(),
            time_left_ms,
            members=members,
        )

    def _finish(self, reply, wait_ms):
        if reply is None:
            reason = "this entry is too busy to say; ask again"
            return _refusal(Result(ResultCode.OUTCOME_UNKNOWN, reason))
        status = reply.status
        if wait_ms and not is_final(status.code):
            reply = self._wait(reply, min(wait_ms, LONGEST_WAIT_MS))
        return self._render(reply)

    def _wait(self, reply, wait_ms):
        if not self._permits.acquire(blocking=False):
            self._context.metrics.count("waits.refused")
            return reply
        try:
            job_id = reply.status.job_id
            ended = self._ask(
                self._actors.requests, lambda r: WaitFor(job_id, r), wait_ms
            )
        finally:
            self._permits.release()
        if ended is not None:
            return ended
        return self._ask(self._actors.requests, lambda r: LookAt(job_id, r)) or reply

    def _render(self, reply):
        status = reply.status
        if not is_final(status.code):
            return _status_answer(status, RETRY_AFTER_MS)
        if status.code != ResultCode.OK:
            return _status_answer(status)
        body = reply.body
        if not body and status.answer.length:
            body = self._fetch(status.answer)
        if isinstance(body, bytes):
            headers = _headers_of(status)
            return Answer(200, body, headers, "application/octet-stream")
        if isinstance(body, Refused):
            lost = status._replace(
                code=ResultCode.ANSWER_LOST, reason=f"it ran, but: {body.reason}"
            )
            return _status_answer(lost)
        waiting = status._replace(
            code=ResultCode.PENDING, reason="it ran; its answer can't be reached now"
        )
        return _status_answer(waiting, RETRY_AFTER_MS)

    def _fetch(self, location):
        link = self._context.random.choice(self._actors.answers)
        return self._ask(link, lambda r: FetchAnswer(location, r), FETCH_LIMIT_MS)

    def _history(self):
        return self._ask(self._actors.configuration, AskHistory)

    def _ask(self, ref, build, limit_ms=REPLY_LIMIT_MS):
        reply = pykka.ThreadingFuture()
        tell(ref, build(reply))
        try:
            return reply.get(timeout=limit_ms / MS_PER_SECOND)
        except pykka.Timeout:
            return None


_ROUTES = (
    (
        "POST",
        ("v1", "organisations", "*", "services", "*", "jobs"),
        CallersFront.submit,
    ),
    ("GET", ("v1", "jobs", "*"), CallersFront.look),
    ("DELETE", ("v1", "jobs", "*"), CallersFront.cancel),
    ("GET", ("v1", "listings", "*"), CallersFront.rows),
    ("GET", ("v1", "organisations"), CallersFront.organisations),
    ("GET", ("v1", "configuration"), CallersFront.configuration),
    ("GET", ("v1", "configuration", "history"), CallersFront.history),
    ("POST", ("v1", "configuration", "check"), CallersFront.check),
    ("POST", ("v1", "configuration"), CallersFront.publish),
    ("GET", ("v1", "state"), CallersFront.state),
)


def _match(pattern, parts):
    if len(pattern) != len(parts):
        return None
    found = []
    for expected, part in zip(pattern, parts, strict=True):
        if expected == "*":
            found.append(part)
        elif expected != part:
            return None
    return found


def _number(value):
    return int(value) if value.isdigit() and len(value) < 12 else None


def _json_object(call):
    try:
        plain = json_text.loads(call.body)
    except json_text.TextError as error:
        return Result(ResultCode.BAD_REQUEST, str(error))
    if not isinstance(plain, dict):
        return Result(ResultCode.BAD_REQUEST, "expected a JSON object")
    return plain


def _status(code):
    if code in _STATUS_OF:
        return _STATUS_OF[code]
    if code < ResultCode.EXPIRED:
        return 400
    if code < ResultCode.OUTCOME_UNKNOWN:
        return 503
    return 504


def _status_answer(status, retry_after_ms=0):
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
    return json_answer(row, _status(status.code), headers)


def _refusal(result):
    row = {"code": int(result.code), "reason": result.reason}
    headers = (("X-Result-Code", str(int(result.code))),)
    return json_answer(row, _status(result.code), headers)


def _headers_of(status):
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
