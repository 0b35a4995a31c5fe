"""Programs: settings, help and exit statuses, as separate processes."""

import json
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from examples.cluster import BIN_DIRECTORY, Cluster, get_json, post_json, run_client
from knapweedshed.clock import create_clock
from knapweedshed.filters.admission import MAX_BODY_BYTES
from knapweedshed.links.entry_client import EntryClient, JobSubmission
from knapweedshed.results import ResultCode
from knapweedshed.settings import COMMON_SETTINGS, SettingsError, load_settings
from knapweedshed.status import ExitStatus

GOOD = {
    "data_centre": "north",
    "listen": "127.0.0.1:31999",
    "log": "127.0.0.1:31998",
    "hosts": "127.0.0.1:31997",
}
PORT = 18_000


def run(program, **flags):
    words = [f"--{name.replace('_', '-')}={value}" for name, value in flags.items()]
    return subprocess.run(
        [str(BIN_DIRECTORY / program), *words],
        capture_output=True,
        text=True,
        timeout=20,
    )


class SettingsTests(unittest.TestCase):
    """One clear line for each fault."""

    def test_every_fault_has_its_line(self):
        flags = {**GOOD, "listen": "localhost", "colour": "red", "data_centre": None}
        with self.assertRaises(SettingsError) as caught:
            load_settings(COMMON_SETTINGS, flags)
        faults = "\n".join(caught.exception.faults)
        self.assertIn("unknown flag --colour", faults)
        self.assertIn("--listen 'localhost'", faults)
        self.assertIn("--data-centre is missing", faults)

    def test_a_flag_goes_before_the_environment(self):
        settings = load_settings(COMMON_SETTINGS, {**GOOD, "drain_ms": 5})
        self.assertEqual(settings.drain_ms, 5)


class ProgramTests(unittest.TestCase):
    """What the shell sees."""

    def test_bad_settings_exit_with_status_2_and_no_traceback(self):
        for program in ("knapweedshed-entry", "knapweedshed-scheduler"):
            done = run(program, **{**GOOD, "log": "nowhere", "shape": "round"})
            self.assertEqual(done.returncode, ExitStatus.USAGE)
            self.assertIn("unknown flag --shape", done.stderr)
            self.assertNotIn("Traceback", done.stderr)

    def test_a_taken_port_exits_with_status_2(self):
        with socket.create_server(("127.0.0.1", 31_999)):
            for program in ("knapweedshed-entry", "knapweedshed-scheduler"):
                done = run(program, **GOOD)
                self.assertEqual(done.returncode, ExitStatus.USAGE, done.stderr)
                self.assertIn("31999", done.stderr)

    def test_version_and_help(self):
        done = subprocess.run(
            [str(BIN_DIRECTORY / "knapweedshed"), "--version"],
            capture_output=True,
            text=True,
        )
        self.assertIn("0.1.0", done.stdout)
        done = subprocess.run(
            [str(BIN_DIRECTORY / "knapweedshed-entry"), "--help"],
            capture_output=True,
            text=True,
        )
        self.assertIn("--waiting-threads", done.stdout)


SLOW_DAEMON = """
import sys, time
from knapweedshed.programs.daemon import run_daemon

def create(program, settings):
    print("building", flush=True)
    time.sleep(1)
    return None, __import__("logging").getLogger()

sys.exit(run_daemon("slow", "starts slowly", (), create, []))
"""


class EarlySignalTests(unittest.TestCase):
    """A signal to a process that is not up yet."""

    def test_a_stop_before_the_start_is_a_graceful_stop(self):
        process = subprocess.Popen(
            [sys.executable, "-c", SLOW_DAEMON], stdout=subprocess.PIPE
        )
        with process.stdout:
            process.stdout.readline()
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(timeout=20), ExitStatus.SUCCESS)


class CommandLineTests(unittest.TestCase):
    """The client against a small cluster, and the front end's bad input."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        standin = {"workers": 2, "runners": 2, "threads": 60}
        cls.cluster = Cluster(
            PORT, cls.folder.name, ("tunis", "monastir"), 1, 1, standin
        )
        cls.cluster.start()
        cls.entries = cls.cluster.entry_addresses
        entry = Path(cls.folder.name) / "chariot.json"
        source = Path(__file__).parent.parent / "examples" / "chariot.py"
        cls.entry = entry
        entry.write_bytes(run_client(cls.entries, "config", "print", str(source))[1])
        cls.published = run_client(cls.entries, "config", "publish", str(entry))
        cls.cart = Path(cls.folder.name) / "cart.csv"
        cls.cart.write_text("bread,3,3\n")

    @classmethod
    def tearDownClass(cls):
        cls.cluster.close()
        cls.folder.cleanup()

    def test_submit_prints_the_answer(self):
        status, printed, errors = run_client(
            self.entries, "submit", "chariot-planning", "cart-check", str(self.cart)
        )
        self.assertEqual((status, printed), (0, b"seal\n"), errors)

    def test_publishing_on_an_old_base_is_told_of_the_conflict(self):
        self.assertEqual(self.published[0], 0, self.published)
        status, printed, _ = run_client(
            self.entries, "config", "publish", str(self.entry)
        )
        self.assertEqual(status, ExitStatus.NOT_RUN)
        self.assertIn(b"CONFLICT", printed)

    def test_guarantees_that_no_inventory_holds_are_refused_when_checked(self):
        huge = Path(self.folder.name) / "huge.json"
        shape = {"accelerators": 8}
        held = [{"data_centre": "tunis", "shape": shape, "count": 50}]
        part = {"data_centres": ["tunis"], "guarantees": held}
        entry = {"schema": 1, "base": {"huge": -1}, "parts": {"huge": part}}
        huge.write_text(json.dumps(entry))
        status, printed, _ = run_client(self.entries, "config", "check", str(huge))
        self.assertEqual(status, ExitStatus.NOT_RUN)
        self.assertIn(b"huge", printed)
        self.assertIn(b"doesn't fit", printed)

    def test_listings_come_as_json(self):
        for listing in ("jobs", "workers", "organisations"):
            status, printed, errors = run_client(self.entries, listing, "--json")
            self.assertEqual(status, 0, errors)
            self.assertTrue(printed.startswith(b"["), printed[:80])

    def test_an_unknown_organisation_has_its_own_exit_status(self):
        status, _, errors = run_client(
            self.entries, "submit", "nobody", "cart-check", str(self.cart)
        )
        self.assertEqual(status, ExitStatus.NOT_RUN)
        self.assertIn(b"UNKNOWN_ORGANISATION", errors)

    def test_a_gang_of_0_or_too_many_is_refused_with_a_reason(self):
        for members in ("0", "129", "x"):
            url = (
                f"http://{self.entries[0]}/v1/organisations/chariot-planning"
                f"/services/shelf-life-sweep/jobs?members={members}"
            )
            with self.assertRaises(OSError) as caught:
                post_json(url, {})
            self.assertEqual(caught.exception.code, 400)

    def test_slow_and_half_closed_senders_cost_no_other_caller_anything(self):
        host, port = self.entries[0].split(":")
        path = "/v1/organisations/chariot-planning/services/cart-check/jobs"
        head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\nbre"
        slow = [socket.create_connection((host, int(port))) for _ in range(100)]
        for number, sender in enumerate(slow):
            sender.sendall(head.encode())
            if number % 2:
                sender.shutdown(socket.SHUT_WR)
        client = EntryClient(create_clock(), self.entries[:1])
        work = JobSubmission("chariot-planning", "cart-check", "", b"bread,3,3\n")
        began = time.monotonic()
        answered = client.run(work, 6_100)
        took = time.monotonic() - began
        client.close()
        for sender in slow:
            sender.close()
        self.assertEqual(answered.body, b"seal\n")
        self.assertLess(took, 6.1)

    def test_a_body_that_is_too_large_has_its_code(self):
        client = EntryClient(create_clock(), self.entries[:1])
        body = bytes(MAX_BODY_BYTES + 1)
        answered = client.run(
            JobSubmission("chariot-planning", "cart-check", "", body), 20_000
        )
        client.close()
        self.assertEqual(answered.code, ResultCode.BODY_TOO_LARGE, answered.reason)

    def test_a_configuration_that_is_not_json_is_refused(self):
        done = subprocess.run(
            [
                str(BIN_DIRECTORY / "python"),
                "-c",
                "import urllib3;print(urllib3.request('POST','http://"
                f"{self.entries[0]}/v1/configuration',body=b'{{nope').status)",
            ],
            capture_output=True,
            text=True,
        )
        self.assertEqual(done.stdout.strip(), "400", done.stderr)

    def test_the_state_dump_comes_by_http_and_by_signal(self):
        state = get_json(f"http://{self.entries[0]}/v1/state")
        self.assertIn("requests", state)
        scheduler = self.cluster.schedulers[0]
        scheduler.signal(signal.SIGUSR1)
        end = time.monotonic() + 5
        while '"ledger"' not in scheduler.output() and time.monotonic() < end:
            time.sleep(0.05)
        self.assertIn('"ledger"', scheduler.output())

    def test_long_polls_do_not_hold_back_urgent_work(self):
        slow = b"#run_ms=8000\ndrawer,item,1\n"
        clock = create_clock()
        callers = []
        for number in range(80):
            client = EntryClient(clock, self.entries[:1])
            work = JobSubmission(
                "chariot-catering", "shelf-life-sweep", f"k{number}", slow
            )
            caller = threading.Thread(
                target=client.run, args=(work, 6_000), daemon=True
            )
            caller.start()
            callers.append(caller)
        time.sleep(1)
        client = EntryClient(clock, self.entries[:1])
        began = clock.now_ms()
        answered = client.run(
            JobSubmission("chariot-planning", "cart-check", "", b"bread,3,3\n"), 6_100
        )
        took_ms = clock.now_ms() - began
        for caller in callers:
            caller.join()
        self.assertEqual(answered.body, b"seal\n")
        self.assertLess(took_ms, 6_100)
