"""When a host claims the role, and what an append's outcome means for a caller."""

import unittest
from random import Random

from knapweedshed.decisions.acceptance import (
    AppendState,
    AppendVerdict,
    after_failure,
    log_is_down,
    retry_after_ms,
)
from knapweedshed.decisions.leadership import (
    CLAIM_JITTER_MS,
    CLAIM_RETRY_MS,
    LEADER_TIMEOUT_MS,
    MAX_ACTING_WITHOUT_LOG_MS,
    LeaderElection,
    LeadershipState,
    claim_delay_ms,
    may_send_orders,
    should_claim,
)
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.models.work_records import ActingClaimed

CALM = LeadershipState(
    "me", 3, "other", True, leader_heard_ms=10_000, log_read_ms=10_000
)


class ClaimTest(unittest.TestCase):
    """Good moments to claim."""

    def test_no_claim_while_the_acting_host_is_heard(self):
        self.assertFalse(should_claim(CALM, 10_500, 0))

    def test_claim_after_silence_while_own_reads_work(self):
        now_ms = 10_000 + LEADER_TIMEOUT_MS + 1
        standing = CALM._replace(log_read_ms=now_ms)
        self.assertTrue(should_claim(standing, now_ms, 0))
        self.assertFalse(should_claim(standing, now_ms, 300))

    def test_no_claim_by_a_host_that_is_cut_off(self):
        self.assertFalse(should_claim(CALM, 10_000 + 2 * LEADER_TIMEOUT_MS, 0))

    def test_claim_at_once_after_a_resignation(self):
        self.assertTrue(should_claim(CALM._replace(acting_host=""), 10_000, 0))

    def test_no_claim_before_the_stream_is_read_or_when_leaving(self):
        free = CALM._replace(acting_host="")
        self.assertFalse(should_claim(free._replace(caught_up=False), 10_000, 0))
        self.assertFalse(should_claim(free._replace(leaving=True), 10_000, 0))

    def test_claim_is_not_repeated_before_it_could_be_read(self):
        free = CALM._replace(acting_host="", claimed_ms=9_900)
        self.assertFalse(should_claim(free, 10_000, 0))
        now_ms = 9_900 + CLAIM_RETRY_MS
        self.assertTrue(should_claim(free._replace(log_read_ms=now_ms), now_ms, 0))

    def test_weaker_hosts_claim_later(self):
        latest_of_strong = max(claim_delay_ms(1.07, Random(n)) for n in range(200))
        earliest_of_weak = min(claim_delay_ms(0.3, Random(n)) for n in range(200))
        self.assertLess(latest_of_strong, earliest_of_weak)
        self.assertLess(claim_delay_ms(2.0, Random(1)), CLAIM_JITTER_MS)

    def test_orders_end_with_the_term(self):
        acting = CALM._replace(acting_host="me")
        self.assertTrue(may_send_orders(acting, 10_000 + MAX_ACTING_WITHOUT_LOG_MS - 1))
        self.assertFalse(may_send_orders(acting, 10_000 + MAX_ACTING_WITHOUT_LOG_MS))


class RoleTest(unittest.TestCase):
    """One host's view of the role, with a fold of the log."""

    def _role(self, host="a/2", acting="b/1"):
        ledger = WorkLedger()
        ledger.apply(0, ActingClaimed(1, acting))
        role = LeaderElection(host, 1.0, Random(1), 0)
        role.log_read(1_000, True)
        return role, ledger

    def test_silence_is_counted_from_the_last_record_heard(self):
        role, ledger = self._role()
        role.leader_heard(2_000)
        role.log_read(3_500, True)
        self.assertFalse(role.take_claim(ledger, 3_500))
        role.log_read(2_000 + LEADER_TIMEOUT_MS + CLAIM_JITTER_MS, True)
        now_ms = 2_000 + LEADER_TIMEOUT_MS + CLAIM_JITTER_MS
        self.assertTrue(role.take_claim(ledger, now_ms))
        self.assertFalse(role.take_claim(ledger, now_ms + 1))

    def test_an_earlier_life_of_this_host_is_not_waited_for(self):
        role, ledger = self._role(acting="a/1")
        self.assertTrue(role.take_claim(ledger, 1_000 + CLAIM_JITTER_MS))

    def test_a_host_that_was_fenced_does_not_act_on_that_epoch(self):
        role, ledger = self._role(acting="a/2")
        self.assertTrue(role.should_act(ledger))
        role.fenced(1)
        self.assertFalse(role.should_act(ledger))
        ledger.apply(1, ActingClaimed(2, "a/2"))
        self.assertTrue(role.should_act(ledger))

    def test_a_host_that_leaves_claims_nothing(self):
        role, ledger = self._role(acting="a/1")
        role.leave()
        self.assertFalse(role.take_claim(ledger, 1_000 + CLAIM_JITTER_MS))


class AcceptanceTest(unittest.TestCase):
    """A refusal must be true."""

    def test_refused_append_refuses(self):
        _, verdict = after_failure(AppendState(5_000), False, 1_000)
        self.assertEqual(verdict, AppendVerdict.REFUSE)

    def test_after_a_lost_answer_nothing_is_refused(self):
        state, verdict = after_failure(AppendState(5_000), True, 1_000)
        self.assertEqual(verdict, AppendVerdict.REPEAT)
        _, verdict = after_failure(state, False, 1_500)
        self.assertEqual(verdict, AppendVerdict.REPEAT)
        _, verdict = after_failure(state, False, 4_999)
        self.assertEqual(verdict, AppendVerdict.UNKNOWN)

    def test_log_is_down_until_it_answers_or_a_while_has_passed(self):
        self.assertTrue(log_is_down(1_000, 900, 1_100))
        self.assertFalse(log_is_down(1_000, 1_050, 1_100))
        self.assertFalse(log_is_down(1_000, 900, 2_000))

    def test_callers_come_back_later_the_longer_the_log_is_down(self):
        self.assertLess(retry_after_ms(1_000, 1_500), retry_after_ms(1_000, 9_000))


if __name__ == "__main__":
    unittest.main()
