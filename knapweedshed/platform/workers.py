"""Calls of one of the platform's runners of tasks, our worker."""

from knapweedshed.codecs import json_text
from knapweedshed.links.http_client import HttpClient, Response
from knapweedshed.links.service import WorkerCalls
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
from knapweedshed.platform.store import UNREADABLE

CONNECT_MS = 500
ANSWER_MS = 600  # an order takes some ms; a gang's members wait 3 s for each other
OK, CONFLICT, OTHER_INCARNATION = 200, 409, 421
BUSY = (429, 503)
INCARNATION_HEADER = "X-Knapweedshed-Expect-Instance"
TASK_PARTS = 4


class HttpWorker(WorkerCalls):
    """One worker, over one connection; for use by one thread."""

    def __init__(self, clock, entry):
        self._client = HttpClient(clock, entry.address, CONNECT_MS, ANSWER_MS)
        self._headers = {
            "Content-Type": "application/json",
            INCARNATION_HEADER: entry.worker_id,
        }

    def close(self):
        """Close the connection."""
        self._client.close()

    def start(self, order, fence):
        """Start a run."""
        body = {
            "task": encode_task(order.task),
            "run": order.run,
            "spec": order.specification,
            "deadline_ms": order.deadline_ms,
            "fence": fence,
        }
        if order.saved:
            body["saved"] = order.saved
        return self._order("/v1/run-start", body)

    def stop(self, order, fence):
        """Stop a run; one that isn't there yet is barred."""
        body = {"task": encode_task(order.task), "run": order.run, "fence": fence}
        return self._order("/v1/run-stop", body)

    def hold(self, fence, deadline_ms, ends_upto, wait_ms):
        """Renew, acknowledge, and wait for an end; return `HoldAnswer`."""
        body = {"fence": fence, "acked_upto": ends_upto}
        if deadline_ms:
            body["deadline_ms"] = deadline_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        found = self._post("/v1/hold", body, wait_ms)
        if not isinstance(found, Response):
            return found
        if found.status != OK:
            return Refused(_reason(found))
        try:
            return decode_lists(json_text.loads(found.body))
        except UNREADABLE as error:
            return NoAnswer(f"lists unreadable: {error!r}"[:300])

    def _order(self, path, body):
        found = self._post(path, body, 0)
        if isinstance(found, NotSent):
            return OrderOutcome(ORDER_REFUSED, REASON_UNREACHABLE)
        if not isinstance(found, Response):
            return OrderOutcome(ORDER_UNKNOWN, found.reason)
        if found.status == OK:
            return OrderOutcome(ORDER_DONE)
        return OrderOutcome(ORDER_REFUSED, _reason(found))

    def _post(self, path, body, wait_ms):
        data = json_text.dumps(body).encode()
        return self._client.request("POST", path, data, None, wait_ms, self._headers)


def encode_task(task):
    """Return the platform's name of a task."""
    return ".".join(str(part) for part in task)


def decode_task(name):
    """Return the `Task`; raises ValueError."""
    parts = name.split(".")
    if len(parts) != TASK_PARTS:
        raise ValueError(f"no task's name: {name!r}"[:100])
    return Task(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


def decode_lists(plain):
    """Return `HoldAnswer`; raises KeyError, TypeError or ValueError."""
    running = tuple(
        TaskRun(decode_task(row[0]), int(row[1]), row[2], float(row[3]))
        for row in plain["running"]
    )
    ended = tuple(
        TaskEnd(int(row[0]), decode_task(row[1]), int(row[2]), EndKind(row[3]), row[4])
        for row in plain["ended"]
    )
    return HoldAnswer(int(plain["clock_ms"]), int(plain["born"]), running, ended)


def _reason(response):
    if response.status == OTHER_INCARNATION:
        return REASON_OTHER_INCARNATION
    if response.status in BUSY:
        return REASON_UNHEALTHY
    if response.status == CONFLICT:
        try:
            return str(json_text.loads(response.body)["reason"])
        except UNREADABLE:
            return REASON_FENCE
    return f"HTTP status {response.status}"
