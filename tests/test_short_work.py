"""Short work: queueing, shedding, routing, retries, health and keys."""

import random
import unittest

from knapweedshed.clock import ManualClock
from knapweedshed.context import create_test_context
from knapweedshed.decisions.health import Health
from knapweedshed.decisions.keys import check_key
from knapweedshed.decisions.membership import Members
from knapweedshed.decisions.prediction import LearnedRunTime
from knapweedshed.decisions.retries import RetryBudget
from knapweedshed.decisions.routing import LeastExpectedTime, RunnerView
from knapweedshed.decisions.short_queue import ShortQueue, ShortRequest
from knapweedshed.filters.answer import AnswerFilter
from knapweedshed.filters.base import Filter, Resend, reply_with_result
from knapweedshed.filters.chain import FilterChain
from knapweedshed.filters.retry import RetryFilter
from knapweedshed.models.configuration import Urgency
from knapweedshed.models.jobs import AnswerLocation, JobState, JobStatus
from knapweedshed.models.requests import Reply, Request
from knapweedshed.models.workers import Host, HostState
from knapweedshed.results import Result, ResultCode


def short(name, who="a", urgency=Urgency.URGENT, predicted_ms=100, share=1):
    return ShortRequest(name, who, share, urgency, predicted_ms, 10_000)


def request(**changes):
    made = Request("r", "acme", "check", "", b"", 0, deadline_ms=10_000)
    return made._replace(**changes)


class ShortQueueTests(unittest.TestCase):
    """Who is next, and who is shed."""

    def test_urgent_work_goes_before_older_normal_work(self):
        queue = ShortQueue(10)
        queue.push(short("old", urgency=Urgency.NORMAL))
        queue.push(short("new"))
        self.assertEqual(queue.pop().request_id, "new")

    def test_one_organisations_burst_does_not_hold_back_another(self):
        queue = ShortQueue(100)
        for number in range(20):
            queue.push(short(f"a{number}", "a"))
        queue.push(short("b0", "b"))
        first = [queue.pop().request_id for _ in range(3)]
        self.assertIn("b0", first)

    def test_the_lowest_class_of_who_is_most_over_its_share_is_shed(self):
        queue = ShortQueue(3)
        queue.push(short("a0", "a", Urgency.NORMAL))
        queue.push(short("a1", "a", Urgency.NORMAL))
        queue.push(short("b0", "b", Urgency.NORMAL))
        self.assertEqual(queue.push(short("u0", "c")).request_id, "a1")

    def test_expired_requests_leave_the_queue(self):
        queue = ShortQueue(3)
        queue.push(short("a0"))
        self.assertEqual([r.request_id for r in queue.expired(10_000)], ["a0"])
        self.assertEqual(len(queue), 0)


class RoutingTests(unittest.TestCase):
    """Which runner takes it."""

    def test_a_full_runner_is_never_chosen_while_another_has_room(self):
        full = RunnerView("full", 8, 8, 1)
        slow = RunnerView("slow", 8, 7, 9_000)
        for seed in range(20):
            chosen = LeastExpectedTime().choose([full, slow], random.Random(seed))
            self.assertEqual(chosen.name, "slow")

    def test_nothing_is_chosen_when_all_are_full(self):
        full = RunnerView("full", 8, 8)
        self.assertIsNone(LeastExpectedTime().choose([full], random.Random(1)))


class HealthTests(unittest.TestCase):
    """Who is left out, and comes back."""

    def test_a_host_that_fails_everything_is_left_out_and_probed_back(self):
        health = Health()
        for _ in range(3):
            health.failed("bad", 0)
        self.assertEqual(health.usable(["bad", "good"], 100), ["good"])
        self.assertEqual(health.usable(["bad", "good"], 6_000), ["bad", "good"])
        health.probe_started("bad")
        self.assertEqual(health.usable(["bad", "good"], 6_001), ["good"])
        health.succeeded("bad")
        self.assertEqual(health.usable(["bad", "good"], 6_002), ["bad", "good"])

    def test_no_more_than_half_are_left_out(self):
        health = Health()
        for name in "abcd":
            for _ in range(3):
                health.failed(name, 0)
        self.assertEqual(len(health.usable(list("abcd"), 100)), 2)


class RetryTests(unittest.TestCase):
    """One layer retries, within a budget."""

    def test_retries_in_an_outage_add_a_tenth_at_most(self):
        budget = RetryBudget()
        retries = 0
        for _ in range(1_000):
            budget.earned()
            retries += budget.spend()
        self.assertLessEqual(retries, 100 + 10)

    def test_a_lost_answer_is_tried_elsewhere_and_an_old_one_is_not(self):
        clock = ManualClock()
        context = create_test_context(clock=clock)
        item = RetryFilter(clock, context.metrics)
        lost = reply_with_result(request(), Result(ResultCode.NO_RESPONSE))
        again = item.leave(request(), lost._replace(holder="bad"))
        self.assertIsInstance(again, Resend)
        self.assertEqual(again.request.tried_runners, ("bad",))
        clock.advance(10_001)
        self.assertIsInstance(item.leave(request(), lost), Reply)


class ChainTests(unittest.TestCase):
    """In through every filter, out through those entered."""

    def test_a_refusal_leaves_through_the_filters_before_it(self):
        seen = []

        class Noting(Filter):
            def __init__(self, name, refuses=False):
                self._name = name
                self._refuses = refuses

            def enter(self, request):
                if self._refuses:
                    return reply_with_result(request, Result(ResultCode.BAD_REQUEST))
                return request

            def leave(self, request, reply):
                seen.append(self._name)
                return reply

        chain = FilterChain([Noting("a"), Noting("b"), Noting("c", True), Noting("d")])
        self.assertIsInstance(chain.enter(request()), Reply)
        self.assertEqual(seen, ["b", "a"])

    def test_a_swapped_answer_never_gets_out(self):
        item = AnswerFilter(create_test_context().metrics)
        location = AnswerLocation("r0", "", "t", 5, "0" * 64)
        status = JobStatus("j", JobState.ENDED, ResultCode.OK, answer=location)
        reply = item.leave(request(), Reply(status, b"other"))
        self.assertEqual(reply.status.code, ResultCode.ANSWER_LOST)
        self.assertEqual(reply.body, b"")


class KeyTests(unittest.TestCase):
    """How old a key may be."""

    def test_a_key_older_than_our_memory_is_refused_by_name(self):
        refused = check_key("1000-x", False, 1_000_000 + 25 * 3_600_000)
        self.assertEqual(refused.code, ResultCode.KEY_TOO_OLD)

    def test_non_idempotent_work_needs_a_dated_key(self):
        for key in ("", "plain", "12x-y", "99999999999-future"):
            self.assertIsNotNone(check_key(key, False, 1_000_000), key)
        self.assertIsNone(check_key("1000-x", False, 1_000_000))


class MembershipTests(unittest.TestCase):
    """Leaving is sticky for an incarnation."""

    def test_a_lagging_list_never_brings_a_leaving_host_back(self):
        members = Members()
        host = Host("w", "worker", "north", "r", "127.0.0.1:1", incarnation="one")
        members.listed([host._replace(state=HostState.LEAVING)])
        members.listed([host])
        self.assertTrue(members.known("worker", "north")[0].leaving)
        members.listed([host._replace(incarnation="two")])
        self.assertFalse(members.known("worker", "north")[0].leaving)

    def test_an_empty_list_changes_nothing(self):
        members = Members()
        host = Host("w", "worker", "north", "r", "127.0.0.1:1")
        members.listed([host])
        members.listed([])
        self.assertEqual(len(members.known("worker", "north")), 1)


class PredictionTests(unittest.TestCase):
    """Run times are learned."""

    def test_what_was_seen_goes_before_what_was_declared(self):
        prediction = LearnedRunTime()
        for _ in range(5):
            prediction.observe("k", 100)
        self.assertEqual(prediction.total_ms("k", 9_000), 100)

    def test_work_that_outlasts_all_seen_is_expected_to_double(self):
        prediction = LearnedRunTime()
        for _ in range(5):
            prediction.observe("k", 100)
        self.assertEqual(prediction.remaining_ms("k", 50, 400), 400)
