"""Steps of the scenarios that check outcomes, effects and configuration."""

from collections import Counter, defaultdict

from knapweedshed.results import ResultCode, is_not_run
from tests.language import step
from tests.steps import LEASE_MS, PUBLISH_TIMEOUT_S, versions


@step(r"(?P<count>\d+) members? runs? within (?P<seconds>[\d.]+) s")
def members_are_running(world, count, seconds):
    reached = world.wait(float(seconds), lambda: len(world.running()) >= int(count))
    assert reached, f"only {len(world.running())} members are running"


@step(r"every answer is right within (?P<seconds>\d+) s")
def all_answers_correct(world, seconds):
    world.wait_outcomes(int(seconds))
    incorrect = [o for o in world.outcomes if not o.correct]
    codes = Counter(o.answered.code.name for o in incorrect)
    reasons = {o.answered.reason for o in incorrect}
    assert not incorrect, f"{len(incorrect)} incorrect answers: {codes} {reasons}"
    missing = len(world.started) - len(world.outcomes)
    assert not missing, f"{missing} of {len(world.started)} requests have no outcome"


@step(r"every caller has an outcome within (?P<seconds>\d+) s")
def every_request_has_an_outcome(world, seconds):
    assert world.wait_outcomes(int(seconds)), "some requests have no outcome"


@step(r"each outcome is one of (?P<names>[A-Z_, ]+)")
def outcomes_limited_to(world, names):
    allowed = {name.strip() for name in names.split(",")}
    seen = Counter(o.answered.code.name for o in world.outcomes)
    reasons = {o.answered.reason for o in world.outcomes}
    assert set(seen) <= allowed, f"{seen} {reasons}"


@step(r"(?P<who>\w+)'s (?P<service>\w+) started within (?P<seconds>[\d.]+) s")
def started_within(world, who, service, seconds):
    """Check by the effects that workers recorded, whatever the schedulers report."""
    start_count = len([r for r in world.effects()[0] if r["event"] == "started"])
    start_count_before = world.marks.get("starts", 0)
    if start_count > start_count_before:
        return
    reached = world.wait(
        float(seconds),
        lambda: (
            len([r for r in world.effects()[0] if r["event"] == "started"])
            > start_count_before
        ),
    )
    assert reached, f"{who}'s {service} did not start"


@step(r"no more than (?P<count>\d+) tasks were stopped")
def tasks_stopped_at_most(world, count):
    rows = world.effects()[0]
    stops = len([r for r in rows if r["event"] == "stopped"])
    assert stops - world.marks.get("stops", 0) <= int(count), (
        f"{stops} tasks stopped in total"
    )


@step(r"nothing non-idempotent ran twice")
def non_idempotent_ran_at_most_once(world):
    starts = Counter()
    for row in world.effects()[0]:
        if row["event"] == "started":
            starts[(row["job_id"], row["member"])] += 1
    repeated = {key: count for key, count in starts.items() if count > 1}
    assert not repeated, f"ran more than once: {repeated}"


@step(r"what is called not run did not run")
def not_run_outcomes_did_not_run(world):
    jobs_run = {row["job_id"] for row in world.effects()[0]}
    false_reports = [
        o.answered
        for o in world.outcomes
        if is_not_run(o.answered.code)
        and o.answered.code != ResultCode.KEY_CONFLICT
        and o.answered.job_id in jobs_run
    ]
    assert not false_reports, f"reported as not run, but ran: {false_reports}"


@step(r"no part of a gang ran alone for more than one lease")
def gangs_never_ran_partially(world):
    rows, now_ms = world.effects()
    by_attempt = defaultdict(list)
    for row in rows:
        if row["members"] > 1:
            by_attempt[(row["job_id"], row["attempt"])].append(row)
    for key, attempt_rows in by_attempt.items():
        partial_ms = _longest_partial_run_ms(attempt_rows, now_ms)
        assert partial_ms <= LEASE_MS, (
            f"{key}: ran without all members for {partial_ms} ms"
        )


def _longest_partial_run_ms(attempt_rows, now_ms):
    """Return the longest time in ms in which a member ran while another was missing.

    A member is missing if it has neither started nor finished, or was stopped.
    """
    members = attempt_rows[0]["members"]
    present = set()
    partial_since_ms = None
    longest_ms = 0
    for row in sorted(attempt_rows, key=lambda r: r["at_ms"]):
        if partial_since_ms is not None:
            longest_ms = max(longest_ms, row["at_ms"] - partial_since_ms)
        if row["event"] in ("started", "finished"):
            present.add(row["member"])
        else:
            present.discard(row["member"])
        running = {m for m in present if _is_running(attempt_rows, m, row["at_ms"])}
        partial = running and len(present) < members
        partial_since_ms = row["at_ms"] if partial else None
    return max(
        longest_ms, now_ms - partial_since_ms if partial_since_ms is not None else 0
    )


def _is_running(attempt_rows, member, at_ms):
    """Return whether the last row of a member, up to `at_ms`, is its start."""
    state = None
    for row in sorted(attempt_rows, key=lambda r: r["at_ms"]):
        if row["member"] == member and row["at_ms"] <= at_ms:
            state = row["event"]
    return state == "started"


@step(r"nothing started on worker (?P<number>\d+) later than (?P<seconds>\d+) s after")
def nothing_started_on_leaving_worker(world, number, seconds):
    limit_ms = world.marks["leaving_at_ms"] + int(seconds) * 1_000
    late_starts = [
        row
        for row in world.effects()[0]
        if row["worker"] == f"worker-{number}"
        and row["event"] == "started"
        and row["at_ms"] > limit_ms
    ]
    assert not late_starts, f"started on a leaving worker: {late_starts}"


@step(r"tasks started elsewhere than on worker (?P<number>\d+) meanwhile")
def tasks_started_on_other_workers(world, number):
    since_ms = world.marks["leaving_at_ms"] + 5_000
    rows = [
        row
        for row in world.effects()[0]
        if row["at_ms"] > since_ms
        and row["event"] == "started"
        and row["worker"] != f"worker-{number}"
    ]
    assert rows, "no task started on another worker"


@step(r"one is accepted and the other is told of the conflict by name")
def publish_conflict_is_resolved(world):
    rows = world.marks["race"]
    codes = sorted(row["code"] for row in rows)
    assert codes == [ResultCode.OK, ResultCode.CONFIGURATION_CONFLICT], rows
    refused = next(row for row in rows if row["code"])
    assert "racers" in refused["reason"], refused


@step(r"a broken entry is refused and changes nothing")
def malformed_entry_is_refused(world):
    versions_before = versions(world, 0)
    row = world.publish_entry(
        {
            "schema": 1,
            "base": {"broken": -1},
            "parts": {"broken": {"data_centres": ["north"], "share": "many"}},
        }
    )
    assert row["code"] == ResultCode.CONFIGURATION_REFUSED, row
    assert "share" in row["reason"], row
    assert versions(world, 0) == versions_before


@step(r"every entry has the same configuration as before")
def configuration_is_unchanged(world):
    expected = world.marks["versions"]

    def entries_agree():
        numbers = range(len(world.cluster.entries))
        return all(versions(world, number) == expected for number in numbers)

    assert world.wait(PUBLISH_TIMEOUT_S, entries_agree), (
        "the entries' configuration differs from before"
    )


@step(r"retries added at most (?P<share>\d+) % to the load")
def retries_within_share(world, share):
    retries = total = 0
    for address in world.cluster.entry_addresses:
        metrics = world.cluster.state(address)["metrics"]
        retries += metrics.get("retries", 0)
    total = len(world.started)
    allowed = total * int(share) / 100 + 10 * len(world.cluster.entries)
    assert retries <= allowed, f"{retries} retries for {total} requests"


@step(r"at least (?P<share>\d+) % of the answers are right")
def answers_mostly_correct(world, share):
    correct = sum(outcome.correct for outcome in world.outcomes)
    expected = len(world.started) * int(share) / 100
    assert correct >= expected, f"{correct} of {len(world.started)} answers are correct"


@step(r"the slowest (?P<service>\w+) took at most (?P<seconds>[\d.]+) s")
def slowest_request_within(world, service, seconds):
    slowest_ms = max(o.took_ms for o in world.outcomes if o.service == service)
    assert slowest_ms <= float(seconds) * 1_000, f"the slowest took {slowest_ms} ms"
