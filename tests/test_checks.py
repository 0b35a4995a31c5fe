"""The scenarios' own checks: each fails when its promise is broken."""

import unittest

from knapweedshed.links.entry_client import EntryResponse
from knapweedshed.results import ResultCode
from tests import checks
from tests.language import StepError, load_scenarios, run_step
from tests.world import Outcome


def row(at_ms, event, member=0, members=1, job_id="j", attempt=1, worker="worker-0"):
    return {
        "at_ms": at_ms,
        "event": event,
        "member": member,
        "members": members,
        "job_id": job_id,
        "attempt": attempt,
        "worker": worker,
    }


class FakeWorld:
    """A world whose effects and outcomes are given."""

    def __init__(self, rows=(), outcomes=(), now_ms=20_000):
        self.rows = list(rows)
        self.now_ms = now_ms
        self.outcomes = list(outcomes)
        self.started = [outcome.key for outcome in outcomes]
        self.marks = {"leaving_at_ms": 0}

    def effects(self):
        return self.rows, self.now_ms

    def wait_outcomes(self, seconds):
        return len(self.outcomes) == len(self.started)


def outcome(code, body=b"x", job_id="j"):
    answered = EntryResponse(code, "", job_id, body)
    return Outcome("acme", "proof", "k", b"x", answered, 10)


class CheckTests(unittest.TestCase):
    """Broken promises are seen."""

    def fails(self, check, *arguments, **named):
        with self.assertRaises(AssertionError):
            check(*arguments, **named)

    def test_a_second_start_is_seen(self):
        once = [row(0, "started"), row(9, "finished")]
        checks.at_most_once(FakeWorld(once))
        self.fails(checks.at_most_once, FakeWorld([*once, row(10, "started")]))

    def test_a_part_that_runs_alone_is_seen(self):
        both = [row(0, "started", 0, 2), row(5, "started", 1, 2)]
        ended = [row(9_000, "finished", 0, 2), row(9_001, "finished", 1, 2)]
        checks.gangs_whole(FakeWorld([*both, *ended]))
        self.fails(checks.gangs_whole, FakeWorld([row(0, "started", 0, 2)]))
        lost = [*both, row(100, "stopped", 1, 2), row(9_000, "stopped", 0, 2)]
        self.fails(checks.gangs_whole, FakeWorld(lost))

    def test_a_false_not_run_is_seen(self):
        told = [outcome(ResultCode.CANCELLED)]
        checks.not_run_is_true(FakeWorld([], told))
        self.fails(checks.not_run_is_true, FakeWorld([row(0, "started")], told))

    def test_a_wrong_or_missing_answer_is_seen(self):
        right = outcome(ResultCode.OK)
        checks.answers_right(FakeWorld([], [right]), seconds="1")
        for wrong in (outcome(ResultCode.OK, b"y"), outcome(ResultCode.FAILED)):
            self.fails(checks.answers_right, FakeWorld([], [wrong]), seconds="1")
        missing = FakeWorld([], [right])
        missing.started.append("other")
        self.fails(checks.answers_right, missing, seconds="1")

    def test_a_start_on_a_leaving_worker_is_seen(self):
        late = FakeWorld([row(5_001, "started")])
        self.fails(checks.nothing_started, late, number="0", seconds="5")
        checks.nothing_started(FakeWorld([row(4_999, "started")]), "0", "5")

    def test_words_that_no_step_knows_are_an_error(self):
        with self.assertRaises(StepError):
            run_step(FakeWorld(), "the moon is full")

    def test_every_promise_has_its_file(self):
        files = {scenario.feature[0] for scenario in load_scenarios()}
        self.assertEqual(files, set("123456789"))
