"""Callers who cancel a job soon after they hand it in, at any of several real hosts.

A cancel is acknowledged by 200, or by 410, which says that there is no such job. Either
way the job must not start tasks later than the bound of the platform.
"""

import concurrent.futures
import itertools
import random
import tempfile
import threading
import time
from collections import Counter
from typing import NamedTuple

from tests.fleet_standin import FakeStore
from tests.ports import server_ports
from tests.proxy import Proxy
from tests.soak import (
    ACKNOWLEDGED_CANCEL,
    SOAK_CONFIGURATION,
    SoakHost,
    call_host,
    service_of,
)
from tests.soak_workers import SoakWorkers, now_ms

HOST_COUNT = 3
WORKER_COUNT = 4
CALLER_COUNT = 40
START_TIMEOUT_S = 20
CALL_TIME_S = 3
KILL_PERIOD_S = 1.5
MAX_CANCEL_DELAY_S = 0.4
MAX_CROSSING_DELAY_S = 0.02
# The last step of a job that isn't cancelled starts past the bound and its margin.
STEP_COUNT = 5
STEP_MS = 1_300
STEP_BODY = {"count": 1, "cpu": 10, "mem_mb": 10, "gpu": 0, "est_ms": STEP_MS}


class RaceReport(NamedTuple):
    """What the callers were told and what workers saw.

    `statuses` counts the answers to cancels; `late_jobs` are the cancelled jobs that
    started a task later than allowed, with the answer to their cancel.
    """

    statuses: dict[int, int]
    late_jobs: dict[str, int]
    broken: tuple[str, ...]


class CancelRace:
    """Hosts, workers and a store for one race."""

    def __init__(self, folder):
        ports = server_ports()
        self._proxy = Proxy()
        self.store = FakeStore(next(ports))
        self.store.put("keyed.op", "config", SOAK_CONFIGURATION)
        self._workers = SoakWorkers(self.store, service_of)
        self._hosts = [
            SoakHost(f"edge-{n}", self._proxy, self.store, folder, ports)
            for n in range(HOST_COUNT)
        ]
        self._proxy.start()
        self._workers.start()
        for number in range(WORKER_COUNT):
            port = next(ports)
            service = ("planner", "painter")[number % 2]
            self._workers.add(f"i-tunis-{number}", port, port, service)
        for host in self._hosts:
            host.start()

    def close(self):
        """End all processes and servers."""
        for host in self._hosts:
            host.stop()
        self._workers.close()
        self._proxy.close()
        self.store.close()

    def wait_until_served(self):
        """Wait until every host accepts jobs; raises TimeoutError."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        for number, host in enumerate(self._hosts):
            while self._submit(host, f"{number:016x}") != 200:
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"{host.name} accepts no job")
                time.sleep(0.1)

    def play(self, seed, jobs, crossing, kills):
        """Let callers hand in and cancel jobs; return a `RaceReport`.

        With `crossing` a cancel is sent before the answer to the submission. With
        `kills` hosts are killed and started again in turn meanwhile.
        """
        rng = random.Random(seed)
        plans = [
            (f"{rng.getrandbits(64):016x}", rng.sample(self._hosts, 2), rng.random())
            for _ in range(jobs)
        ]
        stopped = threading.Event()
        killer = threading.Thread(target=self._kill_hosts, args=(stopped,), daemon=True)
        if kills:
            killer.start()
        with concurrent.futures.ThreadPoolExecutor(CALLER_COUNT) as callers:
            play = self._cross if crossing else self._cancel_soon
            statuses = dict(callers.map(lambda plan: play(*plan), plans))
        time.sleep(STEP_COUNT * STEP_MS / 1_000)
        if kills:
            stopped.set()
            killer.join()
        broken = tuple(self._workers.broken)
        late_jobs = {
            job_id: status
            for job_id, status in statuses.items()
            if any(job_id in text for text in broken)
        }
        return RaceReport(Counter(statuses.values()), late_jobs, broken)

    def _kill_hosts(self, stopped):
        for host in itertools.cycle(self._hosts):
            if stopped.wait(KILL_PERIOD_S):
                return
            host.stop()
            host.start()

    def _submit(self, host, job_id):
        steps = [
            {
                **STEP_BODY,
                "work_ms": STEP_MS,
                "depends_on": [number - 1] if number else [],
            }
            for number in range(STEP_COUNT)
        ]
        self._workers.jobs[job_id] = steps
        wire_steps = [
            {name: value for name, value in step.items() if name != "work_ms"}
            for step in steps
        ]
        body = {"spec": job_id, "steps": wire_steps}
        deadline_s = time.monotonic() + CALL_TIME_S
        return call_host(host, "POST", job_id, body, deadline_s)[0]

    def _cancel(self, host, job_id):
        deadline_s = time.monotonic() + CALL_TIME_S
        status, _ = call_host(host, "DELETE", job_id, None, deadline_s)
        if status in ACKNOWLEDGED_CANCEL:
            self._workers.cancelled_ms[job_id] = now_ms()
        return status

    def _cancel_soon(self, job_id, hosts, delay):
        """Cancel at another host than the one that has accepted the job.

        `delay` is a share of the longest delay.
        """
        accepting, other = hosts
        if self._submit(accepting, job_id) != 200:
            return job_id, 0
        time.sleep(MAX_CANCEL_DELAY_S * delay)
        return job_id, self._cancel(other, job_id)

    def _cross(self, job_id, hosts, delay):
        """Cancel at another host while the submission is under way."""
        accepting, other = hosts
        with concurrent.futures.ThreadPoolExecutor(1) as submission:
            submitted = submission.submit(self._submit, accepting, job_id)
            time.sleep(MAX_CROSSING_DELAY_S * delay)
            status = self._cancel(other, job_id)
            submitted.result()
        return job_id, status


def run_race(seed, jobs, crossing=False, max_answer_delay_s=0.0, kills=False):
    """Run a race with new processes; return a `RaceReport`."""
    with tempfile.TemporaryDirectory() as folder:
        race = CancelRace(folder)
        try:
            race.wait_until_served()
            race.store.max_answer_delay_s = max_answer_delay_s
            return race.play(seed, jobs, crossing, kills)
        finally:
            race.close()
