"""Load figures that the acting host publishes in the work stream."""

from knapweedshed.decisions.overload.load_figure import (
    MIN_REPORT_PERIOD_MS,
    SHORTAGE_REPORT_PERIOD_MS,
    FinishRates,
    ReportSchedule,
    measure_loads,
    running_cores,
)
from knapweedshed.decisions.overload.shortage import (
    find_shortages,
    running_work,
    service_capacities,
)
from knapweedshed.decisions.units import ready_units
from knapweedshed.decisions.waiting import collect_waiting_steps
from knapweedshed.decisions.work_order import core_seconds
from knapweedshed.models.service_configuration import ServiceConfiguration
from knapweedshed.models.work import EndKind
from knapweedshed.models.work_records import LoadReported

MAX_LOGGED_LOADS_COUNT = 20
MAX_MEASURED_UNITS_COUNT = 20_000  # so many that wait show any shortage
# Times the last measurement's duration; limits it to a quarter of the processor time.
MEASURE_PERIOD_RATIO = 4


class LoadReports:
    """Measures the load and decides when to publish it; for `TermRecords` only."""

    def __init__(self, context, ledger):
        self._context = context
        self._ledger = ledger
        self._rates = FinishRates(context.clock.now_ms())
        self._schedule = ReportSchedule()
        self._next_measure_ms = 0

    def note_ends(self, ends):
        """Take the ends of runs that this host has recorded."""
        now_ms = self._context.clock.now_ms()
        for end in ends:
            if end.kind != EndKind.DONE or not self._ledger.has_task(end.task):
                continue
            job = self._ledger.jobs[end.task.job_id].job
            core_s = core_seconds(job.steps[end.task.step], 1)
            self._rates.note_end(job.service, job.priority, core_s, now_ms)

    def due(self, dispatcher, now_ms):
        """Return the `LoadReported` to append now, as a list of one or none."""
        if now_ms < self._next_measure_ms or not self._schedule.is_open(now_ms):
            return []
        measured = self._measure(dispatcher, now_ms)
        duration_ms = self._context.clock.now_ms() - now_ms
        period_ms = max(MIN_REPORT_PERIOD_MS, MEASURE_PERIOD_RATIO * duration_ms)
        self._next_measure_ms = now_ms + min(SHORTAGE_REPORT_PERIOD_MS, period_ms)
        loads = self._schedule.take_due(measured, now_ms)
        if loads is None:
            return []
        self._context.metrics.count("load.reports")
        self._context.logger.info(
            "load reported",
            extra={
                "epoch": self._ledger.epoch,
                "loads": [list(load) for load in loads[:MAX_LOGGED_LOADS_COUNT]],
            },
        )
        return [LoadReported(self._ledger.epoch, loads)]

    def _measure(self, dispatcher, now_ms):
        """Return the loads of the services that are short."""
        ledger, runs = self._ledger, dispatcher.runs
        wall_ms = self._context.clock.wall_ms()
        ready = ready_units(ledger, wall_ms, MAX_MEASURED_UNITS_COUNT)
        units = [unit for unit in ready if unit not in runs]
        waiting_steps = collect_waiting_steps(
            units, ledger, runs, ServiceConfiguration(), now_ms, wall_ms
        )
        shortages = find_shortages(
            waiting_steps,
            running_work(ledger, runs, now_ms),
            service_capacities(dispatcher.workers, now_ms),
            now_ms,
        )
        rates = self._rates.per_second(now_ms)
        running = running_cores(ledger, runs)
        return measure_loads(waiting_steps, rates, shortages, now_ms, running)
