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
from knapweedshed.programs.daemon import parse_flags
from knapweedshed.results import ResultCode
from knapweedshed.settings import COMMON_SETTINGS, SettingsError, load_settings
from knapweedshed.status import ExitStatus

VALID_FLAGS = {
    "data_centre": "north",
    "listen": "127.0.0.1:31999",
    "log": "127.0.0.1:31998",
    "hosts": "127.0.0.1:31997",
}
FIRST_PORT = 18_000


def run_program(program, **flags):
    """Run a program with `flags` to its end; return the `CompletedProcess`."""
    arguments = [f"--{name.replace('_', '-')}={value}" for name, value in flags.items()]
    return subprocess.run(
        [str(BIN_DIRECTORY / program), *arguments],
        capture_output=True,
        text=True,
        timeout=20,
    )


class SettingsTests(unittest.TestCase):
    """Errors in settings, and the order in which their sources apply."""

    def test_every_settings_error_is_reported(self):
        flags = {
            **VALID_FLAGS,
            "listen": "localhost",
            "colour": "red",
            "data_centre": None,
        }
        with self.assertRaises(SettingsError) as raised:
            load_settings(COMMON_SETTINGS, flags)
        errors = "\n".join(raised.exception.errors)
        self.assertIn("unknown flag --colour", errors)
        self.assertIn("--listen 'localhost'", errors)
        self.assertIn("--data-centre is missing", errors)

    def test_flag_overrides_the_environment(self):
        environment = {
            "KNAPWEEDSHED_DRAIN_MS": "9",
            "KNAPWEEDSHED_STATSD": "127.0.0.1:1",
        }
        flags = {**VALID_FLAGS, "drain_ms": 5}
        settings = load_settings(COMMON_SETTINGS, flags, environment)
        self.assertEqual(settings.drain_ms, 5)
        self.assertEqual(settings.statsd, "127.0.0.1:1")


class FlagTests(unittest.TestCase):
    """Flags of the daemons, as operators write them."""

    def _parse(self, *arguments):
        return parse_flags("daemon", COMMON_SETTINGS, arguments)

    def test_flag_takes_its_value_with_a_space_or_an_equals_sign(self):
        expected = {"drain_ms": "5", "log_level": "debug"}
        self.assertEqual(self._parse("--drain-ms", "5", "--log-level=debug"), expected)

    def test_name_may_be_written_with_underscores(self):
        self.assertEqual(self._parse("--drain_ms=5"), {"drain_ms": "5"})

    def test_unknown_and_abbreviated_flags_are_reported_by_name(self):
        flags = self._parse("--colour=red", "--drain=5")
        self.assertEqual(set(flags), {"colour", "drain"})


class ProgramTests(unittest.TestCase):
    """Exit statuses and output of the programs."""

    def test_bad_settings_exit_with_status_2_and_no_traceback(self):
        for program in ("knapweedshed-entry", "knapweedshed-scheduler"):
            completed = run_program(
                program, **{**VALID_FLAGS, "log": "nowhere", "shape": "round"}
            )
            self.assertEqual(completed.returncode, ExitStatus.USAGE)
            self.assertIn("unknown flag --shape", completed.stderr)
            self.assertNotIn("Traceback", completed.stderr)

    def test_port_in_use_exits_with_status_2(self):
        with socket.create_server(("127.0.0.1", 31_999)):
            for program in ("knapweedshed-entry", "knapweedshed-scheduler"):
                completed = run_program(program, **VALID_FLAGS)
                self.assertEqual(
                    completed.returncode, ExitStatus.USAGE, completed.stderr
                )
                self.assertIn("31999", completed.stderr)

    def test_version_and_help(self):
        completed = subprocess.run(
            [str(BIN_DIRECTORY / "knapweedshed"), "--version"],
            capture_output=True,
            text=True,
        )
        self.assertIn("0.1.0", completed.stdout)
        completed = subprocess.run(
            [str(BIN_DIRECTORY / "knapweedshed-entry"), "--help"],
            capture_output=True,
            text=True,
        )
        self.assertIn("--waiting-threads", completed.stdout)


SLOW_DAEMON_SOURCE = """
import sys, time
from knapweedshed.programs.daemon import run_daemon

def create(program, settings):
    print("building", flush=True)
    time.sleep(1)
    return None, __import__("logging").getLogger()

sys.exit(run_daemon("slow", "starts slowly", (), create, []))
"""


# The kernel may deliver a signal to any thread; here to one beside the main thread.
SIGNALLED_THREAD_SOURCE = """
import logging, signal, sys, threading, time
from knapweedshed.programs.daemon import Daemon, run_daemon

class Signalled(Daemon):
    def start(self):
        threading.Thread(target=self._signal_itself).start()

    def _signal_itself(self):
        time.sleep(0.5)
        signal.pthread_kill(threading.get_ident(), signal.{name})
        time.sleep(30)

    def close(self):
        print("closed", flush=True)
        __import__("os")._exit(0)

    def dump(self):
        return "the state dump"

def create(program, settings):
    return Signalled(), logging.getLogger()

sys.exit(run_daemon("signalled", "signals itself", (), create, []))
"""


class SignalledThreadTests(unittest.TestCase):
    """Signals that reach a daemon in another thread, as after a pause of the process.

    The soak found hosts that a SIGTERM after a SIGCONT didn't stop.
    """

    def _start(self, name):
        source = SIGNALLED_THREAD_SOURCE.format(name=name)
        process = subprocess.Popen(
            [sys.executable, "-c", source], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.addCleanup(process.stdout.close)
        return process

    def test_sigterm_stops_the_daemon(self):
        process = self._start("SIGTERM")
        self.assertEqual(process.wait(timeout=20), ExitStatus.SUCCESS)
        self.assertIn("closed", process.stdout.read())

    def test_sigusr1_writes_the_state_dump(self):
        process = self._start("SIGUSR1")
        self.assertIn("the state dump", process.stdout.readline())


class EarlySignalTests(unittest.TestCase):
    """SIGTERM while a daemon is still starting."""

    def test_sigterm_during_startup_stops_gracefully(self):
        process = subprocess.Popen(
            [sys.executable, "-c", SLOW_DAEMON_SOURCE], stdout=subprocess.PIPE
        )
        with process.stdout:
            process.stdout.readline()
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(timeout=20), ExitStatus.SUCCESS)


class CommandLineTests(unittest.TestCase):
    """The command-line client on a small cluster, and invalid input over HTTP."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        standin = {"workers": 2, "runners": 2, "threads": 60}
        cls.cluster = Cluster(
            FIRST_PORT, cls.folder.name, ("tunis", "monastir"), 1, 1, standin
        )
        cls.cluster.start()
        cls.entries = cls.cluster.entry_addresses
        entry_path = Path(cls.folder.name) / "chariot.json"
        source = Path(__file__).parent.parent / "examples" / "chariot.py"
        cls.entry_path = entry_path
        entry_path.write_bytes(
            run_client(cls.entries, "config", "print", str(source))[1]
        )
        cls.published = run_client(cls.entries, "config", "publish", str(entry_path))
        cls.cart_path = Path(cls.folder.name) / "cart.csv"
        cls.cart_path.write_text("bread,3,3\n")

    @classmethod
    def tearDownClass(cls):
        cls.cluster.close()
        cls.folder.cleanup()

    def test_submit_prints_the_answer(self):
        status, stdout, stderr = run_client(
            self.entries,
            "submit",
            "chariot-planning",
            "cart-check",
            str(self.cart_path),
        )
        self.assertEqual((status, stdout), (0, b"seal\n"), stderr)

    def test_publishing_on_an_outdated_base_reports_the_conflict(self):
        self.assertEqual(self.published[0], 0, self.published)
        status, stdout, _ = run_client(
            self.entries, "config", "publish", str(self.entry_path)
        )
        self.assertEqual(status, ExitStatus.NOT_RUN)
        self.assertIn(b"CONFLICT", stdout)

    def test_config_check_refuses_guarantees_beyond_the_inventory(self):
        entry_path = Path(self.folder.name) / "huge.json"
        shape = {"accelerators": 8}
        guarantees = [{"data_centre": "tunis", "shape": shape, "count": 50}]
        fields = {"data_centres": ["tunis"], "guarantees": guarantees}
        entry = {"schema": 1, "base": {"huge": -1}, "parts": {"huge": fields}}
        entry_path.write_text(json.dumps(entry))
        status, stdout, _ = run_client(self.entries, "config", "check", str(entry_path))
        self.assertEqual(status, ExitStatus.NOT_RUN)
        self.assertIn(b"huge", stdout)
        self.assertIn(b"doesn't fit", stdout)

    def test_listings_are_printed_as_json(self):
        for listing in ("jobs", "workers", "organisations"):
            status, stdout, stderr = run_client(self.entries, listing, "--json")
            self.assertEqual(status, 0, stderr)
            self.assertTrue(stdout.startswith(b"["), stdout[:80])

    def test_unknown_organisation_exits_with_not_run(self):
        status, _, stderr = run_client(
            self.entries, "submit", "nobody", "cart-check", str(self.cart_path)
        )
        self.assertEqual(status, ExitStatus.NOT_RUN)
        self.assertIn(b"UNKNOWN_ORGANISATION", stderr)

    def test_invalid_gang_size_is_refused_with_status_400(self):
        for members in ("0", "129", "x"):
            url = (
                f"http://{self.entries[0]}/v1/organisations/chariot-planning"
                f"/services/shelf-life-sweep/jobs?members={members}"
            )
            with self.assertRaises(OSError) as raised:
                post_json(url, {})
            self.assertEqual(raised.exception.code, 400)

    def test_slow_and_half_closed_senders_do_not_delay_other_callers(self):
        host, port = self.entries[0].split(":")
        path = "/v1/organisations/chariot-planning/services/cart-check/jobs"
        partial_request = (
            f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n\r\nbre"
        )
        slow_senders = [socket.create_connection((host, int(port))) for _ in range(100)]
        for number, sender in enumerate(slow_senders):
            sender.sendall(partial_request.encode())
            if number % 2:
                sender.shutdown(socket.SHUT_WR)
        client = EntryClient(create_clock(), self.entries[:1])
        work = JobSubmission("chariot-planning", "cart-check", "", b"bread,3,3\n")
        started_s = time.monotonic()
        answer = client.run(work, 6_100)
        took_s = time.monotonic() - started_s
        client.close()
        for sender in slow_senders:
            sender.close()
        self.assertEqual(answer.body, b"seal\n")
        self.assertLess(took_s, 6.1)

    def test_too_large_body_has_its_result_code(self):
        client = EntryClient(create_clock(), self.entries[:1])
        body = bytes(MAX_BODY_BYTES + 1)
        answer = client.run(
            JobSubmission("chariot-planning", "cart-check", "", body), 20_000
        )
        client.close()
        self.assertEqual(answer.code, ResultCode.BODY_TOO_LARGE, answer.reason)

    def test_configuration_that_is_not_json_is_refused(self):
        completed = subprocess.run(
            [
                str(BIN_DIRECTORY / "python"),
                "-c",
                "import urllib3;print(urllib3.request('POST','http://"
                f"{self.entries[0]}/v1/configuration',body=b'{{nope').status)",
            ],
            capture_output=True,
            text=True,
        )
        self.assertEqual(completed.stdout.strip(), "400", completed.stderr)

    def test_state_dump_is_available_by_http_and_by_signal(self):
        state = get_json(f"http://{self.entries[0]}/v1/state")
        self.assertIn("requests", state)
        scheduler = self.cluster.schedulers[0]
        scheduler.signal(signal.SIGUSR1)
        deadline_s = time.monotonic() + 5
        while '"ledger"' not in scheduler.output() and time.monotonic() < deadline_s:
            time.sleep(0.05)
        self.assertIn('"ledger"', scheduler.output())

    def test_long_polls_do_not_delay_urgent_requests(self):
        long_running_input = b"#run_ms=8000\ndrawer,item,1\n"
        clock = create_clock()
        threads = []
        for number in range(80):
            client = EntryClient(clock, self.entries[:1])
            work = JobSubmission(
                "chariot-catering", "shelf-life-sweep", f"k{number}", long_running_input
            )
            thread = threading.Thread(
                target=client.run, args=(work, 6_000), daemon=True
            )
            thread.start()
            threads.append(thread)
        time.sleep(1)
        client = EntryClient(clock, self.entries[:1])
        started_ms = clock.now_ms()
        answer = client.run(
            JobSubmission("chariot-planning", "cart-check", "", b"bread,3,3\n"), 6_100
        )
        took_ms = clock.now_ms() - started_ms
        for thread in threads:
            thread.join()
        self.assertEqual(answer.body, b"seal\n")
        self.assertLess(took_ms, 6_100)
