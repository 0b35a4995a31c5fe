"""A job whose last tasks wait for runners keeps jobs of the same shape waiting."""

import os
import sys
import time

from review.peers.deployment import require, run_case, wait_until
from review.peers.runner import Work

RUNNERS, TASKS = 4, 6
FINISH_S, NOTHING_RUNS_S = 14.0, 3.0
FIRST, SECOND = "5c0e7a21d94b36f8", "141e8bb87a21d94b"
STEP = {
    "count": TASKS,
    "cpu": 5_600,
    "mem_mb": 11_000,
    "gpu": 1,
    "est_ms": 8_100,
    "max_per_server": 1,
}


def main(deployment):
    """Submit a job that is wider than the service; then one of the same shape."""
    record = deployment.record
    deployment.guarantee("sahel", TASKS)
    for number in range(RUNNERS):
        deployment.add_runner(
            f"i-{number}",
            lambda task, run: Work(60.0 if task.startswith(FIRST) else 2.0),
        )
    host = deployment.add_host("edge-1")
    deployment.acting_host()
    time.sleep(1.5)
    body = {"spec": "text", "steps": [STEP]}
    if deployment.trouble:
        status, _ = host.call("POST", f"/urgent/{FIRST}", body)
        require(status == 200, "the first job was not accepted")
        running = wait_until(lambda: len(_runs(deployment, FIRST)) == RUNNERS, 5)
        require(running, "the first job did not start on every runner")
    status, _ = host.call("POST", f"/urgent/{SECOND}", body)
    require(status == 200, "the second job was not accepted")
    accepted_s = time.monotonic()
    wait_until(lambda: _runs(deployment, SECOND), FINISH_S + NOTHING_RUNS_S)
    waited_s = time.monotonic() - accepted_s
    host.call("GET", f"/urgent/{SECOND}")
    if _runs(deployment, SECOND):
        record(f"{SECOND} began {waited_s:.3f} s after its acceptance")
        return []
    used = sum(not item.how for item in deployment.intervals())
    return [
        f"LOST: {SECOND} has had nothing running for {waited_s:.1f} s; {used} of"
        f" {8 * RUNNERS} GPUs are in use, and each runner has room for one of its tasks"
        " many times over"
    ]


def _runs(deployment, job_id):
    return [i for i in deployment.intervals() if i.task.startswith(job_id)]


if __name__ == "__main__":
    sys.exit(run_case(main, os.path.dirname(os.path.abspath(__file__))))
