"""Writes one line for each decision of the acting scheduler, with what decided it."""

from knapweedshed.decisions.units import critical_path_ms


class DecisionLog:
    """Owned and called by the scheduling controller only."""

    def __init__(self, context):
        self._context = context
        self._logger = context.logger
        self._over = set()

    def launches(self, launches):
        """Say which runs are about to be recorded and started."""
        for launched in launches:
            self._logger.info(
                "launch",
                extra={
                    "job": launched.unit.job_id,
                    "unit": list(launched.unit[1:]),
                    "run": launched.run,
                    "workers": [worker_id for worker_id, _ in launched.workers],
                },
            )

    def order_not_done(self, order, outcome):
        """Say that a worker refused an order, or did not answer."""
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

    def preempted(self, preempted):
        """Say who gave way, to whom, and what that lost."""
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

    def run_lost(self, lost):
        """Say that a run failed, or that its worker was out of reach for too long."""
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

    def hang(self, hang):
        """Say that a worker is left out, as nothing moves on it."""
        self._context.metrics.count("workers.hang")
        self._logger.warning(
            "worker hangs",
            extra={
                "worker": hang.worker_id,
                "still_ms": hang.no_progress_ms,
                "percents": list(hang.progress_percents),
            },
        )

    def over(self, ledger, changed):
        """Say once of each job how it came out, against its objective."""
        wall_ms = self._context.clock.wall_ms()
        self._over &= ledger.jobs.keys()
        for job_id in set(changed) - self._over:
            progress = ledger.jobs.get(job_id)
            if progress is None or progress.active:
                continue
            self._over.add(job_id)
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
