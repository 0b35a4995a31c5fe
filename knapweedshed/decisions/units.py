"""Which units of which jobs may start now."""


def step_of(job, unit):
    """Return the step that a unit belongs to."""
    return job.steps[unit.step]


def ready_units(ledger, wall_ms):
    """Return all units that are due, not done, and whose earlier steps are done."""
    ready = []
    for progress in ledger.open_jobs.values():
        for occurrence in due_occurrences(progress.job, wall_ms):
            ready.extend(progress.ready(occurrence))
    return ready


def due_occurrences(job, wall_ms):
    """Return the occurrences whose time has come."""
    if not job.repeats:
        return range(1)
    since_ms = wall_ms - job.first_wall_ms
    if since_ms < 0:
        return range(0)
    if job.period_ms <= 0:
        return range(job.repeats)
    return range(min(job.repeats, since_ms // job.period_ms + 1))


def chain_ms(job):
    """Return the estimated work on the longest chain of a job's steps."""
    return _longest_chain(job, lambda number, step: step.estimate_ms)


def chain_left_ms(progress, occurrence):
    """Return the estimated work left on the longest chain of steps."""
    return _longest_chain(
        progress.job,
        lambda number, step: (
            0 if progress.step_done(occurrence, number) else step.estimate_ms
        ),
    )


def _longest_chain(job, length_of):
    longest = []
    for number, step in enumerate(job.steps):
        before = max((longest[index] for index in step.after), default=0)
        longest.append(before + length_of(number, step))
    return max(longest, default=0)
