"""The checks of the scenarios: each fails when its guarantee is violated."""

import unittest

from knapweedshed.links.entry_client import EntryResponse
from knapweedshed.results import ResultCode
from tests import checks
from tests.language import StepError, load_scenarios, run_step
from tests.world import Outcome


def effect_row(
    at_ms, event, member=0, members=1, job_id="j", attempt=1, worker="worker-0"
):
    """Return a row of `World.effects`: an event of one member's run on a worker."""
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
    """A scenario context with prepared effects and outcomes."""

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


def make_outcome(code, body=b"x", job_id="j"):
    """Return the outcome of a request whose correct answer is b"x"."""
    answered = EntryResponse(code, "", job_id, body)
    return Outcome("acme", "proof", "k", b"x", answered, 10)


class CheckTests(unittest.TestCase):
    """Violated guarantees fail their check."""

    def assert_fails(self, check, *arguments, **keywords):
        """Assert that a check raises AssertionError."""
        with self.assertRaises(AssertionError):
            check(*arguments, **keywords)

    def test_second_start_is_detected(self):
        single_start = [effect_row(0, "started"), effect_row(9, "finished")]
        checks.non_idempotent_ran_at_most_once(FakeWorld(single_start))
        self.assert_fails(
            checks.non_idempotent_ran_at_most_once,
            FakeWorld([*single_start, effect_row(10, "started")]),
        )

    def test_partially_running_gang_is_detected(self):
        gang_starts = [effect_row(0, "started", 0, 2), effect_row(5, "started", 1, 2)]
        gang_ends = [
            effect_row(9_000, "finished", 0, 2),
            effect_row(9_001, "finished", 1, 2),
        ]
        checks.gangs_never_ran_partially(FakeWorld([*gang_starts, *gang_ends]))
        self.assert_fails(
            checks.gangs_never_ran_partially,
            FakeWorld([effect_row(0, "started", 0, 2)]),
        )
        partial_run = [
            *gang_starts,
            effect_row(100, "stopped", 1, 2),
            effect_row(9_000, "stopped", 0, 2),
        ]
        self.assert_fails(checks.gangs_never_ran_partially, FakeWorld(partial_run))

    def test_false_not_run_outcome_is_detected(self):
        outcomes = [make_outcome(ResultCode.CANCELLED)]
        checks.not_run_outcomes_did_not_run(FakeWorld([], outcomes))
        self.assert_fails(
            checks.not_run_outcomes_did_not_run,
            FakeWorld([effect_row(0, "started")], outcomes),
        )

    def test_incorrect_or_missing_answer_is_detected(self):
        correct = make_outcome(ResultCode.OK)
        checks.all_answers_correct(FakeWorld([], [correct]), seconds="1")
        for incorrect in (
            make_outcome(ResultCode.OK, b"y"),
            make_outcome(ResultCode.FAILED),
        ):
            self.assert_fails(
                checks.all_answers_correct, FakeWorld([], [incorrect]), seconds="1"
            )
        missing = FakeWorld([], [correct])
        missing.started.append("other")
        self.assert_fails(checks.all_answers_correct, missing, seconds="1")

    def test_start_on_a_leaving_worker_is_detected(self):
        late_start = FakeWorld([effect_row(5_001, "started")])
        self.assert_fails(
            checks.nothing_started_on_leaving_worker,
            late_start,
            number="0",
            seconds="5",
        )
        checks.nothing_started_on_leaving_worker(
            FakeWorld([effect_row(4_999, "started")]), "0", "5"
        )

    def test_text_that_matches_no_step_raises_an_error(self):
        with self.assertRaises(StepError):
            run_step(FakeWorld(), "no step has this text")

    def test_every_guarantee_has_its_feature_file(self):
        files = {scenario.feature[0] for scenario in load_scenarios()}
        self.assertEqual(files, set("123456789"))
