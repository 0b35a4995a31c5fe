"""Serves a WSGI application by waitress, with typed calls and JSON replies."""

import threading
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

import waitress

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import json_text

CONNECTION_LIMIT = 1_000
BODY_LIMIT_BYTES = 128 * 1024 * 1024
IDLE_CONNECTION_SECONDS = 60
CLOSE_POLL_MS = 50
CLOSE_POLLS = 100
REASONS = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Call(NamedTuple):
    """An HTTP request, read to its end."""

    method: str
    path: str
    query: dict[str, str]
    headers: Callable[[str], str]
    body: bytes
    port: int


class Answer(NamedTuple):
    """An HTTP response."""

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


def json_answer(value, status=200, headers=()):
    """Return an `Answer` with `value` as JSON."""
    return Answer(status, json_text.dumps(value).encode(), tuple(headers))


class HttpServer:
    """Serves `handle(Call) -> Answer` on one or more addresses.

    Bodies stay in memory: the hosts have no disks.
    """

    def __init__(self, addresses, handle, threads, logger):
        self._handle = handle
        self._logger = logger
        self._server = waitress.create_server(
            self._application,
            listen=" ".join(addresses),
            threads=threads,
            connection_limit=CONNECTION_LIMIT,
            max_request_body_size=BODY_LIMIT_BYTES,
            inbuf_overflow=2 * BODY_LIMIT_BYTES,
            outbuf_overflow=2 * BODY_LIMIT_BYTES,
            channel_timeout=IDLE_CONNECTION_SECONDS,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    def start(self):
        """Start serving."""
        self._thread.start()

    def close(self):
        """Stop serving, once every response in hand has been sent.

        Connections end first, as soon as nothing is in hand on them: a request that is
        read while the server itself closes would never be answered.
        """
        self._server.accepting = False
        pause = threading.Event()
        for _ in range(CLOSE_POLLS):
            if not self._end_idle_connections():
                break
            pause.wait(CLOSE_POLL_MS / MS_PER_SECOND)
        self._server.close()
        self._thread.join(timeout=2)

    def _end_idle_connections(self):
        """Let connections without a request in hand end; return how many are open."""
        channels = list(getattr(self._server, "active_channels", {}).values())
        for channel in channels:
            if not channel.requests and not channel.total_outbufs_len:
                channel.close_when_flushed = True
        if channels:
            self._server.pull_trigger()
        return len(channels)

    def _run(self):
        try:
            self._server.run()
        except OSError:
            return

    def _application(self, environ, start_response):
        call = Call(
            environ["REQUEST_METHOD"],
            environ.get("PATH_INFO", "/"),
            dict(parse_qsl(environ.get("QUERY_STRING", ""))),
            lambda name: environ.get("HTTP_" + name.upper().replace("-", "_"), ""),
            environ["wsgi.input"].read(),
            int(environ["SERVER_PORT"]),
        )
        try:
            answer = self._handle(call)
        except Exception:
            self._logger.exception("request failed", extra={"path": call.path})
            answer = json_answer({"code": 500, "reason": "internal error"}, 500)
        status = f"{answer.status} {REASONS.get(answer.status, 'Status')}"
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            *answer.headers,
        ]
        start_response(status, headers)
        return [answer.body]
