"""HTTP client whose failures tell whether the request can have taken effect."""

from urllib.parse import urlencode

import urllib3

from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.links.http_messages import MAX_IDLE_MS, Response
from knapweedshed.models.outcomes import NoAnswer, NotSent, Refused

CONNECT_TIMEOUT_MS = 1_000
READ_MARGIN_MS = 1_000
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class HttpClient:
    """Keeps the connection to one address; for use by one thread.

    A connection that was idle for longer than `MAX_IDLE_MS` is not used again, and one
    that timed out is closed, so that a dead connection fails one exchange at most.
    """

    def __init__(
        self,
        clock,
        address,
        connect_timeout_ms=CONNECT_TIMEOUT_MS,
        read_margin_ms=READ_MARGIN_MS,
    ):
        self._clock = clock
        self._connect_timeout_ms = connect_timeout_ms
        self._read_margin_ms = read_margin_ms
        self._last_used_ms = clock.now_ms()
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, retries=False
        )

    def close(self):
        """Close the connections."""
        self._pool.close()

    def exchange(self, method, path, body=b"", query=None, timeout_ms=2_000):
        """Return a `Response` with status 200, `Refused`, `NotSent` or `NoAnswer`."""
        response = self.request(method, path, body, query, timeout_ms)
        if not isinstance(response, Response):
            return response
        if response.status in (HTTP_CONFLICT, HTTP_UNAVAILABLE):
            return Refused(response.body.decode("utf-8", "replace")[:500])
        if response.status != HTTP_OK:
            return NoAnswer(f"HTTP status {response.status}")
        return response

    def request(self, method, path, body, query, timeout_ms, headers=None):
        """Return a `Response` of any status, `NotSent` or `NoAnswer`.

        The peer itself may wait for up to `timeout_ms` before it responds; the read
        times out `read_margin_ms` later.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_used_ms > MAX_IDLE_MS:
            self._drop_connections()
        self._last_used_ms = now_ms
        response = self._send(method, path, body, query, timeout_ms, headers)
        if not isinstance(response, Response):
            self._drop_connections()
        return response

    def _send(self, method, path, body, query, timeout_ms, headers):
        timeout = urllib3.Timeout(
            connect=self._connect_timeout_ms / MS_PER_SECOND,
            read=(timeout_ms + self._read_margin_ms) / MS_PER_SECOND,
        )
        url = path
        if query:
            url = f"{path}?{urlencode(query)}"
        try:
            http_response = self._pool.urlopen(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
            data = http_response.read()
            http_response.release_conn()
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return NotSent(_describe_error(error))
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return NoAnswer(_describe_error(error))
        return Response(http_response.status, http_response.headers, data)

    def _drop_connections(self):
        pool = self._pool
        self._pool = urllib3.HTTPConnectionPool(
            pool.host, pool.port, maxsize=1, retries=False
        )
        pool.close()


def _describe_error(error):
    return f"{type(error).__name__}: {error}"[:200]
