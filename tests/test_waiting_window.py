"""A planning pass looks at a bounded number of waiting units, and at each in its turn.

Three jobs with 86,400 due occurrences each kept the acting host so busy that it lost
the role, again and again, and nobody's work started (review/12).
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.decisions.done_units import DoneUnits
from knapweedshed.decisions.number_ranges import NumberRanges
from knapweedshed.decisions.units import measure_work_left, ready_units
from knapweedshed.decisions.waiting_window import (
    MAX_STEPS_COUNT,
    MAX_UNITS_COUNT,
    WaitingWindow,
)
from knapweedshed.decisions.work_ledger import (
    MAX_LISTED_DONE_COUNT,
    JobProgress,
    WorkLedger,
)
from knapweedshed.models.work import (
    GANG_INDEX,
    EndKind,
    Resources,
    TaskEnd,
    Unit,
    WorkState,
    tasks_of_unit,
)
from knapweedshed.models.work_records import Launched, WorkAccepted
from tests.dispatch_harness import DispatchHarness, make_job, make_step

NOW_MS = 200_000_000
PERIOD_MS = 1_000
ORDINARY_ID = "f" * 16
LABELLED = "b"  # no worker of the harness has this label


def make_repeated_job(number, repeats=86_400, **fields):
    """Return a job all of whose occurrences are due."""
    first_wall_ms = NOW_MS - repeats * PERIOD_MS
    return make_job(
        f"{number:016x}",
        repeats=repeats,
        period_ms=PERIOD_MS,
        first_wall_ms=first_wall_ms,
        **fields,
    )


def make_wide_job(number, count=100_000, **fields):
    """Return a job with one step of `count` tasks."""
    return make_job(f"{number:016x}", steps=(make_step(count),), **fields)


def make_many_steps_job(number, count=400, **fields):
    """Return a job with `count` independent steps."""
    steps = tuple(make_step() for _ in range(count))
    return make_job(f"{number:016x}", steps=steps, **fields)


def make_ledger(jobs):
    """Return a ledger with the jobs accepted."""
    ledger = WorkLedger()
    for offset, job in enumerate(jobs):
        ledger.apply(offset, WorkAccepted(job))
    return ledger


class CountingPredicate:
    """Tells that units wait, but for `others`; counts how many it was asked about."""

    def __init__(self, others=()):
        self.count = 0
        self._others = set(others)

    def __call__(self, unit):
        self.count += 1
        return unit not in self._others


def choose(window, ledger, is_waiting=None, claimed=()):
    """Return the units that the next pass looks at."""
    return window.choose(ledger, NOW_MS, is_waiting or CountingPredicate(), claimed)


class BoundedPassTest(unittest.TestCase):
    """The units looked at don't grow with those that wait."""

    def _assert_bounded(self, jobs):
        ledger, window = make_ledger(jobs), WaitingWindow()
        for _ in range(3):
            predicate = CountingPredicate()
            units = choose(window, ledger, predicate)
            self.assertTrue(window.is_limited)
            self.assertLessEqual(len(units), MAX_UNITS_COUNT)
            self.assertLessEqual(len({unit[:3] for unit in units}), MAX_STEPS_COUNT)
            # Once to see that there are too many, once to choose, once in turn.
            self.assertLessEqual(predicate.count, 3 * MAX_UNITS_COUNT)

    def test_jobs_with_many_due_occurrences(self):
        self._assert_bounded([make_repeated_job(number) for number in range(3)])

    def test_hundred_jobs_of_the_largest_size(self):
        self._assert_bounded([make_wide_job(number) for number in range(100)])
        self._assert_bounded([make_repeated_job(n, 100_000) for n in range(100)])

    def test_many_steps_of_one_occurrence(self):
        self._assert_bounded([make_many_steps_job(number) for number in range(120)])

    def test_many_small_jobs(self):
        jobs = [make_wide_job(number, 1) for number in range(10_000)]
        self._assert_bounded(jobs)

    def test_all_units_are_looked_at_while_they_are_few(self):
        ledger = make_ledger([make_wide_job(1, 900), make_repeated_job(2, 90)])
        window = WaitingWindow()
        self.assertEqual(choose(window, ledger), ready_units(ledger, NOW_MS))
        self.assertFalse(window.is_limited)


class FairPassTest(unittest.TestCase):
    """Nobody's units stay unseen behind those of others."""

    def test_job_behind_larger_ones_is_looked_at_at_once(self):
        crowds = (
            [make_repeated_job(number) for number in range(3)],
            [make_many_steps_job(number) for number in range(120)],
            [make_wide_job(number) for number in range(100)],
        )
        for crowd in crowds:
            ledger = make_ledger([*crowd, make_job(ORDINARY_ID)])
            self.assertIn(Unit(ORDINARY_ID, 0, 0, 0), choose(WaitingWindow(), ledger))

    def test_urgent_job_behind_many_small_ones_is_looked_at_at_once(self):
        jobs = [make_wide_job(number, 1) for number in range(10_000)]
        jobs.insert(5_000, make_job(ORDINARY_ID, priority=0))
        units = choose(WaitingWindow(), make_ledger(jobs))
        self.assertIn(Unit(ORDINARY_ID, 0, 0, 0), units)

    def test_oldest_and_newest_occurrences_are_looked_at(self):
        units = choose(WaitingWindow(), make_ledger([make_repeated_job(1)]))
        occurrences = {unit.occurrence for unit in units}
        self.assertLessEqual({0, 1, 86_398, 86_399}, occurrences)

    def test_each_unit_has_its_turn(self):
        jobs = [make_many_steps_job(number, 300) for number in range(20)]
        jobs.append(make_wide_job(99, 9_000))
        ledger, window = make_ledger(jobs), WaitingWindow()
        unseen = set(ready_units(ledger, NOW_MS))
        passes = 0
        while unseen and passes < 60:
            unseen.difference_update(choose(window, ledger))
            passes += 1
        self.assertEqual(unseen, set())

    def test_turn_goes_on_over_jobs_that_end(self):
        ledger = make_ledger(make_wide_job(number, 3_000) for number in range(4))
        window = WaitingWindow()
        choose(window, ledger)
        del ledger.open_jobs[f"{0:016x}"]
        for _ in range(20):
            units = choose(window, ledger)
            self.assertNotIn(f"{0:016x}", {unit.job_id for unit in units})

    def test_unit_that_has_claimed_a_place_is_looked_at_in_each_pass(self):
        ledger = make_ledger([make_wide_job(1)])
        claimed = Unit(f"{1:016x}", 0, 0, 50_000)
        for _ in range(3):
            self.assertIn(claimed, choose(WaitingWindow(), ledger, claimed=[claimed]))

    def test_units_that_run_are_left_out(self):
        ledger = make_ledger([make_wide_job(1)])
        running = [Unit(f"{1:016x}", 0, 0, index) for index in range(2_000)]
        units = choose(WaitingWindow(), ledger, CountingPredicate(running))
        self.assertEqual(set(units) & set(running), set())
        self.assertIn(Unit(f"{1:016x}", 0, 0, 2_000), units)


class PlanTest(unittest.TestCase):
    """Plans of the dispatcher with more waiting units than it looks at."""

    def setUp(self):
        self.harness = DispatchHarness(workers=2)
        self.harness.now_ms = NOW_MS

    def _started_job_ids(self):
        return {order.task.job_id for order in self.harness.started}

    def test_urgent_job_starts_beside_large_jobs(self):
        for number in range(3):
            self.harness.accept(make_repeated_job(number, priority=2))
        urgent = make_job(ORDINARY_ID, priority=0)._replace(accepted_wall_ms=NOW_MS)
        self.harness.accept(urgent)
        self.harness.start_term()
        self.assertIn(ORDINARY_ID, self._started_job_ids())
        self.assertTrue(self.harness.dispatcher.waiting_is_limited)

    def test_unit_with_room_starts_though_all_before_it_have_none(self):
        steps = tuple(make_step(label=LABELLED) for _ in range(6_000))
        steps += (make_step(need=Resources(1_000, 100, 0)),)
        self.harness.accept(make_job(steps=steps))
        self.harness.start_term()
        for _ in range(60):
            self.harness.now_ms += 50
            self.harness.hold_all()
        self.assertEqual([order.task.step for order in self.harness.started], [6_000])

    def test_largest_job_completes(self):
        job = make_repeated_job(1, 6_000, steps=(make_step(), make_step(after=(0,))))
        ledger = make_ledger([job])
        progress = ledger.jobs[job.job_id]
        while progress.active:
            for unit in choose(WaitingWindow(), ledger):
                task = tasks_of_unit(unit, job.steps[unit.step])[0]
                progress.record_end(TaskEnd(1, task, 1, EndKind.DONE))
        self.assertEqual(progress.state, WorkState.COMPLETED)
        self.assertEqual(len(progress.done), 12_000)


class DoneUnitsTest(unittest.TestCase):
    """Done units behave like a set of units, and take little room."""

    @settings(max_examples=80, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 9))))
    def test_ranges_behave_like_a_set(self, parts):
        ranges, expected = NumberRanges(), set()
        for first, length in parts:
            added = set(range(first, first + length + 1)) - expected
            self.assertEqual(ranges.add(first, first + length), len(added))
            expected |= added
            self.assertEqual(len(ranges), len(expected))
        self.assertEqual(
            [n in ranges for n in range(60)], [n in expected for n in range(60)]
        )
        left = [n for first, last in ranges.gaps(45) for n in range(first, last + 1)]
        self.assertEqual(left, [n for n in range(45) if n not in expected])

    @settings(max_examples=80, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.integers(-1, 3), st.integers(-1, 3), st.integers(-1, 4)),
            max_size=40,
        )
    )
    def test_done_units_behave_like_a_set(self, keys):
        steps = (make_step(3), make_step(2, gang=True, after=(0,)), make_step(2))
        job = make_job(steps=steps, repeats=3, period_ms=1)
        valid = {
            Unit(job.job_id, occurrence, step, index)
            for occurrence in range(3)
            for step, indexes in enumerate((range(3), (GANG_INDEX,), range(2)))
            for index in indexes
        }
        done, expected = DoneUnits(job), set()
        progress = JobProgress(job, 0)
        for key in keys:
            unit = Unit(job.job_id, *key)
            self.assertEqual(done.add(unit), unit in valid - expected)
            expected |= {unit} & valid
            progress.work_left(0)
            if unit in valid:
                task = tasks_of_unit(unit, steps[unit.step])[0]
                progress.record_end(TaskEnd(1, task, 1, EndKind.DONE))
        self.assertEqual(set(done), expected)
        self.assertEqual(len(done), len(expected))
        copy = DoneUnits(job)
        for done_range in done.to_ranges():
            copy.add_range(done_range)
        self.assertEqual(copy, done)
        for occurrence in range(3):
            for number in range(3):
                of_step = {u for u in valid if u[1:3] == (occurrence, number)}
                self.assertEqual(done.has_step(occurrence, number), of_step <= expected)
                self.assertEqual(
                    set(done.units_left(occurrence, number)), of_step - expected
                )
            recomputed = measure_work_left(
                job, lambda number, at=occurrence: done.has_step(at, number)
            )
            self.assertEqual(progress.work_left(occurrence), recomputed)

    def test_steps_become_ready_as_earlier_ones_end(self):
        steps = (make_step(), make_step(after=(0,)), make_step(2, after=(1,)))
        progress = JobProgress(make_job(steps=steps), 0)
        ready = []
        for number in range(3):
            work_left = progress.work_left(0)
            ready.append((work_left.ready_steps, work_left.path_ms))
            task = tasks_of_unit(Unit("a" * 16, 0, number, 0), steps[number])[0]
            progress.record_end(TaskEnd(1, task, 1, EndKind.DONE))
        self.assertEqual(ready, [((0,), 6_000), ((1,), 4_000), ((2,), 2_000)])

    def test_snapshot_of_a_large_job_is_small_and_complete(self):
        register_all()
        job = make_repeated_job(1, steps=(make_step(), make_step(after=(0,))))
        progress = JobProgress(job, 0)
        for occurrence in range(40_000):
            for step in range(2):
                unit = Unit(job.job_id, occurrence, step, 0)
                progress.record_launch(Launched(unit, 1, (("w0", 1),)))
                task = tasks_of_unit(unit, job.steps[step])[0]
                progress.record_end(TaskEnd(1, task, 1, EndKind.DONE))
        snapshot = progress.snapshot(1, 5)
        self.assertLess(len(json_text.dumps(snapshot)), 5_000)
        reader = JobProgress(job, 0)
        reader.merge_snapshot(json_text.loads_message(json_text.dumps(snapshot)))
        self.assertEqual(len(reader.done), 80_000)
        self.assertEqual(reader.done.to_ranges(), progress.done.to_ranges())
        self.assertEqual(reader.state, WorkState.RUNNING)
        self.assertEqual((progress.launched, progress.run_count), ({}, 80_000))

    def test_short_lists_of_done_units_are_readable_for_earlier_releases(self):
        job = make_wide_job(1, 1_000)
        progress = JobProgress(job, 0)
        for index in range(MAX_LISTED_DONE_COUNT):
            task = tasks_of_unit(Unit(job.job_id, 0, 0, index), job.steps[0])[0]
            progress.record_end(TaskEnd(1, task, 1, EndKind.DONE))
        snapshot = progress.snapshot(1, 5)
        self.assertEqual(len(snapshot.done), MAX_LISTED_DONE_COUNT)
        self.assertEqual(snapshot.done_ranges, ())


if __name__ == "__main__":
    unittest.main()
