"""The crest of a wave: urgent work arrives where other work fills the workers."""

import unittest

from knapweedshed.models.work import Resources, Unit
from tests.work_world import World, make_job, make_step

WHOLE = Resources(8_000, 10_000, 8)
URGENT = {"priority": 0, "objective_factor": 1.5, "objective_ms": 250}


def slow_and_fast(slow=0.5, fast=1.5):
    """Return a world of a slow worker and a fast one, as learned."""
    world = World(workers=2)
    world.take_role()
    world.dispatcher._speeds._speeds = {"w0": slow, "w1": fast}
    return world


def fill(world, worker_id, estimate_ms=9_000):
    """Let other work hold a whole worker."""
    other = {"w0": "w1", "w1": "w0"}[worker_id]
    world.dispatcher.workers[other].quarantine(world.now_ms + 1)
    step = make_step(1, WHOLE, estimate_ms)
    world.accept(make_job("b" * 16, steps=(step,), priority=2))
    world.plan()
    world.now_ms += 1
    world.dispatcher.workers[other].record_success()
    world.hold_all()
    assert world.started[-1].worker_id == worker_id


class FastPlaceTest(unittest.TestCase):
    """Urgent work ends late on a slow worker, which earns a fifth."""

    def test_urgent_work_takes_a_fast_worker_from_work_that_has_just_begun(self):
        world = slow_and_fast()
        fill(world, "w1")
        world.now_ms += 300
        job = make_job("c" * 16, (make_step(1, WHOLE),), **URGENT)
        world.accept(job._replace(accepted_wall_ms=world.now_ms))
        world.plan()
        self.assertEqual([order.worker_id for order in world.stopped], ["w1"])
        world.now_ms += 100
        world.hold_all()
        world.plan()
        urgent = [o for o in world.started if o.task.job_id == "c" * 16]
        self.assertEqual([order.worker_id for order in urgent], ["w1"])

    def test_work_that_would_lose_too_much_is_let_alone(self):
        world = slow_and_fast()
        fill(world, "w1")
        world.now_ms += 1_500
        world.hold_all()
        job = make_job("c" * 16, (make_step(1, WHOLE),), **URGENT)
        world.accept(job._replace(accepted_wall_ms=world.now_ms))
        world.plan()
        self.assertEqual(world.stopped, [])
        self.assertEqual(world.started[-1].worker_id, "w0")

    def test_a_stop_that_does_not_come_is_not_waited_for_long(self):
        world = slow_and_fast()
        fill(world, "w1")
        world.cut.add("w1")
        world.accept(
            make_job("c" * 16, (make_step(1, WHOLE),), **URGENT)._replace(
                accepted_wall_ms=world.now_ms
            )
        )
        world.plan()
        self.assertEqual(len(world.stopped), 1)
        world.now_ms += 900
        world.hold_all()
        self.assertEqual(world.started[-1].worker_id, "w0")
        self.assertEqual(world.started[-1].task.job_id, "c" * 16)

    def test_a_time_of_day_that_was_set_back_does_not_lengthen_the_wait(self):
        world = slow_and_fast(slow=0.2)
        fill(world, "w1")
        world.cut.add("w1")
        job = make_job("c" * 16, (make_step(1, WHOLE),), **URGENT)
        world.accept(job._replace(accepted_wall_ms=world.now_ms + 2_400))
        world.plan()
        world.now_ms += 900
        world.hold_all()
        self.assertEqual(world.started[-1].worker_id, "w0")
        self.assertEqual(world.started[-1].task.job_id, "c" * 16)

    def test_slow_worker_that_is_fast_enough_is_taken_at_once(self):
        world = slow_and_fast(slow=0.9)
        fill(world, "w1")
        job = make_job("c" * 16, (make_step(1, WHOLE),), **URGENT)
        world.accept(job._replace(accepted_wall_ms=world.now_ms))
        world.plan()
        self.assertEqual(world.stopped, [])
        self.assertEqual(world.started[-1].worker_id, "w0")


class ClaimTest(unittest.TestCase):
    """Work that others were stopped for gets the places, also once it is late."""

    def test_the_stopped_do_not_take_their_places_again(self):
        world = World(workers=1)
        world.take_role()
        world.accept(make_job("b" * 16, (make_step(8, estimate_ms=9_000),), 2))
        world.plan()
        self.assertEqual(len(world.started), 8)
        job = make_job("c" * 16, (make_step(1, WHOLE),), **URGENT)
        slack_ms = 1_250
        accepted_ms = world.now_ms - slack_ms + 50
        world.accept(job._replace(accepted_wall_ms=accepted_ms))
        world.hold_all()
        self.assertEqual(len(world.stopped), 8)
        world.now_ms += 100
        world.hold_all()
        self.assertEqual(world.started[-1].task.job_id, "c" * 16)
        self.assertEqual(len(world.started), 9)
        self.assertEqual(len(world.stopped), 8)


class LossTest(unittest.TestCase):
    """What may be lost where no guarantee asks for it."""

    def test_a_full_worker_is_cleared_only_of_work_that_has_just_begun(self):
        for ran_ms, stopped in ((300, 1), (1_600, 0)):
            world = World(workers=1)
            world.take_role()
            world.accept(make_job("b" * 16, (make_step(1, WHOLE, 9_000),), priority=2))
            world.plan()
            world.now_ms += ran_ms
            world.hold_all()
            job = make_job("c" * 16, (make_step(1, WHOLE),), **URGENT)
            world.accept(job._replace(accepted_wall_ms=world.now_ms))
            world.plan()
            self.assertEqual(len(world.stopped), stopped, ran_ms)


class AvoidedTest(unittest.TestCase):
    """A task that failed on a worker runs elsewhere; its mates may run there."""

    def test_mates_of_a_task_that_avoids_a_worker_may_use_it(self):
        world = World(workers=2)
        world.take_role()
        world.dispatcher.workers["w1"].quarantine(world.now_ms + 5_000)
        first = Unit("a" * 16, 0, 0, 0)
        world.dispatcher._avoided_workers = {first: {"w0": world.now_ms + 3_000}}
        world.accept(make_job(steps=(make_step(2),)))
        world.plan()
        started = [(order.task.index, order.worker_id) for order in world.started]
        self.assertEqual(started, [(1, "w0")])


class PlanningTest(unittest.TestCase):
    """A list that shows nothing new asks for no plan: most lists are such."""

    def test_only_lists_that_change_the_room_ask_for_a_plan(self):
        world = World(workers=2)
        world.accept(make_job())
        world.take_role()
        self.assertFalse(world.dispatcher.capacity_changed)
        world.hold("w0")
        world.hold("w1")
        self.assertFalse(world.dispatcher.capacity_changed)
        order = world.started[0]
        world.end(order.worker_id, order.task, "done")
        world.hold(order.worker_id)
        self.assertTrue(world.dispatcher.capacity_changed)

    def test_a_worker_that_is_heard_again_asks_for_a_plan(self):
        world = World(workers=1)
        world.take_role()
        world.now_ms += 5_000
        world.hold("w0")
        self.assertTrue(world.dispatcher.capacity_changed)


class GuaranteeTest(unittest.TestCase):
    """A guarantee covers urgent work in the order of acceptance."""

    def test_two_units_do_not_count_on_the_same_accelerators(self):
        world = World(workers=2)
        world.take_role(guaranteed=8)
        step = make_step(1, WHOLE, 9_000)
        for name in "bd":
            world.accept(make_job(name * 16, (step,), priority=2))
        world.plan()
        world.now_ms += 5_000
        world.hold_all()
        for name in "ce":
            world.accept(make_job(name * 16, (make_step(1, WHOLE),), **URGENT))
        world.plan()
        self.assertEqual(len(world.stopped), 1)


if __name__ == "__main__":
    unittest.main()
