"""`make run`: runs all examples locally and checks every answer."""

import sys
import tempfile
import time
import uuid
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from examples.cluster import Cluster, run_client  # noqa: E402
from examples.inputs import generate_examples  # noqa: E402
from knapweedshed.clock import create_clock  # noqa: E402
from knapweedshed.digests import digest_of  # noqa: E402
from knapweedshed.links.entry_client import EntryClient, JobSubmission  # noqa: E402
from knapweedshed.results import ResultCode  # noqa: E402

FIRST_PORT = 23_000
JOB_TIMEOUT_MS = 90_000
CONCURRENT_CALLERS = 32


def publish(cluster, directory):
    """Publish the configuration of Chariot and Oyelaran with the command line client.

    Returns 0, or the exit status of the command that failed.
    """
    for name in ("chariot", "oyelaran"):
        source_path = Path(__file__).parent / f"{name}.py"
        entry_path = Path(directory) / f"{name}.json"
        status, printed, _ = run_client(
            cluster.entry_addresses, "config", "print", str(source_path)
        )
        entry_path.write_bytes(printed)
        for verb in ("check", "publish"):
            status, printed, errors = run_client(
                cluster.entry_addresses, "config", verb, str(entry_path)
            )
            print(f"config {verb} {name}: {(printed + errors).decode().strip()}")
            if status:
                return status
    return 0


def submit(cluster, index, example):
    """Run one example, starting at entry `index`; return (example, its `Answered`)."""
    addresses = cluster.entry_addresses
    first_entry = index % len(addresses)
    client = EntryClient(
        create_clock(), addresses[first_entry:] + addresses[:first_entry]
    )
    key = f"{int(time.time())}-{uuid.uuid4().hex}"
    submission = JobSubmission(example.organisation, example.service, key, example.body)
    try:
        return example, client.run(submission, JOB_TIMEOUT_MS)
    finally:
        client.close()


def main():
    """Run all examples; return 0 if every answer is correct, otherwise 1."""
    wrong_count = 0
    with tempfile.TemporaryDirectory() as directory:
        cluster = Cluster(FIRST_PORT, directory)
        cluster.start()
        try:
            if publish(cluster, directory):
                return 1
            with ThreadPoolExecutor(CONCURRENT_CALLERS) as pool:
                futures = [
                    pool.submit(submit, cluster, index, example)
                    for index, example in enumerate(generate_examples())
                ]
                row_format = "{:<19} {:<17} {:<9} {:>7} {:>7} {:<11} {:<6} {}"
                print(
                    row_format.format(
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
                for future in futures:
                    example, answered = future.result()
                    is_correct = (
                        answered.code == ResultCode.OK
                        and answered.body == example.expected
                    )
                    wrong_count += not is_correct
                    print(
                        row_format.format(
                            example.organisation,
                            example.service,
                            f"{int(answered.code)} {answered.code.name}"[:9],
                            answered.wait_ms,
                            answered.run_ms,
                            answered.holder.split(",")[0],
                            "right" if is_correct else "WRONG",
                            digest_of(answered.body)[:12],
                        ),
                        answered.reason,
                    )
        finally:
            cluster.close()
    print(f"{len(futures)} jobs, {wrong_count} with a wrong or missing answer")
    return 1 if wrong_count else 0


if __name__ == "__main__":
    sys.exit(main())
