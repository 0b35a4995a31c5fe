"""Client of the platform's task runners, which are the scheduler's workers."""

from knapweedshed.codecs import json_text
from knapweedshed.links.http_client import HttpClient, Response
from knapweedshed.links.service import WorkerClient
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    ORDER_REFUSED,
    ORDER_UNKNOWN,
    REASON_FENCE,
    REASON_OTHER_INCARNATION,
    REASON_UNHEALTHY,
    REASON_UNREACHABLE,
    OrderOutcome,
)
from knapweedshed.models.outcomes import NoAnswer, NotSent, Refused
from knapweedshed.models.work import EndKind, HoldAnswer, Task, TaskEnd, TaskRun
from knapweedshed.platform.store import DECODE_ERRORS

CONNECT_TIMEOUT_MS = 500
# An order takes a few ms. Gang members wait 3 s for each other, and the three attempts
# of a start must fit into that.
READ_MARGIN_MS = 600
HTTP_OK, HTTP_CONFLICT, HTTP_MISDIRECTED = 200, 409, 421
UNHEALTHY_STATUSES = (429, 503)
INCARNATION_HEADER = "X-Knapweedshed-Expect-Instance"
TASK_NAME_PARTS = 4


class HttpWorkerClient(WorkerClient):
    """Client of one worker over one connection; for use by one thread."""

    def __init__(self, clock, entry):
        self._client = HttpClient(
            clock, entry.address, CONNECT_TIMEOUT_MS, READ_MARGIN_MS
        )
        self._headers = {
            "Content-Type": "application/json",
            INCARNATION_HEADER: entry.worker_id,
        }

    def close(self):
        """Close the connection."""
        self._client.close()

    def start(self, order, fence):
        """Start a run; return an `OrderOutcome`."""
        body = {
            "task": encode_task(order.task),
            "run": order.run,
            "spec": order.specification,
            "deadline_ms": order.deadline_ms,
            "fence": fence,
        }
        if order.saved:
            body["saved"] = order.saved
        return self._send_order("/v1/run-start", body)

    def stop(self, order, fence):
        """Stop a run, or refuse it if it arrives later; return an `OrderOutcome`."""
        body = {"task": encode_task(order.task), "run": order.run, "fence": fence}
        return self._send_order("/v1/run-stop", body)

    def hold(self, fence, deadline_ms, acknowledged_upto, wait_ms):
        """Renew leases, acknowledge ends and wait up to `wait_ms` for the next one.

        Return `HoldAnswer`, `Refused` or a failure.
        """

        body = {"fence": fence, "acked_upto": acknowledged_upto}
        if deadline_ms:
            body["deadline_ms"] = deadline_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        response = self._post("/v1/hold", body, wait_ms)
        if not isinstance(response, Response):
            return response
        if response.status != HTTP_OK:
            return Refused(_refusal_reason(response))
        try:
            return decode_hold_answer(json_text.loads(response.body))
        except DECODE_ERRORS as error:
            return NoAnswer(f"worker lists can't be decoded: {error!r}"[:300])

    def _send_order(self, path, body):
        response = self._post(path, body, 0)
        if isinstance(response, NotSent):
            return OrderOutcome(ORDER_REFUSED, REASON_UNREACHABLE)
        if not isinstance(response, Response):
            return OrderOutcome(ORDER_UNKNOWN, response.reason)
        if response.status == HTTP_OK:
            return OrderOutcome(ORDER_DONE)
        return OrderOutcome(ORDER_REFUSED, _refusal_reason(response))

    def _post(self, path, body, wait_ms):
        data = json_text.dumps(body).encode()
        return self._client.request("POST", path, data, None, wait_ms, self._headers)


def encode_task(task):
    """Return the platform's name for a task: its parts joined by dots."""
    return ".".join(str(part) for part in task)


def decode_task(name):
    """Return the `Task` of a platform name; raises ValueError."""
    parts = name.split(".")
    if len(parts) != TASK_NAME_PARTS:
        raise ValueError(f"not a task name: {name!r}"[:100])
    return Task(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def decode_hold_answer(fields):
    """Return `HoldAnswer`; raises one of `DECODE_ERRORS`."""

    running = tuple(
        TaskRun(decode_task(row[0]), int(row[1]), row[2], float(row[3]))
        for row in fields["running"]
    )
    ended = tuple(
        TaskEnd(int(row[0]), decode_task(row[1]), int(row[2]), EndKind(row[3]), row[4])
        for row in fields["ended"]
    )
    return HoldAnswer(int(fields["clock_ms"]), int(fields["born"]), running, ended)


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
