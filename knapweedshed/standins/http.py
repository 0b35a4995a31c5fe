"""The stand-ins' front end: plain HTTP and JSON, one port for each host."""

import pykka

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import json_text
from knapweedshed.digests import digest_of
from knapweedshed.links.http_server import HttpResponse, json_response
from knapweedshed.standins import log, tasks, worker

REPLY_TIMEOUT_MS = 10_000
LONGEST_WAIT_MS = 30_000
NO_SUCH_PATH = json_response({"reason": "no such path"}, 404)


def _refuse(reason, status=409):
    return HttpResponse(status, str(reason).encode(), content_type="text/plain")


def _ask(ref, build, wait_ms=REPLY_TIMEOUT_MS):
    """Send the message that `build` makes around a reply; None when time is up."""
    reply = pykka.ThreadingFuture()
    ref.tell(build(reply))
    try:
        return reply.get(timeout=wait_ms / MS_PER_SECOND)
    except pykka.Timeout:
        return None


class LogFront:
    """The log service's paths."""

    def __init__(self, ref):
        self._ref = ref

    def handle(self, call):
        """Serve append, read and the fault switch."""
        if call.path == "/fault":
            self._ref.tell(log.SetFault(bool(json_text.loads(call.body)["down"])))
            return json_response({})
        if call.path == "/drop":
            plain = json_text.loads(call.body)
            self._ref.tell(log.DropBefore(plain["stream"], plain["offset"]))
            return json_response({})
        if call.path == "/state":
            return json_response(self._ref.proxy().dump().get(timeout=5))
        if not call.path.startswith("/streams/"):
            return NO_SUCH_PATH
        stream = call.path.removeprefix("/streams/")
        if call.method == "POST":
            return self._append(stream, call)
        return self._read(stream, call)

    def _append(self, stream, call):
        records = tuple(tuple(pair) for pair in json_text.loads(call.body))
        offset = _ask(self._ref, lambda reply: log.Append(stream, records, reply))
        if offset is None or offset == log.REFUSED:
            return _refuse("the log is down", 503)
        return json_response({"offset": offset})

    def _read(self, stream, call):
        start = int(call.query.get("from", 0))
        limit = int(call.query.get("limit", 1_000))
        wait_ms = min(int(call.query.get("wait_ms", 0)), LONGEST_WAIT_MS)
        page = _ask(
            self._ref,
            lambda reply: log.Read(stream, start, limit, wait_ms > 0, reply),
            wait_ms or REPLY_TIMEOUT_MS,
        )
        if page == log.REFUSED:
            return _refuse("the log is down", 503)
        if page is None:
            page = self._ref.proxy().empty_page(stream, start).get(timeout=5)
        records, following, first = page
        return json_response({"records": records, "next": following, "first": first})


class HostListFront:
    """The host list's paths; it shows changes only after `lag_ms`."""

    def __init__(self, clock, hosts, lag_ms, effects):
        self._clock = clock
        self._lag_ms = lag_ms
        self._hosts = {host.name: host for host in hosts}
        self._changes = []
        self._effects = effects

    def handle(self, call):
        """Serve the list, changes to it, and the effects on all workers."""
        if call.path == "/effects":
            rows = [effect._asdict() for effect in list(self._effects)]
            return json_response({"rows": rows, "now_ms": self._clock.now_ms()})
        if call.path != "/hosts":
            return NO_SUCH_PATH
        if call.method == "POST":
            plain = json_text.loads(call.body)
            due_ms = self._clock.now_ms() + self._lag_ms
            self._changes = [*self._changes, (due_ms, plain)]
            return json_response({})
        self._apply_changes()
        rows = [host._asdict() for host in self._hosts.values()]
        for field in ("data_centre", "role"):
            wanted = call.query.get(field)
            rows = [row for row in rows if wanted in (None, row[field])]
        return json_response({"hosts": rows})

    def _apply_changes(self):
        now_ms = self._clock.now_ms()
        for due_ms, plain in self._changes:
            if due_ms <= now_ms and plain["name"] in self._hosts:
                host = self._hosts[plain["name"]]
                self._hosts[host.name] = host._replace(state=plain["state"])
        self._changes = [change for change in self._changes if change[0] > now_ms]


class WorkerFront:
    """One worker's paths."""

    def __init__(self, ref):
        self._ref = ref

    def handle(self, call):
        """Serve the lease commands, sync and answers."""
        if call.path == "/answer":
            return self._answer(call)
        if call.path == "/start":
            return self._start(call)
        plain = json_text.loads(call.body) if call.body else {}
        if call.path == "/sync":
            return self._sync(plain)
        if call.path == "/grant":
            return self._grant(plain)
        if call.path == "/fault":
            self._ref.tell(worker.FailEverything(bool(plain["fail"])))
            return json_response({})
        verb = call.path.removeprefix("/")
        if verb in ("release", "stop", "free"):
            return self._command(verb, plain)
        return NO_SUCH_PATH

    def _grant(self, plain):
        labels = json_text.message_from_plain(plain["labels"])
        fence = _ask(
            self._ref,
            lambda reply: worker.Grant(
                plain["lease"], labels, plain["accelerators"], plain["term_ms"], reply
            ),
        )
        if isinstance(fence, worker.Refusal):
            return _refuse(fence.reason)
        return json_response({"fence": fence[0], "incarnation": fence[1]})

    def _start(self, call):
        query = call.query
        detail = _ask(
            self._ref,
            lambda reply: worker.StartTask(
                query["lease"],
                query["program"],
                call.body,
                query.get("held") == "1",
                query.get("checkpoint", ""),
                reply,
            ),
        )
        return self._detail(detail)

    def _command(self, verb, plain):
        checkpoint = bool(plain.get("checkpoint", False))
        detail = _ask(
            self._ref,
            lambda reply: worker.Command(verb, plain["lease"], checkpoint, reply),
        )
        if verb == "free":
            return json_response({"state": detail[0], "incarnation": detail[1]})
        return self._detail(detail)

    def _detail(self, detail):
        if isinstance(detail, worker.Refusal):
            return _refuse(detail.reason)
        return json_response({"detail": detail})

    def _sync(self, plain):
        wait_ms = min(int(plain["wait_ms"]), LONGEST_WAIT_MS)
        report = _ask(
            self._ref,
            lambda reply: worker.Sync(
                tuple(plain["renew"]), plain["term_ms"], plain["version"], reply
            ),
            wait_ms or 1,
        )
        if report is None:
            report = self._ref.proxy().report_now().get(timeout=5)
        return json_response(report)

    def _answer(self, call):
        lease_id = call.query["lease"]
        body = _ask(self._ref, lambda reply: worker.ReadAnswer(lease_id, reply))
        if body is None:
            return _refuse("no answer under this lease")
        start = int(call.query.get("from", 0))
        return HttpResponse(200, body[start:], content_type="application/octet-stream")


class RunnerFront:
    """One runner's paths."""

    def __init__(self, runner):
        self._runner = runner

    def handle(self, call):
        """Serve calls."""
        if call.path == "/fault":
            self._runner.fail_everything(bool(json_text.loads(call.body)["fail"]))
            return json_response({})
        if call.path != "/call":
            return NO_SUCH_PATH
        try:
            reply = self._runner.call(call.query.get("program", ""), call.body)
        except tasks.TaskError as error:
            return self._whole(call, str(error).encode(), (("X-Failed", "1"),))
        except RuntimeError as error:
            return _refuse(error, 500)
        if reply.refused:
            return _refuse(reply.refused)
        return self._whole(call, reply.body, (("X-In-Flight", str(reply.in_flight)),))

    def _whole(self, call, body, extra):
        headers = (
            ("X-Request", call.query.get("request", "")),
            ("X-Digest", digest_of(body)),
            ("X-Slots", str(self._runner.slots)),
            *extra,
        )
        return HttpResponse(200, body, headers, "application/octet-stream")
