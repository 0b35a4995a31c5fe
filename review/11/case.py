"""TWICE: quick jobs that are done run again after a restart of the hosts in turn.

Callers hand in quick jobs all the time. Once the log has begun to drop its oldest
records, the hosts are stopped and started in turn, as in an upgrade.
"""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "fleet3"))

from fleet import now_ms, route, run_case  # noqa: E402
from settings import BOUNDS, LIMITS, PLATFORM  # noqa: E402

# DEPLOY.md's example has keep_s 300 and status_s 120. Both are a tenth of that here,
# so that the case fits its time.
KEEP_S = 30
STATUS_S = 12
JOBS_PER_S = 15
WORK_MS = 80
HOST_COUNT = 3
RUNNER_COUNT = 6
GAP_S = 2.0  # between one host's return and the next one's SIGTERM
OBSERVE_S = 6.0
SETTLE_S = 4.0


async def play(scene):
    """Play the case; return what broke the rule."""
    await scene.begin(
        HOST_COUNT,
        RUNNER_COUNT,
        {**BOUNDS, "status_s": STATUS_S},
        {**PLATFORM, "keep_s": KEEP_S},
        [route("plans")],
        LIMITS,
    )
    traffic = asyncio.create_task(hand_in(scene))
    await asyncio.sleep(KEEP_S + 6)
    for host in scene.hosts:
        if scene.trouble:
            await restart(scene, host)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(OBSERVE_S)
    traffic.cancel()
    await asyncio.sleep(SETTLE_S)
    broken = find_broken(scene)
    scene.say(f"{len(scene.fleet.tasks)} tasks, {len(broken)} of them run again")
    return broken


async def hand_in(scene):
    """Hand in quick jobs of one task."""
    number = 0
    while True:
        number += 1
        steps = [{"count": 1, "cpu": 500, "gpu": 1, "est_ms": WORK_MS}]
        asyncio.create_task(scene.submit(f"{number:016x}", steps, [WORK_MS]))
        await asyncio.sleep(1 / JOBS_PER_S)


async def restart(scene, host):
    """Stop a host with SIGTERM and start it again; wait until it is ready."""
    scene.say(f"SIGTERM to {host.name}")
    host.signal(signal.SIGTERM)
    ended_by_ms = now_ms() + BOUNDS["grace_s"] * 1_000
    while host.process.poll() is None:
        if now_ms() > ended_by_ms:
            host.kill()
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    host.start()
    await scene.until_ready(host, 10)
    scene.say(f"{host.name} is ready again")


def find_broken(scene):
    """Return the starts after an end `done` that is taken note of."""
    broken = []
    for task, history in sorted(scene.fleet.tasks.items()):
        done = [end for end in history.ends if end[3] == "done"]
        if not done or not history.done_acked_ms:
            continue
        for at_ms, runner, number in history.starts:
            if at_ms > done[0][0]:
                broken.append(
                    f"TWICE: {task} starts as run {number} at {runner},"
                    f" {(at_ms - done[0][0]) / 1_000:.1f} s after it has ended done"
                )
    return broken


run_case(FOLDER, play)
