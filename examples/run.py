"""`make run`: both example deployments on one machine, every answer checked."""

import sys
import tempfile
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from examples.cluster import Cluster, command  # noqa: E402
from examples.inputs import examples  # noqa: E402
from knapweedshed.clock import create_clock  # noqa: E402
from knapweedshed.digests import digest_of  # noqa: E402
from knapweedshed.links.entry_client import EntryClient, JobSubmission  # noqa: E402
from knapweedshed.results import ResultCode  # noqa: E402

PORT = 23_000
LIMIT_MS = 90_000
CALLERS = 32


def publish(cluster, folder):
    """Publish both deployments' configuration from the command line."""
    for name in ("chariot", "oyelaran"):
        source = Path(__file__).parent / f"{name}.py"
        entry = Path(folder) / f"{name}.json"
        status, printed, _ = command(
            cluster.entry_addresses, "config", "print", str(source)
        )
        entry.write_bytes(printed)
        for verb in ("check", "publish"):
            status, printed, errors = command(
                cluster.entry_addresses, "config", verb, str(entry)
            )
            print(f"config {verb} {name}: {(printed + errors).decode().strip()}")
            if status:
                return status
    return 0


def submit(cluster, index, example):
    """Run one example through one of the entries; return (example, answered)."""
    addresses = cluster.entry_addresses
    turn = index % len(addresses)
    client = EntryClient(create_clock(), addresses[turn:] + addresses[:turn])
    key = f"{int(time.time())}-{uuid.uuid4().hex}"
    work = JobSubmission(example.organisation, example.service, key, example.body)
    try:
        return example, client.run(work, LIMIT_MS)
    finally:
        client.close()


def main():
    """Run everything; return 0 if every answer is there and right."""
    wrong = 0
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(PORT, folder)
        cluster.start()
        try:
            if publish(cluster, folder):
                return 1
            with ThreadPoolExecutor(CALLERS) as pool:
                jobs = [
                    pool.submit(submit, cluster, index, example)
                    for index, example in enumerate(examples())
                ]
                row = "{:<19} {:<17} {:<9} {:>7} {:>7} {:<11} {:<6} {}"
                print(
                    row.format(
                        "organisation",
                        "service",
                        "code",
                        "wait ms",
                        "run ms",
                        "ran on",
                        "answer",
                        "digest",
                    )
                )
                for job in jobs:
                    example, answered = job.result()
                    right = (
                        answered.code == ResultCode.OK
                        and answered.body == example.expected
                    )
                    wrong += not right
                    print(
                        row.format(
                            example.organisation,
                            example.service,
                            f"{int(answered.code)} {answered.code.name}"[:9],
                            answered.wait_ms,
                            answered.run_ms,
                            answered.holder.split(",")[0],
                            "right" if right else "WRONG",
                            digest_of(answered.body)[:12],
                        ),
                        answered.reason,
                    )
        finally:
            cluster.close()
    print(f"{len(jobs)} pieces of work, {wrong} wrong or missing")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
