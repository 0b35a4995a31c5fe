"""Case 1: see claim.txt."""

# ruff: noqa: D102 - the stand-ins describe what an observer has

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from standins.case import Case, CaseError, run_case  # noqa: E402

RUNNERS = 2
TASKS_A_JOB = 60
JOBS = 21
LEAD_S = 2.0
OUTAGE_S = 6.0
BEFORE_OUTAGE_S = 6.5


class ManyEnds(Case):
    """TWICE: more than 500 ends wait at a runner while the store is down."""

    def __init__(self, *args):
        super().__init__(*args)
        self.runs = {}
        self.done = {}
        self.starts = 0

    def need(self, task):
        return {"cpu": 100, "mem_mb": 64}

    def work_ms(self, task):
        # The tasks of a job end one after the other, 8 to 11.5 s after their start.
        return 8_000 + 60 * int(task.rpartition(".")[2])

    def started(self, runner, run):
        self.starts += 1
        self.record(f"{runner.name} starts {run.task} run {run.run}")
        if run.task in self.done:
            earlier, _ = self.done[run.task]
            self.violate(
                f"TWICE: {run.task} run {run.run} starts at {runner.name}"
                f" after run {earlier} has ended done"
            )
        self.runs.setdefault(run.task, []).append(run.run)

    def ended(self, runner, run, how, number):
        self.record(f"{runner.name} ends {run.task} run {run.run} {how} as {number}")
        if how == "done" and run.task not in self.done:
            self.done[run.task] = (run.run, False)

    def noted(self, runner, task, run, how):
        if how == "done" and task in self.done and self.done[task][0] == run:
            self.done[task] = (run, True)

    async def play(self):
        host = await self.add_host("edge-tn-north-carthage-1")
        for number in range(RUNNERS):
            await self.fleet.add(
                f"i-7f3a91c{number}",
                "tn-north-carthage",
                capacity={"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
                labels=["a", f"r1-{number}"],
            )
        await asyncio.sleep(LEAD_S)
        jobs = [self.new_job_id() for _ in range(JOBS)]
        body = {
            "spec": "(text)",
            "steps": [
                {"count": TASKS_A_JOB, "cpu": 100, "mem_mb": 64, "est_ms": 10_000}
            ],
        }
        for job_id in jobs:
            status, _ = await self.call(host, "POST", job_id, body)
            if status != 200:
                raise CaseError(f"job not accepted: {status}")
        total = JOBS * TASKS_A_JOB
        await self.wait(lambda: self.starts >= total, 20, "the tasks do not start")
        await asyncio.sleep(BEFORE_OUTAGE_S)
        if self.trouble:
            began_s = time.monotonic()
            self.record("the store is down")
            self.store.set_down(True)
            await asyncio.sleep(OUTAGE_S - (time.monotonic() - began_s))
            self.store.set_down(False)
            self.record("the store is back")
        await self.becomes(
            lambda: all(n for _, n in self.done.values()) and len(self.done) == total,
            30,
        )
        noted = sum(n for _, n in self.done.values())
        # The rule counts a start after an end that is taken note of then or later.
        self.broken = [text for text in self.broken if self.done[text.split()[1]][1]]
        again = sum(len(runs) > 1 for runs in self.runs.values())
        self.record(
            f"{total} tasks, {len(self.done)} ended done, {noted} of these ends taken"
            f" note of; {again} tasks started again;"
            f" {len(self.broken)} starts broke TWICE"
        )


if __name__ == "__main__":
    run_case(ManyEnds, __file__)
