"""Clients outside the limits must neither exhaust nor block an entry."""

import os
import subprocess
import sys
import tempfile
import unittest

import urllib3

from tests.crowd import Crowd
from tests.host_harness import START_TIMEOUT_S, wait_until
from tests.ports import free_port
from tests.test_uncontrolled_clients import (
    BODY_CLIENT_COUNT,
    MAX_BODY_BYTES,
    MEMORY_MB,
    ORDINARY_TIMEOUT_S,
    SETTLE_TIMEOUT_S,
    SILENT_CLIENT_COUNT,
    SOCKET_COUNT,
    large_chunks,
    silent,
)

LIMIT_FLAGS = (
    ("--max-body-bytes", MAX_BODY_BYTES),
    ("--max-connections", SOCKET_COUNT // 2),
    ("--max-connections-bytes", 8 * 1024 * 1024),
)


class UncontrolledEntryClientsTest(unittest.TestCase):
    """An entry lives, stays within its memory and sockets, and answers others."""

    flags = LIMIT_FLAGS

    def setUp(self):
        self.address = f"127.0.0.1:{free_port()}"
        nothing = f"127.0.0.1:{free_port()}"
        arguments = {
            "--data-centre": "tunis",
            "--listen": self.address,
            "--log": nothing,
            "--hosts": nothing,
            "--schedulers": f"tunis={nothing}",
            **dict(self.flags),
        }
        log = tempfile.TemporaryFile()
        self.addCleanup(log.close)
        command = [sys.executable, "-m", "knapweedshed.programs.entry"]
        for name, value in arguments.items():
            command += [name, str(value)]
        self.process = subprocess.Popen(command, stdout=log, stderr=log)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.assertTrue(wait_until(self.answers, START_TIMEOUT_S))

    def answers(self):
        """Return whether an ordinary request is answered."""
        with urllib3.PoolManager(retries=False, timeout=20) as http:
            try:
                url = f"http://{self.address}/v1/organisations"
                return http.request("GET", url).status == 200
            except urllib3.exceptions.HTTPError:
                return False

    def peak_memory_mb(self):
        """Return the peak of the entry's resident memory."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            (line,) = (line for line in file if line.startswith("VmHWM:"))
        return int(line.split()[1]) / 1024

    def check_with(self, payload, count):
        """Check the entry while the crowd is there, and after it has gone."""
        crowd = Crowd(self.address, count, payload)
        crowd.start()
        try:
            wait_until(lambda: crowd.settled, SETTLE_TIMEOUT_S)
            self.check_entry("with the crowd")
        finally:
            crowd.close()
        self.check_entry("after the crowd")

    def check_entry(self, when):
        """Check that the entry lives within its bounds, and answers."""
        self.assertTrue(wait_until(self.answers, ORDINARY_TIMEOUT_S), when)
        self.assertIsNone(self.process.poll(), when)
        descriptor_count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
        print(f"{self.id()}: {self.peak_memory_mb():.1f} MB, {descriptor_count}")
        self.assertLessEqual(self.peak_memory_mb(), MEMORY_MB, when)
        self.assertLessEqual(descriptor_count, SOCKET_COUNT, when)

    def test_chunked_bodies_in_large_chunks(self):
        self.check_with(large_chunks, BODY_CLIENT_COUNT)

    def test_connections_that_stop_before_the_end_of_the_headers(self):
        self.check_with(silent, SILENT_CLIENT_COUNT)


if __name__ == "__main__":
    unittest.main()
