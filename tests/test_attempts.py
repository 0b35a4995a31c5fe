"""Attempts: gangs whole or not at all, and a true "not run", over all interleavings."""

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
    """A worker with one lease, which keeps its side of the promises."""

    def __init__(self):
        self.state = "never"
        self.barred = False
        self.ran = False
        self.restarted = False

    def do(self, verb):
        """Carry out a command; return its event's kind, or a refusal."""
        if verb == "grant":
            if self.barred or self.state != "never":
                return "refused"
            self.state = "empty"
            return "done"
        if verb == "free":
            before, self.barred = self.state, True
            if self.state == "running":
                self.state = "stopped"
            elif self.state != "never":
                self.state = "gone"
            return f"cleared {before}"
        if self.barred or self.state in ("never", "gone", "stopped"):
            return "refused"
        if verb == "start-held" and self.state == "empty":
            self.state = "held"
            return "done"
        if verb == "start" and self.state == "empty":
            self.state, self.ran = "running", True
            return "done"
        if verb == "release" and self.state in ("held", "running"):
            self.state, self.ran = "running", True
            return "done"
        if verb == "stop" and self.state == "running":
            self.state = "stopped"
            return "done"
        return "refused"


def event_for(verb, member, said):
    """Return the event that an answer becomes."""
    if said == "refused":
        return events.CommandFailed(member, verb, True, "refused")
    if said.startswith("cleared"):
        return events.LeaseFreed(member, said.split()[1])
    return {
        "grant": events.LeaseGranted(member),
        "start": events.TaskLoaded(member),
        "start-held": events.TaskLoaded(member),
        "release": events.TaskReleased(member),
        "stop": events.TaskStopped(member, "7"),
    }[verb]


class Run:
    """An attempt against fake workers, with messages lost as a script says."""

    def __init__(self, members, needs_intent=False):
        leases = [(f"w{i}~x~{i}", Placement(f"w{i}", (0,))) for i in range(members)]
        self.workers = [FakeWorker() for _ in range(members)]
        self.attempt, actions = rules.begin("job", 1, leases, needs_intent, 0)
        self.pending = []
        self.ended = None
        self.released_before_all_loaded = False
        self.intents = 0
        self.take(actions)

    def take(self, actions):
        """Queue commands, and note what the rules decided."""
        for action in actions:
            if isinstance(action, events.SendCommand):
                self.pending.append(action)
            elif isinstance(action, events.AppendIntent):
                self.intents += 1
            else:
                self.ended = action

    def happen(self, event):
        """Apply an event."""
        self.attempt, actions = rules.step(self.attempt, event)
        self.take(actions)

    def deliver(self, index, fate):
        """Deliver a pending command: it and its answer arrive, or get lost."""
        action = self.pending.pop(index % len(self.pending))
        worker = self.workers[action.member]
        if fate == "lost request":
            event = events.CommandFailed(action.member, action.verb, False, "lost")
            self.happen(event)
            return
        if action.verb == "release" and any(
            w.state in ("never", "empty") for w in self.workers
        ):
            self.released_before_all_loaded = True
        said = worker.do(action.verb)
        if fate == "lost answer":
            said_event = events.CommandFailed(action.member, action.verb, False, "lost")
            self.happen(said_event)
            return
        self.happen(event_for(action.verb, action.member, said))

    def finish(self):
        """Deliver everything from here on, until the attempt ends or runs."""
        now_ms = 0
        for _ in range(200):
            if self.ended is not None:
                return
            while self.pending and self.ended is None:
                self.deliver(0, "arrives")
            if self.attempt.phase == AttemptPhase.RUNNING:
                return
            now_ms += 1_000
            self.happen(events.TimePassed(now_ms))

    def see(self, member):
        """Report a member's lease as its worker holds it."""
        state = self.workers[member].state
        if state in ("never", "gone"):
            return
        lease = Lease(
            f"w{member}", LABELS, (0,), LeaseState(state), 1_000, reason="seen"
        )
        self.happen(events.LeaseReported(member, lease))


FATES = st.sampled_from(["arrives", "arrives", "lost request", "lost answer", "see"])


class AttemptTests(unittest.TestCase):
    """The rules of one attempt."""

    def test_a_gang_runs_only_after_every_member_is_loaded(self):
        run = Run(3)
        run.finish()
        self.assertEqual(run.attempt.phase, AttemptPhase.RUNNING)
        self.assertFalse(run.released_before_all_loaded)
        self.assertEqual([w.state for w in run.workers], ["running"] * 3)

    def test_a_refused_lease_gives_back_all_others(self):
        run = Run(3)
        run.workers[1].state = "empty"
        run.finish()
        self.assertEqual(run.ended.outcome, AttemptOutcome.NOT_RUN)
        self.assertFalse(any(w.ran for w in run.workers))

    def test_non_idempotent_work_starts_only_after_its_intent_won(self):
        run = Run(1, needs_intent=True)
        run.deliver(0, "arrives")
        self.assertEqual(run.intents, 1)
        self.assertEqual(run.pending, [])
        run.happen(events.IntentResolved(True))
        self.assertEqual([a.verb for a in run.pending], ["start"])

    def test_a_lost_intent_starts_nothing(self):
        run = Run(1, needs_intent=True)
        run.deliver(0, "arrives")
        run.happen(events.IntentResolved(False))
        run.finish()
        self.assertEqual(run.ended.outcome, AttemptOutcome.NOT_RUN)
        self.assertFalse(run.workers[0].ran)

    def test_a_restarted_worker_is_unknown_not_not_run(self):
        run = Run(2)
        run.happen(events.LeaseLost(0, "the worker restarted"))
        run.finish()
        self.assertEqual(run.ended.outcome, AttemptOutcome.LOST)

    def test_a_member_that_is_lost_takes_the_others_with_it(self):
        run = Run(3)
        run.finish()
        run.happen(events.LeaseLost(1, "silent"))
        run.finish()
        self.assertEqual(run.ended.outcome, AttemptOutcome.LOST)
        running = [w.state for i, w in enumerate(run.workers) if i != 1]
        self.assertEqual(running, ["stopped", "stopped"])

    def test_a_checkpointed_stop_keeps_every_token(self):
        run = Run(2)
        run.finish()
        run.happen(events.StopRequested("reclaimed", True))
        run.finish()
        self.assertEqual(run.ended.outcome, AttemptOutcome.STOPPED)
        self.assertEqual([m.checkpoint_token for m in run.attempt.members], ["7", "7"])

    def test_report_made_while_a_free_is_in_flight_proves_no_lapse(self):
        self.assertTrue(rules.missing_is_gone(1_000, 1_200, False))
        self.assertFalse(rules.missing_is_gone(1_000, 1_200, True))
        self.assertFalse(rules.missing_is_gone(1_000, 900, False))

    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        st.integers(1, 3),
        st.lists(st.tuples(st.integers(0, 5), FATES), max_size=30),
        st.booleans(),
    )
    def test_not_run_is_never_said_of_what_ran(self, members, script, stop):
        run = Run(members)
        for index, fate in script:
            if run.ended is not None:
                break
            if fate == "see":
                run.see(index % members)
            elif run.pending:
                run.deliver(index, fate)
        if stop and run.ended is None:
            run.happen(events.StopRequested("cancelled", False))
        run.finish()
        self.assertFalse(run.released_before_all_loaded)
        if run.ended is not None and run.ended.outcome == AttemptOutcome.NOT_RUN:
            self.assertFalse(any(w.ran for w in run.workers))
        if run.ended is not None and run.ended.outcome != AttemptOutcome.FINISHED:
            self.assertFalse(any(w.state == "running" for w in run.workers))
