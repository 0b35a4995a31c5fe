"""HTTP exchanges that say what is known of their effect."""

from typing import NamedTuple
from urllib.parse import urlencode

import urllib3

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.models.outcomes import NoAnswer, NotSent, Refused

CONNECT_TIMEOUT_MS = 1_000
ANSWER_MARGIN_MS = 1_000
IDLE_LIMIT_MS = 10_000
HTTP_OK = 200
HTTP_REFUSED = 409
HTTP_UNAVAILABLE = 503


class Response(NamedTuple):
    """A whole response."""

    status: int
    headers: object
    body: bytes


class HttpClient:
    """Owns the connections to one address; for use by one thread.

    A connection that stayed idle longer than `IDLE_LIMIT_MS` is not trusted again,
    and one that missed its deadline is dropped, so a silent connection costs one
    exchange at the most.
    """

    def __init__(
        self,
        clock,
        address,
        connect_ms=CONNECT_TIMEOUT_MS,
        margin_ms=ANSWER_MARGIN_MS,
    ):
        self._clock = clock
        self._connect_ms = connect_ms
        self._margin_ms = margin_ms
        self._last_used_ms = clock.now_ms()
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False
        )

    def close(self):
        """Close the connections."""
        self._pool.close()

    def exchange(self, method, path, body=b"", fields=None, timeout_ms=2_000):
        """Return a `Response` that says OK, `Refused`, `NotSent` or `NoAnswer`."""
        response = self.request(method, path, body, fields, timeout_ms)
        if not isinstance(response, Response):
            return response
        if response.status in (HTTP_REFUSED, HTTP_UNAVAILABLE):
            return Refused(response.body.decode("utf-8", "replace")[:500])
        if response.status != HTTP_OK:
            return NoAnswer(f"HTTP status {response.status}")
        return response

    def request(self, method, path, body, fields, timeout_ms, headers=None):
        """Return a `Response` of any status, `NotSent` or `NoAnswer`."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_used_ms > IDLE_LIMIT_MS:
            self._drop_connections()
        self._last_used_ms = now_ms
        response = self._send(method, path, body, fields, timeout_ms, headers)
        if not isinstance(response, Response):
            self._drop_connections()
        return response

    def _send(self, method, path, body, fields, timeout_ms, headers):
        timeout = urllib3.Timeout(
            connect=self._connect_ms / MS_PER_SECOND,
            read=(timeout_ms + self._margin_ms) / MS_PER_SECOND,
        )
        url = path
        if fields:
            url = f"{path}?{urlencode(fields)}"
        try:
            answer = self._pool.urlopen(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
            data = answer.read()
            answer.release_conn()
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return NotSent(_brief(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return NoAnswer(_brief(error))
        return Response(answer.status, answer.headers, data)

    def _drop_connections(self):
        pool = self._pool
        self._pool = urllib3.HTTPConnectionPool(
            pool.host, pool.port, maxsize=1, retries=False
        )
        pool.close()


def _brief(error):
    return f"{type(error).__name__}: {error}"[:200]
