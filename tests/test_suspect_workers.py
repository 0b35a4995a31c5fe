"""Gangs stay off workers that fail all that they start.

Guards against a few faulty workers that break gang after gang until the gangs have used
up their attempts: 18 of 176 workers failed jobs for good within a second.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.decisions.failure_attribution import (
    FAILED_WORKER_AVOIDANCE_MS,
    MIN_PRUNED_COUNT,
)
from knapweedshed.decisions.overload.suspect_workers import SUSPICION_MS
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES, OverloadPolicies
from knapweedshed.models.work import EndKind
from tests.dispatch_harness import DispatchHarness, make_entry, make_job, make_step

SUSPECT_AVOIDANCE = OverloadPolicies(suspect_avoidance=True)


def make_harness(policies=SUSPECT_AVOIDANCE, workers=10):
    """Return a harness in which w0 has failed the single task of a job."""
    harness = DispatchHarness(workers=workers, policies=policies)
    harness.start_term()
    for number in range(1, workers):
        harness.dispatcher.workers[f"w{number}"].quarantine(harness.now_ms + 1)
    harness.accept(make_job(steps=(make_step(),)))
    harness.plan()
    (start,) = harness.started
    harness.now_ms += 1
    harness.end("w0", start.task, EndKind.FAILED)
    harness.hold_all()
    return harness


def start_gang(harness, count=2, job_id="b" * 16):
    """Accept a gang, and return the workers on which it starts."""
    harness.accept(make_job(job_id, steps=(make_step(count, gang=True),)))
    harness.plan()
    return [o.worker_id for o in harness.started if o.task.job_id == job_id]


class SuspectWorkersTest(unittest.TestCase):
    def test_avoided_workers_of_units_are_forgotten_after_their_time(self):
        # Kept for a whole term, each unit that ever failed would take memory.
        harness = make_harness(NO_OVERLOAD_POLICIES)
        attribution = harness.dispatcher._failure_attribution
        task = harness.started[0].task
        job = make_job("c" * 16, steps=(make_step(3 * MIN_PRUNED_COUNT),))
        harness.accept(job)
        for index in range(3 * MIN_PRUNED_COUNT):
            now_ms = index * FAILED_WORKER_AVOIDANCE_MS
            attribution.avoid(
                task._replace(job_id=job.job_id, index=index), "w1", now_ms
            )
        avoided = attribution.avoided_workers((), now_ms)
        self.assertLessEqual(len(avoided), MIN_PRUNED_COUNT)

    def test_gang_does_not_start_on_a_worker_whose_last_run_failed(self):
        workers = start_gang(make_harness())
        self.assertEqual(len(workers), 2)
        self.assertNotIn("w0", workers)

    def test_unit_that_failed_before_does_not_try_out_another_suspect(self):
        harness = make_harness()
        again = harness.started[-1]
        self.assertEqual((again.run, again.worker_id == "w0"), (2, False))

    def test_single_task_tries_the_worker_out(self):
        harness = make_harness()
        for number in range(1, 10):
            harness.dispatcher.workers[f"w{number}"].quarantine(harness.now_ms + 1)
        harness.accept(make_job("c" * 16, steps=(make_step(),)))
        harness.plan()
        self.assertEqual(harness.started[-1].worker_id, "w0")

    def test_success_ends_the_suspicion(self):
        harness = make_harness(workers=2)
        harness.dispatcher.workers["w1"].quarantine(harness.now_ms + 1)
        harness.accept(make_job("c" * 16, steps=(make_step(),)))
        harness.plan()
        harness.end("w0", harness.started[-1].task, EndKind.DONE)
        harness.now_ms += 2
        harness.hold_all()
        self.assertEqual(set(start_gang(harness, 15)), {"w0", "w1"})

    def test_gang_that_fits_nowhere_else_waits_for_a_limited_time(self):
        harness = make_harness(workers=2)
        self.assertEqual(start_gang(harness, 15), [])
        harness.now_ms += SUSPICION_MS
        harness.apply_worker_list()
        harness.hold_all()
        harness.plan()
        self.assertEqual(len(harness.started), 2 + 15)

    def test_without_the_policy_gangs_use_the_worker(self):
        harness = make_harness(NO_OVERLOAD_POLICIES, workers=2)
        self.assertEqual(set(start_gang(harness, 15)), {"w0", "w1"})

    @given(st.integers(1, 10))
    @settings(derandomize=True, max_examples=10)
    def test_most_workers_stay_in_use_whatever_fails(self, failing):
        harness = DispatchHarness(workers=10, policies=SUSPECT_AVOIDANCE)
        harness.start_term()
        attribution = harness.dispatcher._failure_attribution
        for number in range(failing):
            worker = harness.dispatcher.workers[f"w{number}"]
            attribution._suspects.note_failure(worker, harness.now_ms)
        self.assertEqual(len(start_gang(harness, 64)), 64)

    def test_suspects_of_a_small_service_leave_most_of_it_in_use(self):
        """A fifth of all workers may be more than a small service has."""
        entries = [make_entry(number) for number in range(4)]
        entries += [make_entry(number, service="other") for number in range(4, 40)]
        harness = DispatchHarness(entries=entries, policies=SUSPECT_AVOIDANCE)
        harness.start_term()
        attribution = harness.dispatcher._failure_attribution
        for number in range(4):
            worker = harness.dispatcher.workers[f"w{number}"]
            attribution._suspects.note_failure(worker, harness.now_ms)
        self.assertEqual(len(start_gang(harness, 24)), 24)

    def test_only_worker_of_a_service_is_not_avoided(self):
        """Single tasks that fail there would keep gangs off it for good."""
        harness = DispatchHarness(workers=1, policies=SUSPECT_AVOIDANCE)
        harness.start_term()
        worker = harness.dispatcher.workers["w0"]
        suspects = harness.dispatcher._failure_attribution._suspects
        suspects.note_failure(worker, harness.now_ms)
        self.assertEqual(start_gang(harness), ["w0", "w0"])


class AvoidedWorkersMemoryTest(unittest.TestCase):
    def test_workers_that_ended_jobs_avoided_are_forgotten(self):
        """The memory grew with each failed unit until the end of the term."""
        harness = DispatchHarness(workers=2)
        harness.start_term()
        for number in range(20):
            harness.now_ms += 20_000
            harness.accept(make_job(f"{number:016x}", max_failures=1))
            harness.hold_all()
            start = harness.started[-1]
            harness.end(start.worker_id, start.task, EndKind.FAILED)
            harness.hold_all()
        self.assertEqual(len(harness.started), 20)
        avoided_workers = harness.dispatcher._failure_attribution._avoided_workers
        self.assertLessEqual(len(avoided_workers), 1)


if __name__ == "__main__":
    unittest.main()
