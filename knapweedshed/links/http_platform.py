"""The platform over plain HTTP and JSON, as the stand-in speaks it."""

from knapweedshed.codecs import json_text
from knapweedshed.links.http_client import HttpClient, Response
from knapweedshed.links.platform import (
    HostList,
    LogService,
    Platform,
    RunnerService,
    WorkerService,
    register_platform,
)
from knapweedshed.models.outcomes import (
    AnswerPart,
    Done,
    Freed,
    Granted,
    LogPage,
    NoAnswer,
    RunnerAnswer,
    StoredRecord,
)
from knapweedshed.models.workers import Host, HostState

LOG_TIMEOUT_MS = 2_000
COMMAND_TIMEOUT_MS = 1_500
BULK_TIMEOUT_MS = 30_000


class HttpLog(LogService):
    """The log service's client."""

    def __init__(self, client):
        self._client = client

    def append(self, stream, records):
        """Append records; return the first offset or a failure."""
        body = json_text.dumps([[r.record_id, r.body] for r in records]).encode()
        response = self._client.exchange(
            "POST", f"/streams/{stream}", body, timeout_ms=LOG_TIMEOUT_MS
        )
        return _map(response, lambda plain: int(plain["offset"]))

    def read(self, stream, from_offset, limit, wait_ms):
        """Return a page of records or a failure."""
        fields = {"from": from_offset, "limit": limit, "wait_ms": wait_ms}
        response = self._client.exchange(
            "GET", f"/streams/{stream}", fields=fields, timeout_ms=wait_ms + 1_000
        )
        return _map(response, _page)

    def close(self):
        """Close connections."""
        self._client.close()


class HttpHostList(HostList):
    """The host list's client."""

    def __init__(self, client):
        self._client = client

    def hosts(self, data_centre, role):
        """Return the hosts of a role in a data centre, or a failure."""
        fields = {"data_centre": data_centre, "role": role}
        return _map(self._client.exchange("GET", "/hosts", fields=fields), _hosts)

    def close(self):
        """Close connections."""
        self._client.close()


class HttpWorker(WorkerService):
    """A worker's client."""

    def __init__(self, client):
        self._client = client

    def grant(self, lease_id, labels, accelerators, term_ms):
        """Lease accelerators."""
        body = {
            "lease": lease_id,
            "labels": labels,
            "accelerators": accelerators,
            "term_ms": term_ms,
        }
        response = self._post("/grant", body)
        return _map(
            response,
            lambda plain: Granted(lease_id, int(plain["fence"]), plain["incarnation"]),
        )

    def start(self, lease_id, program, body, held, checkpoint):
        """Load a task under a lease."""
        fields = {
            "lease": lease_id,
            "program": program,
            "held": int(held),
            "checkpoint": checkpoint,
        }
        response = self._client.exchange(
            "POST",
            "/start",
            body,
            fields,
            timeout_ms=COMMAND_TIMEOUT_MS + len(body) // 10_000,
        )
        return _map(response, _done)

    def release(self, lease_id):
        """Let a held task run."""
        return _map(self._post("/release", {"lease": lease_id}), _done)

    def stop(self, lease_id, checkpoint):
        """Stop a task."""
        body = {"lease": lease_id, "checkpoint": checkpoint}
        return _map(self._post("/stop", body), _done)

    def free(self, lease_id):
        """End a lease."""
        return _map(
            self._post("/free", {"lease": lease_id}),
            lambda plain: Freed(plain["state"], plain["incarnation"]),
        )

    def sync(self, renewals, term_ms, known_version, wait_ms):
        """Renew leases and return the worker's report."""
        body = {
            "renew": list(renewals),
            "term_ms": term_ms,
            "version": known_version,
            "wait_ms": wait_ms,
        }
        response = self._client.exchange(
            "POST", "/sync", json_text.dumps(body).encode(), timeout_ms=wait_ms
        )
        return _map(response, json_text.message_from_plain)

    def answer(self, lease_id, from_byte):
        """Return the rest of an answer."""
        response = self._client.exchange(
            "GET",
            "/answer",
            fields={"lease": lease_id, "from": from_byte},
            timeout_ms=BULK_TIMEOUT_MS,
        )
        if not isinstance(response, Response):
            return response
        return AnswerPart(response.body)

    def close(self):
        """Close connections."""
        self._client.close()

    def _post(self, path, body):
        data = json_text.dumps(body).encode()
        return self._client.exchange("POST", path, data, timeout_ms=COMMAND_TIMEOUT_MS)


class HttpRunner(RunnerService):
    """A runner's client."""

    def __init__(self, client):
        self._client = client

    def call(self, request_id, program, body, time_left_ms):
        """Run short work."""
        fields = {"request": request_id, "program": program, "time_ms": time_left_ms}
        response = self._client.exchange(
            "POST", "/call", body, fields, timeout_ms=time_left_ms
        )
        if not isinstance(response, Response):
            return response
        headers = response.headers
        if headers.get("X-Request") != request_id:
            return NoAnswer("the answer belongs to another request")
        return RunnerAnswer(
            response.body,
            headers.get("X-Digest", ""),
            int(headers.get("X-In-Flight", 0)),
            int(headers.get("X-Slots", 0)),
            headers.get("X-Failed") == "1",
        )

    def close(self):
        """Close connections."""
        self._client.close()


class HttpPlatform(Platform):
    """Makes the HTTP adapters."""

    def __init__(self, clock):
        self._clock = clock

    def log_service(self, address):
        """Return a log client."""
        return HttpLog(HttpClient(self._clock, address))

    def host_list(self, address):
        """Return a host list client."""
        return HttpHostList(HttpClient(self._clock, address))

    def worker(self, address):
        """Return a worker client."""
        return HttpWorker(HttpClient(self._clock, address))

    def runner(self, address):
        """Return a runner client."""
        return HttpRunner(HttpClient(self._clock, address))


register_platform("http", HttpPlatform)


def _map(response, convert):
    if not isinstance(response, Response):
        return response
    try:
        return convert(json_text.loads(response.body))
    except (json_text.TextError, KeyError, TypeError, ValueError) as error:
        return NoAnswer(f"unreadable answer: {error}")


def _page(plain):
    records = tuple(StoredRecord(*record) for record in plain["records"])
    return LogPage(records, int(plain["next"]), int(plain["first"]))


def _hosts(plain):
    return tuple(
        Host(**{**host, "state": HostState(host["state"])}) for host in plain["hosts"]
    )


def _done(plain):
    return Done(str(plain.get("detail", "")))
