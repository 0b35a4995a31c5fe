"""Short requests: queueing, shedding, routing, retries, health and keys."""

import random
import unittest

from knapweedshed.clock import ManualClock
from knapweedshed.context import create_test_context
from knapweedshed.decisions.health import HealthTracker
from knapweedshed.decisions.keys import check_key
from knapweedshed.decisions.membership import HostRegistry
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


def make_short_request(
    name, organisation="a", urgency=Urgency.URGENT, predicted_ms=100, share=1
):
    return ShortRequest(name, organisation, share, urgency, predicted_ms, 10_000)


def make_request(**changes):
    request = Request("r", "acme", "check", "", b"", 0, deadline_ms=10_000)
    return request._replace(**changes)


class ShortQueueTests(unittest.TestCase):
    """Order of the queue, and which request is shed when it is full."""

    def test_urgent_request_precedes_an_older_normal_one(self):
        queue = ShortQueue(10)
        queue.push(make_short_request("old", urgency=Urgency.NORMAL))
        queue.push(make_short_request("new"))
        self.assertEqual(queue.pop().request_id, "new")

    def test_burst_of_one_organisation_does_not_delay_another(self):
        queue = ShortQueue(100)
        for number in range(20):
            queue.push(make_short_request(f"a{number}", "a"))
        queue.push(make_short_request("b0", "b"))
        first_served = [queue.pop().request_id for _ in range(3)]
        self.assertIn("b0", first_served)

    def test_lowest_urgency_of_the_organisation_most_over_its_share_is_shed(self):
        queue = ShortQueue(3)
        queue.push(make_short_request("a0", "a", Urgency.NORMAL))
        queue.push(make_short_request("a1", "a", Urgency.NORMAL))
        queue.push(make_short_request("b0", "b", Urgency.NORMAL))
        self.assertEqual(queue.push(make_short_request("u0", "c")).request_id, "a1")

    def test_expired_requests_leave_the_queue(self):
        queue = ShortQueue(3)
        queue.push(make_short_request("a0"))
        self.assertEqual([r.request_id for r in queue.take_expired(10_000)], ["a0"])
        self.assertEqual(len(queue), 0)


class RoutingTests(unittest.TestCase):
    """Choice of a runner for a request."""

    def test_full_runner_is_never_chosen_while_another_has_free_slots(self):
        full = RunnerView("full", 8, 8, 1)
        slow = RunnerView("slow", 8, 7, 9_000)
        for seed in range(20):
            chosen = LeastExpectedTime().choose([full, slow], random.Random(seed))
            self.assertEqual(chosen.name, "slow")

    def test_no_runner_is_chosen_when_all_are_full(self):
        full = RunnerView("full", 8, 8)
        self.assertIsNone(LeastExpectedTime().choose([full], random.Random(1)))


class HealthTests(unittest.TestCase):
    """Ejection of failing hosts, and their return."""

    def test_failing_host_is_ejected_and_returns_after_a_probe(self):
        health = HealthTracker()
        for _ in range(3):
            health.record_failure("bad", 0)
        self.assertEqual(health.usable(["bad", "good"], 100), ["good"])
        self.assertEqual(health.usable(["bad", "good"], 6_000), ["bad", "good"])
        health.record_assignment("bad")
        self.assertEqual(health.usable(["bad", "good"], 6_001), ["good"])
        health.record_success("bad")
        self.assertEqual(health.usable(["bad", "good"], 6_002), ["bad", "good"])

    def test_at_most_half_of_the_hosts_are_ejected(self):
        health = HealthTracker()
        for name in "abcd":
            for _ in range(3):
                health.record_failure(name, 0)
        self.assertEqual(len(health.usable(list("abcd"), 100)), 2)


class RetryTests(unittest.TestCase):
    """Retries happen in one filter only, within a budget."""

    def test_retries_in_an_outage_add_at_most_a_tenth(self):
        budget = RetryBudget()
        retries = 0
        for _ in range(1_000):
            budget.record_first_attempt()
            retries += budget.try_spend()
        self.assertLessEqual(retries, 100 + 10)

    def test_request_without_response_is_retried_elsewhere_until_its_deadline(self):
        clock = ManualClock()
        context = create_test_context(clock=clock)
        retry_filter = RetryFilter(clock, context.metrics)
        no_response = reply_with_result(make_request(), Result(ResultCode.NO_RESPONSE))
        retry = retry_filter.leave(make_request(), no_response._replace(holder="bad"))
        self.assertIsInstance(retry, Resend)
        self.assertEqual(retry.request.tried_runners, ("bad",))
        clock.advance(10_001)
        self.assertIsInstance(retry_filter.leave(make_request(), no_response), Reply)


class ChainTests(unittest.TestCase):
    """Requests enter every filter; replies leave through those entered, in reverse."""

    def test_refusal_leaves_through_the_filters_already_entered(self):
        left_filters = []

        class RecordingFilter(Filter):
            def __init__(self, name, refuses=False):
                self._name = name
                self._refuses = refuses

            def enter(self, request):
                if self._refuses:
                    return reply_with_result(request, Result(ResultCode.BAD_REQUEST))
                return request

            def leave(self, request, reply):
                left_filters.append(self._name)
                return reply

        chain = FilterChain(
            [
                RecordingFilter("a"),
                RecordingFilter("b"),
                RecordingFilter("c", True),
                RecordingFilter("d"),
            ]
        )
        self.assertIsInstance(chain.enter(make_request()), Reply)
        self.assertEqual(left_filters, ["b", "a"])

    def test_answer_with_a_wrong_digest_is_not_returned(self):
        answer_filter = AnswerFilter(create_test_context().metrics)
        location = AnswerLocation("r0", "", "t", 5, "0" * 64)
        status = JobStatus("j", JobState.ENDED, ResultCode.OK, answer=location)
        reply = answer_filter.leave(make_request(), Reply(status, b"other"))
        self.assertEqual(reply.status.code, ResultCode.ANSWER_LOST)
        self.assertEqual(reply.body, b"")


class KeyTests(unittest.TestCase):
    """Maximum age and format of idempotency keys."""

    def test_key_older_than_the_retention_is_refused_as_too_old(self):
        refused = check_key("1000-x", False, 1_000_000 + 25 * 3_600_000)
        self.assertEqual(refused.code, ResultCode.KEY_TOO_OLD)

    def test_non_idempotent_work_needs_a_dated_key(self):
        for key in ("", "plain", "12x-y", "99999999999-future"):
            self.assertIsNotNone(check_key(key, False, 1_000_000), key)
        self.assertIsNone(check_key("1000-x", False, 1_000_000))


class MembershipTests(unittest.TestCase):
    """A host that is leaving stays so until it has a new incarnation."""

    def test_outdated_listing_does_not_clear_the_leaving_state(self):
        registry = HostRegistry()
        host = Host("w", "worker", "north", "r", "127.0.0.1:1", incarnation="one")
        registry.update_listing([host._replace(state=HostState.LEAVING)])
        registry.update_listing([host])
        self.assertTrue(registry.hosts_of_role("worker", "north")[0].leaving)
        registry.update_listing([host._replace(incarnation="two")])
        self.assertFalse(registry.hosts_of_role("worker", "north")[0].leaving)

    def test_empty_listing_changes_nothing(self):
        registry = HostRegistry()
        host = Host("w", "worker", "north", "r", "127.0.0.1:1")
        registry.update_listing([host])
        registry.update_listing([])
        self.assertEqual(len(registry.hosts_of_role("worker", "north")), 1)


class PredictionTests(unittest.TestCase):
    """Run times predicted from observed ones."""

    def test_observed_run_time_overrides_the_declared_one(self):
        prediction = LearnedRunTime()
        for _ in range(5):
            prediction.observe("k", 100)
        self.assertEqual(prediction.total_ms("k", 9_000), 100)

    def test_job_longer_than_all_observed_is_predicted_to_double(self):
        prediction = LearnedRunTime()
        for _ in range(5):
            prediction.observe("k", 100)
        self.assertEqual(prediction.remaining_ms("k", 50, 400), 400)
