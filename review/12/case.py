"""LOST: three jobs of one caller keep all hosts from starting anybody's work.

Each of them repeats once a second for a day, and is handed in a day after its first
occurrence was due. Afterwards other callers hand in ordinary jobs for ten seconds.
"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "fleet3"))

from fleet import route, run_case  # noqa: E402
from settings import BOUNDS, LIMITS, PLATFORM  # noqa: E402

LARGE_JOBS = 3
REPEATS = 86_400
PERIOD_MS = 1_000
JOBS_PER_S = 2
TRAFFIC_S = 10
WORK_MS = 300
HOST_COUNT = 3
RUNNER_COUNT = 6
GPUS = 8 * RUNNER_COUNT
LOST_S = 3.0
STEP = {"count": 1, "cpu": 1000, "gpu": 1, "est_ms": WORK_MS}


async def play(scene):
    """Play the case; return what broke the rule."""
    await scene.begin(
        HOST_COUNT,
        RUNNER_COUNT,
        BOUNDS,
        PLATFORM,
        [route("plans", priority=0), route("sweeps", priority=2)],
        LIMITS,
    )
    if scene.trouble:
        for number in range(LARGE_JOBS):
            status = await scene.submit(
                f"{0xB000 + number:016x}",
                [STEP],
                [WORK_MS],
                prefix="/sweeps/",
                repeats=REPEATS,
                period_ms=PERIOD_MS,
                first_ms=int(time.time() * 1_000) - REPEATS * PERIOD_MS,
            )
            scene.say(f"large job {number}: {status}")
    accepted = []
    for number in range(JOBS_PER_S * TRAFFIC_S):
        job_id = f"{0xC000 + number:016x}"
        if await scene.submit(job_id, [STEP], [WORK_MS]) == 200:
            accepted.append(job_id)
        await asyncio.sleep(1 / JOBS_PER_S)
    scene.say(f"{len(accepted)} ordinary jobs accepted, end of traffic")
    await asyncio.sleep(BOUNDS["finish_s"])
    return await find_broken(scene, accepted)


async def find_broken(scene, accepted):
    """Return the ordinary jobs that have nothing running for 3 s beside idle room."""
    idle = set()
    for job_id in accepted:
        status, state = await scene.state(scene.hosts[0], job_id)
        scene.record("GET", job_id, "->", status, state)
        if state in ("pending", "running"):
            idle.add(job_id)
    most_used = 0
    end = time.monotonic() + LOST_S
    while time.monotonic() < end and idle:
        idle = {job_id for job_id in idle if not scene.fleet.running(job_id)}
        used = sum(len(runner.runs) for runner in scene.fleet.runners.values())
        most_used = max(most_used, used)
        await asyncio.sleep(0.02)
    acted = [len(host.log_lines("acting")) for host in scene.hosts]
    scene.say(f"at most {most_used} of {GPUS} accelerators in use meanwhile")
    scene.say(f"terms as acting host, by host: {acted}")
    if most_used * 2 >= GPUS:
        return []
    return [
        f"LOST: {job_id} was accepted, and has nothing running for {LOST_S:.0f} s,"
        f" {BOUNDS['finish_s']} s after the end of the traffic"
        for job_id in sorted(idle)
    ]


run_case(FOLDER, play)
