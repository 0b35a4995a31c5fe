"""When a host claims the scheduler's role, and what a failed append implies."""

import unittest
from random import Random

from knapweedshed.decisions.acceptance import (
    AppendState,
    AppendVerdict,
    after_failure,
    retry_after_ms,
)
from knapweedshed.decisions.leadership import (
    CLAIM_JITTER_MS,
    CLAIM_RETRY_MS,
    LEADER_TIMEOUT_MS,
    MAX_ACTING_WITHOUT_LOG_MS,
    RETURN_GRACE_MS,
    LeaderElection,
    LeadershipState,
    claim_delay_ms,
    may_send_orders,
    should_claim,
)
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.models.work_records import ActingClaimed

FOLLOWER_STATE = LeadershipState(
    "me", 3, "other", True, leader_heard_ms=10_000, log_read_ms=10_000
)


class ClaimTest(unittest.TestCase):
    """When a host claims the scheduler's role."""

    def test_no_claim_while_the_acting_host_sends_heartbeats(self):
        self.assertFalse(should_claim(FOLLOWER_STATE, 10_500, 0))

    def test_claim_after_the_leader_timeout_while_log_reads_succeed(self):
        now_ms = 10_000 + LEADER_TIMEOUT_MS + 1
        state = FOLLOWER_STATE._replace(log_read_ms=now_ms)
        self.assertTrue(should_claim(state, now_ms, 0))
        self.assertFalse(should_claim(state, now_ms, 300))

    def test_no_claim_by_a_host_that_cannot_read_the_log(self):
        self.assertFalse(
            should_claim(FOLLOWER_STATE, 10_000 + 2 * LEADER_TIMEOUT_MS, 0)
        )

    def test_claim_at_once_after_a_resignation(self):
        self.assertTrue(
            should_claim(FOLLOWER_STATE._replace(acting_host=""), 10_000, 0)
        )

    def test_no_claim_before_the_stream_is_read_or_while_stopping(self):
        vacant = FOLLOWER_STATE._replace(acting_host="")
        self.assertFalse(should_claim(vacant._replace(caught_up=False), 10_000, 0))
        self.assertFalse(should_claim(vacant._replace(leaving=True), 10_000, 0))

    def test_claim_is_not_repeated_before_it_could_be_read(self):
        vacant = FOLLOWER_STATE._replace(acting_host="", claimed_ms=9_900)
        self.assertFalse(should_claim(vacant, 10_000, 0))
        now_ms = 9_900 + CLAIM_RETRY_MS
        self.assertTrue(should_claim(vacant._replace(log_read_ms=now_ms), now_ms, 0))

    def test_hosts_with_fewer_cores_claim_later(self):
        latest_with_many_cores = max(
            claim_delay_ms(1.07, Random(n)) for n in range(200)
        )
        earliest_with_few_cores = min(
            claim_delay_ms(0.3, Random(n)) for n in range(200)
        )
        self.assertLess(latest_with_many_cores, earliest_with_few_cores)
        self.assertLess(claim_delay_ms(2.0, Random(1)), CLAIM_JITTER_MS)

    def test_hosts_with_a_weak_link_claim_later(self):
        latest = max(claim_delay_ms(2.0, Random(n), 100) for n in range(200))
        earliest = min(claim_delay_ms(2.0, Random(n), 10) for n in range(200))
        self.assertLess(latest, earliest)

    def test_no_orders_once_the_log_was_not_read_for_too_long(self):
        acting = FOLLOWER_STATE._replace(acting_host="me")
        self.assertTrue(may_send_orders(acting, 10_000 + MAX_ACTING_WITHOUT_LOG_MS - 1))
        self.assertFalse(may_send_orders(acting, 10_000 + MAX_ACTING_WITHOUT_LOG_MS))


class LeaderElectionTest(unittest.TestCase):
    """One host's part in the election, with a ledger built from the log."""

    def _make_election(self, host="a/2", acting="b/1"):
        ledger = WorkLedger()
        ledger.apply(0, ActingClaimed(1, acting))
        election = LeaderElection(host, 1.0, Random(1), 0)
        election.note_log_read(1_000, True)
        return election, ledger

    def test_leader_timeout_starts_at_the_last_record_read(self):
        election, ledger = self._make_election()
        election.note_leader_heard(2_000)
        election.note_log_read(2_500, True)
        election.note_log_read(3_500, True)
        self.assertFalse(election.take_claim(ledger, 3_500))
        election.note_log_read(2_000 + LEADER_TIMEOUT_MS + CLAIM_JITTER_MS, True)
        now_ms = 2_000 + LEADER_TIMEOUT_MS + CLAIM_JITTER_MS
        self.assertTrue(election.take_claim(ledger, now_ms))
        self.assertFalse(election.take_claim(ledger, now_ms + 1))

    def test_acting_host_is_heard_again_before_a_claim_after_an_outage(self):
        election, ledger = self._make_election()
        election.note_leader_heard(1_000)
        election.note_log_read(9_000, True)
        self.assertFalse(election.take_claim(ledger, 9_000))
        now_ms = 9_000 + RETURN_GRACE_MS - 1
        election.note_log_read(now_ms, True)
        self.assertFalse(election.take_claim(ledger, now_ms))
        now_ms = 9_000 + RETURN_GRACE_MS + CLAIM_JITTER_MS
        election.note_log_read(now_ms, True)
        self.assertTrue(election.take_claim(ledger, now_ms))

    def test_an_earlier_incarnation_of_this_host_is_not_waited_for(self):
        election, ledger = self._make_election(acting="a/1")
        self.assertTrue(election.take_claim(ledger, 1_000 + CLAIM_JITTER_MS))

    def test_a_fenced_host_does_not_act_under_that_epoch(self):
        election, ledger = self._make_election(acting="a/2")
        self.assertTrue(election.should_act(ledger))
        election.note_fenced(1)
        self.assertFalse(election.should_act(ledger))
        ledger.apply(1, ActingClaimed(2, "a/2"))
        self.assertTrue(election.should_act(ledger))

    def test_a_host_that_stops_claims_nothing(self):
        election, ledger = self._make_election(acting="a/1")
        election.leave()
        self.assertFalse(election.take_claim(ledger, 1_000 + CLAIM_JITTER_MS))


class AcceptanceTest(unittest.TestCase):
    """Work is refused only if the log certainly doesn't hold it."""

    def test_refused_append_refuses_the_submission(self):
        _, verdict = after_failure(AppendState(5_000), False, 1_000)
        self.assertEqual(verdict, AppendVerdict.REFUSE)

    def test_submission_is_never_refused_after_a_lost_answer(self):
        state, verdict = after_failure(AppendState(5_000), True, 1_000)
        self.assertEqual(verdict, AppendVerdict.REPEAT)
        _, verdict = after_failure(state, False, 1_500)
        self.assertEqual(verdict, AppendVerdict.UNKNOWN)
        _, verdict = after_failure(state, True, 4_999)
        self.assertEqual(verdict, AppendVerdict.UNKNOWN)

    def test_append_is_repeated_as_long_as_only_answers_are_lost(self):
        state, _ = after_failure(AppendState(5_000), True, 1_000)
        _, verdict = after_failure(state, True, 1_500)
        self.assertEqual(verdict, AppendVerdict.REPEAT)

    def test_retry_delay_grows_with_the_length_of_a_log_outage(self):
        self.assertLess(retry_after_ms(500), retry_after_ms(8_000))


if __name__ == "__main__":
    unittest.main()
