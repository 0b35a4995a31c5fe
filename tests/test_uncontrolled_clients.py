"""Clients outside the limits must neither exhaust nor block a host.

The smallest machine has 160 MB and 1,438 descriptors for sockets. Here a host has 64 MB
and 160 sockets, and the crowds are scaled down with these. A crowd that is turned away
comes back at once.
"""

import json
import os
import signal
import socket
import time
import unittest

import urllib3

from tests.crowd import Crowd
from tests.host_harness import JOB_ID, HostTestCase, wait_until
from tests.test_fleet_platform import CONFIGURATION

MEMORY_MB = 64
SOCKET_COUNT = 160
RESERVED_DESCRIPTOR_COUNT = 200  # for files, as on the platform's machines
LIMITS = {
    "cpu_share": 1,
    "cores": 1,
    "memory_mb": MEMORY_MB,
    "max_fds": SOCKET_COUNT + RESERVED_DESCRIPTOR_COUNT,
}
MAX_BODY_BYTES = 262_144
MAX_HEADER_BYTES = 16_384

BODY_CLIENT_COUNT = 40
BODY_BYTES = 4 * 1024 * 1024
LARGE_CHUNK_BYTES = 65_536
SMALL_CHUNK_CLIENT_COUNT = 24
SMALL_CHUNK_COUNT = 20_000
SHORT_BODY_CLIENT_COUNT = 240
HEADER_CLIENT_COUNT = 240
HEADER_BYTES = 240_000
SMALL_HEADER_COUNT = 2_500
CONTROL_CLIENT_COUNT = 120
CONTROL_BYTES = 1024 * 1024
SILENT_CLIENT_COUNT = 400
PIPELINE_CLIENT_COUNT = 300
PIPELINED_REQUEST_COUNT = 4_000
SIDE_CLIENT_COUNT = 200
DENSE_CLIENT_COUNT = 100
DENSE_ITEM_COUNT = 87_000  # of two bytes and a comma, in a body of the largest size

SETTLE_TIMEOUT_S = 40
ORDINARY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 8  # 6 s grace period of the platform, plus a margin for a busy machine
KEYS = ("k1", "unknown", "")
BLOCK = b"x" * LARGE_CHUNK_BYTES


def head(number, *lines, path=f"/plans/{JOB_ID}", method="POST"):
    """Return the head of a request; a third each has a known, an unknown or no key."""
    key = KEYS[number % len(KEYS)]
    fields = [f"{method} {path} HTTP/1.1", "Host: n.example", *lines]
    if key:
        fields.append(f"Authorization: Token {key}")
    return "".join(f"{field}\r\n" for field in fields).encode()


def chunked_head(number):
    """Return the whole head of a request with a chunked body."""
    return head(number, "Transfer-Encoding: chunked") + b"\r\n"


def large_chunks(number):
    """Yield an unfinished chunked body in large chunks."""
    yield chunked_head(number)
    for _ in range(BODY_BYTES // LARGE_CHUNK_BYTES):
        yield b"%x\r\n%s\r\n" % (LARGE_CHUNK_BYTES, BLOCK)


def small_chunks(number):
    """Yield an unfinished chunked body in chunks of one byte."""
    yield chunked_head(number)
    for _ in range(SMALL_CHUNK_COUNT // 1_000):
        yield b"1\r\nx\r\n" * 1_000


def short_body(number):
    """Yield a body of the largest size that lacks its last byte."""
    yield head(number, f"Content-Length: {MAX_BODY_BYTES}") + b"\r\n"
    yield b"x" * (MAX_BODY_BYTES - 1)


def endless_headers(number):
    """Yield headers without an end."""
    yield head(number)
    for position in range(HEADER_BYTES // 1_000):
        yield b"X-%d: %s\r\n" % (position, b"y" * 990)


def many_small_headers(number):
    """Yield complete headers, as many as fit, and no body."""
    fields = b"".join(b"%x:\r\n" % position for position in range(SMALL_HEADER_COUNT))
    yield head(number, "Content-Length: 9") + fields + b"\r\n"


def endless_extension(number):
    """Yield a chunk extension without an end."""
    yield chunked_head(number) + b"1;name="
    for _ in range(CONTROL_BYTES // LARGE_CHUNK_BYTES):
        yield BLOCK


def endless_trailers(number):
    """Yield trailers without an end."""
    yield chunked_head(number) + b"0\r\n"
    for _ in range(CONTROL_BYTES // 65_000):
        yield (b"X: %s\r\n" % (b"y" * 995)) * 65


def silent(number):
    """Yield nothing, part of the first line, or part of the headers."""
    yield (b"", b"POST /pl", head(number))[number // len(KEYS) % 3]


def dense_body(number, body):
    """Yield a whole request."""
    yield head(number, f"Content-Length: {len(body)}") + b"\r\n" + body


def many_steps(number):
    """Yield a whole job with many empty steps."""
    steps = b",".join([b"{}"] * DENSE_ITEM_COUNT)
    return dense_body(number, b'{"spec":"x","steps":[' + steps + b"]}")


def many_values(number):
    """Yield a whole body with many lists that no job has."""
    values = b",".join([b"[]"] * DENSE_ITEM_COUNT)
    return dense_body(number, b'{"spec":"x","steps":[],"y":[' + values + b"]}")


def pipelined(number):
    """Yield many requests on one connection."""
    request = head(number, method="GET", path="/plans/") + b"\r\n"
    yield request * PIPELINED_REQUEST_COUNT


def pipelined_short(number):
    """Yield many requests without headers on one connection."""
    yield b"GET /metrics HTTP/1.1\r\n\r\n" * PIPELINED_REQUEST_COUNT


class UncontrolledClientsTest(HostTestCase):
    """A host lives, stays within its memory and sockets, and answers others."""

    configuration = {**CONFIGURATION, "limits": {"max_body_bytes": MAX_BODY_BYTES}}
    worker_count = 0

    def setUp(self):
        super().setUp()
        self.host = self.start_host("edge-1", limits=LIMITS)
        metrics_address = f"127.0.0.1:{self.host.metrics_port}"
        self.addresses = {
            "front": self.host.front_address,
            "ready": self.host.ready_address,
            "metrics": metrics_address,
        }
        self.most_sockets = 0

    def tearDown(self):
        if self.host.process.poll() is None:
            peak_mb = self.peak_memory_mb()
            print(f"{self.id()}: {peak_mb:.1f} MB, {self.most_sockets} sockets")

    def peak_memory_mb(self):
        """Return the peak of the host's resident memory."""
        with open(f"/proc/{self.host.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
        raise AssertionError("no VmHWM")

    def count_sockets(self):
        """Count the host's open sockets."""
        folder = f"/proc/{self.host.process.pid}/fd"
        count = 0
        for name in os.listdir(folder):
            try:
                count += os.readlink(f"{folder}/{name}").startswith("socket:")
            except FileNotFoundError:  # closed meanwhile
                continue
        self.most_sockets = max(self.most_sockets, count)

    def check_with(self, payload, count, listener="front", reads=True):
        """Check the host while the crowd is there, and after it has gone."""
        crowd = Crowd(self.addresses[listener], count, payload, reads)
        crowd.start()
        try:
            deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
            while not crowd.settled and time.monotonic() < deadline_s:
                self.count_sockets()
                time.sleep(0.05)
            self.check_host("with the crowd", listener)
        finally:
            crowd.close()
        self.check_host("after the crowd", listener)

    def check_host(self, when, listener):
        """Check that the host lives within its bounds, and answers."""
        self.assertIsNone(self.host.process.poll(), when)
        for name in {listener, "front"}:
            self.assertTrue(self.answers(name), f"{name} doesn't answer {when}")
        self.count_sockets()
        self.assertLessEqual(self.peak_memory_mb(), MEMORY_MB, when)
        self.assertLessEqual(self.most_sockets, SOCKET_COUNT, when)

    def answers(self, listener):
        """Return whether an ordinary request is answered, after retries if need be."""
        path, status = {
            "front": (f"/plans/{JOB_ID}", 410),
            "ready": ("/v1/ready", 200),
            "metrics": ("/metrics", 200),
        }[listener]
        url = f"http://{self.addresses[listener]}{path}"
        headers = {"Host": "n.example", "Authorization": "Token k1"}
        deadline_s = time.monotonic() + ORDINARY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            self.count_sockets()
            with urllib3.PoolManager(retries=False, timeout=20) as http:
                try:
                    if http.request("GET", url, headers=headers).status == status:
                        return True
                except urllib3.exceptions.HTTPError:
                    pass
            time.sleep(0.1)
        return False

    def test_chunked_bodies_in_large_chunks(self):
        self.check_with(large_chunks, BODY_CLIENT_COUNT)

    def test_chunked_bodies_in_chunks_of_one_byte(self):
        self.check_with(small_chunks, SMALL_CHUNK_CLIENT_COUNT)

    def test_bodies_that_stop_short_of_their_length(self):
        self.check_with(short_body, SHORT_BODY_CLIENT_COUNT)

    def test_endless_headers(self):
        self.check_with(endless_headers, HEADER_CLIENT_COUNT)

    def test_many_small_headers(self):
        self.check_with(many_small_headers, HEADER_CLIENT_COUNT)

    def test_endless_chunk_extensions(self):
        self.check_with(endless_extension, CONTROL_CLIENT_COUNT)

    def test_endless_trailers(self):
        self.check_with(endless_trailers, CONTROL_CLIENT_COUNT)

    def test_connections_that_stop_before_the_end_of_the_headers(self):
        self.check_with(silent, SILENT_CLIENT_COUNT)

    def test_whole_bodies_with_many_steps(self):
        self.check_with(many_steps, DENSE_CLIENT_COUNT)

    def test_whole_bodies_with_many_values(self):
        self.check_with(many_values, DENSE_CLIENT_COUNT)

    def test_requests_without_reading_answers(self):
        self.check_with(pipelined, PIPELINE_CLIENT_COUNT, reads=False)

    def test_short_requests_to_the_metrics_without_reading_answers(self):
        self.check_with(
            pipelined_short, PIPELINE_CLIENT_COUNT, listener="metrics", reads=False
        )

    def test_unread_answers_do_not_hold_up_a_stop(self):
        crowd = Crowd(
            self.addresses["metrics"], PIPELINE_CLIENT_COUNT, pipelined_short, False
        )
        crowd.start()
        self.addCleanup(crowd.close)
        wait_until(lambda: crowd.settled, SETTLE_TIMEOUT_S)
        self.host.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.host.process.wait(STOP_TIMEOUT_S), 0, self.host.log())

    def test_silent_connections_to_the_readiness_listener(self):
        self.check_with(silent, SIDE_CLIENT_COUNT, listener="ready")

    def test_silent_connections_to_the_metrics_listener(self):
        self.check_with(silent, SIDE_CLIENT_COUNT, listener="metrics")

    def test_chunked_bodies_to_the_readiness_listener(self):
        self.check_with(large_chunks, BODY_CLIENT_COUNT, listener="ready")

    def test_chunked_bodies_to_the_metrics_listener(self):
        self.check_with(large_chunks, BODY_CLIENT_COUNT, listener="metrics")


class RequestsAtTheLimitsTest(HostTestCase):
    """Without pressure, a request within the limits is served; others are refused."""

    configuration = {**CONFIGURATION, "limits": {"max_body_bytes": MAX_BODY_BYTES}}
    body = json.dumps({"spec": "text", "steps": [{"est_ms": 200}]}).encode()

    def setUp(self):
        super().setUp()
        self.host = self.start_host("edge-1", limits=LIMITS)

    def exchange(self, *pieces):
        """Send the pieces and return the status of the answer."""
        host, _, port = self.host.front_address.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=20) as connection:
            for piece in pieces:
                connection.sendall(piece)
            return int(connection.makefile("rb").readline().split()[1])

    def check_not_run(self):
        """Check that no job is known, so that the refused request has not run."""
        self.assertEqual(self.host.call("GET", f"/plans/{JOB_ID}")[0], 410)

    def padded_body(self):
        """Return a job with the largest size of a body."""
        return self.body.ljust(MAX_BODY_BYTES)

    def test_largest_body_by_its_length_is_served(self):
        length = f"Content-Length: {MAX_BODY_BYTES}"
        status = self.exchange(head(0, length), b"\r\n", self.padded_body())
        self.assertEqual(status, 200)

    def test_largest_body_as_one_chunk_is_served(self):
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (MAX_BODY_BYTES, self.padded_body())
        self.assertEqual(self.exchange(chunked_head(0), chunk), 200)

    def test_largest_body_in_chunks_of_one_byte_is_served(self):
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in self.padded_body())
        self.assertEqual(self.exchange(chunked_head(0), chunks, b"0\r\n\r\n"), 200)

    def test_largest_headers_are_served(self):
        length = f"Content-Length: {len(self.body)}"
        fields = head(0, length) + b"X: "
        fields += b"x" * (MAX_HEADER_BYTES - len(fields) - 4) + b"\r\n\r\n"
        self.assertEqual(self.exchange(fields, self.body), 200)

    def test_body_that_is_announced_too_large_is_refused_before_it_is_sent(self):
        length = f"Content-Length: {MAX_BODY_BYTES + 1}"
        self.assertEqual(self.exchange(head(0, length), b"\r\n"), 413)
        self.check_not_run()

    def test_chunk_that_is_announced_too_large_is_refused_before_it_is_sent(self):
        line = b"%x\r\n" % (MAX_BODY_BYTES + 1)
        self.assertEqual(self.exchange(chunked_head(0), line), 413)
        self.check_not_run()

    def test_chunks_that_add_up_to_too_much_are_refused_before_their_end(self):
        half = MAX_BODY_BYTES // 2
        chunk = b"%x\r\n%s\r\n" % (half, b" " * half)
        self.assertEqual(self.exchange(chunked_head(0), chunk * 2, b"1\r\n"), 413)
        self.check_not_run()

    def test_headers_that_are_too_large_are_refused_before_their_end(self):
        fields = head(0) + b"X: " + b"x" * 2 * MAX_HEADER_BYTES
        self.assertEqual(self.exchange(fields), 431)
        self.check_not_run()


if __name__ == "__main__":
    unittest.main()
