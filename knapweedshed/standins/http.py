"""HTTP request handlers of the stand-ins: JSON bodies, one port per host."""

import pykka

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import json_text
from knapweedshed.digests import digest_of
from knapweedshed.links.http_server import HttpResponse, json_response
from knapweedshed.standins import log, tasks, worker

REPLY_TIMEOUT_MS = 10_000
MAX_WAIT_MS = 30_000
UNKNOWN_PATH_RESPONSE = json_response({"reason": "no such path"}, 404)


def _error_response(reason, status=409):
    return HttpResponse(status, str(reason).encode(), content_type="text/plain")


def _ask_actor(actor, create_message, wait_ms=REPLY_TIMEOUT_MS):
    """Send the message that `create_message(reply)` returns, and wait for the reply.

    Returns None if there is no reply within `wait_ms` milliseconds.
    """
    reply = pykka.ThreadingFuture()
    actor.tell(create_message(reply))
    try:
        return reply.get(timeout=wait_ms / MS_PER_SECOND)
    except pykka.Timeout:
        return None


class LogRequestHandler:
    """Serves the paths of the log service."""

    def __init__(self, actor):
        self._actor = actor

    def handle(self, request):
        """Serve appends, reads, the state, and the faults that tests inject."""
        if request.path == "/fault":
            self._actor.tell(log.SetFault(bool(json_text.loads(request.body)["down"])))
            return json_response({})
        if request.path == "/drop":
            fields = json_text.loads(request.body)
            self._actor.tell(log.DropRecordsBefore(fields["stream"], fields["offset"]))
            return json_response({})
        if request.path == "/state":
            return json_response(self._actor.proxy().dump().get(timeout=5))
        if not request.path.startswith("/streams/"):
            return UNKNOWN_PATH_RESPONSE
        stream = request.path.removeprefix("/streams/")
        if request.method == "POST":
            return self._append(stream, request)
        return self._read(stream, request)

    def _append(self, stream, request):
        records = tuple(tuple(pair) for pair in json_text.loads(request.body))
        offset = _ask_actor(
            self._actor, lambda reply: log.Append(stream, records, reply)
        )
        if offset is None or offset == log.REFUSED:
            return _error_response("the log is down", 503)
        return json_response({"offset": offset})

    def _read(self, stream, request):
        start_offset = int(request.query.get("from", 0))
        limit = int(request.query.get("limit", 1_000))
        wait_ms = min(int(request.query.get("wait_ms", 0)), MAX_WAIT_MS)
        page = _ask_actor(
            self._actor,
            lambda reply: log.Read(stream, start_offset, limit, wait_ms > 0, reply),
            wait_ms or REPLY_TIMEOUT_MS,
        )
        if page == log.REFUSED:
            return _error_response("the log is down", 503)
        if page is None:
            page = (
                self._actor.proxy()
                .create_empty_page(stream, start_offset)
                .get(timeout=5)
            )
        records, next_offset, first_offset = page
        return json_response(
            {"records": records, "next": next_offset, "first": first_offset}
        )


class HostListRequestHandler:
    """Serves the paths of the host list; changes are visible after `lag_ms`."""

    def __init__(self, clock, hosts, lag_ms, effects):
        self._clock = clock
        self._lag_ms = lag_ms
        self._hosts = {host.name: host for host in hosts}
        self._pending_changes = []
        self._effects = effects

    def handle(self, request):
        """Serve the host list, changes to it, and the effects on all workers."""
        if request.path == "/effects":
            rows = [effect._asdict() for effect in list(self._effects)]
            return json_response({"rows": rows, "now_ms": self._clock.now_ms()})
        if request.path != "/hosts":
            return UNKNOWN_PATH_RESPONSE
        if request.method == "POST":
            fields = json_text.loads(request.body)
            due_ms = self._clock.now_ms() + self._lag_ms
            self._pending_changes = [*self._pending_changes, (due_ms, fields)]
            return json_response({})
        self._apply_changes()
        rows = [host._asdict() for host in self._hosts.values()]
        for field in ("data_centre", "role"):
            wanted = request.query.get(field)
            rows = [row for row in rows if wanted in (None, row[field])]
        return json_response({"hosts": rows})

    def _apply_changes(self):
        now_ms = self._clock.now_ms()
        for due_ms, fields in self._pending_changes:
            if due_ms <= now_ms and fields["name"] in self._hosts:
                host = self._hosts[fields["name"]]
                self._hosts[host.name] = host._replace(state=fields["state"])
        self._pending_changes = [
            change for change in self._pending_changes if change[0] > now_ms
        ]


class WorkerRequestHandler:
    """Serves the paths of one worker."""

    def __init__(self, actor):
        self._actor = actor

    def handle(self, request):
        """Serve lease commands, syncs, answers, and the fault that tests inject."""
        if request.path == "/answer":
            return self._read_answer(request)
        if request.path == "/start":
            return self._start(request)
        fields = json_text.loads(request.body) if request.body else {}
        if request.path == "/sync":
            return self._sync(fields)
        if request.path == "/grant":
            return self._grant(fields)
        if request.path == "/fault":
            self._actor.tell(worker.SetFailAll(bool(fields["fail"])))
            return json_response({})
        verb = request.path.removeprefix("/")
        if verb in ("release", "stop", "free"):
            return self._command(verb, fields)
        return UNKNOWN_PATH_RESPONSE

    def _grant(self, fields):
        labels = json_text.message_from_plain(fields["labels"])
        granted = _ask_actor(
            self._actor,
            lambda reply: worker.Grant(
                fields["lease"],
                labels,
                fields["accelerators"],
                fields["term_ms"],
                reply,
            ),
        )
        if isinstance(granted, worker.Refusal):
            return _error_response(granted.reason)
        return json_response({"fence": granted[0], "incarnation": granted[1]})

    def _start(self, request):
        query = request.query
        detail = _ask_actor(
            self._actor,
            lambda reply: worker.StartTask(
                query["lease"],
                query["program"],
                request.body,
                query.get("held") == "1",
                query.get("checkpoint", ""),
                reply,
            ),
        )
        return self._detail_response(detail)

    def _command(self, verb, fields):
        checkpoint = bool(fields.get("checkpoint", False))
        detail = _ask_actor(
            self._actor,
            lambda reply: worker.Command(verb, fields["lease"], checkpoint, reply),
        )
        if verb == "free":
            return json_response({"state": detail[0], "incarnation": detail[1]})
        return self._detail_response(detail)

    def _detail_response(self, detail):
        if isinstance(detail, worker.Refusal):
            return _error_response(detail.reason)
        return json_response({"detail": detail})

    def _sync(self, fields):
        wait_ms = min(int(fields["wait_ms"]), MAX_WAIT_MS)
        report = _ask_actor(
            self._actor,
            lambda reply: worker.Sync(
                tuple(fields["renew"]), fields["term_ms"], fields["version"], reply
            ),
            wait_ms or 1,
        )
        if report is None:
            report = self._actor.proxy().current_report().get(timeout=5)
        return json_response(report)

    def _read_answer(self, request):
        lease_id = request.query["lease"]
        body = _ask_actor(self._actor, lambda reply: worker.ReadAnswer(lease_id, reply))
        if body is None:
            return _error_response("no answer under this lease")
        start_offset = int(request.query.get("from", 0))
        return HttpResponse(
            200, body[start_offset:], content_type="application/octet-stream"
        )


class RunnerRequestHandler:
    """Serves the paths of one runner."""

    def __init__(self, runner):
        self._runner = runner

    def handle(self, request):
        """Serve calls, and the fault that tests inject."""
        if request.path == "/fault":
            self._runner.set_fail_all(bool(json_text.loads(request.body)["fail"]))
            return json_response({})
        if request.path != "/call":
            return UNKNOWN_PATH_RESPONSE
        try:
            reply = self._runner.call(request.query.get("program", ""), request.body)
        except tasks.TaskError as error:
            return self._task_response(
                request, str(error).encode(), (("X-Failed", "1"),)
            )
        except RuntimeError as error:
            return _error_response(error, 500)
        if reply.refused:
            return _error_response(reply.refused)
        return self._task_response(
            request, reply.body, (("X-In-Flight", str(reply.in_flight)),)
        )

    def _task_response(self, request, body, extra_headers):
        headers = (
            ("X-Request", request.query.get("request", "")),
            ("X-Digest", digest_of(body)),
            ("X-Slots", str(self._runner.slots)),
            *extra_headers,
        )
        return HttpResponse(200, body, headers, "application/octet-stream")
