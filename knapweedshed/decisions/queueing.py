"""In which order waiting jobs are tried."""

from abc import ABC, abstractmethod

from knapweedshed.models.configuration import URGENCY_RANK

STARVATION_RATIO = 3.0


class QueuePolicy(ABC):
    """Ranks waiting jobs; the lowest key is tried first."""

    @abstractmethod
    def order(self, waiting, now_ms, covered):
        """Return `waiting` in the order to try.

        `covered` holds the ids of the jobs that their organisation's guarantee
        covers.
        """


class Fifo(QueuePolicy):
    """Baseline: by time of arrival."""

    def order(self, waiting, now_ms, covered):
        """Return the jobs, oldest first."""
        return sorted(waiting, key=lambda job: (job.since_ms, job.job_id))


class StrictPriority(QueuePolicy):
    """Baseline: urgent, normal, batch; each by time of arrival."""

    def order(self, waiting, now_ms, covered):
        """Return the jobs by class, then oldest first."""
        return sorted(
            waiting,
            key=lambda job: (URGENCY_RANK[job.urgency], job.since_ms, job.job_id),
        )


class ResponseRatio(QueuePolicy):
    """Urgent first, then covered by a guarantee, then by highest response ratio.

    The ratio is wait to predicted time: short work passes long work, but a wait that is
    long for its work goes first, and a gang's size doesn't count against it.
    """

    def order(self, waiting, now_ms, covered):
        """Return the jobs in that order."""

        def key(job):
            work = max(1, job.predicted_ms)
            ratio = max(0, now_ms - job.since_ms) / work
            urgent = 0 if URGENCY_RANK[job.urgency] == 0 else 1
            return (urgent, job.job_id not in covered, -ratio, work, job.job_id)

        return sorted(waiting, key=key)


def create_queueing(name="response-ratio"):
    """Return the queue policy called `name`."""
    policies = {
        "fifo": Fifo,
        "strict-priority": StrictPriority,
        "response-ratio": ResponseRatio,
    }
    return policies[name]()
