"""HTTP server on waitress (WSGI), with typed requests and responses."""

import threading
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

import waitress

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import json_text

MAX_CONNECTIONS = 1_000
MAX_BODY_BYTES = 128 * 1024 * 1024
IDLE_CONNECTION_TIMEOUT_S = 60
CLOSE_POLL_PERIOD_MS = 50
MAX_CLOSE_POLLS = 100
REASON_PHRASES = {
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


class HttpRequest(NamedTuple):
    """An HTTP request with its whole body; `headers` looks up a header by name."""

    method: str
    path: str
    query: dict[str, str]
    headers: Callable[[str], str]
    body: bytes
    port: int


class HttpResponse(NamedTuple):
    """An HTTP response."""

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = "application/json"


def json_response(value, status=200, headers=()):
    """Return an `HttpResponse` with `value` encoded as JSON."""
    return HttpResponse(status, json_text.dumps(value).encode(), tuple(headers))


class HttpServer:
    """Serves `handle(HttpRequest) -> HttpResponse` on one or more addresses.

    Bodies are kept in memory, never spooled to files: the hosts have no disks.
    """

    def __init__(self, addresses, handle, threads, logger):
        self._handle = handle
        self._logger = logger
        self._server = waitress.create_server(
            self._application,
            listen=" ".join(addresses),
            threads=threads,
            connection_limit=MAX_CONNECTIONS,
            max_request_body_size=MAX_BODY_BYTES,
            inbuf_overflow=2 * MAX_BODY_BYTES,
            outbuf_overflow=2 * MAX_BODY_BYTES,
            channel_timeout=IDLE_CONNECTION_TIMEOUT_S,
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    def start(self):
        """Start the server thread."""
        self._thread.start()

    def close(self):
        """Stop accepting, wait for responses in progress, then stop the server.

        Idle connections are closed first: a request that is read while the server
        itself closes would never get a response. Waits for connections up to
        `MAX_CLOSE_POLLS` times `CLOSE_POLL_PERIOD_MS`, and 2 s for the thread.
        """
        self._server.accepting = False
        pause_event = threading.Event()
        for _ in range(MAX_CLOSE_POLLS):
            if not self._close_idle_connections():
                break
            pause_event.wait(CLOSE_POLL_PERIOD_MS / MS_PER_SECOND)
        self._server.close()
        self._thread.join(timeout=2)

    def _close_idle_connections(self):
        """Close connections without a pending request; return how many were open."""
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
        request = HttpRequest(
            environ["REQUEST_METHOD"],
            environ.get("PATH_INFO", "/"),
            dict(parse_qsl(environ.get("QUERY_STRING", ""))),
            lambda name: environ.get("HTTP_" + name.upper().replace("-", "_"), ""),
            environ["wsgi.input"].read(),
            int(environ["SERVER_PORT"]),
        )
        try:
            response = self._handle(request)
        except Exception:
            self._logger.exception("request failed", extra={"path": request.path})
            response = json_response({"code": 500, "reason": "internal error"}, 500)
        status = f"{response.status} {REASON_PHRASES.get(response.status, 'Status')}"
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        start_response(status, headers)
        return [response.body]
