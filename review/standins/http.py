"""A minimal HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict"}


class Request:
    """One HTTP request with its whole body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded JSON body."""
        return json.loads(self.body or b"null")


async def read_message(reader):
    """Return (first line, headers, body), or None if the peer closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def json_answer(status, value):
    """Return (status, body bytes) with `value` as JSON."""
    return status, json.dumps(value).encode()


class Server:
    """A listening server with its open connections."""

    def __init__(self, server, writers):
        self._server = server
        self._writers = writers
        self.port = server.sockets[0].getsockname()[1]

    def close(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def serve(handle, port=0):
    """Serve `await handle(Request)` on loopback; return a `Server`.

    `handle` returns (status, body bytes), or None: then the connection stays open and
    nothing is answered on it any more.
    """
    writers = set()

    async def run(reader, writer):
        writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await handle(Request(method, target, headers, body))
                if answer is None:
                    await reader.read()
                    return
                status, payload = answer
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(run, "127.0.0.1", port, backlog=512)
    return Server(server, writers)


async def request(address, method, path, headers=(), body=None, timeout_s=4.0):
    """Send one request on a new connection; return (status, JSON value).

    The status is 0 if there was no answer in time.
    """
    try:
        return await asyncio.wait_for(
            _exchange(address, method, path, headers, body), timeout_s
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, {"error": repr(error)}


async def _exchange(address, method, path, headers, body):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        payload = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(payload)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + payload)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            raise ConnectionError("closed without an answer")
        first, _, answer = message
        return int(first.split(" ")[1]), json.loads(answer or b"null")
    finally:
        writer.close()
