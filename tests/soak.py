"""A soak of `knapweedshed-host`: real processes under random faults, by a seed.

Faults come from outside of the processes: signals, a loopback proxy, a store that is
down or loses answers, workers that restart, leave or go silent. They overlap. While
they last, workers and callers check the promises; once they have ended, all accepted
jobs must end.
"""

import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from typing import NamedTuple

import urllib3
import yaml

from tests.fleet_standin import AppendFault, FakeStore
from tests.ports import server_ports
from tests.proxy import Fault, Proxy
from tests.soak_workers import EVACUATION_MS, SoakWorkers, now_ms
from tests.test_fleet_platform import CONFIGURATION, SETTINGS

HOST_COUNT = 3
WORKER_COUNT = 6
CLIENT_COUNT = 3
START_TIMEOUT_S = 20
KEEP_S = 300
# Longer than all hosts are away at a time, and an open job is written each third of it.
SHORT_KEEP_S = 20
FOLLOW_PERIOD_S = 0.3
FAULT_PERIOD_S = 1.2  # mean time between the beginnings of two faults
# A takeover, a lease, the longest jobs of the soak, and a busy machine.
SETTLE_TIMEOUT_S = 45
REQUEST_TIME_S = 3
CONFIG_MS = 2_000
STOP_TIMEOUT_S = 10
CRASH_S = 0.05
MAX_CROSSING_S = 0.1
IMPORT_TIME_S = 5  # a signal that arrives earlier may end the interpreter itself
APPEND_FAULT_SHARE = 0.2  # of the faults, beside them
EVACUATION_SHARE = 0.15  # of the faults, beside them
LATE_APPEND_S = (1.0, 6.0)
LATE_APPEND_SHARE = 0.3
REFUSED_APPEND_SHARE = 0.35
UNANSWERED_APPEND_SHARE = 0.15
# Queues of two services, so that jobs of one shape wait for different workers.
SERVICES_BY_QUEUE = {"plans": "planner", "paints": "painter"}
DATA_CENTRES = ("tunis", "sfax")
SOAK_CONFIGURATION = {
    **CONFIGURATION,
    "routes": [
        {
            **CONFIGURATION["routes"][0],
            "name": queue,
            "path_prefix": f"/{queue}/",
            "service": service,
        }
        for queue, service in SERVICES_BY_QUEUE.items()
    ],
}
NOT_ACCEPTED = (429, 503)
ACKNOWLEDGED_CANCEL = (200, 410)
_HTTP = urllib3.PoolManager(maxsize=64)  # callers at one host at the same time


class SoakReport(NamedTuple):
    """What one seed gave: broken promises, the faults by kind, and counts of jobs.

    `refused_late` counts the jobs that ran though their callers' last answer was a
    refusal; an earlier one said that the outcome is unknown. Another host than the one
    that gave that answer can't know of it while the log is away.
    """

    seed: int
    broken: tuple[str, ...]
    faults: dict[str, int]
    submitted: int
    accepted: int
    completed: int
    refused_late: int


class SoakHost:
    """One host process at its own proxied path to the store."""

    def __init__(self, name, proxy, store, folder, ports, keep_s=KEEP_S):
        self.name = name
        self.store_port = next(ports)
        self.front = f"127.0.0.1:{next(ports)}"
        self._folder = folder
        proxy.forward(self.store_port, int(store.address.rpartition(":")[2]))
        settings = {
            **SETTINGS,
            "node": name,
            "listen": {"front": self.front, "ready": f"127.0.0.1:{next(ports)}"},
            "platform": {"addr": f"127.0.0.1:{self.store_port}", "keep_s": keep_s},
            "bounds": {**SETTINGS["bounds"], "evac_ms": EVACUATION_MS},
            "zones": {name: {} for name in DATA_CENTRES},
        }
        self._settings_path = os.path.join(folder, f"{name}.yaml")
        with open(self._settings_path, "w", encoding="utf-8") as file:
            yaml.safe_dump(settings, file)
        self.process = None
        self._started_s = 0.0
        self._paused_since_s = None
        self._paused_s = 0.0

    @property
    def running_s(self):
        """Return for how long the process has run since its start, without pauses."""
        return time.monotonic() - self._started_s - self._paused_s

    def start(self):
        """Start the process, whose log file grows over restarts."""
        self._started_s = time.monotonic()
        self._paused_since_s, self._paused_s = None, 0.0
        with open(os.path.join(self._folder, f"{self.name}.log"), "a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "knapweedshed.programs.host"],
                env={**os.environ, "KNAPWEEDSHED_CONFIG": self._settings_path},
                stdout=log,
                stderr=log,
            )

    def pause(self):
        """Pause the process; return a function that lets it go on."""
        process = self.process
        process.send_signal(signal.SIGSTOP)
        self._paused_since_s = self._paused_since_s or time.monotonic()
        return lambda: self.resume(process)

    def resume(self, process):
        """Let a process go on, if it still is the one of this host and paused."""
        if process is not self.process or process.poll() is not None:
            return
        process.send_signal(signal.SIGCONT)
        if self._paused_since_s is not None:
            self._paused_s += time.monotonic() - self._paused_since_s
            self._paused_since_s = None

    def stop(self, signal_number=signal.SIGKILL):
        """End the process with a signal; it is killed if that takes too long."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)
        try:
            return self.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None


class Soak:
    """One run of the soak with `hosts` processes and `workers` workers."""

    def __init__(
        self, seed, folder, hosts=HOST_COUNT, workers=WORKER_COUNT, keep_s=KEEP_S
    ):
        self._random = random.Random(seed)
        self._append_random = random.Random(f"{seed}/appends")
        self._evacuation_random = random.Random(f"{seed}/evacuations")
        self._seed = seed
        self._proxy = Proxy()
        self._ports = server_ports()
        self._store = FakeStore(next(self._ports), keep_s)
        self._store.put("keyed.op", "config", SOAK_CONFIGURATION)
        self._workers = SoakWorkers(self._store, service_of)
        self._hosts = [
            SoakHost(f"edge-{n}", self._proxy, self._store, folder, self._ports, keep_s)
            for n in range(hosts)
        ]
        self._worker_count = workers
        self._worker_ports = {}
        self._next_worker = 0
        self._faults = {}
        self._restorations = []
        self._broken = []
        self._answers = {}
        self._completed = set()
        self._cancelled = set()
        self._lock = threading.Lock()
        self._stop_submitting = threading.Event()
        self._version = CONFIGURATION["version"]
        self._revoked = {}
        self._refused_late = 0
        self._drops_ended_jobs = keep_s < KEEP_S
        self._ended = set()

    def run(self, duration_s):
        """Play faults for `duration_s`, let the system settle; return a report."""
        self._proxy.start()
        self._workers.start()
        for number in range(self._worker_count):
            self._add_worker("painter" if number % 3 == 2 else "planner")
        for host in self._hosts:
            host.start()
        clients = [
            threading.Thread(target=self._submit_jobs, args=(number,), daemon=True)
            for number in range(CLIENT_COUNT)
        ]
        try:
            if not self._wait_until_served():
                self._broken.append("START: no job is accepted")
            else:
                for client in clients:
                    client.start()
                if self._drops_ended_jobs:
                    threading.Thread(target=self._follow_jobs, daemon=True).start()
                self._play_faults(duration_s)
                self._stop_submitting.set()
                for client in clients:
                    client.join()
                self._check_end()
        finally:
            self._stop_submitting.set()
            for host in self._hosts:
                host.stop(signal.SIGCONT)
            self._workers.close()
            self._proxy.close()
            self._store.close()
        return self._report()

    def _report(self):
        accepted = [job_id for job_id, codes in self._answers.items() if 200 in codes]
        return SoakReport(
            self._seed,
            tuple(dict.fromkeys([*self._broken, *self._workers.broken])),
            self._faults,
            len(self._answers),
            len(accepted),
            len(self._completed),
            self._refused_late,
        )

    def _add_worker(self, service):
        name = f"i-{DATA_CENTRES[self._next_worker % 2]}-{self._next_worker}"
        self._next_worker += 1
        port, listed_port = next(self._ports), next(self._ports)
        self._proxy.forward(listed_port, port)
        self._worker_ports[name] = listed_port
        self._workers.add(name, port, listed_port, service)

    def _wait_until_served(self):
        deadline_s = time.monotonic() + START_TIMEOUT_S
        rng = random.Random(f"{self._seed}/first")
        while time.monotonic() < deadline_s:
            if self._submit(rng) == 200:
                return True
            time.sleep(0.2)
        return False

    # Faults

    def _play_faults(self, duration_s):
        end_s = time.monotonic() + duration_s
        faults = (
            self._kill_host,
            self._pause_host,
            self._restart_host,
            self._cut_host,
            self._silence_connections,
            self._take_store_down,
            self._lose_appends,
            self._cut_worker,
            self._restart_worker,
            self._leave_orders_unanswered,
            self._drain_worker,
            self._write_garbage,
            self._revoke_key,
        )
        while time.monotonic() < end_s:
            self._play_fault(self._random.choice(faults))
            if self._append_random.random() < APPEND_FAULT_SHARE:
                self._play_fault(self._delay_and_refuse_appends)
            if self._evacuation_random.random() < EVACUATION_SHARE:
                self._play_fault(self._evacuate_data_centre)
            time.sleep(self._random.expovariate(1 / FAULT_PERIOD_S))
            self._restore_due(time.monotonic())
        self._restore_due(float("inf"))

    def _play_fault(self, fault):
        name = fault.__name__.strip("_")
        self._faults[name] = self._faults.get(name, 0) + 1
        fault()

    def _restore_later(self, after_s, restore):
        self._restorations.append((time.monotonic() + after_s, restore))

    def _restore_due(self, now_s):
        due = [restore for at_s, restore in self._restorations if at_s <= now_s]
        self._restorations = [item for item in self._restorations if item[0] > now_s]
        for restore in due:
            restore()

    def _running_host(self):
        running = [host for host in self._hosts if host.process.poll() is None]
        return self._random.choice(running) if running else None

    def _kill_host(self):
        host = self._running_host()
        if host:
            host.stop()
            self._restore_later(self._random.uniform(0.2, 2.0), host.start)

    def _pause_host(self):
        host = self._running_host()
        if host:
            self._restore_later(self._random.uniform(0.5, 8.0), host.pause())

    def _restart_host(self):
        host = self._running_host()
        if host:
            host.resume(host.process)
            handles_signals = host.running_s > IMPORT_TIME_S
            status = host.stop(signal.SIGTERM)
            if status != 0 and handles_signals:
                self._broken.append(f"STOP: {host.name} ended with status {status}")
            self._restore_later(self._random.uniform(0.0, 1.0), host.start)

    def _set_fault(self, ports, kinds, longest_s):
        fault = self._random.choice(kinds)
        self._proxy.set_fault(ports, fault)
        self._restore_later(
            self._random.uniform(0.5, longest_s),
            lambda: self._proxy.set_fault(ports, Fault.NONE),
        )

    def _cut_host(self):
        host = self._random.choice(self._hosts)
        kinds = (Fault.CUT, Fault.FREEZE, Fault.DROP_RESPONSES, Fault.DROP_REQUESTS)
        self._set_fault([host.store_port], kinds, 7.0)

    def _cut_worker(self):
        names = self._random.sample(sorted(self._worker_ports), 2)
        ports = [self._worker_ports[name] for name in names]
        kinds = (Fault.CUT, Fault.FREEZE, Fault.DROP_RESPONSES, Fault.DROP_REQUESTS)
        self._set_fault(ports, kinds, 8.0)

    def _silence_connections(self):
        ports = [host.store_port for host in self._hosts]
        self._proxy.set_fault([*ports, *self._worker_ports.values()], Fault.FREEZE_OPEN)

    def _take_store_down(self):
        self._store.down = True
        self._restore_later(
            self._random.uniform(0.3, 4.0), lambda: setattr(self._store, "down", False)
        )

    def _lose_appends(self):
        self._store.append_responses_to_drop += self._random.randint(1, 4)

    def _delay_and_refuse_appends(self):
        """Let the store execute some appends late, or never, and refuse others."""
        rng = self._append_random

        def choose_fault():
            draw = rng.random()
            if draw < LATE_APPEND_SHARE:
                return AppendFault(502, rng.uniform(*LATE_APPEND_S))
            if draw < LATE_APPEND_SHARE + REFUSED_APPEND_SHARE:
                return AppendFault(rng.choice((429, 503)))
            return AppendFault(502) if draw > 1 - UNANSWERED_APPEND_SHARE else None

        self._store.append_fault = choose_fault
        self._restore_later(
            rng.uniform(1.0, 4.0),
            lambda: setattr(self._store, "append_fault", None),
        )

    def _evacuate_data_centre(self):
        """Evacuate a data centre, and end that some seconds later."""
        name = self._evacuation_random.choice(DATA_CENTRES)
        self._store.put("keyed.op", f"evacuate/{name}", {})
        self._workers.evacuated_ms.setdefault(name, now_ms())

        def end():
            self._workers.evacuated_ms.pop(name, None)
            self._store.put("keyed.op", f"evacuate/{name}", b"")

        self._restore_later(self._evacuation_random.uniform(3.0, 12.0), end)

    def _restart_worker(self):
        """Crash a worker, which ends its connections, and start it again."""
        name = self._random.choice(sorted(self._worker_ports))
        port = self._worker_ports[name]
        earlier_fault = self._proxy.fault_of(port)
        self._proxy.set_fault([port], Fault.CUT)
        time.sleep(CRASH_S)  # requests that arrived before still meet the old life
        self._workers.restart(name)
        self._proxy.set_fault([port], earlier_fault)

    def _leave_orders_unanswered(self):
        """Let workers leave some orders unanswered and carry them out late."""
        self._workers.late_share = self._random.choice((0.05, 0.2, 0.5))
        self._restore_later(
            self._random.uniform(1.0, 6.0),
            lambda: setattr(self._workers, "late_share", 0.0),
        )

    def _drain_worker(self):
        name = self._random.choice(sorted(self._worker_ports))
        del self._worker_ports[name]
        self._workers.drain(name)
        self._restore_later(
            self._random.uniform(3.0, 6.0), lambda: self._workers.remove(name)
        )
        self._add_worker(self._workers.service_of(name))

    def _write_garbage(self):
        garbage = (b"", b"\xff\xfe", b"[" * 500, b'{"version":"x"}', b"null", b"{}")
        topic = self._random.choice(("keyed.servers", "keyed.op", "keyed.other"))
        self._store.put(topic, "garbage", self._random.choice(garbage))

    def _revoke_key(self):
        """Add a key in one version and take it away in the next."""
        key = f"key-{self._version}"
        self._configure([key])
        self._version += 1
        self._configure([])
        self._revoked[key] = now_ms()

    def _configure(self, keys):
        self._version += self._random.randint(1, 3)
        organisation = SOAK_CONFIGURATION["tenants"][0]
        changed = {**organisation, "api_keys": [*organisation["api_keys"], *keys]}
        self._store.put(
            "keyed.op",
            "config",
            {**SOAK_CONFIGURATION, "version": self._version, "tenants": [changed]},
        )

    # Callers

    def _submit_jobs(self, number):
        rng = random.Random(f"{self._seed}/{number}")
        while not self._stop_submitting.is_set():
            if rng.random() < 0.1:
                self._cross(rng)
            else:
                self._submit(rng)
            if self._revoked and rng.random() < 0.2:
                self._try_revoked_key(rng)
            if self._answers and rng.random() < 0.1:
                self._cancel(rng)
            self._stop_submitting.wait(rng.uniform(0.05, 0.5))

    def _cross(self, rng):
        """Submit a job, and cancel it at some host before the answer."""
        job_id = f"{rng.getrandbits(64):016x}"
        delay_s, host = rng.uniform(0, MAX_CROSSING_S), rng.choice(self._hosts)

        def cancel():
            time.sleep(delay_s)
            self._send_cancel(host, job_id)

        self._cancelled.add(job_id)
        canceller = threading.Thread(target=cancel, daemon=True)
        canceller.start()
        self._submit(rng, job_id)
        canceller.join()

    def _submit(self, rng, job_id=""):
        """Submit a job like a caller with retries; return the last status."""
        job_id = job_id or f"{rng.getrandbits(64):016x}"
        steps = _with_limits(_random_steps(rng), job_id)
        with self._lock:
            self._workers.jobs[job_id] = steps
            codes = self._answers.setdefault(job_id, [])
        wire_steps = [
            {name: value for name, value in step.items() if name != "work_ms"}
            for step in steps
        ]
        deadline_s = time.monotonic() + REQUEST_TIME_S
        status = 0
        while time.monotonic() < deadline_s:
            host = rng.choice(self._hosts)
            body = {"spec": job_id, "steps": wire_steps}
            status, _ = call_host(host, "POST", job_id, body, deadline_s)
            codes.append(status)
            if status not in (0, 502, 503, 504):
                break
            time.sleep(0.3)
        return status

    def _cancel(self, rng):
        with self._lock:
            accepted = [
                job_id
                for job_id, codes in self._answers.items()
                if 200 in codes and job_id not in self._cancelled
            ]
        if not accepted:
            return
        job_id = rng.choice(accepted)
        self._cancelled.add(job_id)
        self._send_cancel(rng.choice(self._hosts), job_id)

    def _send_cancel(self, host, job_id):
        deadline_s = time.monotonic() + REQUEST_TIME_S
        status, _ = call_host(host, "DELETE", job_id, None, deadline_s)
        if status in ACKNOWLEDGED_CANCEL:
            self._workers.cancelled_ms[job_id] = now_ms()

    def _try_revoked_key(self, rng):
        """A key that was withdrawn long ago must not work at any host."""
        key, revoked_ms = rng.choice(sorted(self._revoked.items()))
        host = rng.choice(self._hosts)
        if now_ms() - revoked_ms < 3 * CONFIG_MS or not self._is_calm():
            return
        deadline_s = time.monotonic() + 1
        status, _ = call_host(host, "GET", f"{0:016x}", None, deadline_s, key)
        if status not in (0, 401, 503) and self._is_calm():
            self._broken.append(f"KEY: {host.name} answers {status} to a revoked key")

    def _check_revoked_keys(self):
        """All hosts were restarted or ran on; none may take a withdrawn key again."""
        for host in self._hosts:
            for key in self._revoked:
                deadline_s = time.monotonic() + REQUEST_TIME_S
                status, _ = call_host(host, "GET", f"{0:016x}", None, deadline_s, key)
                if status != 401:
                    self._broken.append(f"KEY: {host.name} answers {status} to {key}")

    def _is_calm(self):
        """Return whether no fault is in progress that may delay a configuration."""
        return not self._restorations and not self._store.down

    # The end

    def _check_end(self):
        deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
        for host in self._hosts:
            if host.process.poll() is not None:
                host.start()
        open_jobs = self._accepted_jobs() - self._ended
        rng = random.Random(f"{self._seed}/end")
        while open_jobs and time.monotonic() < deadline_s:
            for job_id in sorted(open_jobs):
                if self._has_ended(rng.choice(self._hosts), job_id, deadline_s):
                    open_jobs.discard(job_id)
            time.sleep(0.2)
        for job_id in sorted(open_jobs):
            self._broken.append(f"LOST: accepted job {job_id} hasn't ended")
        self._check_revoked_keys()
        for job_id, codes in self._answers.items():
            if codes and all(code in NOT_ACCEPTED for code in codes):
                if job_id in self._workers.started_jobs:
                    self._broken.append(f"REFUSED: {job_id} ran, answers {codes}")
            elif codes and codes[-1] in NOT_ACCEPTED and 200 not in codes:
                self._refused_late += job_id in self._workers.started_jobs

    def _accepted_jobs(self):
        with self._lock:
            return {job_id for job_id, codes in self._answers.items() if 200 in codes}

    def _follow_jobs(self):
        """Take note of the jobs that end, before the log drops their records."""
        rng = random.Random(f"{self._seed}/follow")
        while not self._stop_submitting.wait(FOLLOW_PERIOD_S):
            for job_id in sorted(self._accepted_jobs() - self._ended):
                host = rng.choice(self._hosts)
                if self._has_ended(host, job_id, time.monotonic() + 1):
                    self._ended.add(job_id)

    def _may_be_forgotten(self, job_id):
        """Return whether hosts may have forgotten a job, which ended long ago."""
        is_over = job_id in self._workers.cancelled_ms or not self._steps_left(job_id)
        return self._drops_ended_jobs and is_over

    def _has_ended(self, host, job_id, deadline_s):
        status, body = call_host(
            host, "GET", job_id, None, min(deadline_s, time.monotonic() + 1)
        )
        if status == 404:
            return self._may_be_forgotten(job_id)
        if status != 200:
            return False
        state = body.get("state")
        if state == "completed":
            self._check_completed(job_id)
        elif state == "cancelled" and job_id not in self._cancelled:
            self._broken.append(f"MIXED: {job_id} is cancelled, nobody asked for it")
        elif state == "failed":
            self._broken.append(f"LOST: {job_id} is shown as failed; no task failed")
        return state in ("completed", "cancelled", "failed")

    def _check_completed(self, job_id):
        self._completed.add(job_id)
        for number in self._steps_left(job_id):
            self._broken.append(f"MIXED: {job_id} completed, step {number} isn't")

    def _steps_left(self, job_id):
        """Return the numbers of the steps that workers haven't seen end."""
        left = []
        for number, step in enumerate(self._workers.jobs[job_id]):
            names = {f"{job_id}.0.{number}.{i}" for i in range(step["count"])}
            ended = names & self._workers.ended_done
            if ended != names and not (step.get("gang") and ended):
                left.append(number)
        return left


def _random_steps(rng):
    """Return the steps of a job: one or two, some of them gangs."""
    steps = []
    for number in range(rng.choice((1, 1, 2))):
        gang = rng.random() < 0.4
        step = {
            "count": rng.randint(1, 4),
            "cpu": 1_000,
            "mem_mb": 100,
            "gpu": rng.choice((1, 1, 2, 4)),
            "est_ms": 400,
            "work_ms": rng.randint(200, 1_500),
        }
        if gang:
            step["gang"] = True
        if number:
            step["depends_on"] = [number - 1]
        steps.append(step)
    return steps


def _with_limits(steps, job_id):
    """Return the steps; those of every other job run one task of a step on a worker."""
    if int(job_id, 16) // len(SERVICES_BY_QUEUE) % 2:
        return steps
    return [
        step if step.get("gang") else {**step, "max_per_server": 1} for step in steps
    ]


def queue_of(job_id):
    """Return the name of the queue that a job is submitted to."""
    queues = sorted(SERVICES_BY_QUEUE, reverse=True)
    return queues[int(job_id, 16) % len(queues)]


def service_of(job_id):
    """Return the service that a job is run by."""
    return SERVICES_BY_QUEUE[queue_of(job_id)]


def call_host(host, method, job_id, body, deadline_s, key="k1"):
    """Send a request; return (status, body), with status 0 without an answer."""
    left_s = deadline_s - time.monotonic()
    if left_s <= 0:
        return 0, None
    try:
        response = _HTTP.request(
            method,
            f"http://{host.front}/{queue_of(job_id)}/{job_id}",
            body=None if body is None else json.dumps(body),
            headers={
                "Host": "n.example",
                "Authorization": f"Token {key}",
                "X-Knapweedshed-Deadline-Ms": str(int(left_s * 1_000)),
            },
            timeout=left_s,
            retries=False,
        )
        return response.status, json.loads(response.data or b"null")
    except (urllib3.exceptions.HTTPError, ValueError):
        return 0, None


def run_seed(seed, duration_s, keep_logs="", **sizes):
    """Run the soak for one seed; return a `SoakReport`.

    `sizes` are the numbers of `hosts` and `workers`, and for how long the store keeps
    records, `keep_s`. The processes' logs are kept in the folder `keep_logs` if a
    promise was broken.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = Soak(seed, folder, **sizes).run(duration_s)
        if report.broken and keep_logs:
            shutil.copytree(folder, os.path.join(keep_logs, f"seed-{seed}"))
    return report
