"""Case 4: see claim.txt."""

# ruff: noqa: D102 - the stand-ins describe what an observer has

import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from standins.case import BOUNDS, Case, CaseError, run_case  # noqa: E402

RUNNERS = 2
JOBS = 8
TASK = {"cpu": 250, "mem_mb": 256, "est_ms": 9_000}
TASKS_A_JOB = 64
UNANSWERED_SHARE = 0.055  # the site's dose of applied_late
UNANSWERED_FOR_S = 5.5  # likewise
LATE_S = (2.0, 12.0)
CANCEL_S = BOUNDS["cancel_ms"] / 1_000
PLAY_S = 12.0
SEED = int(os.environ.get("SEED", "1"))


class LateOrders(Case):
    """UNASKED: tasks are started long after their job's cancelling was acknowledged."""

    def __init__(self, *args):
        super().__init__(*args)
        self.acknowledged_s = {}
        self.starts = 0
        self.kept_back = 0
        self._random = random.Random(SEED)
        self._until_s = 0.0
        self._late_orders = set()

    def need(self, task):
        return TASK

    def work_ms(self, task):
        return 9_000

    def delay_order(self, runner, body):
        """Return after how many seconds a start is carried out; None: at once."""
        if time.monotonic() >= self._until_s:
            return None
        if self._random.random() >= UNANSWERED_SHARE:
            return None
        self.kept_back += 1
        self._late_orders.add((body["task"], body["run"]))
        self.record(f"{runner.name} leaves the start of {body['task']} unanswered")
        return self._random.uniform(*LATE_S)

    def started(self, runner, run):
        self.starts += 1
        self.record(f"{runner.name} starts {run.task} run {run.run}")
        since_s = self.acknowledged_s.get(run.task.partition(".")[0])
        if since_s is None or (run.task, run.run) in self._late_orders:
            return
        late_s = time.monotonic() - since_s
        if late_s > CANCEL_S:
            self.violate(
                f"UNASKED: {run.task} starts {late_s:.1f} s after its job's cancelling"
                " was acknowledged"
            )

    def ended(self, runner, run, how, number):
        self.record(f"{runner.name} ends {run.task} run {run.run} {how} as {number}")

    async def play(self):
        host = await self.add_host("edge-tn-north-carthage-1")
        for number in range(RUNNERS):
            await self.fleet.add(
                f"i-7f3a91c{number}",
                "tn-north-carthage",
                capacity={"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
                labels=["a", "r1-1"],
            )
        await asyncio.sleep(2)
        if self.trouble:
            self._until_s = time.monotonic() + UNANSWERED_FOR_S
            self.record("the runners begin to leave orders unanswered")
        body = {"spec": "(text)", "steps": [{"count": TASKS_A_JOB, **TASK}]}
        jobs = [self.new_job_id() for _ in range(JOBS)]
        for job_id in jobs:
            status, _ = await self.call(host, "POST", job_id, body)
            if status != 200:
                raise CaseError("a job was not accepted")
        await asyncio.sleep(0.2)
        for job_id in jobs:
            status, _ = await self.call(host, "DELETE", job_id)
            if status // 100 == 2 or status == 410:
                self.acknowledged_s[job_id] = time.monotonic()
        await asyncio.sleep(PLAY_S)
        self.record(
            f"{len(self.acknowledged_s)} of {JOBS} cancels acknowledged; {self.starts}"
            f" starts; {self.kept_back} orders left unanswered; {len(self.broken)}"
            f" starts broke UNASKED (seed {SEED})"
        )


if __name__ == "__main__":
    run_case(LateOrders, __file__)
