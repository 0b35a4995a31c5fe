"""Builders, and a dispatcher with simulated workers for tests without a network."""

from knapweedshed.controllers.decision_log import EVENT_TYPES
from knapweedshed.decisions.dispatch import Dispatcher
from knapweedshed.decisions.evacuation import NO_EVACUATIONS
from knapweedshed.decisions.unit_runs import TimeLimits
from knapweedshed.decisions.work_ledger import WorkLedger
from knapweedshed.decisions.work_order import create_ordering_policy
from knapweedshed.models.dispatch_actions import (
    ORDER_DONE,
    OrderOutcome,
    RecordLaunches,
    RecordTaskEnds,
    StartRun,
    WithdrawStarts,
)
from knapweedshed.models.overload import NO_OVERLOAD_POLICIES
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
TASK_RESOURCES = Resources(8_000, 10_000, 1)
RECORDED_TYPES = (*EVENT_TYPES, WithdrawStarts)
TIME_LIMITS = TimeLimits(lease_ms=6_000, max_acting_without_log_ms=10_000, early_ms=250)


def make_step(count=1, need=TASK_RESOURCES, estimate_ms=2_000, **fields):
    """Return a step of `count` tasks; `estimate_ms` is the expected run time."""
    return Step(count, need, estimate_ms, **fields)


def make_job(job_id="a" * 16, steps=None, priority=1, organisation="sahel", **fields):
    """Return a job in the queue "plans"; it has one step by default."""
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


def make_entry(number, rack="r1-1", incarnation=1, draining=False, **fields):
    """Return the entry of worker w<number> in the platform's list."""
    return WorkerEntry(
        f"w{number}",
        "planner",
        f"127.0.0.1:{9000 + number}",
        "tunis",
        draining,
        CAPACITY,
        ("a", rack),
        incarnation,
    )._replace(**fields)


class DispatchHarness:
    """A dispatcher, its log, and simulated workers that carry out every order.

    Orders to workers in `lossy` are lost; workers in `unreachable` get neither orders
    nor holds. `started` and `stopped` are the orders sent, in order, and `records` the
    other actions. Plans read the list of workers while it is `list_readable`. While the
    log is not `log_writable`, records are lost. Workers list `listed_ends` ends at a
    time. `now_ms` serves as both the monotonic and the wall clock.
    """

    def __init__(
        self,
        workers=2,
        entries=None,
        policies=NO_OVERLOAD_POLICIES,
        limits=TIME_LIMITS,
    ):
        self.now_ms = 1_000
        self.policies = policies
        self.limits = limits
        self.ledger = WorkLedger()
        self.entries = list(entries or (make_entry(n) for n in range(workers)))
        self.offset = 0
        self.running = {entry.worker_id: {} for entry in self.entries}
        self.ended = {entry.worker_id: [] for entry in self.entries}
        self.last_end_numbers = {entry.worker_id: 0 for entry in self.entries}
        self.list_readable = True
        self.log_writable = True
        self.listed_ends = 500
        self.lossy = set()
        self.unreachable = set()
        self.started = []
        self.stopped = []
        self.records = []
        self.epoch = 0
        self.dispatcher = None

    def append_record(self, record):
        """Append a record to the log and apply it to the ledger."""
        changed = self.ledger.apply(self.offset, record)
        self.offset += 1
        return changed

    def accept(self, job):
        """Append the acceptance of a job to the log."""
        self.append_record(WorkAccepted(job))

    def start_term(self, guaranteed=0, evacuations=NO_EVACUATIONS):
        """Claim the next epoch and start a term with a new dispatcher.

        The organisation is guaranteed `guaranteed` accelerators; `evacuations` are
        what this host has read so far.
        """
        self.epoch += 1
        self.append_record(ActingClaimed(self.epoch, f"host{self.epoch}"))
        self.dispatcher = Dispatcher(
            self.ledger,
            self.limits,
            create_ordering_policy(),
            self.now_ms,
            self.policies,
        )
        configured = ConfiguredOrganisation("sahel", ("key",), guaranteed)
        self.dispatcher.configure(ServiceConfiguration(1, (), (configured,)))
        self.dispatcher.apply_evacuations(evacuations, self.now_ms)
        self.apply_worker_list()
        self.hold_all()

    def apply_worker_list(self):
        """Apply the platform's current list of workers."""
        self.apply_actions(
            self.dispatcher.update_workers(tuple(self.entries), self.now_ms)
        )

    def drain(self, worker_id, remaining_ms):
        """List a worker as draining that has just announced it."""
        self.apply_worker_list()
        self.entries = [
            entry._replace(draining=True, remaining_ms=remaining_ms)
            if entry.worker_id == worker_id
            else entry
            for entry in self.entries
        ]
        self.apply_worker_list()

    def hold_all(self):
        """Send a hold to every reachable worker, then plan."""
        for entry in self.entries:
            self.hold(entry.worker_id)
        self.plan()

    def plan(self):
        """Read the list of workers, record ends that are due, and plan once."""
        if self.list_readable:
            self.apply_worker_list()
        self.apply_actions(self.dispatcher.take_end_records(self.now_ms))
        self.apply_actions(self.dispatcher.plan(self.now_ms, self.now_ms))

    def hold(self, worker_id):
        """Send a hold to one worker, which renews its lease, and apply the answer."""
        if worker_id in self.unreachable:
            return
        tracked_worker = self.dispatcher.workers.get(worker_id)
        if tracked_worker is None or tracked_worker.entry is None:
            return
        self.dispatcher.hold_parameters(worker_id, self.now_ms)
        answer = HoldAnswer(
            self.now_ms,
            tracked_worker.entry.incarnation,
            tuple(self.running[worker_id].values()),
            tuple(self.ended[worker_id][: self.listed_ends]),
            len(self.ended[worker_id]) < self.listed_ends,
        )
        sent_ms = self.now_ms
        self.apply_actions(
            self.dispatcher.handle_hold_answer(worker_id, answer, sent_ms, self.now_ms)
        )

    def pass_time(self, by_ms):
        """Advance the clock by `by_ms` in ticks of 100 ms, without holds."""
        end_ms = self.now_ms + by_ms
        while self.now_ms < end_ms:
            self.now_ms += 100
            self.apply_actions(self.dispatcher.tick(self.now_ms))

    def end(self, worker_id, task, kind, saved=""):
        """End a run at its worker; `kind` is the value of an `EndKind`."""
        run = self.running[worker_id].pop(task)
        self.last_end_numbers[worker_id] += 1
        self.ended[worker_id].append(
            TaskEnd(
                self.last_end_numbers[worker_id], task, run.run, EndKind(kind), saved
            )
        )

    def apply_actions(self, actions):
        """Send orders, and append records as if the log confirmed them at once."""
        for action in actions:
            if isinstance(action, RecordLaunches) and not self.log_writable:
                self.dispatcher.discard_launches(action.launches)
            elif isinstance(action, RecordTaskEnds) and not self.log_writable:
                continue
            elif isinstance(action, RecordLaunches):
                self.records.append(action)
                self.append_record(RunsLaunched(self.epoch, action.launches))
                self.apply_actions(
                    self.dispatcher.confirm_launches(action.launches, self.now_ms)
                )
            elif isinstance(action, RecordTaskEnds):
                self.records.append(action)
                changed = self.append_record(TasksEnded(self.epoch, action.ends))
                self.dispatcher.confirm_ends(action.ends)
                self.apply_actions(
                    self.dispatcher.handle_changed_jobs(changed, self.now_ms)
                )
            elif isinstance(action, RECORDED_TYPES):
                self.records.append(action)
            else:
                self._send_order(action)

    def _send_order(self, order):
        if isinstance(order, StartRun):
            self.started.append(order)
        else:
            self.stopped.append(order)
        outcome = OrderOutcome("unknown", "no answer")
        if order.worker_id not in self.unreachable | self.lossy:
            self._execute_order(order)
            outcome = OrderOutcome(ORDER_DONE)
        self.apply_actions(
            self.dispatcher.handle_order_outcome(order, outcome, self.now_ms)
        )

    def _execute_order(self, order):
        running = self.running[order.worker_id]
        if isinstance(order, StartRun):
            running[order.task] = TaskRun(order.task, order.run, "", 0)
        elif order.task in running and running[order.task].run == order.run:
            saved = running[order.task].saved
            self.end(order.worker_id, order.task, "stopped", saved)
