"""Jobs that would stop every host if they were accepted, and the largest that are not.

Guards against one request that takes the whole service down: the acting host runs out
of memory on its tasks, or its planning fails on its numbers; then the next host does.
"""

import time
import unittest

from knapweedshed.decisions.job_limits import (
    MAX_DURATION_MS,
    MAX_RESOURCE,
    MAX_STEPS_COUNT,
    MAX_TASKS_COUNT,
    MAX_WALL_MS,
    find_fault,
)
from knapweedshed.filters.work_calls import JobValidationFilter
from knapweedshed.models.calls import CallKind, JobDraft, WorkCall
from knapweedshed.models.service_configuration import ServiceConfiguration
from knapweedshed.models.work import Resources
from knapweedshed.results import ResultCode
from tests.dispatch_harness import DispatchHarness, make_job, make_step

MAX_PLAN_S = 10  # of the largest job, on a busy machine


def make_draft(*steps, **fields):
    return JobDraft("text", steps, **fields)


class JobLimitsTest(unittest.TestCase):
    """Every number of a job has bounds, and the fault names its place."""

    def _assert_rejected(self, draft, reason):
        self.assertIn(reason, find_fault(draft))
        call = WorkCall(
            "c", CallKind.SUBMIT, "h", "/", "k", 0, 0, draft=draft, job_id="a" * 16
        )
        reply = JobValidationFilter(ServiceConfiguration).enter(call)
        self.assertEqual(reply.result.code, ResultCode.BAD_REQUEST)

    def test_number_of_tasks_and_steps(self):
        self._assert_rejected(make_draft(make_step(10**9)), "step 0: count")
        self._assert_rejected(make_draft(make_step(0)), "step 0: count")
        many = make_draft(make_step(MAX_TASKS_COUNT), make_step(1))
        self._assert_rejected(many, "tasks")
        self._assert_rejected(make_draft(), "steps")
        self._assert_rejected(make_draft(*[make_step()] * 1_001), "steps")

    def test_occurrences(self):
        step = make_step()
        self._assert_rejected(make_draft(step, repeats=10**12), "repeats")
        self._assert_rejected(make_draft(step, repeats=-1), "repeats")
        self._assert_rejected(make_draft(make_step(1_000), repeats=1_000), "tasks")
        self._assert_rejected(make_draft(step, period_ms=10**18), "period")
        self._assert_rejected(make_draft(step, first_wall_ms=10**30), "due")

    def test_numbers_that_do_not_fit_a_float(self):
        huge = 10**400
        self._assert_rejected(make_draft(make_step(estimate_ms=huge)), "estimate")
        self._assert_rejected(make_draft(make_step(estimate_ms=-1)), "estimate")
        self._assert_rejected(make_draft(make_step(may_miss=-1)), "may_miss")
        step = make_step(need=Resources(huge, 1, 1))
        self._assert_rejected(make_draft(make_step(), step), "step 1: a task needs")

    def test_dependencies_on_later_steps(self):
        step = make_step(after=(1,))
        self._assert_rejected(make_draft(step, make_step()), "step 0: a step depends")

    def test_ordinary_job_has_no_fault(self):
        steps = (make_step(128, gang=True), make_step(39, after=(0,)))
        self.assertEqual(find_fault(make_draft(*steps, repeats=24)), "")


class LargestJobTest(unittest.TestCase):
    """Jobs at the limits are planned like others."""

    def _plan(self, *steps, **fields):
        self.assertEqual(find_fault(make_draft(*steps)), "")
        harness = DispatchHarness(workers=2)
        harness.start_term()
        harness.accept(make_job(steps=steps, **fields))
        harness.accept(make_job("b" * 16))
        started_s = time.monotonic()
        harness.plan()
        self.assertLess(time.monotonic() - started_s, MAX_PLAN_S)
        return {order.task.job_id[0] for order in harness.started}

    def test_job_with_the_most_tasks(self):
        self.assertIn("a", self._plan(make_step(MAX_TASKS_COUNT)))

    def test_job_with_the_most_steps(self):
        chain = [make_step(after=(n - 1,) if n else ()) for n in range(MAX_STEPS_COUNT)]
        self.assertEqual(self._plan(*chain), {"a", "b"})

    def test_job_with_the_longest_times_and_the_largest_tasks(self):
        need = Resources(MAX_RESOURCE, MAX_RESOURCE, MAX_RESOURCE)
        for priority in (0, 1):
            step = make_step(8, need, MAX_DURATION_MS, gang=True, same_rack=True)
            self.assertEqual(self._plan(step, priority=priority), {"b"})

    def test_job_that_is_due_in_the_far_future(self):
        repeated = {"first_wall_ms": MAX_WALL_MS, "repeats": 3, "period_ms": 1}
        self.assertEqual(self._plan(make_step(), **repeated), {"b"})


if __name__ == "__main__":
    unittest.main()
