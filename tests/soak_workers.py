"""Workers for the soak, which check every order against the promises of the product.

They follow the platform's protocol: leases, fences, run numbers, gangs, drains and
incarnations. `SoakWorkers` sees all workers at once, as no scheduler does.
"""

import json
import random
import threading
import time
from typing import NamedTuple

from tests.fleet_standin import MAX_LISTED_ENDS, json_response, start_server

MS_PER_SECOND = 1_000
GANG_WAIT_MS = 3_000
MAX_LEASE_MS = 6_000
DRAIN_MS = 2_000
CANCEL_MS = 3_000
EVACUATION_MS = 5_000
# For orders on their way, the harness's threads and a busy machine.
MARGIN_MS = 1_500
STEP_PERIOD_S = 0.02
UNANSWERED_S = 0.8  # longer than hosts wait for the answer to an order
LATE_ORDER_MS = (1_000, 8_000)


class RunState(NamedTuple):
    """A run of a task at a worker; members of a gang work once all are present."""

    worker: str
    run: int
    started_ms: int
    work_ms: int
    worked_ms: int = 0


class TaskName(NamedTuple):
    """A task's name on the wire, ID.K.STEP.INDEX, in parts."""

    job_id: str
    occurrence: str
    step: int
    index: int


def parse_task(name):
    """Return the `TaskName` of a name on the wire."""
    job_id, occurrence, step, index = name.split(".")
    return TaskName(job_id, occurrence, int(step), int(index))


class SoakWorkers:
    """All workers and what runs on them; collects broken promises in `broken`.

    `jobs` maps the ids of submitted jobs to their steps; `started_jobs` has every job
    that a worker ran, `ended_done` the tasks that have ended `done`, and `done` those
    whose end was acknowledged. `late_share` of the orders get no answer and are carried
    out some seconds later. `evacuated_ms` has when each evacuated data centre was
    evacuated. `service_of_job` returns the service of a job by its id. All
    methods may be called from any thread.
    """

    def __init__(self, store, service_of_job):
        self._service_of_job = service_of_job
        self.broken = []
        self.jobs = {}
        self.done = set()
        self.started_jobs = set()
        self.cancelled_ms = {}
        self.ended_done = set()
        self.late_share = 0.0
        self.evacuated_ms = {}
        self._late_orders = []
        self._random = random.Random(0)
        self._store = store
        self._lock = threading.RLock()
        self._workers = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start the clock of the runs."""
        self._thread.start()

    def close(self):
        """Stop the clock and all workers."""
        self._stopped.set()
        self._thread.join()
        for worker in self._workers.values():
            worker.server.close()

    def add(self, name, port, listed_port, service):
        """Add a worker that listens on `port` and is listed under `listed_port`."""
        worker = _Worker(name, listed_port, service)
        with self._lock:
            self._workers[name] = worker
        worker.server = start_server(lambda call: self._handle(worker, call), port)
        self._list(worker)
        return worker

    def restart(self, name):
        """Crash a worker and start it again under its id; its runs are gone."""
        with self._lock:
            worker = self._workers[name]
            worker.reset()
        self._list(worker)

    def drain(self, name):
        """Announce that a worker leaves; it runs on until `remove`."""
        with self._lock:
            worker = self._workers[name]
            worker.draining_ms = now_ms()
        self._list(worker)

    def remove(self, name):
        """Take a worker away; everything that runs there ends."""
        with self._lock:
            worker = self._workers.pop(name)
            worker.reset()
            worker.removed = True
        worker.server.close()
        self._store.put("keyed.servers", name, b"")

    def service_of(self, name):
        """Return the service of a worker."""
        with self._lock:
            return self._workers[name].service

    def running_count(self):
        """Return how many runs there are."""
        with self._lock:
            return sum(len(worker.runs) for worker in self._workers.values())

    def _list(self, worker):
        entry = {
            "service": worker.service,
            "addr": f"127.0.0.1:{worker.listed_port}",
            "zone": worker.name.split("-")[1],
            "state": "draining" if worker.draining_ms else "ready",
            "capacity": {"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
            "labels": ["a", "r1-1"],
            "born": worker.incarnation,
        }
        self._store.put("keyed.servers", worker.name, entry)

    def _handle(self, worker, call):
        body = json.loads(call.body)
        handle = {
            "/v1/run-start": self._start,
            "/v1/run-stop": self._stop,
            "/v1/hold": self._hold,
        }[call.path]
        wait_until_ms = now_ms() + body.get("wait_ms", 0)
        if call.path != "/v1/hold" and self._random.random() < self.late_share:
            return self._postpone(worker, handle, body)
        with self._lock:
            incarnation = worker.incarnation
            status, answer = self._check_fence(worker, body) or handle(worker, body)
        while call.path == "/v1/hold" and status == 200 and not answer["ended"]:
            if now_ms() >= wait_until_ms:
                break
            time.sleep(STEP_PERIOD_S)
            with self._lock:
                if worker.incarnation != incarnation:
                    return json_response(503, {})
                status, answer = self._hold(worker, body)
        answer |= {"clock_ms": now_ms(), "born": worker.incarnation}
        return json_response(status, answer)

    def _postpone(self, worker, handle, body):
        """Leave an order unanswered for as long as a sender waits."""
        due_ms = now_ms() + self._random.randint(*LATE_ORDER_MS)
        with self._lock:
            late_order = (due_ms, worker, worker.incarnation, handle, body)
            self._late_orders.append(late_order)
        time.sleep(UNANSWERED_S)
        return json_response(500, {})

    def _carry_out_late_orders(self):
        due = [item for item in self._late_orders if item[0] <= now_ms()]
        self._late_orders = [item for item in self._late_orders if item[0] > now_ms()]
        for _, worker, incarnation, handle, body in due:
            if worker.incarnation == incarnation and not worker.removed:
                body = {**body, "late": True}
                if self._check_fence(worker, body) is None:
                    handle(worker, body)

    def _check_fence(self, worker, body):
        if worker.removed:
            return 503, {}
        if body["fence"] < worker.fence:
            return 409, {"reason": "fence"}
        worker.fence = body["fence"]
        if body.get("deadline_ms"):
            deadline_ms = min(body["deadline_ms"], now_ms() + MAX_LEASE_MS)
            worker.lease_end_ms = max(worker.lease_end_ms, deadline_ms)
        return None

    def _start(self, worker, body):
        name, run = body["task"], body["run"]
        if name in worker.runs and worker.runs[name].run == run:
            return 200, {}
        if run <= worker.barred_runs.get(name, 0):
            return 409, {"reason": "old"}
        if body["deadline_ms"] < now_ms():
            return 409, {"reason": "late"}
        self._check_start(worker, name, run, body["spec"], body.get("late", False))
        step = self._step_of(name)
        worker.runs[name] = RunState(worker.name, run, now_ms(), step["work_ms"])
        self.started_jobs.add(parse_task(name).job_id)
        return 200, {}

    def _check_start(self, worker, name, run, specification, late):
        """Check a start; the bounds in time don't hold for one carried out late."""
        job_id = parse_task(name).job_id
        if job_id not in self.jobs or specification != job_id:
            self._report(f"UNASKED: {name} was never submitted")
        if name in self.done:
            self._report(f"TWICE: {name} starts after its end was acknowledged")
        for other in self._workers.values():
            if name in other.runs:
                earlier = other.runs[name].run
                self._report(
                    f"TWICE: {name} run {run} at {worker.name}"
                    f" while run {earlier} is at {other.name}"
                )
        self._check_route(worker, name)
        used = sum(self._step_of(task)["gpu"] for task in worker.runs)
        if used + self._step_of(name)["gpu"] > 8:
            self._report(f"LIMIT: {worker.name} gets {name} beyond its accelerators")
        if worker.draining_ms and not late:
            drained_for_ms = now_ms() - worker.draining_ms
            if drained_for_ms > DRAIN_MS + MARGIN_MS:
                self._report(f"DRAIN: {name} starts {drained_for_ms} ms into a drain")
        evacuated_ms = self.evacuated_ms.get(worker.name.split("-")[1])
        if evacuated_ms and now_ms() - evacuated_ms > EVACUATION_MS:
            after_ms = now_ms() - evacuated_ms
            self._report(f"EVACUATED: {name} starts {after_ms} ms after evacuation")
        cancelled_ms = None if late else self.cancelled_ms.get(job_id)
        if cancelled_ms and now_ms() - cancelled_ms > CANCEL_MS + MARGIN_MS:
            self._report(f"UNASKED: {name} starts after its job was cancelled")
        for earlier in self._step_of(name).get("depends_on", ()):
            for index in range(self.jobs[job_id][earlier]["count"]):
                if f"{job_id}.0.{earlier}.{index}" not in self.ended_done:
                    self._report(f"ORDER: {name} starts before step {earlier} is done")

    def _check_route(self, worker, name):
        """Check the service of a worker, and how many tasks of a step it runs."""
        task, limit = parse_task(name), self._step_of(name).get("max_per_server")
        if self._service_of_job(task.job_id) != worker.service:
            self._report(f"ROUTE: {name} starts on {worker.name} of another service")
        resident = sum(parse_task(other)[:3] == task[:3] for other in worker.runs)
        if limit and resident >= limit:
            self._report(f"ROUTE: {worker.name} gets {name} beyond its limit")

    def _stop(self, worker, body):
        name, run = body["task"], body["run"]
        worker.barred_runs[name] = max(run, worker.barred_runs.get(name, 0))
        if name in worker.runs and worker.runs[name].run == run:
            self._end(worker, name, "stopped")
        return 200, {}

    def _hold(self, worker, body):
        for row in worker.ended:
            if row[0] <= body["acked_upto"] and row[3] == "done":
                self.done.add(row[1])
        worker.ended = [row for row in worker.ended if row[0] > body["acked_upto"]]
        running = [
            [name, state.run, "", min(100, 100 * state.worked_ms // state.work_ms)]
            for name, state in worker.runs.items()
        ]
        return 200, {"running": running, "ended": worker.ended[:MAX_LISTED_ENDS]}

    def _run(self):
        last_ms = now_ms()
        while not self._stopped.wait(STEP_PERIOD_S):
            passed_ms, last_ms = now_ms() - last_ms, now_ms()
            with self._lock:
                self._carry_out_late_orders()
                self._advance(passed_ms)

    def _advance(self, passed_ms):
        present = {}
        for worker in self._workers.values():
            if worker.runs and now_ms() > worker.lease_end_ms:
                for name in list(worker.runs):
                    self._end(worker, name, "lapsed")
            for name, state in worker.runs.items():
                task = parse_task(name)
                present.setdefault((*task[:3], state.run), set()).add(task.index)
        for worker in list(self._workers.values()):
            for name in list(worker.runs):
                if name in worker.runs:
                    self._advance_run(worker, name, present, passed_ms)

    def _advance_run(self, worker, name, present, passed_ms):
        state, task, step = worker.runs[name], parse_task(name), self._step_of(name)
        members = present[(*task[:3], state.run)]
        if step.get("gang") and len(members) < step["count"]:
            if state.worked_ms == 0 and now_ms() - state.started_ms > GANG_WAIT_MS:
                self._end(worker, name, "alone")
            return
        state = state._replace(worked_ms=state.worked_ms + passed_ms)
        worker.runs[name] = state
        if state.worked_ms < state.work_ms:
            return
        if step.get("gang"):
            self._end_gang(task, state.run)
        else:
            self._end(worker, name, "done")

    def _end_gang(self, task, run):
        """End all members of a gang together; the first one's end stands for all."""
        for worker in self._workers.values():
            for name in list(worker.runs):
                same_gang = parse_task(name)[:3] == task[:3]
                if same_gang and worker.runs[name].run == run:
                    self._end(worker, name, "done")

    def _end(self, worker, name, how):
        state = worker.runs.pop(name)
        worker.barred_runs[name] = max(state.run, worker.barred_runs.get(name, 0))
        worker.last_end += 1
        worker.ended.append([worker.last_end, name, state.run, how, ""])
        task = parse_task(name)
        if how == "done":
            self.ended_done.add(name)
            return
        if not self._step_of(name).get("gang"):
            return
        for other in self._workers.values():
            for mate in list(other.runs):
                same_gang = parse_task(mate)[:3] == task[:3]
                if (
                    mate in other.runs
                    and same_gang
                    and (other.runs[mate].run == state.run)
                ):
                    self._end(other, mate, "broken")

    def _step_of(self, name):
        task = parse_task(name)
        steps = self.jobs.get(task.job_id)
        if steps is None:
            return {"count": 1, "gpu": 1, "work_ms": 100}
        return steps[task.step]

    def _report(self, text):
        self.broken.append(text)


class _Worker:
    """One worker's state; `reset` begins a new incarnation."""

    def __init__(self, name, listed_port, service):
        self.name = name
        self.listed_port = listed_port
        self.service = service
        self.server = None
        self.incarnation = 0
        self.draining_ms = 0
        self.removed = False
        self.reset()

    def reset(self):
        self.incarnation += 1
        self.fence = 0
        self.lease_end_ms = 0
        self.last_end = 0
        self.runs = {}
        self.ended = []
        self.barred_runs = {}


def now_ms():
    """Return the time on the harness's monotonic clock."""
    return int(time.monotonic() * MS_PER_SECOND)
