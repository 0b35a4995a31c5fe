"""What the scenarios' words check."""

from collections import Counter, defaultdict

from knapweedshed.results import ResultCode, is_not_run
from tests.language import step
from tests.steps import LEASE_MS, PUBLISH_SECONDS, versions


@step(r"(?P<count>\d+) members? runs? within (?P<seconds>[\d.]+) s")
def members_run(world, count, seconds):
    came = world.wait(float(seconds), lambda: len(world.running()) >= int(count))
    assert came, f"only {len(world.running())} run"


@step(r"every answer is right within (?P<seconds>\d+) s")
def answers_right(world, seconds):
    world.wait_outcomes(int(seconds))
    wrong = [o for o in world.outcomes if not o.right]
    codes = Counter(o.answered.code.name for o in wrong)
    reasons = {o.answered.reason for o in wrong}
    assert not wrong, f"{len(wrong)} wrong: {codes} {reasons}"
    missing = len(world.started) - len(world.outcomes)
    assert not missing, f"{missing} of {len(world.started)} have no outcome"


@step(r"every caller has an outcome within (?P<seconds>\d+) s")
def all_have_outcomes(world, seconds):
    assert world.wait_outcomes(int(seconds)), "some have no outcome"


@step(r"each outcome is one of (?P<names>[A-Z_, ]+)")
def outcomes_among(world, names):
    allowed = {name.strip() for name in names.split(",")}
    seen = Counter(o.answered.code.name for o in world.outcomes)
    reasons = {o.answered.reason for o in world.outcomes}
    assert set(seen) <= allowed, f"{seen} {reasons}"


@step(r"(?P<who>\w+)'s (?P<service>\w+) started within (?P<seconds>[\d.]+) s")
def started_within(world, who, service, seconds):
    """Judged by the workers: the job runs, whoever says what of it."""
    mine = len([r for r in world.effects()[0] if r["event"] == "started"])
    before = world.marks.get("starts", 0)
    if mine > before:
        return
    came = world.wait(
        float(seconds),
        lambda: (
            len([r for r in world.effects()[0] if r["event"] == "started"]) > before
        ),
    )
    assert came, f"{who}'s {service} did not start"


@step(r"no more than (?P<count>\d+) tasks were stopped")
def stopped_at_most(world, count):
    rows = world.effects()[0]
    stops = len([r for r in rows if r["event"] == "stopped"])
    assert stops - world.marks.get("stops", 0) <= int(count), f"{stops} stopped"


@step(r"nothing non-idempotent ran twice")
def at_most_once(world):
    starts = Counter()
    for row in world.effects()[0]:
        if row["event"] == "started":
            starts[(row["job_id"], row["member"])] += 1
    twice = {key: count for key, count in starts.items() if count > 1}
    assert not twice, f"ran more than once: {twice}"


@step(r"what is called not run did not run")
def not_run_is_true(world):
    ran = {row["job_id"] for row in world.effects()[0]}
    lied = [
        o.answered
        for o in world.outcomes
        if is_not_run(o.answered.code)
        and o.answered.code != ResultCode.KEY_CONFLICT
        and o.answered.job_id in ran
    ]
    assert not lied, f"called not run, but ran: {lied}"


@step(r"no part of a gang ran alone for more than one lease")
def gangs_whole(world):
    rows, now_ms = world.effects()
    by_attempt = defaultdict(list)
    for row in rows:
        if row["members"] > 1:
            by_attempt[(row["job_id"], row["attempt"])].append(row)
    for key, events in by_attempt.items():
        alone_ms = _longest_alone(events, now_ms)
        assert alone_ms <= LEASE_MS, f"{key}: a part ran alone for {alone_ms} ms"


def _longest_alone(events, now_ms):
    """Return the longest time in which some but not all members ran or had finished."""
    members = events[0]["members"]
    there = set()
    since = None
    longest = 0
    for row in sorted(events, key=lambda r: r["at_ms"]):
        if since is not None:
            longest = max(longest, row["at_ms"] - since)
        if row["event"] in ("started", "finished"):
            there.add(row["member"])
        else:
            there.discard(row["member"])
        running = {m for m in there if _runs(events, m, row["at_ms"])}
        alone = running and len(there) < members
        since = row["at_ms"] if alone else None
    return max(longest, now_ms - since if since is not None else 0)


def _runs(events, member, at_ms):
    state = None
    for row in sorted(events, key=lambda r: r["at_ms"]):
        if row["member"] == member and row["at_ms"] <= at_ms:
            state = row["event"]
    return state == "started"


@step(r"nothing started on worker (?P<number>\d+) later than (?P<seconds>\d+) s after")
def nothing_started(world, number, seconds):
    limit_ms = world.marks["leaving_at_ms"] + int(seconds) * 1_000
    late = [
        row
        for row in world.effects()[0]
        if row["worker"] == f"worker-{number}"
        and row["event"] == "started"
        and row["at_ms"] > limit_ms
    ]
    assert not late, f"started on a leaving worker: {late}"


@step(r"tasks started elsewhere than on worker (?P<number>\d+) meanwhile")
def started_elsewhere(world, number):
    since = world.marks["leaving_at_ms"] + 5_000
    rows = [
        row
        for row in world.effects()[0]
        if row["at_ms"] > since
        and row["event"] == "started"
        and row["worker"] != f"worker-{number}"
    ]
    assert rows, "nothing started at all, so the check says nothing"


@step(r"one is accepted and the other is told of the conflict by name")
def race_decided(world):
    rows = world.marks["race"]
    codes = sorted(row["code"] for row in rows)
    assert codes == [ResultCode.OK, ResultCode.CONFIGURATION_CONFLICT], rows
    refused = next(row for row in rows if row["code"])
    assert "racers" in refused["reason"], refused


@step(r"a broken entry is refused and changes nothing")
def broken_entry(world):
    before = versions(world, 0)
    row = world.publish_plain(
        {
            "schema": 1,
            "base": {"broken": -1},
            "parts": {"broken": {"data_centres": ["north"], "share": "many"}},
        }
    )
    assert row["code"] == ResultCode.CONFIGURATION_REFUSED, row
    assert "share" in row["reason"], row
    assert versions(world, 0) == before


@step(r"every entry has the same configuration as before")
def same_configuration(world):
    wanted = world.marks["versions"]

    def agree():
        numbers = range(len(world.cluster.entries))
        return all(versions(world, number) == wanted for number in numbers)

    assert world.wait(PUBLISH_SECONDS, agree), "the configuration differs"


@step(r"retries added at most (?P<share>\d+) % to the load")
def retries_bounded(world, share):
    retries = total = 0
    for address in world.cluster.entry_addresses:
        metrics = world.cluster.state(address)["metrics"]
        retries += metrics.get("retries", 0)
    total = len(world.started)
    allowed = total * int(share) / 100 + 10 * len(world.cluster.entries)
    assert retries <= allowed, f"{retries} retries for {total} requests"


@step(r"at least (?P<share>\d+) % of the answers are right")
def mostly_right(world, share):
    right = sum(outcome.right for outcome in world.outcomes)
    wanted = len(world.started) * int(share) / 100
    assert right >= wanted, f"{right} of {len(world.started)}"


@step(r"the slowest (?P<service>\w+) took at most (?P<seconds>[\d.]+) s")
def slowest(world, service, seconds):
    took = max(o.took_ms for o in world.outcomes if o.service == service)
    assert took <= float(seconds) * 1_000, f"the slowest took {took} ms"
