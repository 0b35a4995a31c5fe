"""Log lines for the decisions of the acting scheduler, with their reasons."""

from knapweedshed.decisions.units import critical_path_ms

MAX_JOBS = 20  # ids in one line


class DecisionLog:
    """Writes one log line for each decision; used by the scheduling controller only."""

    def __init__(self, context):
        self._context = context
        self._logger = context.logger
        self._logged_job_ids = set()
        self._short_services = frozenset()

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

    def log_preemption(self, preempted):
        """Log the preempted units, the job that needs their capacity, and lost work."""
        self._context.metrics.count("preempted", len(preempted.units))
        self._logger.info(
            "preempted",
            extra={
                "job": preempted.preempting_unit.job_id,
                "units": [list(unit) for unit in preempted.units],
                "guaranteed": preempted.guaranteed,
                "lost_core_s": round(preempted.lost_core_s),
            },
        )

    def log_lost_run(self, lost):
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

    def log_worker_hang(self, hang):
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
                    "runs": sum(item.run for item in progress.launched.values()),
                },
            )
