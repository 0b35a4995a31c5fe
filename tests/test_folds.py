"""Configuration and ledger built from the log, and snapshots of both."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.decisions import configuration as folds
from knapweedshed.decisions.endings import resolve_attempt
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


def make_entry(entry_id, base, organisation="acme", **fields):
    """Return an entry that edits one organisation, based on its version `base`."""
    parts = {organisation: {"data_centres": ["north"], **fields}}
    return {"schema": 1, "id": entry_id, "base": {organisation: base}, "parts": parts}


def apply_entries(entries, fold=None, start=0):
    """Apply entries at offsets from `start` on; return the resulting fold."""
    fold = fold or folds.ConfigurationFold()
    for index, record in enumerate(entries, start=start):
        fold = folds.apply_entry(fold, index, record)
    return fold


def make_job(job_id="north.k.c", idempotent=False):
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


def build_ledger(records):
    """Return a ledger of records whose offsets are 0, 1, 2 and so on."""
    ledger = Ledger()
    for offset, record in enumerate(records):
        ledger.apply(offset, record)
    return ledger


class ConfigurationTests(unittest.TestCase):
    """Accepted configuration never reverts; every reader accepts the same entries."""

    def test_outdated_base_is_refused_naming_the_organisation(self):
        fold = apply_entries([make_entry("a", -1), make_entry("b", -1, share=9)])
        decision = fold.decision("b")
        self.assertEqual(decision.result.code, ResultCode.CONFIGURATION_CONFLICT)
        self.assertIn("acme", decision.result.reason)
        self.assertEqual(fold.configuration.organisation("acme").share, 1)

    def test_operators_on_different_organisations_do_not_conflict(self):
        fold = apply_entries(
            [make_entry("a", -1), make_entry("b", -1, organisation="other")]
        )
        self.assertEqual(len(fold.configuration.organisations), 2)

    def test_duplicate_entry_changes_nothing(self):
        duplicated = make_entry("a", -1)
        fold = apply_entries([duplicated, duplicated])
        self.assertEqual(fold.configuration.version_of("acme"), 0)

    def test_unknown_schema_stops_the_fold(self):
        fold = apply_entries(
            [make_entry("a", -1), {"schema": 9}, make_entry("b", 0, share=5)]
        )
        self.assertIn("schema", fold.stopped)
        self.assertEqual(fold.configuration.organisation("acme").share, 1)

    def test_malformed_entry_is_refused_naming_its_field(self):
        fold = apply_entries([make_entry("a", -1, share="many"), 7, {"schema": 1}])
        self.assertIn("share", fold.history[0].result.reason)
        self.assertEqual(fold.configuration.organisations, ())

    def test_home_data_centres_can_not_be_edited(self):
        new_home = make_entry("b", 0)
        new_home["parts"]["acme"]["data_centres"] = ["south"]
        fold = apply_entries([make_entry("a", -1), new_home])
        self.assertIn("hand over", fold.decision("b").result.reason)

    def test_non_idempotent_runner_work_is_refused(self):
        service = {
            "name": "s",
            "kind": "runner",
            "program": "p",
            "idempotent": False,
        }
        fold = apply_entries([make_entry("a", -1, services=[service])])
        self.assertIn("non-idempotent", fold.history[0].result.reason)

    def test_stale_snapshot_is_not_adopted(self):
        old = apply_entries([make_entry("a", -1)])
        new = apply_entries([make_entry("a", -1), make_entry("b", 0, share=5)])
        self.assertEqual(folds.adopt_snapshot(new, old.configuration), new)

    def test_snapshot_with_a_wrong_digest_is_not_adopted(self):
        new = apply_entries([make_entry("a", -1)])
        wrong_digest = new.configuration._replace(digest="0", offset=99)
        self.assertEqual(folds.adopt_snapshot(new, wrong_digest), new)

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(st.tuples(st.integers(-1, 6), st.integers(1, 9)), max_size=9),
        st.integers(0, 9),
    )
    def test_snapshot_and_later_entries_equal_the_full_log(
        self, entry_fields, split_at
    ):
        entries = [
            make_entry(f"e{i}", b, share=s) for i, (b, s) in enumerate(entry_fields)
        ]
        full = apply_entries(entries)
        split_at = min(split_at, len(entries))
        prefix = apply_entries(entries[:split_at])
        restored = folds.adopt_snapshot(folds.ConfigurationFold(), prefix.configuration)
        restored = apply_entries(entries[split_at:], restored, start=split_at)
        if split_at:
            self.assertEqual(restored.configuration, full.configuration)


class LedgerTests(unittest.TestCase):
    """Of conflicting records, the one with the lowest offset wins."""

    def test_first_intent_of_an_attempt_wins(self):
        first = IntentRecorded("north.k.c", 1, "one", ("a",))
        second = IntentRecorded("north.k.c", 1, "two", ("b",))
        ledger = build_ledger([JobAccepted(make_job()), first, second])
        self.assertEqual(ledger.open["north.k.c"].intent, first)

    def test_second_attempt_needs_the_first_refuted(self):
        second = IntentRecorded("north.k.c", 2, "two", ("b",))
        ledger = build_ledger([JobAccepted(make_job()), second])
        self.assertIsNone(ledger.open["north.k.c"].intent)
        first = IntentRecorded("north.k.c", 1, "one", ("a",))
        refuted = AttemptRefuted("north.k.c", 1, "one", "proof")
        ledger = build_ledger([JobAccepted(make_job()), first, refuted, second])
        self.assertEqual(ledger.open["north.k.c"].intent, second)

    def test_losing_intent_can_not_refute_the_accepted_one(self):
        first = IntentRecorded("north.k.c", 1, "one", ("a",))
        refuted = AttemptRefuted("north.k.c", 1, "two", "my own leases never ran")
        ledger = build_ledger([JobAccepted(make_job()), first, refuted])
        self.assertEqual(ledger.open["north.k.c"].intent, first)
        self.assertEqual(ledger.open["north.k.c"].attempt, 1)

    def test_intent_after_the_end_of_the_job_is_ignored(self):
        records = [
            JobAccepted(make_job()),
            JobEnded("north.k.c", ResultCode.CANCELLED),
            IntentRecorded("north.k.c", 1, "late", ("a",)),
        ]
        self.assertEqual(build_ledger(records).open, {})

    def test_same_key_with_different_content_is_a_conflict(self):
        other_job = make_job("north.k.d")
        ledger = build_ledger([JobAccepted(make_job()), JobAccepted(other_job)])
        self.assertEqual(ledger.closed["north.k.d"].code, ResultCode.KEY_CONFLICT)
        self.assertIn("north.k.c", ledger.open)

    def test_first_recorded_end_is_final(self):
        records = [
            JobAccepted(make_job()),
            JobEnded("north.k.c", ResultCode.OK),
            JobEnded("north.k.c", ResultCode.CANCELLED),
        ]
        ledger = build_ledger(records)
        self.assertEqual(ledger.closed["north.k.c"].code, ResultCode.OK)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.sampled_from(
                [
                    JobAccepted(make_job()),
                    JobAccepted(make_job("north.k.d")),
                    JobAccepted(make_job("north.m.c", idempotent=True)),
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
    def test_snapshot_and_later_records_equal_the_full_ledger(self, records, split_at):
        split_at = min(split_at, len(records))
        full = build_ledger(records)
        prefix = build_ledger(records[:split_at])
        restored = Ledger()
        restored.adopt_snapshot(prefix.snapshot())
        for offset, record in enumerate(records[split_at:], start=split_at):
            restored.apply(offset, record)
        self.assertEqual(set(restored.open), set(full.open))
        self.assertEqual(restored.closed, full.closed)
        for job_id, open_job in full.open.items():
            self.assertEqual(restored.open[job_id].attempt, open_job.attempt)
            self.assertEqual(restored.open[job_id].intent, open_job.intent)
            self.assertEqual(restored.open[job_id].tokens, open_job.tokens)
            self.assertEqual(restored.open[job_id].cancelled, open_job.cancelled)


class EndingTests(unittest.TestCase):
    """Whether a job ends or is retried after an attempt."""

    def make_attempt(self, outcome, end_state="", checkpoint_token=""):
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

    def test_lost_non_idempotent_work_is_never_retried(self):
        resolution = resolve_attempt(
            OpenJob(make_job()), self.make_attempt(AttemptOutcome.LOST, "gone"), 0
        )
        self.assertEqual(resolution.code, ResultCode.OUTCOME_UNKNOWN)

    def test_cancelled_job_that_ended_meanwhile_is_known_to_have_run(self):
        open_job = OpenJob(make_job(), cancelled=True)
        for state in ("finished", "failed", "running"):
            resolution = resolve_attempt(
                open_job, self.make_attempt(AttemptOutcome.LOST, state), 0
            )
            self.assertEqual(resolution.code, ResultCode.STOPPED, state)

    def test_task_cleared_while_running_makes_the_outcome_stopped(self):
        resolution = resolve_attempt(
            OpenJob(make_job()), self.make_attempt(AttemptOutcome.LOST, "running"), 0
        )
        self.assertEqual(resolution.code, ResultCode.STOPPED)

    def test_next_attempt_needs_a_refutation_in_the_ledger(self):
        resolution = resolve_attempt(
            OpenJob(make_job()), self.make_attempt(AttemptOutcome.NOT_RUN, "never"), 0
        )
        self.assertIsNone(resolution.code)
        self.assertEqual(resolution.record.attempt, 1)

    def test_checkpoint_is_recorded_and_resumed_from(self):
        resolution = resolve_attempt(
            OpenJob(make_job()), self.make_attempt(AttemptOutcome.STOPPED, "", "7"), 0
        )
        self.assertEqual(resolution.tokens, ("7",))
        self.assertIsInstance(resolution.record, Checkpointed)

    def test_failing_idempotent_work_gets_three_attempts(self):
        open_job = OpenJob(make_job(idempotent=True))
        self.assertIsNone(
            resolve_attempt(open_job, self.make_attempt(AttemptOutcome.FAILED), 1).code
        )
        resolution = resolve_attempt(
            open_job, self.make_attempt(AttemptOutcome.FAILED), 2
        )
        self.assertEqual(resolution.code, ResultCode.FAILED)
