"""Encodes HTTP/1.1 requests and decodes responses, for connections that parse."""

from typing import NamedTuple

import httptools

MAX_IDLE_MS = 10_000
RECEIVE_BUFFER_BYTES = 65_536
MAX_RESPONSE_BYTES = 8_000_000  # a peer that sends more is broken


class Response(NamedTuple):
    """An HTTP response with its whole body."""

    status: int
    headers: object
    body: bytes


class HttpParseError(Exception):
    """The peer's bytes are not a response, or the response is too large."""


class ResponseParser:
    """Decodes the responses of one connection, one after the other."""

    def __init__(self):
        self._parser = httptools.HttpResponseParser(self)
        self._reset()

    def feed(self, data):
        """Decode more bytes; return the `Response` once complete, until then None.

        Raises HttpParseError. `keep_alive` is valid after a response.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise HttpParseError(str(error)) from error
        if self._body_bytes > MAX_RESPONSE_BYTES:
            raise HttpParseError(f"response exceeds {MAX_RESPONSE_BYTES} bytes")
        if not self._complete:
            return None
        status = self._parser.get_status_code()
        response = Response(status, self._headers, b"".join(self._body))
        self._reset()
        return response

    def _reset(self):
        self._headers = {}
        self._body = []
        self._body_bytes = 0
        self._complete = False

    # httptools calls the following methods while it parses a response.

    def on_header(self, name, value):
        """Keep a header of the response."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data):
        """Keep a part of the response's body."""
        self._body_bytes += len(data)
        self._body.append(data)

    def on_message_complete(self):
        """Note that the response is complete; only now the parser knows the rest."""
        self._complete = True
        self.keep_alive = self._parser.should_keep_alive()


def encode_request(method, path, address, headers, body=b""):
    """Return the bytes of a request; `headers` are (name, value) pairs."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
