"""The folds over the log: configuration, ledger, and snapshots of both."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.decisions import configuration as folds
from knapweedshed.decisions.endings import judge
from knapweedshed.decisions.ledger import Ledger
from knapweedshed.models.attempts import Attempt, AttemptOutcome, Member
from knapweedshed.models.configuration import Urgency
from knapweedshed.models.jobs import InputReference, Job
from knapweedshed.models.ledger import (
    AttemptRefuted,
    CancelAsked,
    Checkpointed,
    IntentRecorded,
    JobAccepted,
    JobEnded,
    OpenJob,
)
from knapweedshed.models.shapes import Placement, Shape
from knapweedshed.results import ResultCode


def entry(entry_id, base, name="acme", **part):
    parts = {name: {"data_centres": ["north"], **part}}
    return {"schema": 1, "id": entry_id, "base": {name: base}, "parts": parts}


def fold_all(entries, fold=None, start=0):
    fold = fold or folds.Fold()
    for index, plain in enumerate(entries, start=start):
        fold = folds.apply(fold, index, plain)
    return fold


def job(job_id="north.k.c", idempotent=False):
    return Job(
        job_id,
        "acme",
        "proof",
        "1-k",
        "make-proof",
        "north",
        Shape(),
        Urgency.NORMAL,
        idempotent,
        False,
        1_000,
        0,
        10**15,
        InputReference(0, ""),
    )


def fold_ledger(records):
    ledger = Ledger()
    for offset, record in enumerate(records):
        ledger.apply(offset, record)
    return ledger


class ConfigurationTests(unittest.TestCase):
    """Accepted configuration never reverts, and all readers decide alike."""

    def test_an_old_base_is_refused_by_name(self):
        fold = fold_all([entry("a", -1), entry("b", -1, share=9)])
        decision = fold.decision("b")
        self.assertEqual(decision.result.code, ResultCode.CONFIGURATION_CONFLICT)
        self.assertIn("acme", decision.result.reason)
        self.assertEqual(fold.configuration.organisation("acme").share, 1)

    def test_operators_on_different_organisations_do_not_conflict(self):
        fold = fold_all([entry("a", -1), entry("b", -1, name="other")])
        self.assertEqual(len(fold.configuration.organisations), 2)

    def test_a_second_copy_of_an_entry_changes_nothing(self):
        one = entry("a", -1)
        fold = fold_all([one, one])
        self.assertEqual(fold.configuration.version_of("acme"), 0)

    def test_an_unknown_schema_stops_the_fold_and_is_never_skipped(self):
        fold = fold_all([entry("a", -1), {"schema": 9}, entry("b", 0, share=5)])
        self.assertIn("schema", fold.stopped)
        self.assertEqual(fold.configuration.organisation("acme").share, 1)

    def test_a_broken_entry_is_refused_with_its_field(self):
        fold = fold_all([entry("a", -1, share="many"), 7, {"schema": 1}])
        self.assertIn("share", fold.history[0].result.reason)
        self.assertEqual(fold.configuration.organisations, ())

    def test_homes_can_not_be_edited(self):
        moved = entry("b", 0)
        moved["parts"]["acme"]["data_centres"] = ["south"]
        fold = fold_all([entry("a", -1), moved])
        self.assertIn("hand over", fold.decision("b").result.reason)

    def test_non_idempotent_runner_work_is_refused(self):
        service = {
            "name": "s",
            "kind": "runner",
            "program": "p",
            "idempotent": False,
        }
        fold = fold_all([entry("a", -1, services=[service])])
        self.assertIn("non-idempotent", fold.history[0].result.reason)

    def test_a_stale_snapshot_is_not_adopted(self):
        old = fold_all([entry("a", -1)])
        new = fold_all([entry("a", -1), entry("b", 0, share=5)])
        self.assertEqual(folds.adopt(new, old.configuration), new)

    def test_a_snapshot_with_a_wrong_digest_is_not_adopted(self):
        new = fold_all([entry("a", -1)])
        forged = new.configuration._replace(digest="0", offset=99)
        self.assertEqual(folds.adopt(new, forged), new)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.tuples(st.integers(-1, 6), st.integers(1, 9)), max_size=9),
        st.integers(0, 9),
    )
    def test_a_joiner_by_snapshot_agrees_with_one_who_read_all(self, changes, cut):
        entries = [entry(f"e{i}", b, share=s) for i, (b, s) in enumerate(changes)]
        whole = fold_all(entries)
        cut = min(cut, len(entries))
        part = fold_all(entries[:cut])
        joined = folds.adopt(folds.Fold(), part.configuration)
        joined = fold_all(entries[cut:], joined, start=cut)
        if cut:
            self.assertEqual(joined.configuration, whole.configuration)


class LedgerTests(unittest.TestCase):
    """First by offset wins."""

    def test_the_first_intent_of_an_attempt_wins(self):
        first = IntentRecorded("north.k.c", 1, "one", ("a",))
        second = IntentRecorded("north.k.c", 1, "two", ("b",))
        ledger = fold_ledger([JobAccepted(job()), first, second])
        self.assertEqual(ledger.open["north.k.c"].intent, first)

    def test_a_second_attempt_needs_the_first_refuted(self):
        second = IntentRecorded("north.k.c", 2, "two", ("b",))
        ledger = fold_ledger([JobAccepted(job()), second])
        self.assertIsNone(ledger.open["north.k.c"].intent)
        first = IntentRecorded("north.k.c", 1, "one", ("a",))
        refuted = AttemptRefuted("north.k.c", 1, "one", "proof")
        ledger = fold_ledger([JobAccepted(job()), first, refuted, second])
        self.assertEqual(ledger.open["north.k.c"].intent, second)

    def test_who_lost_the_race_for_an_attempt_can_not_refute_the_winner(self):
        first = IntentRecorded("north.k.c", 1, "one", ("a",))
        refuted = AttemptRefuted("north.k.c", 1, "two", "my own leases never ran")
        ledger = fold_ledger([JobAccepted(job()), first, refuted])
        self.assertEqual(ledger.open["north.k.c"].intent, first)
        self.assertEqual(ledger.open["north.k.c"].attempt, 1)

    def test_an_intent_after_the_end_wins_nothing(self):
        records = [
            JobAccepted(job()),
            JobEnded("north.k.c", ResultCode.CANCELLED),
            IntentRecorded("north.k.c", 1, "late", ("a",)),
        ]
        self.assertEqual(fold_ledger(records).open, {})

    def test_one_key_with_two_contents_is_a_conflict(self):
        other = job("north.k.d")
        ledger = fold_ledger([JobAccepted(job()), JobAccepted(other)])
        self.assertEqual(ledger.closed["north.k.d"].code, ResultCode.KEY_CONFLICT)
        self.assertIn("north.k.c", ledger.open)

    def test_the_first_end_stays(self):
        records = [
            JobAccepted(job()),
            JobEnded("north.k.c", ResultCode.OK),
            JobEnded("north.k.c", ResultCode.CANCELLED),
        ]
        ledger = fold_ledger(records)
        self.assertEqual(ledger.closed["north.k.c"].code, ResultCode.OK)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.sampled_from(
                [
                    JobAccepted(job()),
                    JobAccepted(job("north.k.d")),
                    JobAccepted(job("north.m.c", idempotent=True)),
                    IntentRecorded("north.k.c", 1, "one", ("a",)),
                    IntentRecorded("north.k.c", 2, "two", ("b",)),
                    AttemptRefuted("north.k.c", 1, "one", "proof"),
                    Checkpointed("north.m.c", 1, ("5",)),
                    CancelAsked("north.m.c"),
                    JobEnded("north.k.c", ResultCode.OK),
                ]
            ),
            max_size=14,
        ),
        st.integers(0, 14),
    )
    def test_a_snapshot_stands_for_what_it_folded(self, records, cut):
        cut = min(cut, len(records))
        whole = fold_ledger(records)
        part = fold_ledger(records[:cut])
        joined = Ledger()
        joined.adopt(part.snapshot())
        for offset, record in enumerate(records[cut:], start=cut):
            joined.apply(offset, record)
        self.assertEqual(set(joined.open), set(whole.open))
        self.assertEqual(joined.closed, whole.closed)
        for job_id, opened in whole.open.items():
            self.assertEqual(joined.open[job_id].attempt, opened.attempt)
            self.assertEqual(joined.open[job_id].intent, opened.intent)
            self.assertEqual(joined.open[job_id].tokens, opened.tokens)
            self.assertEqual(joined.open[job_id].cancelled, opened.cancelled)


class EndingTests(unittest.TestCase):
    """What becomes of a job after an attempt."""

    def attempt(self, outcome, end_state="", checkpoint_token=""):
        member = Member(
            "w~i~1",
            Placement("w", (0,)),
            end_state=end_state,
            checkpoint_token=checkpoint_token,
        )
        return Attempt(
            "north.k.c",
            1,
            (member,),
            True,
            target_outcome=outcome,
            reason="why",
            intent_id="one",
        )

    def test_lost_non_idempotent_work_is_never_tried_again(self):
        verdict = judge(OpenJob(job()), self.attempt(AttemptOutcome.LOST, "gone"), 0)
        self.assertEqual(verdict.code, ResultCode.OUTCOME_UNKNOWN)

    def test_cancelled_job_that_ended_meanwhile_is_known_to_have_run(self):
        opened = OpenJob(job(), cancelled=True)
        for state in ("finished", "failed", "running"):
            verdict = judge(opened, self.attempt(AttemptOutcome.LOST, state), 0)
            self.assertEqual(verdict.code, ResultCode.STOPPED, state)

    def test_a_worker_that_says_it_stopped_it_settles_the_outcome(self):
        verdict = judge(OpenJob(job()), self.attempt(AttemptOutcome.LOST, "running"), 0)
        self.assertEqual(verdict.code, ResultCode.STOPPED)

    def test_another_attempt_needs_the_refutation_in_the_ledger(self):
        verdict = judge(
            OpenJob(job()), self.attempt(AttemptOutcome.NOT_RUN, "never"), 0
        )
        self.assertIsNone(verdict.code)
        self.assertEqual(verdict.record.attempt, 1)

    def test_a_checkpoint_is_recorded_and_gone_on_from(self):
        verdict = judge(
            OpenJob(job()), self.attempt(AttemptOutcome.STOPPED, "", "7"), 0
        )
        self.assertEqual(verdict.tokens, ("7",))
        self.assertIsInstance(verdict.record, Checkpointed)

    def test_idempotent_work_that_fails_is_tried_three_times(self):
        opened = OpenJob(job(idempotent=True))
        self.assertIsNone(judge(opened, self.attempt(AttemptOutcome.FAILED), 1).code)
        verdict = judge(opened, self.attempt(AttemptOutcome.FAILED), 2)
        self.assertEqual(verdict.code, ResultCode.FAILED)
