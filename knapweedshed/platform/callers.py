"""Calls of the platform's callers, and our replies, as HTTP with JSON."""

import math

from knapweedshed.codecs import json_text
from knapweedshed.links.http_server import Answer, json_answer
from knapweedshed.links.service import CallerCodec
from knapweedshed.models.calls import CallKind, JobDraft, WorkCall
from knapweedshed.models.work import Step
from knapweedshed.platform.feeds import decode_need
from knapweedshed.platform.store import UNREADABLE
from knapweedshed.results import ResultCode

DEADLINE_HEADER = "X-Knapweedshed-Deadline-Ms"
KEY_SCHEME = "Token "
DEADLINE_MS = 3_000  # for a caller that names none
SPECIFICATION_BYTES = 4_000
MS_PER_SECOND = 1_000
KINDS = {
    "POST": CallKind.SUBMIT,
    "GET": CallKind.STATE,
    "DELETE": CallKind.CANCEL,
}
STATUS = {
    ResultCode.OK: 200,
    ResultCode.BAD_REQUEST: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNKNOWN_KEY: 401,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.NOT_FOUND: 410,
    ResultCode.OVERLOADED: 429,
    ResultCode.LIMIT_EXCEEDED: 429,
    ResultCode.OUTCOME_UNKNOWN: 504,
}
UNAVAILABLE = 503


class JsonCallers(CallerCodec):
    """Decodes each call once."""

    def decode(self, call, call_id, now_ms):
        """Return the `WorkCall`, or None for a method that nothing answers."""
        kind = KINDS.get(call.method)
        if kind is None:
            return None
        host = call.headers("Host").rpartition(":")[0] or call.headers("Host")
        key = call.headers("Authorization").removeprefix(KEY_SCHEME)
        draft, fault = None, ""
        if kind == CallKind.SUBMIT:
            draft, fault = _draft(call.body)
        return WorkCall(
            call_id,
            kind,
            host,
            call.path,
            key,
            now_ms,
            now_ms + _time_left_ms(call.headers(DEADLINE_HEADER)),
            draft,
            fault,
            len(call.body),
        )

    def encode(self, reply):
        """Return the `Answer`; a refusal says when to come back."""
        code = reply.result.code
        status = STATUS.get(code, UNAVAILABLE)
        if code != ResultCode.OK:
            headers = [("X-Result-Code", str(int(code)))]
            if reply.retry_after_ms:
                seconds = math.ceil(reply.retry_after_ms / MS_PER_SECOND)
                headers.append(("Retry-After", str(seconds)))
            row = {"code": int(code), "error": reply.result.reason}
            return json_answer(row, status, headers)
        if reply.state is not None:
            return json_answer({"state": str(reply.state)})
        if reply.waiting >= 0:
            return json_answer({"waiting": reply.waiting})
        return Answer(200, b"{}")


def _time_left_ms(value):
    return int(value) if value.isdigit() and len(value) < 10 else DEADLINE_MS


def _draft(body):
    """Return (`JobDraft`, "") or (None, what is wrong)."""
    try:
        plain = json_text.loads(body)
        specification = plain["spec"]
        if not isinstance(specification, str):
            return None, "spec must be text"
        if len(specification.encode()) > SPECIFICATION_BYTES:
            return None, f"spec must have {SPECIFICATION_BYTES} bytes at most"
        steps = tuple(_step(item) for item in plain["steps"])
        draft = JobDraft(
            specification,
            steps,
            int(plain.get("first_ms", 0)),
            int(plain.get("period_ms", 0)),
            int(plain.get("repeats", 0)),
        )
    except UNREADABLE as error:
        return None, f"not a job: {error!r}"[:300]
    return (draft, "") if _sound(steps) else (None, "steps must follow earlier ones")


def _step(plain):
    return Step(
        count=int(plain.get("count", 1)),
        need=decode_need(plain),
        estimate_ms=int(plain.get("est_ms", 0)),
        after=tuple(int(number) for number in plain.get("depends_on", ())),
        gang=bool(plain.get("gang", False)),
        same_rack=bool(plain.get("same_rack", False)),
        data_rack=str(plain.get("data_rack", "")),
        label=str(plain.get("required_label", "")),
        most_per_worker=int(plain.get("max_per_server", 0)),
        checkpoints=bool(plain.get("checkpoints", False)),
        copies=bool(plain.get("speculative", False)),
        lasting=bool(plain.get("long_running", False)),
    )


def _sound(steps):
    """Return whether there is work, and each step waits for earlier ones only."""
    return bool(steps) and all(
        step.count > 0 and all(0 <= before < number for before in step.after)
        for number, step in enumerate(steps)
    )
