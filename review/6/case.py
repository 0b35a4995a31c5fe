"""A launch that the log took late, and a hand-over: tasks run twice."""

import os
import signal
import sys
import time

from review.peers.deployment import find_overlaps, require, run_case, wait_until
from review.peers.runner import Work
from review.peers.store import Lost, Refused

SWEEP, CHECK = "5c0e7a21d94b36f8", "141e8bb87a21d94b"
RUNNERS = 12
SWEEP_TASKS, CHECK_TASKS = 6, 2
WHOLE_RUNNER = {"cpu": 60_000, "mem_mb": 1_024, "gpu": 8}
# Seconds from the start of the store's trouble.
DUE_S = 0.2
CHECK_DUE_S = 1.2
UNANSWERED_UNTIL_S = 1.0  # appends get no answer and are executed at LATE_S
REFUSED_UNTIL_S = 2.4  # appends get 429
UNANSWERED_AGAIN_UNTIL_S = 3.2  # appends get no answer and are never executed
LATE_S = 3.0
HAND_OVER_S = 6.5


def main(deployment):
    """Submit scheduled jobs, disturb the store when they are due, restart a host."""
    record, store = deployment.record, deployment.store
    for number in range(RUNNERS):
        deployment.add_runner(f"i-{number:02}", lambda *key: Work(40.0), stop_s=0.18)
    for number in (1, 2):
        deployment.add_host(f"edge-{number}")
    acting = deployment.acting_host()
    other = next(host for host in deployment.hosts if host is not acting)
    time.sleep(2.0)
    begins_s, due_ms = time.monotonic() + 1.5, int(time.time() * 1_000) + 1_500
    for queue, job_id, count, due_s in (
        ("sweeps", SWEEP, SWEEP_TASKS, DUE_S),
        ("urgent", CHECK, CHECK_TASKS, CHECK_DUE_S),
    ):
        body = {
            "spec": "text",
            "steps": [{"count": count, "est_ms": 40_000, **WHOLE_RUNNER}],
            "first_ms": due_ms + int(1_000 * due_s),
            "period_ms": 60_000,
            "repeats": 1,
        }
        status, _ = other.call("POST", f"/{queue}/{job_id}", body)
        require(status == 200, "a job was not accepted")
    if deployment.trouble:
        store.append_fault = lambda topic, records: _fault(time.monotonic() - begins_s)
    time.sleep(max(0.0, begins_s + HAND_OVER_S - time.monotonic()))
    store.append_fault = None
    running = [i for i in deployment.intervals() if not i.how]
    require(len(running) == SWEEP_TASKS + CHECK_TASKS, "the tasks did not start")
    deployment.acting_host().send(signal.SIGTERM)
    wait_until(lambda: other.acts(), 5)
    time.sleep(5.0)
    broken = []
    for first, second in find_overlaps(deployment.intervals(), time.monotonic()):
        lasted_ms = (first.ended_s or time.monotonic()) - second.started_s
        broken.append(
            f"TWICE: {first.task}: run {first.run} on {first.runner} still at work when"
            f" run {second.run} began on {second.runner} at"
            f" {record.at(second.started_s):.3f} s, for {1_000 * lasted_ms:.0f} ms"
        )
    return broken


def _fault(passed_s):
    """Return what happens to an append at this time of the trouble."""
    if 0 <= passed_s < UNANSWERED_UNTIL_S:
        return Lost(LATE_S - passed_s)
    if UNANSWERED_UNTIL_S <= passed_s < REFUSED_UNTIL_S:
        return Refused(429)
    if REFUSED_UNTIL_S <= passed_s < UNANSWERED_AGAIN_UNTIL_S:
        return Lost(None)
    return None


if __name__ == "__main__":
    sys.exit(run_case(main, os.path.dirname(os.path.abspath(__file__))))
