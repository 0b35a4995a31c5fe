"""Log lines for the decisions of the acting scheduler, with their reasons."""

from functools import singledispatchmethod

from knapweedshed.codecs import json_text
from knapweedshed.decisions.units import critical_path_ms
from knapweedshed.models.dispatch_actions import (
    HeadroomChanged,
    Preempted,
    RunLost,
    RunStopped,
    StartsGivenUp,
    UnitMoved,
    WorkerHung,
)

EVENT_TYPES = (
    HeadroomChanged,
    Preempted,
    RunLost,
    RunStopped,
    StartsGivenUp,
    UnitMoved,
    WorkerHung,
)
MAX_JOBS = 20  # ids in one line
MAX_WORKERS = 20  # ids in one line


class DecisionLog:
    """Writes one log line for each decision; used by the scheduling controller only."""

    def __init__(self, context):
        self._context = context
        self._logger = context.logger
        self._logged_job_ids = set()
        self._short_services = frozenset()
        self._is_plan_limited = False

    def log_launches(self, launches):
        """Log the runs that are about to be recorded and started."""
        for launch in launches:
            self._logger.info(
                "launch",
                extra={
                    "job": launch.unit.job_id,
                    "unit": list(launch.unit[1:]),
                    "run": launch.run,
                    "workers": [worker_id for worker_id, _ in launch.workers],
                },
            )

    def log_failed_launches(self, launches, verdict, reason, age_ms):
        """Log launches whose append failed, and what that means for them."""
        self._context.metrics.count(f"launches.{verdict.name.lower()}")
        self._logger.warning(
            "launches not appended",
            extra={
                "jobs": sorted({launch.unit.job_id for launch in launches})[:MAX_JOBS],
                "launches": len(launches),
                "verdict": str(verdict),
                "reason": reason,
                "age_ms": age_ms,
            },
        )

    def log_rejected_record(self, record, reason):
        """Log a record that the log will never take."""
        self._logger.error(
            "record rejected by the log",
            extra={
                "record": type(record).__name__,
                "reason": reason,
                "content": str(record)[: json_text.MAX_REASON_CHARS],
            },
        )

    def log_log_reachable(self, away_ms):
        """Log that the log can be read again after `away_ms`."""
        self._logger.info("log reachable again", extra={"away_ms": away_ms})

    def log_found_run(self, worker_id, task, run):
        """Log a run that a worker lists and that no launch record names."""
        self._context.metrics.count("runs.unrecorded")
        self._logger.warning(
            "run without a record",
            extra={
                "job": task.job_id,
                "task": list(task[1:]),
                "run": run,
                "worker": worker_id,
            },
        )

    def log_order_not_done(self, order, outcome):
        """Log an order that was refused, not answered or not sent."""
        self._logger.info(
            "order not done",
            extra={
                "job": order.task.job_id,
                "task": list(order.task[1:]),
                "run": order.run,
                "order": type(order).__name__,
                "worker": order.worker_id,
                "outcome": outcome.kind,
                "reason": outcome.reason,
            },
        )

    @singledispatchmethod
    def log_event(self, event):
        """Log an event that the dispatcher has returned, one of `EVENT_TYPES`."""
        raise TypeError(f"no log line for {type(event).__name__}")

    @log_event.register
    def log_preemption(self, preempted: Preempted):
        """Log the preempted units, the job that needs their capacity, and lost work."""
        self._context.metrics.count("preempted", len(preempted.units))
        self._context.metrics.count("preempted.again", len(preempted.again))
        self._logger.info(
            "preempted",
            extra={
                "job": preempted.preempting_unit.job_id,
                "units": [list(unit) for unit in preempted.units],
                "guaranteed": preempted.guaranteed,
                "lost_core_s": round(preempted.lost_core_s),
                "again": [list(unit) for unit in preempted.again],
            },
        )

    @log_event.register
    def log_starts_given_up(self, given_up: StartsGivenUp):
        """Log the launches and the waiting starts that an evacuation prevents."""
        self._context.metrics.count("evacuations.launches", len(given_up.units))
        self._logger.info(
            "starts given up",
            extra={
                "jobs": sorted({unit.job_id for unit in given_up.units})[:MAX_JOBS],
                "launches": len(given_up.units),
                "workers": list(given_up.worker_ids[:MAX_WORKERS]),
            },
        )

    @log_event.register
    def log_move(self, moved: UnitMoved):
        """Log a run that is stopped because a worker of it is leaving."""
        self._context.metrics.count("units.moved")
        self._logger.info(
            "unit moved",
            extra={
                "job": moved.unit.job_id,
                "unit": list(moved.unit[1:]),
                "run": moved.run,
                "workers": list(moved.worker_ids[:MAX_WORKERS]),
                "time_left_ms": moved.time_left_ms,
                "work_left_ms": moved.work_left_ms,
                "percent": round(moved.percent),
                "age_ms": moved.answer_age_ms,
            },
        )

    @log_event.register
    def log_stop(self, stopped: RunStopped):
        """Log why a run was ordered to stop, and how far it had come."""
        self._context.metrics.count(f"stops.{stopped.cause.name.lower()}")
        self._logger.info(
            "run stopped",
            extra={
                "job": stopped.unit.job_id,
                "unit": list(stopped.unit[1:]),
                "run": stopped.run,
                "cause": str(stopped.cause),
                "percent": stopped.percent,
                "ran_ms": stopped.ran_ms,
                "has_checkpoint": stopped.has_checkpoint,
                "workers": list(stopped.worker_ids[:MAX_WORKERS]),
            },
        )

    @log_event.register
    def log_headroom(self, changed: HeadroomChanged):
        """Log how much is kept for urgent work, and what that follows from."""
        self._context.metrics.gauge("headroom.workers", changed.worker_count)
        self._logger.info(
            "headroom changed",
            extra={
                "service": changed.service,
                "kept_workers": changed.worker_count,
                "target_cores": round(changed.target_cores),
                "peak_cores": round(changed.peak_cores),
                "used_cores": round(changed.used_cores),
                "freed_cores": round(changed.freed_cores),
                "max_cores": round(changed.max_cores),
                "peak_age_ms": changed.peak_age_ms,
            },
        )

    @log_event.register
    def log_lost_run(self, lost: RunLost):
        """Log a run that failed or whose lease lapsed at an unreachable worker."""
        self._context.metrics.count(f"runs.{lost.kind}")
        self._logger.info(
            "run ended",
            extra={
                "job": lost.task.job_id,
                "task": list(lost.task[1:]),
                "run": lost.run,
                "worker": lost.worker_id,
                "how": str(lost.kind),
            },
        )

    @log_event.register
    def log_worker_hang(self, hang: WorkerHung):
        """Log a worker that gets no more work because its runs make no progress."""
        self._context.metrics.count("workers.hang")
        self._logger.warning(
            "worker hangs",
            extra={
                "worker": hang.worker_id,
                "still_ms": hang.no_progress_ms,
                "percents": list(hang.progress_percents),
            },
        )

    def log_shortages(self, shortages):
        """Log the services that have become short of capacity, and those no longer."""
        for service in sorted(shortages.keys() - self._short_services):
            shortage = shortages[service]
            self._context.metrics.count("shortages")
            self._logger.warning(
                "capacity short",
                extra={
                    "service": service,
                    "resource": shortage.resource,
                    "needed_s": round(shortage.needed_s, 1),
                    "room_s": round(shortage.room_s, 1),
                    "within_ms": shortage.within_ms,
                },
            )
        for service in sorted(self._short_services - shortages.keys()):
            self._logger.info("capacity suffices", extra={"service": service})
        self._short_services = frozenset(shortages)

    def log_limited_plan(self, is_limited, open_job_count):
        """Log when plans begin to look at a part of the waiting units, or at all."""
        if is_limited == self._is_plan_limited:
            return
        self._is_plan_limited = is_limited
        self._context.metrics.gauge("plan.limited", int(is_limited))
        message = "plans look at " + ("a part" if is_limited else "all")
        self._logger.info(
            f"{message} of the waiting units", extra={"open_jobs": open_job_count}
        )

    def log_ended_jobs(self, ledger, changed):
        """Log each ended job once: its state, and its duration beside its objective."""
        wall_ms = self._context.clock.wall_ms()
        self._logged_job_ids &= ledger.jobs.keys()
        for job_id in set(changed) - self._logged_job_ids:
            progress = ledger.jobs.get(job_id)
            if progress is None or progress.active:
                continue
            self._logged_job_ids.add(job_id)
            job = progress.job
            estimate_ms = critical_path_ms(job)
            objective_ms = job.objective_factor * estimate_ms + job.objective_ms
            self._logger.info(
                "job over",
                extra={
                    "job": job_id,
                    "state": str(progress.state),
                    "organisation": job.organisation,
                    "priority": job.priority,
                    "took_ms": wall_ms - job.accepted_wall_ms,
                    "estimate_ms": estimate_ms,
                    "objective_ms": int(objective_ms),
                    "runs": progress.run_count,
                },
            )
