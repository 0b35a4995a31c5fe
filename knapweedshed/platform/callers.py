"""Decodes callers' HTTP requests with JSON bodies and encodes the replies."""

import math

from knapweedshed.codecs import json_text
from knapweedshed.codecs.json_text import DECODE_ERRORS
from knapweedshed.decisions.job_limits import MAX_STEPS_COUNT
from knapweedshed.links.http_server import HttpResponse, json_response
from knapweedshed.links.service import CallerCodec
from knapweedshed.models.calls import CallKind, JobDraft, WorkCall
from knapweedshed.models.work import Step
from knapweedshed.platform.feeds import decode_resources
from knapweedshed.results import ResultCode

DEADLINE_HEADER = "X-Knapweedshed-Deadline-Ms"
AUTHORIZATION_SCHEME = "Token "
DEFAULT_TIME_LEFT_MS = 3_000  # for requests without a deadline header
MAX_SPECIFICATION_BYTES = 4_000
MS_PER_SECOND = 1_000
CALL_KIND_OF_METHOD = {
    "POST": CallKind.SUBMIT,
    "GET": CallKind.STATE,
    "DELETE": CallKind.CANCEL,
}
HTTP_STATUS_OF_CODE = {
    ResultCode.OK: 200,
    ResultCode.BAD_REQUEST: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNKNOWN_KEY: 401,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.NOT_FOUND: 410,
    ResultCode.OVERLOADED: 429,
    ResultCode.LIMIT_EXCEEDED: 429,
    ResultCode.CAPACITY_SHORT: 429,
    ResultCode.OUTCOME_UNKNOWN: 504,
}
HTTP_UNAVAILABLE = 503


class JsonCallerCodec(CallerCodec):
    """Codec of the `fleet` platform's HTTP requests and JSON replies."""

    def decode(self, request, call_id, now_ms):
        """Return the `WorkCall`, or None for a method that is not supported."""
        kind = CALL_KIND_OF_METHOD.get(request.method)
        if kind is None:
            return None
        host = request.headers("Host").rpartition(":")[0] or request.headers("Host")
        key = self.find_api_key(request.headers)
        draft, body_error = None, ""
        if kind == CallKind.SUBMIT:
            draft, body_error = _decode_draft(request.body)
        return WorkCall(
            call_id,
            kind,
            host,
            request.path,
            key,
            now_ms,
            now_ms + _parse_time_left_ms(request.headers(DEADLINE_HEADER)),
            draft,
            body_error,
            len(request.body),
        )

    def encode(self, reply):
        """Return the `HttpResponse`; a refusal may set Retry-After (seconds)."""
        code = reply.result.code
        status = HTTP_STATUS_OF_CODE.get(code, HTTP_UNAVAILABLE)
        if code != ResultCode.OK:
            headers = [("X-Result-Code", str(int(code)))]
            if reply.retry_after_ms:
                seconds = math.ceil(reply.retry_after_ms / MS_PER_SECOND)
                headers.append(("Retry-After", str(seconds)))
            error_body = {"code": int(code), "error": reply.result.reason}
            return json_response(error_body, status, headers)
        if reply.state is not None:
            return json_response({"state": str(reply.state)})
        if reply.waiting >= 0:
            return json_response({"waiting": reply.waiting})
        return HttpResponse(200, b"{}")

    def find_api_key(self, headers):
        """Return the API key in a request's headers, looked up by name, or ""."""
        return headers("Authorization").removeprefix(AUTHORIZATION_SCHEME)


def _parse_time_left_ms(value):
    is_number = value.isascii() and value.isdigit() and len(value) < 10
    return int(value) if is_number else DEFAULT_TIME_LEFT_MS


def _decode_draft(body):
    """Return (`JobDraft`, "") or (None, why the body is not valid)."""
    try:
        fields = json_text.loads(body)
        specification = fields["spec"]
        if not isinstance(specification, str):
            return None, "spec must be text"
        if len(specification.encode()) > MAX_SPECIFICATION_BYTES:
            return None, f"spec must have {MAX_SPECIFICATION_BYTES} bytes at most"
        if len(fields["steps"]) > MAX_STEPS_COUNT:  # decoded steps take 100 times more
            return None, f"a job has 1 to {MAX_STEPS_COUNT} steps"
        steps = tuple(_decode_step(item) for item in fields["steps"])
        draft = JobDraft(
            specification,
            steps,
            int(fields.get("first_ms", 0)),
            int(fields.get("period_ms", 0)),
            int(fields.get("repeats", 0)),
        )
    except DECODE_ERRORS as error:
        return None, f"not a job: {error!r}"[:300]
    return draft, ""


def _decode_step(fields):
    return Step(
        count=int(fields.get("count", 1)),
        need=decode_resources(fields),
        estimate_ms=int(fields.get("est_ms", 0)),
        after=tuple(int(number) for number in fields.get("depends_on", ())),
        gang=bool(fields.get("gang", False)),
        same_rack=bool(fields.get("same_rack", False)),
        data_rack=str(fields.get("data_rack", "")),
        label=str(fields.get("required_label", "")),
        most_per_worker=int(fields.get("max_per_server", 0)),
        checkpoints=bool(fields.get("checkpoints", False)),
        copies=bool(fields.get("speculative", False)),
        lasting=bool(fields.get("long_running", False)),
        may_miss=int(fields.get("may_miss", 0)),
    )
