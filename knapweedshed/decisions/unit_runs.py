"""Runs of units that may exist at workers, and the limits on how long they may."""

from typing import NamedTuple

from knapweedshed.models.work import Unit


class TimeLimits(NamedTuple):
    """Time limits of the workers' platform, in milliseconds.

    `lease_ms` is the length of a worker's lease. `max_acting_without_log_ms` is how
    long a host may act after its last read of the log. `early_ms` is how early a due
    job may start. Workers save checkpoints every `save_ms` of work, resume from one in
    `restore_ms`, and stop a run in `stop_ms`.
    """

    lease_ms: int = 6_000
    max_acting_without_log_ms: int = 10_000
    early_ms: int = 250
    save_ms: int = 1_000
    restore_ms: int = 0
    stop_ms: int = 200


DEFAULT_TIME_LIMITS = TimeLimits()


class UnitRun(NamedTuple):
    """One run of a unit; `workers_by_task` maps its remaining tasks to worker ids.

    `run` is the number of the run, counted from 1. `started_ms` is on the scheduler's
    monotonic clock. `workers` are the ids of all workers that it was launched on.
    `ending` means that the run failed or was stopped, and only its remaining tasks must
    still end. `launched` means that its launch was read back from the log. `adopted`
    means that this scheduler took it over from a predecessor.
    """

    unit: Unit
    run: int
    workers_by_task: dict
    ending: bool
    started_ms: int
    launched: bool
    workers: tuple[str, ...] = ()
    adopted: bool = False


def runs_of_forgotten_jobs(unit_runs, ledger):
    """Return the units that run, or may run, of jobs that the ledger has forgotten.

    It keeps a limited number of ended jobs. Their workers still list the tasks; what
    plans read of a unit's run isn't known any more.
    """
    return [unit for unit in unit_runs if unit.job_id not in ledger.jobs]
