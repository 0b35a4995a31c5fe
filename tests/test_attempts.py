"""Attempt rules: all-or-nothing gangs and truthful "not run", over interleavings."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedshed.decisions import attempts as rules
from knapweedshed.models import attempts as events
from knapweedshed.models.attempts import AttemptOutcome, AttemptPhase
from knapweedshed.models.shapes import Placement
from knapweedshed.models.workers import Labels, Lease, LeaseState

LABELS = Labels("job", 1, 0, 1, "acme", False, False, True, "normal", 0)


class FakeWorker:
    """A worker with one lease that follows the worker protocol.

    `state` is the state of the lease, "never" before it is granted.
    """

    def __init__(self):
        self.state = "never"
        self.lease_freed = False
        self.task_ran = False
        self.restarted = False

    def execute(self, verb):
        """Execute a command; return "done", "refused" or "cleared <previous state>"."""
        if verb == "grant":
            if self.lease_freed or self.state != "never":
                return "refused"
            self.state = "empty"
            return "done"
        if verb == "free":
            previous_state, self.lease_freed = self.state, True
            if self.state == "running":
                self.state = "stopped"
            elif self.state != "never":
                self.state = "gone"
            return f"cleared {previous_state}"
        if self.lease_freed or self.state in ("never", "gone", "stopped"):
            return "refused"
        if verb == "start-held" and self.state == "empty":
            self.state = "held"
            return "done"
        if verb == "start" and self.state == "empty":
            self.state, self.task_ran = "running", True
            return "done"
        if verb == "release" and self.state in ("held", "running"):
            self.state, self.task_ran = "running", True
            return "done"
        if verb == "stop" and self.state == "running":
            self.state = "stopped"
            return "done"
        return "refused"


def event_for_response(verb, member, response):
    """Return the event that a worker's response to a command is turned into."""
    if response == "refused":
        return events.CommandFailed(member, verb, True, "refused")
    if response.startswith("cleared"):
        return events.LeaseFreed(member, response.split()[1])
    return {
        "grant": events.LeaseGranted(member),
        "start": events.TaskLoaded(member),
        "start-held": events.TaskLoaded(member),
        "release": events.TaskReleased(member),
        "stop": events.TaskStopped(member, "7"),
    }[verb]


class SimulatedAttempt:
    """An attempt on fake workers; the caller decides which messages are lost."""

    def __init__(self, members, needs_intent=False):
        leases = [(f"w{i}~x~{i}", Placement(f"w{i}", (0,))) for i in range(members)]
        self.workers = [FakeWorker() for _ in range(members)]
        self.attempt, actions = rules.create_attempt("job", 1, leases, needs_intent, 0)
        self.pending = []
        self.ended = None
        self.released_before_all_loaded = False
        self.intent_count = 0
        self.apply_actions(actions)

    def apply_actions(self, actions):
        """Queue commands, count intents and store the action that ends the attempt."""
        for action in actions:
            if isinstance(action, events.SendCommand):
                self.pending.append(action)
            elif isinstance(action, events.AppendIntent):
                self.intent_count += 1
            else:
                self.ended = action

    def apply_event(self, event):
        """Apply an event to the attempt, then the actions that result."""
        self.attempt, actions = rules.apply_event(self.attempt, event)
        self.apply_actions(actions)

    def deliver_command(self, index, fate):
        """Take a command from the queue and deliver or lose it as `fate` says.

        Fates are "arrives", "lost request" (the worker never gets the command) and
        "lost answer" (the worker executes it, but its response doesn't arrive).
        """
        action = self.pending.pop(index % len(self.pending))
        worker = self.workers[action.member]
        if fate == "lost request":
            event = events.CommandFailed(action.member, action.verb, False, "lost")
            self.apply_event(event)
            return
        if action.verb == "release" and any(
            w.state in ("never", "empty") for w in self.workers
        ):
            self.released_before_all_loaded = True
        response = worker.execute(action.verb)
        if fate == "lost answer":
            event = events.CommandFailed(action.member, action.verb, False, "lost")
            self.apply_event(event)
            return
        self.apply_event(event_for_response(action.verb, action.member, response))

    def run_until_settled(self):
        """Deliver all commands, advancing the clock, until the attempt ends or runs."""
        now_ms = 0
        for _ in range(200):
            if self.ended is not None:
                return
            while self.pending and self.ended is None:
                self.deliver_command(0, "arrives")
            if self.attempt.phase == AttemptPhase.RUNNING:
                return
            now_ms += 1_000
            self.apply_event(events.TimePassed(now_ms))

    def report_lease(self, member):
        """Report the state of a member's lease on its worker to the attempt."""
        state = self.workers[member].state
        if state in ("never", "gone"):
            return
        lease = Lease(
            f"w{member}", LABELS, (0,), LeaseState(state), 1_000, reason="seen"
        )
        self.apply_event(events.LeaseReported(member, lease))


# "see" delivers no command; the worker reports the state of a lease instead.
DELIVERY_FATES = st.sampled_from(
    ["arrives", "arrives", "lost request", "lost answer", "see"]
)


class AttemptTests(unittest.TestCase):
    """State transitions of one attempt."""

    def test_gang_runs_only_after_every_member_is_loaded(self):
        simulation = SimulatedAttempt(3)
        simulation.run_until_settled()
        self.assertEqual(simulation.attempt.phase, AttemptPhase.RUNNING)
        self.assertFalse(simulation.released_before_all_loaded)
        self.assertEqual([w.state for w in simulation.workers], ["running"] * 3)

    def test_refused_lease_frees_the_other_leases(self):
        simulation = SimulatedAttempt(3)
        simulation.workers[1].state = "empty"
        simulation.run_until_settled()
        self.assertEqual(simulation.ended.outcome, AttemptOutcome.NOT_RUN)
        self.assertFalse(any(w.task_ran for w in simulation.workers))

    def test_non_idempotent_work_starts_only_after_its_intent_is_accepted(self):
        simulation = SimulatedAttempt(1, needs_intent=True)
        simulation.deliver_command(0, "arrives")
        self.assertEqual(simulation.intent_count, 1)
        self.assertEqual(simulation.pending, [])
        simulation.apply_event(events.IntentResolved(True))
        self.assertEqual([a.verb for a in simulation.pending], ["start"])

    def test_rejected_intent_starts_nothing(self):
        simulation = SimulatedAttempt(1, needs_intent=True)
        simulation.deliver_command(0, "arrives")
        simulation.apply_event(events.IntentResolved(False))
        simulation.run_until_settled()
        self.assertEqual(simulation.ended.outcome, AttemptOutcome.NOT_RUN)
        self.assertFalse(simulation.workers[0].task_ran)

    def test_worker_restart_ends_the_attempt_as_lost_rather_than_not_run(self):
        simulation = SimulatedAttempt(2)
        simulation.apply_event(events.LeaseLost(0, "the worker restarted"))
        simulation.run_until_settled()
        self.assertEqual(simulation.ended.outcome, AttemptOutcome.LOST)

    def test_lost_member_stops_the_other_members(self):
        simulation = SimulatedAttempt(3)
        simulation.run_until_settled()
        simulation.apply_event(events.LeaseLost(1, "silent"))
        simulation.run_until_settled()
        self.assertEqual(simulation.ended.outcome, AttemptOutcome.LOST)
        running = [w.state for i, w in enumerate(simulation.workers) if i != 1]
        self.assertEqual(running, ["stopped", "stopped"])

    def test_checkpointed_stop_keeps_every_token(self):
        simulation = SimulatedAttempt(2)
        simulation.run_until_settled()
        simulation.apply_event(events.StopRequested("reclaimed", True))
        simulation.run_until_settled()
        self.assertEqual(simulation.ended.outcome, AttemptOutcome.STOPPED)
        self.assertEqual(
            [m.checkpoint_token for m in simulation.attempt.members], ["7", "7"]
        )

    def test_report_during_an_unanswered_free_proves_no_lapse(self):
        self.assertTrue(rules.missing_lease_lapsed(1_000, 1_200, False))
        self.assertFalse(rules.missing_lease_lapsed(1_000, 1_200, True))
        self.assertFalse(rules.missing_lease_lapsed(1_000, 900, False))

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.integers(1, 3),
        st.lists(st.tuples(st.integers(0, 5), DELIVERY_FATES), max_size=30),
        st.booleans(),
    )
    def test_started_task_is_never_reported_as_not_run(self, members, script, stop):
        simulation = SimulatedAttempt(members)
        for index, fate in script:
            if simulation.ended is not None:
                break
            if fate == "see":
                simulation.report_lease(index % members)
            elif simulation.pending:
                simulation.deliver_command(index, fate)
        if stop and simulation.ended is None:
            simulation.apply_event(events.StopRequested("cancelled", False))
        simulation.run_until_settled()
        self.assertFalse(simulation.released_before_all_loaded)
        if (
            simulation.ended is not None
            and simulation.ended.outcome == AttemptOutcome.NOT_RUN
        ):
            self.assertFalse(any(w.task_ran for w in simulation.workers))
        if (
            simulation.ended is not None
            and simulation.ended.outcome != AttemptOutcome.FINISHED
        ):
            self.assertFalse(any(w.state == "running" for w in simulation.workers))
