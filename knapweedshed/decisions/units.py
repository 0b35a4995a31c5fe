"""Units that may start now, and the critical paths of jobs."""


def step_of(job, unit):
    """Return the step that a unit belongs to."""
    return job.steps[unit.step]


def ready_units(ledger, wall_ms):
    """Return the due units that are not done and whose earlier steps are done."""
    ready = []
    for progress in ledger.open_jobs.values():
        for occurrence in due_occurrences(progress.job, wall_ms):
            ready.extend(progress.ready(occurrence))
    return ready


def due_occurrences(job, wall_ms):
    """Return the numbers of a job's occurrences that are due at `wall_ms`."""
    if not job.repeats:
        return range(1)
    since_ms = wall_ms - job.first_wall_ms
    if since_ms < 0:
        return range(0)
    if job.period_ms <= 0:
        return range(job.repeats)
    return range(min(job.repeats, since_ms // job.period_ms + 1))


def critical_path_ms(job):
    """Return the estimated work on the critical path of a job's steps."""
    return _longest_path_ms(job, lambda number, step: step.estimate_ms)


def remaining_critical_path_ms(progress, occurrence):
    """Return the estimated work on the critical path of the steps not done yet."""
    return _longest_path_ms(
        progress.job,
        lambda number, step: (
            0 if progress.step_done(occurrence, number) else step.estimate_ms
        ),
    )


def _longest_path_ms(job, duration_ms_of):
    """Return the longest path; steps depend only on earlier steps."""
    longest_ms = []
    for number, step in enumerate(job.steps):
        before_ms = max((longest_ms[index] for index in step.after), default=0)
        longest_ms.append(before_ms + duration_ms_of(number, step))
    return max(longest_ms, default=0)
