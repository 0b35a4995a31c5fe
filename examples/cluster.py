"""Starts the programs as separate processes on loopback, for examples and tests."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
import urllib.request
from pathlib import Path

BINARIES = Path(sys.executable).parent
READY_LIMIT_SECONDS = 20
STOP_LIMIT_SECONDS = 40
ENTRY_OFFSET = 20
SCHEDULER_OFFSET = 40
PROXY_OFFSET = 1_000
LEASE_FLAGS = ("lease_ms", "renew_ms")


class Process:
    """One program under its id; its output goes to a file."""

    def __init__(self, name, program, flags, folder):
        self.name = name
        self.program = program
        self.flags = dict(flags)
        self._output = Path(folder) / f"{name}.log"
        self._popen = None

    @property
    def pid(self):
        """The process's id."""
        return self._popen.pid

    @property
    def alive(self):
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def start(self):
        """Start the program."""
        arguments = [str(BINARIES / self.program)]
        for flag, value in self.flags.items():
            arguments.append(f"--{flag.replace('_', '-')}={value}")
        with open(self._output, "ab") as output:
            self._popen = subprocess.Popen(arguments, stdout=output, stderr=output)

    def signal(self, number):
        """Send a signal to this process only."""
        self._popen.send_signal(number)

    def kill(self):
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def stop(self):
        """Ask the process to stop, and wait; return its exit status."""
        if self._popen is None or self._popen.poll() is not None:
            return None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self._popen.wait(timeout=STOP_LIMIT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def has_started(self):
        """Return whether the process said that it serves."""
        return '"message": "started"' in self.output()

    def output(self):
        """Return what the process wrote."""
        return self._output.read_text(errors="replace")


class Cluster:
    """A stand-in, and entries and schedulers in each data centre."""

    def __init__(
        self,
        port,
        folder,
        places=("tunis", "monastir"),
        entries=2,
        schedulers=2,
        standin=None,
        flags=None,
        through_proxy=False,
    ):
        self.port = port
        self.through_proxy = through_proxy
        self.places = places
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        offset = PROXY_OFFSET if through_proxy else 0
        standin_flags = {
            "listen": f"127.0.0.1:{port}",
            "data_centres": ",".join(places),
            "proxied_by": offset,
            "log_level": "warning",
            **(standin or {}),
        }
        self.standin = Process("standin", "knapweedshed-standin", standin_flags, folder)
        self.entries = []
        self.schedulers = []
        self._build(entries, schedulers, flags or {})

    @property
    def processes(self):
        """All of our own processes."""
        return [*self.schedulers, *self.entries]

    @property
    def entry_addresses(self):
        """The entries' addresses."""
        return [process.flags["listen"] for process in self.entries]

    def start(self):
        """Start everything and wait until each data centre can place work."""
        self.standin.start()
        _wait_for(lambda: get_json(f"http://127.0.0.1:{self.port + 1}/hosts"))
        for process in self.processes:
            process.start()
        for process in self.processes:
            _wait_for(lambda p=process: p.has_started())
        for address in self.entry_addresses:
            _wait_for(lambda a=address: self._sees_places(a))

    def close(self):
        """Stop everything that was started."""
        threads = [threading.Thread(target=p.stop) for p in self.processes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.standin.stop()

    def state(self, address):
        """Return an entry's state dump."""
        return get_json(f"http://{address}/v1/state")

    def all_ready(self):
        """Return whether every entry reaches every data centre and is configured."""
        return all(self._sees_places(address) for address in self.entry_addresses)

    def _sees_places(self, address):
        state = self.state(address)
        return set(state["requests"]["reachable"]) == set(self.places)

    def proxy_offset(self, place):
        """Return what is added to the ports that this data centre's processes use."""
        if not self.through_proxy:
            return 0
        return PROXY_OFFSET * (1 + self.places.index(place))

    def _build(self, entries, schedulers, flags):
        numbers = [
            (place, self.port + SCHEDULER_OFFSET + place_index * 5 + index)
            for place_index, place in enumerate(self.places)
            for index in range(schedulers)
        ]
        for place, number in numbers:
            own = self._common(place, numbers)
            own["listen"] = f"127.0.0.1:{number}"
            own["advertise"] = f"127.0.0.1:{number + self.proxy_offset(place)}"
            name = f"scheduler-{place}-{(number - self.port) % 5}"
            program = "knapweedshed-scheduler"
            self.schedulers.append(Process(name, program, own | flags, self.folder))
        for place_index, place in enumerate(self.places):
            for index in range(entries):
                number = self.port + ENTRY_OFFSET + place_index * 5 + index
                own = self._common(place, numbers)
                own["listen"] = f"127.0.0.1:{number}"
                name = f"entry-{place}-{index}"
                program = "knapweedshed-entry"
                own = {k: v for k, v in (own | flags).items() if k not in LEASE_FLAGS}
                self.entries.append(Process(name, program, own, self.folder))

    def _common(self, place, numbers):
        offset = self.proxy_offset(place)
        schedulers = [f"{where}=127.0.0.1:{n + offset}" for where, n in numbers]
        return {
            "data_centre": place,
            "log": f"127.0.0.1:{self.port + offset}",
            "hosts": f"127.0.0.1:{self.port + 1 + offset}",
            "schedulers": ",".join(schedulers),
        }


def get_json(url, limit_seconds=5):
    """Return the JSON at a URL; raises OSError."""
    with urllib.request.urlopen(url, timeout=limit_seconds) as response:
        return json.load(response)


def post_json(url, value, limit_seconds=5):
    """Post JSON and return the JSON that comes back; raises OSError."""
    data = json.dumps(value).encode()
    with urllib.request.urlopen(url, data=data, timeout=limit_seconds) as response:
        return json.load(response)


def command(entries, *arguments):
    """Run the command line client; return (exit status, standard output bytes)."""
    environment = {**os.environ, "KNAPWEEDSHED_ENTRIES": ",".join(entries)}
    done = subprocess.run(
        [str(BINARIES / "knapweedshed"), *arguments],
        env=environment,
        capture_output=True,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr


def _wait_for(condition):
    end = time.monotonic() + READY_LIMIT_SECONDS
    pause = threading.Event()
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        pause.wait(0.1)
    raise TimeoutError("the cluster is not ready in time")
