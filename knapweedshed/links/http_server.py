"""HTTP server on waitress (WSGI), with typed requests and responses."""

import logging
import sys
import threading
from collections.abc import Callable
from typing import NamedTuple
from urllib.parse import parse_qsl

from waitress.adjustments import Adjustments
from waitress.task import ThreadedTaskDispatcher

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.codecs import json_text
from knapweedshed.decisions.overload.connection_limits import ListenerLimits
from knapweedshed.links.bounded_http import BoundedServer
from knapweedshed.links.connection_guard import ConnectionGuard, Listener

MAX_FIRST_LINE_BYTES = 4_096
IDLE_CONNECTION_TIMEOUT_S = 60
CLOSE_POLL_PERIOD_MS = 50
ERROR_PAUSE_MS = 50
MAX_CLOSE_POLLS = 100
# Clients that haven't sent their request or read their answer by then are closed: a
# body of 256 KB takes 400 ms at 5 Mbit/s, and a host has 6 s for its whole stop.
UNFINISHED_CLOSE_POLLS = 20
TRUSTED_BODY_BYTES = 128 * 1024 * 1024
# For servers whose clients are programs of this project.
TRUSTED_LIMITS = ListenerLimits(
    max_body_bytes=TRUSTED_BODY_BYTES,
    max_memory_bytes=8 * TRUSTED_BODY_BYTES,
    max_header_bytes=262_144,
)
TRUSTED_LISTENER = Listener("trusted", TRUSTED_LIMITS)
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

    def __init__(self, addresses, handle, threads, logger, listener=TRUSTED_LISTENER):
        """Bind the addresses; raises OSError if one can't be bound.

        The limits of `listener` hold for all addresses together.
        """
        self._handle = handle
        self._logger = logger
        self._guard = ConnectionGuard(listener, logger)
        _route_logs_of_waitress(logger)
        adjustments = Adjustments(
            listen=" ".join(addresses),
            threads=threads,
            connection_limit=sys.maxsize,  # see `ConnectionGuard`
            max_request_header_size=(
                listener.limits.max_header_bytes + MAX_FIRST_LINE_BYTES + 1
            ),
            inbuf_overflow=sys.maxsize,
            outbuf_overflow=sys.maxsize,
            channel_timeout=IDLE_CONNECTION_TIMEOUT_S,
            log_socket_errors=False,
            asyncore_use_poll=True,  # select() fails from descriptor 1,024 on
            clear_untrusted_proxy_headers=True,
            ident=None,
        )
        dispatcher = ThreadedTaskDispatcher()
        dispatcher.set_thread_count(threads)
        self._map = {}
        self._servers = [
            BoundedServer(
                self._guard,
                self._application,
                self._map,
                dispatcher,
                adjustments,
                sockinfo,
            )
            for sockinfo in adjustments.listen
        ]
        self._closed_event = threading.Event()
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    def tell(self, message):
        """Pass a `ListenerConfiguration` to the server's thread."""
        self._guard.tell(message)

    def start(self):
        """Start the server thread."""
        self._thread.start()

    def close(self):
        """Stop accepting, wait for responses in progress, then stop the server.

        Idle connections are closed first: a request that is read while the server
        itself closes would never get a response. Waits for connections up to
        `MAX_CLOSE_POLLS` times `CLOSE_POLL_PERIOD_MS`, and 2 s for the thread.
        """
        for server in self._servers:
            server.accepting = False
        pause_event = threading.Event()
        for polls in range(MAX_CLOSE_POLLS):
            if not self._close_idle_connections(polls >= UNFINISHED_CLOSE_POLLS):
                break
            pause_event.wait(CLOSE_POLL_PERIOD_MS / MS_PER_SECOND)
        self._closed_event.set()
        for server in self._servers:
            server.close()
        self._thread.join(timeout=2)

    def _close_idle_connections(self, with_unfinished):
        """Close connections without a request; return how many were open."""
        count = 0
        for server in self._servers:
            channels = list(server.active_channels.values())
            for channel in channels:
                channel.close_if_idle(with_unfinished)
            if channels:
                server.pull_trigger()
            count += len(channels)
        return count

    def _run(self):
        """Run the loop over all connections; go on after an error in it."""
        while not self._closed_event.is_set():
            try:
                self._servers[0].run()
            except Exception:
                if not self._closed_event.wait(ERROR_PAUSE_MS / MS_PER_SECOND):
                    self._logger.exception("listener failed")

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


def _route_logs_of_waitress(logger):
    """Write waitress's lines through the rate limit of `logger`'s handlers.

    The length of its queue would be logged with each request.
    """
    waitress_logger = logging.getLogger("waitress")
    waitress_logger.handlers = list(logger.handlers)
    waitress_logger.propagate = False
    logging.getLogger("waitress.queue").setLevel(logging.ERROR)
