"""Platform adapter for the HTTP and JSON protocol of `knapweedshed-standin`."""

from knapweedshed.codecs import json_text
from knapweedshed.links.http_client import HttpClient
from knapweedshed.links.http_messages import Response
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
from knapweedshed.models.workers import Host, HostListing, HostState
from knapweedshed.settings import parse_address

MAX_COUNT_DIGITS = 10
MAX_SLOTS_COUNT = 1_000_000
LOG_APPEND_TIMEOUT_MS = 2_000
COMMAND_TIMEOUT_MS = 1_500
ANSWER_TIMEOUT_MS = 30_000


class HttpLog(LogService):
    """Client of the log service."""

    def __init__(self, client):
        self._client = client

    def append(self, stream, records):
        """Append records; return the first offset or a failure."""
        body = json_text.dumps([[r.record_id, r.body] for r in records]).encode()
        response = self._client.exchange(
            "POST", f"/streams/{stream}", body, timeout_ms=LOG_APPEND_TIMEOUT_MS
        )
        return _decode(response, lambda fields: int(fields["offset"]))

    def read(self, stream, from_offset, limit, wait_ms):
        """Return a page of records or a failure."""
        query = {"from": from_offset, "limit": limit, "wait_ms": wait_ms}
        response = self._client.exchange(
            "GET",
            f"/streams/{stream}",
            query=query,
            timeout_ms=wait_ms + 1_000,
        )
        return _decode(response, _decode_page)

    def close(self):
        """Close the connections."""
        self._client.close()


class HttpHostList(HostList):
    """Client of the host list."""

    def __init__(self, client):
        self._client = client

    def hosts(self, data_centre, role):
        """Return the `HostListing` of a role in a data centre, or a failure."""
        query = {"data_centre": data_centre, "role": role}
        return _decode(
            self._client.exchange("GET", "/hosts", query=query), decode_host_listing
        )

    def close(self):
        """Close the connections."""
        self._client.close()


class HttpWorker(WorkerService):
    """Client of one worker."""

    def __init__(self, client):
        self._client = client

    def grant(self, lease_id, labels, accelerators, term_ms):
        """Lease accelerators for `term_ms`; return `Granted` or a failure."""
        body = {
            "lease": lease_id,
            "labels": labels,
            "accelerators": accelerators,
            "term_ms": term_ms,
        }
        response = self._post("/grant", body)
        return _decode(
            response,
            lambda fields: Granted(
                lease_id, int(fields["fence"]), fields["incarnation"]
            ),
        )

    def start(self, lease_id, program, body, held, checkpoint):
        """Load a task under a lease; return `Done` or a failure.

        The timeout grows by 1 ms for each 10 kB of the body.
        """
        query = {
            "lease": lease_id,
            "program": program,
            "held": int(held),
            "checkpoint": checkpoint,
        }
        response = self._client.exchange(
            "POST",
            "/start",
            body,
            query,
            timeout_ms=COMMAND_TIMEOUT_MS + len(body) // 10_000,
        )
        return _decode(response, _decode_done)

    def release(self, lease_id):
        """Let a held task run; return `Done` or a failure."""
        return _decode(self._post("/release", {"lease": lease_id}), _decode_done)

    def stop(self, lease_id, checkpoint):
        """Stop a task; return `Done` or a failure."""
        body = {"lease": lease_id, "checkpoint": checkpoint}
        return _decode(self._post("/stop", body), _decode_done)

    def free(self, lease_id):
        """End a lease; return `Freed` or a failure."""
        return _decode(
            self._post("/free", {"lease": lease_id}),
            lambda fields: Freed(fields["state"], fields["incarnation"]),
        )

    def sync(self, renewals, term_ms, known_version, wait_ms):
        """Renew leases; return the worker's `WorkerReport` or a failure."""
        body = {
            "renew": list(renewals),
            "term_ms": term_ms,
            "version": known_version,
            "wait_ms": wait_ms,
        }
        response = self._client.exchange(
            "POST", "/sync", json_text.dumps(body).encode(), timeout_ms=wait_ms
        )
        return _decode(response, json_text.message_from_plain)

    def answer(self, lease_id, from_byte):
        """Return the rest of an answer as an `AnswerPart`, or a failure."""
        response = self._client.exchange(
            "GET",
            "/answer",
            query={"lease": lease_id, "from": from_byte},
            timeout_ms=ANSWER_TIMEOUT_MS,
        )
        if not isinstance(response, Response):
            return response
        return AnswerPart(response.body)

    def close(self):
        """Close the connections."""
        self._client.close()

    def _post(self, path, body):
        data = json_text.dumps(body).encode()
        return self._client.exchange("POST", path, data, timeout_ms=COMMAND_TIMEOUT_MS)


class HttpRunner(RunnerService):
    """Client of one runner."""

    def __init__(self, client):
        self._client = client

    def call(self, request_id, program, body, time_left_ms):
        """Run short work; return a `RunnerAnswer` or a failure."""
        query = {"request": request_id, "program": program, "time_ms": time_left_ms}
        response = self._client.exchange(
            "POST", "/call", body, query, timeout_ms=time_left_ms
        )
        if not isinstance(response, Response):
            return response
        headers = response.headers
        if headers.get("X-Request") != request_id:
            return NoAnswer("the answer belongs to another request")
        return RunnerAnswer(
            response.body,
            headers.get("X-Digest", ""),
            _parse_count(headers.get("X-In-Flight", "")),
            _parse_count(headers.get("X-Slots", "")),
            headers.get("X-Failed") == "1",
        )

    def close(self):
        """Close the connections."""
        self._client.close()


class HttpPlatform(Platform):
    """Creates the HTTP adapters."""

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


def _decode(response, convert):
    if not isinstance(response, Response):
        return response
    try:
        return convert(json_text.loads(response.body))
    except json_text.DECODE_ERRORS as error:
        return NoAnswer(f"unreadable answer: {error}"[: json_text.MAX_REASON_CHARS])


def _decode_page(fields):
    records = tuple(StoredRecord(*record) for record in fields["records"])
    return LogPage(records, int(fields["next"]), int(fields["first"]))


def decode_host_listing(fields):
    """Return the `HostListing`; raises one of `DECODE_ERRORS` if there is no list."""
    hosts, unreadable = [], []
    for item in fields["hosts"]:
        try:
            hosts.append(_decode_host(item))
        except json_text.DECODE_ERRORS as error:
            unreadable.append(f"{item!r}: {error!r}"[: json_text.MAX_REASON_CHARS])
    return HostListing(tuple(hosts), tuple(unreadable))


def _decode_host(fields):
    known = {name: fields[name] for name in Host._fields if name in fields}
    host = Host(**{**known, "state": HostState(known["state"])})
    parse_address(host.address)
    texts = (host.name, host.role, host.data_centre, host.rack, host.incarnation)
    if not all(isinstance(text, str) and text.isprintable() for text in texts):
        raise TypeError("expected printable text")
    if isinstance(host.slots, bool) or not isinstance(host.slots, int):
        raise TypeError("expected a whole number of slots")
    if not 0 <= host.slots <= MAX_SLOTS_COUNT:
        raise ValueError(f"expected at most {MAX_SLOTS_COUNT} slots")
    return host


def _parse_count(text):
    """Return the number in a header; 0 if there is none, as the load is a hint."""
    is_count = text.isascii() and text.isdigit() and len(text) < MAX_COUNT_DIGITS
    return int(text) if is_count else 0


def _decode_done(fields):
    return Done(str(fields.get("detail", "")))
