"""Runs the programs as separate processes on loopback, for examples and tests."""

import json
import os
import signal
import subprocess
import sys
import threading
import time
import urllib.request
from pathlib import Path

BIN_DIRECTORY = Path(sys.executable).parent
READY_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 40
# Ports counted from the first port of the cluster; each data centre has 5 for its
# entries and 5 for its schedulers.
ENTRY_PORT_OFFSET = 20
SCHEDULER_PORT_OFFSET = 40
PROXY_PORT_OFFSET = 1_000  # times 1 for the first data centre, 2 for the second
SCHEDULER_ONLY_FLAGS = ("lease_ms", "renew_ms")


class Process:
    """One process of a program; its output goes to a file."""

    def __init__(self, name, program, flags, folder):
        self.name = name
        self.program = program
        self.flags = dict(flags)
        self._output = Path(folder) / f"{name}.log"
        self._popen = None

    @property
    def pid(self):
        """Process id."""
        return self._popen.pid

    @property
    def alive(self):
        """Whether the process is running."""
        return self._popen is not None and self._popen.poll() is None

    def start(self):
        """Start the program."""
        arguments = [str(BIN_DIRECTORY / self.program)]
        for flag, value in self.flags.items():
            arguments.append(f"--{flag.replace('_', '-')}={value}")
        with open(self._output, "ab") as output:
            self._popen = subprocess.Popen(arguments, stdout=output, stderr=output)

    def signal(self, signal_number):
        """Send a signal to this process only."""
        self._popen.send_signal(signal_number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def stop(self):
        """Stop the process gracefully and return its exit status.

        A paused process is resumed first. After STOP_TIMEOUT_SECONDS it is killed.
        """
        if self._popen is None or self._popen.poll() is not None:
            return None
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self._popen.wait(timeout=STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL

    def has_started(self):
        """Return whether the process has logged that it started."""
        return '"message": "started"' in self.output()

    def output(self):
        """Return the output of the process."""
        return self._output.read_text(errors="replace")


class Cluster:
    """One stand-in for the platform, and entries and schedulers in each data centre.

    With `through_proxy`, processes reach the platform and the schedulers through TCP
    proxies on ports that the caller of this class serves.
    """

    def __init__(
        self,
        port,
        folder,
        data_centres=("tunis", "monastir"),
        entries=2,
        schedulers=2,
        standin=None,
        flags=None,
        through_proxy=False,
    ):
        self.port = port
        self.through_proxy = through_proxy
        self.data_centres = data_centres
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        offset = PROXY_PORT_OFFSET if through_proxy else 0
        standin_flags = {
            "listen": f"127.0.0.1:{port}",
            "data_centres": ",".join(data_centres),
            "proxied_by": offset,
            "log_level": "warning",
            **(standin or {}),
        }
        self.standin = Process("standin", "knapweedshed-standin", standin_flags, folder)
        self.entries = []
        self.schedulers = []
        self._create_processes(entries, schedulers, flags or {})

    @property
    def processes(self):
        """All processes except the stand-in."""
        return [*self.schedulers, *self.entries]

    @property
    def entry_addresses(self):
        """Addresses of the entries, as ip:port."""
        return [process.flags["listen"] for process in self.entries]

    def start(self):
        """Start all processes and wait until each data centre can place work.

        That is when every entry reaches every data centre. Raises TimeoutError.
        """
        self.standin.start()
        _wait_for(lambda: get_json(f"http://127.0.0.1:{self.port + 1}/hosts"))
        for process in self.processes:
            process.start()
        for process in self.processes:
            _wait_for(lambda p=process: p.has_started())
        for address in self.entry_addresses:
            _wait_for(lambda a=address: self._reaches_all_data_centres(a))

    def close(self):
        """Stop all processes, the stand-in last."""
        threads = [threading.Thread(target=p.stop) for p in self.processes]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.standin.stop()

    def state(self, address):
        """Return the state dump of an entry; raises OSError."""
        return get_json(f"http://{address}/v1/state")

    def all_ready(self):
        """Return whether every entry reaches every data centre; raises OSError."""
        return all(
            self._reaches_all_data_centres(address) for address in self.entry_addresses
        )

    def _reaches_all_data_centres(self, address):
        state = self.state(address)
        return set(state["requests"]["reachable"]) == set(self.data_centres)

    def proxy_offset(self, data_centre):
        """Return the port offset of the proxy that this data centre's processes use."""
        if not self.through_proxy:
            return 0
        return PROXY_PORT_OFFSET * (1 + self.data_centres.index(data_centre))

    def _create_processes(self, entries, schedulers, flags):
        scheduler_ports = [
            (
                data_centre,
                self.port + SCHEDULER_PORT_OFFSET + data_centre_index * 5 + index,
            )
            for data_centre_index, data_centre in enumerate(self.data_centres)
            for index in range(schedulers)
        ]
        for data_centre, port in scheduler_ports:
            process_flags = self._common_flags(data_centre, scheduler_ports)
            process_flags["listen"] = f"127.0.0.1:{port}"
            process_flags["advertise"] = (
                f"127.0.0.1:{port + self.proxy_offset(data_centre)}"
            )
            name = f"scheduler-{data_centre}-{(port - self.port) % 5}"
            program = "knapweedshed-scheduler"
            self.schedulers.append(
                Process(name, program, process_flags | flags, self.folder)
            )
        for data_centre_index, data_centre in enumerate(self.data_centres):
            for index in range(entries):
                port = self.port + ENTRY_PORT_OFFSET + data_centre_index * 5 + index
                process_flags = self._common_flags(data_centre, scheduler_ports)
                process_flags["listen"] = f"127.0.0.1:{port}"
                name = f"entry-{data_centre}-{index}"
                program = "knapweedshed-entry"
                process_flags = {
                    k: v
                    for k, v in (process_flags | flags).items()
                    if k not in SCHEDULER_ONLY_FLAGS
                }
                self.entries.append(Process(name, program, process_flags, self.folder))

    def _common_flags(self, data_centre, scheduler_ports):
        offset = self.proxy_offset(data_centre)
        schedulers = [
            f"{name}=127.0.0.1:{scheduler_port + offset}"
            for name, scheduler_port in scheduler_ports
        ]
        return {
            "data_centre": data_centre,
            "log": f"127.0.0.1:{self.port + offset}",
            "hosts": f"127.0.0.1:{self.port + 1 + offset}",
            "schedulers": ",".join(schedulers),
        }


def get_json(url, timeout_seconds=5):
    """Return the JSON at a URL; raises OSError."""
    with urllib.request.urlopen(url, timeout=timeout_seconds) as response:
        return json.load(response)


def post_json(url, value, timeout_seconds=5):
    """Post JSON and return the JSON response; raises OSError."""
    data = json.dumps(value).encode()
    with urllib.request.urlopen(url, data=data, timeout=timeout_seconds) as response:
        return json.load(response)


def run_client(entries, *arguments):
    """Run the command line client; return (exit status, stdout bytes, stderr bytes)."""
    environment = {**os.environ, "KNAPWEEDSHED_ENTRIES": ",".join(entries)}
    completed = subprocess.run(
        [str(BIN_DIRECTORY / "knapweedshed"), *arguments],
        env=environment,
        capture_output=True,
        check=False,
    )
    return completed.returncode, completed.stdout, completed.stderr


def _wait_for(condition):
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    poll_event = threading.Event()
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        poll_event.wait(0.1)
    raise TimeoutError("cluster not ready in time")
