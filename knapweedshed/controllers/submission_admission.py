"""Admission of submissions at a host, by the load figure in its copy of the log."""

from abc import ABC, abstractmethod

from knapweedshed.decisions.overload.admission import (
    ADMITTED,
    decide,
    find_load,
    summarise_open_work,
)
from knapweedshed.decisions.overload.queue_sizes import job_core_seconds
from knapweedshed.decisions.overload.service_floors import ServedShares
from knapweedshed.models.service_configuration import ServiceConfiguration

OPEN_WORK_PERIOD_MS = 500  # the shortest period of the figure


class SubmissionAdmission(ABC):
    """Decides on submissions of jobs that the host doesn't know."""

    def configure(self, configuration):  # noqa: B027 - optional
        """Use a newer `ServiceConfiguration`."""

    def note_read(self, since_ms):  # noqa: B027 - optional
        """Note that records were read that were written after `since_ms`.

        It is None if they may be of any age.
        """

    @abstractmethod
    def decide(self, job):
        """Return the `Verdict` on a `WorkJob`."""

    def note_verdict(self, job, verdict):  # noqa: B027 - optional
        """Take note of a verdict that is carried out."""


class AdmitAll(SubmissionAdmission):
    """Admits every job."""

    def decide(self, job):
        """Return that the job is admitted."""
        return ADMITTED


class LoadBasedAdmission(SubmissionAdmission):
    """Rejects jobs that can't end in time by the latest load figure."""

    def __init__(self, context, ledger):
        self._context = context
        self._ledger = ledger
        self._configuration = ServiceConfiguration()
        self._report = None
        self._report_since_ms = None
        self._open_work = None
        self._open_work_ms = 0
        self._served_shares = ServedShares()

    def configure(self, configuration):
        """Use a newer configuration for guarantees."""
        if configuration.version > self._configuration.version:
            self._configuration = configuration

    def note_read(self, since_ms):
        """Date a new figure by the read before it, so that its age is never too low."""
        report = self._ledger.load_report
        if report is not self._report:
            self._report, self._report_since_ms = report, since_ms

    def decide(self, job):
        """Return the `Verdict` on a job."""
        age_ms = self._age_ms()
        load = find_load(self._report, age_ms, job)
        if load is None:
            return ADMITTED
        return decide(
            job,
            load,
            age_ms,
            self._ledger,
            self._recent_open_work(),
            self._configuration,
            self._served_shares,
        )

    def note_verdict(self, job, verdict):
        """Count a submission under a figure; log and count a rejection."""
        age_ms = self._age_ms()
        if find_load(self._report, age_ms, job) is None:
            return
        core_s = job_core_seconds(job.steps)
        size_class = self._ledger.queue_sizes.size_class(job.queue, core_s)
        self._served_shares.note_arrival(job.queue, size_class)
        if verdict.admitted:
            self._served_shares.note_served(job.queue, size_class)
            return
        self._context.metrics.count(f"admission.rejected.{job.queue}")
        self._context.logger.info(
            "submission rejected",
            extra={
                "job": job.job_id,
                "queue": job.queue,
                "organisation": job.organisation,
                "priority": job.priority,
                "start_in_ms": verdict.start_in_ms,
                "figure_age_ms": age_ms,
                "objective_ms": verdict.objective_ms,
                "estimate_ms": verdict.estimate_ms,
                "retry_after_ms": verdict.retry_after_ms,
            },
        )

    def _age_ms(self):
        if self._report_since_ms is None:
            return None
        return self._context.clock.now_ms() - self._report_since_ms

    def _recent_open_work(self):
        now_ms = self._context.clock.now_ms()
        is_old = now_ms - self._open_work_ms >= OPEN_WORK_PERIOD_MS
        if self._open_work is None or is_old:
            self._open_work = summarise_open_work(self._ledger)
            self._open_work_ms = now_ms
        return self._open_work


def create_submission_admission(policies, context, ledger):
    """Return the admission of a host that follows `OverloadPolicies`."""
    if policies.admission_control:
        return LoadBasedAdmission(context, ledger)
    return AdmitAll()
