"""Limits on the jobs that callers may submit.

Every host folds every job, and the acting host plans for each of its tasks: a job
beyond these limits would stop them all, one after the other.
"""

from knapweedshed.clock import MS_PER_SECOND

MAX_TASKS_COUNT = 100_000  # of all occurrences; a service runs some thousands at a time
MAX_STEPS_COUNT = 1_000
MAX_GANG_TASKS_COUNT = 4_000  # the launch of a gang is one record in the log
MAX_DURATION_MS = 366 * 24 * 3_600 * MS_PER_SECOND
MAX_WALL_MS = 1 << 48  # thousands of years from 1970
MAX_RESOURCE = 1 << 40  # thousandths of a core, MB or accelerators of one task


def find_fault(draft):
    """Return what is wrong with a `JobDraft`, with its place; "" if nothing is."""
    if not 0 < len(draft.steps) <= MAX_STEPS_COUNT:
        return f"a job has 1 to {MAX_STEPS_COUNT} steps"
    for number, step in enumerate(draft.steps):
        fault = _find_step_fault(step, number)
        if fault:
            return f"step {number}: {fault}"
    if not 0 <= draft.repeats <= MAX_TASKS_COUNT:
        return f"a job repeats at most {MAX_TASKS_COUNT} times"
    if not 0 <= draft.first_wall_ms <= MAX_WALL_MS:
        return "the first occurrence is due too late"
    if not 0 <= draft.period_ms <= MAX_DURATION_MS:
        return f"a period is at most {MAX_DURATION_MS} ms"
    tasks = sum(step.count for step in draft.steps) * max(1, draft.repeats)
    if tasks > MAX_TASKS_COUNT:
        return f"a job has at most {MAX_TASKS_COUNT} tasks, not {tasks}"
    return ""


def _find_step_fault(step, number):
    if not 0 < step.count <= MAX_TASKS_COUNT:
        return f"count must be from 1 to {MAX_TASKS_COUNT}"
    if step.gang and step.count > MAX_GANG_TASKS_COUNT:
        return f"a gang has at most {MAX_GANG_TASKS_COUNT} tasks, not {step.count}"
    if not all(0 <= earlier < number for earlier in step.after):
        return "a step depends on earlier steps only"
    if not 0 <= step.estimate_ms <= MAX_DURATION_MS:
        return f"an estimate is at most {MAX_DURATION_MS} ms"
    if not 0 <= step.most_per_worker <= MAX_TASKS_COUNT:
        return f"at most {MAX_TASKS_COUNT} tasks at a worker"
    if not 0 <= step.may_miss <= MAX_TASKS_COUNT:
        return f"may_miss is at most {MAX_TASKS_COUNT}"
    if any(amount > MAX_RESOURCE for amount in step.need):
        return "a task needs more than any worker has"
    return ""
