"""Builders and a small world of workers for tests of whole jobs; no network."""

from knapweedshed.decisions.dispatch import Dispatcher
from knapweedshed.decisions.unit_runs import TimeLimits
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.decisions.work_order import create_ordering_policy
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    OrderOutcome,
    Preempted,
    RecordLaunches,
    RecordTaskEnds,
    RunLost,
    StartRun,
    WorkerHung,
)
from knapweedshed.models.service_configuration import (
    ConfiguredOrganisation,
    ServiceConfiguration,
)
from knapweedshed.models.work import (
    EndKind,
    HoldAnswer,
    Resources,
    Step,
    TaskEnd,
    TaskRun,
    WorkerEntry,
    WorkJob,
)
from knapweedshed.models.work_records import (
    ActingClaimed,
    RunsLaunched,
    TasksEnded,
    WorkAccepted,
)

CAPACITY = Resources(64_000, 131_072, 8)
NEED = Resources(8_000, 10_000, 1)
BOUNDS = TimeLimits(lease_ms=6_000, max_acting_without_log_ms=10_000, early_ms=250)


def make_step(count=1, need=NEED, estimate_ms=2_000, **fields):
    """Return a step."""
    return Step(count, need, estimate_ms, **fields)


def make_job(job_id="a" * 16, steps=None, priority=1, organisation="sahel", **fields):
    """Return a job of one queue."""
    values = {"max_failures": 2, "objective_factor": 3.0, "objective_ms": 1_000}
    values.update(fields)
    return WorkJob(
        job_id=job_id,
        queue="plans",
        service="planner",
        organisation=organisation,
        priority=priority,
        specification="text",
        steps=steps or (make_step(),),
        accepted_wall_ms=0,
        **values,
    )


def make_entry(number, rack="r1-1", incarnation=1, draining=False):
    """Return a worker's entry."""
    return WorkerEntry(
        f"w{number}",
        "planner",
        f"127.0.0.1:{9000 + number}",
        "tunis",
        draining,
        CAPACITY,
        ("a", rack),
        incarnation,
    )


class World:
    """A dispatcher, its log, and workers that do as they are told.

    Orders to what is in `lossy` are lost; what is in `cut` hears nothing at all.
    """

    def __init__(self, workers=2, entries=None):
        self.now_ms = 1_000
        self.ledger = WorkLedger()
        self.entries = list(entries or (make_entry(n) for n in range(workers)))
        self.offset = 0
        self.running = {entry.worker_id: {} for entry in self.entries}
        self.ended = {entry.worker_id: [] for entry in self.entries}
        self.numbers = {entry.worker_id: 0 for entry in self.entries}
        self.lossy = set()
        self.cut = set()
        self.started = []
        self.stopped = []
        self.records = []
        self.epoch = 0
        self.dispatcher = None

    def fold(self, record):
        """Append a record, and fold it."""
        changed = self.ledger.apply(self.offset, record)
        self.offset += 1
        return changed

    def accept(self, job):
        """Append a job."""
        self.fold(WorkAccepted(job))

    def take_role(self, guaranteed=0):
        """Claim the next epoch and begin a term."""
        self.epoch += 1
        self.fold(ActingClaimed(self.epoch, f"host{self.epoch}"))
        self.dispatcher = Dispatcher(
            self.ledger, BOUNDS, create_ordering_policy(), self.now_ms
        )
        owner = ConfiguredOrganisation("sahel", ("key",), guaranteed)
        self.dispatcher.configure(ServiceConfiguration(1, (), (owner,)))
        self.list_workers()
        self.hold_all()

    def list_workers(self):
        """Let the platform's list be read."""
        self.do(self.dispatcher.update_workers(tuple(self.entries), self.now_ms))

    def hold_all(self):
        """Hold every worker that can be reached, then plan."""
        for entry in self.entries:
            self.hold(entry.worker_id)
        self.plan()

    def plan(self):
        """Plan once."""
        self.do(self.dispatcher.take_end_records(self.now_ms))
        self.do(self.dispatcher.plan(self.now_ms, self.now_ms))

    def hold(self, worker_id):
        """Hold one worker."""
        if worker_id in self.cut:
            return
        belief = self.dispatcher.workers.get(worker_id)
        if belief is None or belief.entry is None:
            return
        self.dispatcher.hold_parameters(worker_id, self.now_ms)
        lists = HoldAnswer(
            self.now_ms,
            belief.entry.incarnation,
            tuple(self.running[worker_id].values()),
            tuple(self.ended[worker_id]),
        )
        sent_ms = self.now_ms
        self.do(
            self.dispatcher.handle_hold_answer(worker_id, lists, sent_ms, self.now_ms)
        )

    def pass_time(self, by_ms):
        """Let time pass in ticks, without holds."""
        end_ms = self.now_ms + by_ms
        while self.now_ms < end_ms:
            self.now_ms += 100
            self.do(self.dispatcher.tick(self.now_ms))

    def end(self, worker_id, task, kind, saved=""):
        """Let a run end at its worker."""
        run = self.running[worker_id].pop(task)
        self.numbers[worker_id] += 1
        self.ended[worker_id].append(
            TaskEnd(self.numbers[worker_id], task, run.run, EndKind(kind), saved)
        )

    def do(self, actions):
        """Carry out orders, and write records as if the log took them at once."""
        for action in actions:
            if isinstance(action, RecordLaunches):
                self.records.append(action)
                self.fold(RunsLaunched(self.epoch, action.launches))
                self.do(self.dispatcher.confirm_launches(action.launches, self.now_ms))
            elif isinstance(action, RecordTaskEnds):
                self.records.append(action)
                changed = self.fold(TasksEnded(self.epoch, action.ends))
                self.dispatcher.confirm_ends(action.ends)
                self.do(self.dispatcher.handle_changed_jobs(changed, self.now_ms))
            elif isinstance(action, (Preempted, RunLost, WorkerHung)):
                self.records.append(action)
            else:
                self._give(action)

    def _give(self, order):
        if isinstance(order, StartRun):
            self.started.append(order)
        else:
            self.stopped.append(order)
        outcome = OrderOutcome("unknown", "no answer")
        if order.worker_id not in self.cut | self.lossy:
            self._carry_out(order)
            outcome = OrderOutcome(ORDER_DONE)
        self.do(self.dispatcher.handle_order_outcome(order, outcome, self.now_ms))

    def _carry_out(self, order):
        there = self.running[order.worker_id]
        if isinstance(order, StartRun):
            there[order.task] = TaskRun(order.task, order.run, "", 0)
        elif order.task in there and there[order.task].run == order.run:
            self.end(order.worker_id, order.task, "stopped")
