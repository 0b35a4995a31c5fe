"""Codec of the platform's task runners, which are the scheduler's workers."""

from knapweedshed.codecs import json_text
from knapweedshed.codecs.json_text import DECODE_ERRORS
from knapweedshed.links.http_messages import Response
from knapweedshed.links.service import WorkerCall, WorkerCodec
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    ORDER_REFUSED,
    ORDER_UNKNOWN,
    REASON_FENCE,
    REASON_OTHER_INCARNATION,
    REASON_UNHEALTHY,
    REASON_UNREACHABLE,
    OrderOutcome,
    StopRun,
)
from knapweedshed.models.outcomes import NoAnswer, NotSent, Refused
from knapweedshed.models.work import EndKind, HoldAnswer, Task, TaskEnd, TaskRun
from knapweedshed.platform.fields import (
    parse_number,
    parse_opaque_text,
    parse_text,
    parse_whole_number,
)

HTTP_OK, HTTP_CONFLICT, HTTP_MISDIRECTED = 200, 409, 421
UNHEALTHY_STATUSES = (429, 503)
INCARNATION_HEADER = "X-Knapweedshed-Expect-Instance"
TASK_NAME_PARTS = 4
MAX_LISTED_ENDS = 500  # a worker lists its oldest ends only, up to this number


class JsonWorkerCodec(WorkerCodec):
    """Codec of the task runners' interface, in JSON."""

    def encode_hold(self, entry, request):
        """Return the `WorkerCall` of a `HoldRequest`."""
        body = {"fence": request.fence, "acked_upto": request.acknowledged_upto}
        if request.deadline_ms:
            body["deadline_ms"] = request.deadline_ms
        if request.wait_ms:
            body["wait_ms"] = request.wait_ms
        return _encode_call("/v1/hold", entry, body)

    def decode_hold(self, result):
        """Return `HoldAnswer`, `Refused` or a failure."""
        if not isinstance(result, Response):
            return result
        if result.status != HTTP_OK:
            return Refused(_refusal_reason(result))
        try:
            return decode_hold_answer(json_text.loads(result.body))
        except DECODE_ERRORS as error:
            return NoAnswer(f"worker lists can't be decoded: {error!r}"[:300])

    def encode_order(self, entry, order, fence):
        """Return the `WorkerCall` of a `StartRun` or a `StopRun`."""
        body = {"task": encode_task(order.task), "run": order.run, "fence": fence}
        if isinstance(order, StopRun):
            return _encode_call("/v1/run-stop", entry, body)
        body["spec"] = order.specification
        body["deadline_ms"] = order.deadline_ms
        if order.saved:
            body["saved"] = order.saved
        return _encode_call("/v1/run-start", entry, body)

    def decode_order(self, result):
        """Return the `OrderOutcome` of an order."""
        if isinstance(result, NotSent):
            return OrderOutcome(ORDER_REFUSED, REASON_UNREACHABLE)
        if not isinstance(result, Response):
            return OrderOutcome(ORDER_UNKNOWN, result.reason)
        if result.status == HTTP_OK:
            return OrderOutcome(ORDER_DONE)
        return OrderOutcome(ORDER_REFUSED, _refusal_reason(result))


def encode_task(task):
    """Return the platform's name for a task: its parts joined by dots."""
    return ".".join(str(part) for part in task)


def decode_task(name):
    """Return the `Task` of a platform name; raises TypeError or ValueError."""
    parts = parse_text(name).split(".")
    if len(parts) != TASK_NAME_PARTS:
        raise ValueError(f"not a task name: {name!r}"[:100])
    occurrence, step, index = (parse_whole_number(int(part)) for part in parts[1:])
    return Task(parts[0], occurrence, step, index)


def _encode_call(path, entry, body):
    headers = (
        ("Content-Type", "application/json"),
        (INCARNATION_HEADER, entry.worker_id),
    )
    return WorkerCall(path, headers, json_text.dumps(body).encode())


def decode_hold_answer(fields):
    """Return `HoldAnswer`; raises one of `DECODE_ERRORS`."""

    running = tuple(
        TaskRun(
            decode_task(row[0]),
            parse_whole_number(row[1]),
            parse_opaque_text(row[2]),
            parse_number(row[3]),
        )
        for row in fields["running"]
    )
    ended = tuple(
        TaskEnd(
            parse_whole_number(row[0]),
            decode_task(row[1]),
            parse_whole_number(row[2]),
            EndKind(row[3]),
            parse_opaque_text(row[4]),
        )
        for row in fields["ended"]
    )
    return HoldAnswer(
        parse_whole_number(fields["clock_ms"]),
        parse_whole_number(fields["born"]),
        running,
        ended,
        is_complete=len(ended) < MAX_LISTED_ENDS,
    )


def _refusal_reason(response):
    if response.status == HTTP_MISDIRECTED:
        return REASON_OTHER_INCARNATION
    if response.status in UNHEALTHY_STATUSES:
        return REASON_UNHEALTHY
    if response.status == HTTP_CONFLICT:
        try:
            return str(json_text.loads(response.body)["reason"])
        except DECODE_ERRORS:
            return REASON_FENCE
    return f"HTTP status {response.status}"
