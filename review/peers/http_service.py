"""A small threaded HTTP/1.1 server for the stand-ins."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit


class Call(NamedTuple):
    """A request with its whole body."""

    method: str
    path: str
    query: dict
    headers: object
    body: bytes


class Answer(NamedTuple):
    """A response; status 0 means that the connection closes without one."""

    status: int
    body: bytes = b"{}"


def json_answer(status, value):
    """Return an `Answer` with a JSON body."""
    return Answer(status, json.dumps(value).encode())


class HttpService:
    """Serves `handle(Call) -> Answer` on a loopback port; 0 takes a free one."""

    def __init__(self, handle, port=0):
        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            wbufsize = -1

            def _serve(self):
                parts = urlsplit(self.path)
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                query = dict(parse_qsl(parts.query))
                call = Call(self.command, parts.path, query, self.headers, body)
                answer = handle(call)
                if not answer.status:
                    self.close_connection = True
                    return
                self.send_response(answer.status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(answer.body)))
                self.end_headers()
                self.wfile.write(answer.body)

            do_GET = do_POST = do_DELETE = _serve  # noqa: N815 - names of http.server

            def log_message(self, format, *args):
                """Log nothing."""

            def handle_one_request(self):
                """Serve a request; a peer that has gone ends the connection."""
                try:
                    super().handle_one_request()
                except OSError:
                    self.close_connection = True

        self._server = ThreadingHTTPServer(("127.0.0.1", port), Handler)
        self._server.daemon_threads = True
        self.port = self._server.server_address[1]
        self.address = f"127.0.0.1:{self.port}"
        thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )
        thread.start()

    def close(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()
