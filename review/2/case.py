"""Case 2: see claim.txt."""

# ruff: noqa: D102 - the stand-ins describe what an observer has

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

from standins.case import Case, CaseError, run_case  # noqa: E402

ZONES = (
    "tn-north-carthage",
    "tn-north-enfidha",
    "tn-north-monastir",
    "tn-north-bizerte",
)
RUNNERS = 8
TASK = {"cpu": 250, "mem_mb": 256, "est_ms": 10_000}
TASKS_A_JOB = 64
FIRST_JOBS = 32  # as many as run at once: 8 x 64 cores / (64 x 0.25)
LATER_JOBS = 32
LEAD_S = 2.0
BETWEEN_JOBS_S = 0.03
OUTAGE_S = 6.0
BEFORE_OUTAGE_S = 5.5
CALM_S = 7.0  # RULES.md: "if the 3 s and the 4 s before them are calm"
PLAY_S = 45.0


class Backlog(Case):
    """LOST: accepted jobs stand still for good after the store was down."""

    def __init__(self, *args):
        super().__init__(*args)
        self.starts = {}
        self.ends = {}

    def need(self, task):
        return TASK

    def work_ms(self, task):
        return 10_000 + 20 * (int(task.rpartition(".")[2]) % 40)

    def started(self, runner, run):
        job_id = run.task.partition(".")[0]
        self.starts[job_id] = self.starts.get(job_id, 0) + 1
        self.record(f"{runner.name} starts {run.task} run {run.run}")

    def ended(self, runner, run, how, number):
        job_id = run.task.partition(".")[0]
        if how == "done":
            self.ends.setdefault(job_id, set()).add(run.task)
        self.record(f"{runner.name} ends {run.task} run {run.run} {how} as {number}")

    def used_share(self):
        used = sum(runner.used()["cpu"] for runner in self.fleet.runners)
        return used / sum(runner.capacity["cpu"] for runner in self.fleet.runners)

    def is_roomy(self):
        """Return whether under half is in use and a job would fit twice."""
        fitting = sum(
            (runner.capacity["cpu"] - runner.used()["cpu"]) // TASK["cpu"]
            for runner in self.fleet.runners
        )
        return self.used_share() < 0.5 and fitting >= 2 * TASKS_A_JOB

    def idle_jobs(self, jobs):
        """Return the jobs with tasks left of which nothing runs."""
        running = {
            task.partition(".")[0]
            for runner in self.fleet.runners
            for task in runner.running
        }
        return [
            job_id
            for job_id in jobs
            if job_id not in running and len(self.ends.get(job_id, ())) < TASKS_A_JOB
        ]

    async def play(self):
        hosts = [await self.add_host(f"edge-{zone}-1", zone) for zone in ZONES[:3]]
        for number in range(RUNNERS):
            await self.fleet.add(
                f"i-7f3a91c{number}",
                ZONES[number % len(ZONES)],
                capacity={"cpu": 64_000, "mem_mb": 131_072, "gpu": 8},
                labels=["a", f"r{number % len(ZONES)}-1"],
            )
        await asyncio.sleep(LEAD_S)
        body = {"spec": "(text)", "steps": [{"count": TASKS_A_JOB, **TASK}]}
        jobs = []
        for number in range(FIRST_JOBS + LATER_JOBS):
            job_id = self.new_job_id()
            status, _ = await self.call(hosts[number % 3], "POST", job_id, body)
            if status == 200:
                jobs.append(job_id)
            await asyncio.sleep(BETWEEN_JOBS_S)
        if len(jobs) < FIRST_JOBS + LATER_JOBS:
            raise CaseError("jobs were not accepted")
        await self.wait(
            lambda: sum(self.starts.values()) >= FIRST_JOBS * TASKS_A_JOB,
            20,
            "the first tasks do not start",
        )
        await asyncio.sleep(BEFORE_OUTAGE_S)
        if self.trouble:
            self.record("the store is down")
            self.store.set_down(True)
            await asyncio.sleep(OUTAGE_S)
            self.store.set_down(False)
            self.record("the store is back")
        calm_from_s = time.monotonic() + CALM_S - 3.0
        until_s = time.monotonic() + PLAY_S
        idle_since = {}
        while time.monotonic() < until_s:
            now_s = time.monotonic()
            idle = self.idle_jobs(jobs)
            # Room for twice a whole job, and under half of the service in use.
            if now_s < calm_from_s or not self.is_roomy():
                idle = []
            idle_since = {job_id: idle_since.get(job_id, now_s) for job_id in idle}
            if any(now_s - since_s > 3.0 for since_s in idle_since.values()):
                break
            if len(self.ends) == len(jobs) and not self.idle_jobs(jobs):
                if all(len(done) == TASKS_A_JOB for done in self.ends.values()):
                    break
            await asyncio.sleep(0.05)
        stuck = [
            job_id
            for job_id, since_s in idle_since.items()
            if time.monotonic() - since_s > 3.0
        ]
        for job_id in stuck:
            self.violate(
                f"LOST: nothing of accepted job {job_id} has run for 3 s, with"
                f" {self.used_share():.0%} of the service in use"
            )
        if stuck:
            # Not part of the check: is it only slow, and what becomes of a new job?
            small_id = self.new_job_id()
            small = {"spec": "(text)", "steps": [{"count": 1, **TASK}]}
            await self.call(hosts[1], "POST", small_id, small)
            await asyncio.sleep(20)
            self.record(
                f"20 s later {len(self.idle_jobs(jobs))} jobs stand still; a new job of"
                f" one task had {self.starts.get(small_id, 0)} starts"
            )
        states = [await self.call(hosts[0], "GET", job_id) for job_id in jobs]
        completed = sum(answer.get("state") == "completed" for _, answer in states)
        self.record(
            f"{len(jobs)} jobs accepted, {completed} completed, {len(stuck)} stood"
            f" still; {self.store.too_large} appends refused as too large"
        )


if __name__ == "__main__":
    run_case(Backlog, __file__)
