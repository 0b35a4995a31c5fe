"""Queue policies: the order in which waiting jobs are tried."""

from abc import ABC, abstractmethod

from knapweedshed.models.configuration import URGENCY_RANK

STARVATION_RATIO = 3.0


class QueuePolicy(ABC):
    """Sorts the waiting jobs for one planning pass."""

    @abstractmethod
    def order(self, waiting, now_ms, covered):
        """Return the `WaitingView`s in the order in which to try them.

        `covered` holds the ids of the jobs that their organisation's guarantee
        covers; `now_ms` is the planner's clock.
        """


class Fifo(QueuePolicy):
    """Baseline: by arrival time."""

    def order(self, waiting, now_ms, covered):
        """Return the jobs, oldest first."""
        return sorted(waiting, key=lambda job: (job.waiting_since_ms, job.job_id))


class StrictPriority(QueuePolicy):
    """Baseline: urgent, normal, batch; by arrival time within each class."""

    def order(self, waiting, now_ms, covered):
        """Return the jobs by urgency, then oldest first."""
        return sorted(
            waiting,
            key=lambda job: (
                URGENCY_RANK[job.urgency],
                job.waiting_since_ms,
                job.job_id,
            ),
        )


class HighestResponseRatio(QueuePolicy):
    """Urgent jobs first, then those that a guarantee covers, then by response ratio.

    The response ratio is waiting time by predicted run time, highest first. Short jobs
    pass long ones, but a job whose wait is long for its run time goes first. The ratio
    ignores the number of accelerators, so a gang's size doesn't count against it.
    """

    def order(self, waiting, now_ms, covered):
        """Return the jobs by urgency, coverage and response ratio."""

        def key(job):
            run_ms = max(1, job.predicted_run_ms)
            ratio = max(0, now_ms - job.waiting_since_ms) / run_ms
            urgency_class = 0 if URGENCY_RANK[job.urgency] == 0 else 1
            return (
                urgency_class,
                job.job_id not in covered,
                -ratio,
                run_ms,
                job.job_id,
            )

        return sorted(waiting, key=key)


def create_queue_policy(name="response-ratio"):
    """Return the queue policy of this name; raises KeyError if there is none."""
    policies = {
        "fifo": Fifo,
        "strict-priority": StrictPriority,
        "response-ratio": HighestResponseRatio,
    }
    return policies[name]()
