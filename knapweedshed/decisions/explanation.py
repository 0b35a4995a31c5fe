"""Explains the outcome of one request from the log lines of several processes.

Clocks of hosts differ by seconds. The offsets are derived from lines that every host
writes about the same record of the platform's log: a claim of the scheduler's role, or
a configuration.
"""

from enum import StrEnum
from statistics import median
from typing import NamedTuple

from knapweedshed.models.dispatch_actions import StopCause

SHARED_MESSAGE_KEYS = {"role claimed": "epoch", "configuration in force": "version"}
ROLE_MESSAGES = ("role claimed", "acting", "not acting any more")
LOG_OUTAGE_MESSAGES = ("log unreachable", "log reachable again")
MIN_DELAY_MS = 250  # half of the shortest objective; shorter delays are no cause
CODE_OK = 0  # as in `ResultCode`
CODE_OUTCOME_UNKNOWN = 400  # as in `ResultCode`
COMPLETED, FAILED, CANCELLED = "completed", "failed", "cancelled"


class LogLine(NamedTuple):
    """One line of a process's log; `at_ms` is on that process's wall clock."""

    at_ms: float
    process: str
    message: str
    fields: dict


class Cause(StrEnum):
    """Main cause of a request's outcome; the values are printed to operators."""

    NOT_FOUND = "no line names it"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "the log did not say whether it took it"
    CANCELLED = "cancelled by its caller"
    FAILED_EVERYWHERE = "failed on every worker that ran it"
    UNHEALTHY_WORKER = "lost to a worker that fails or hangs"
    RUN_FAILED = "a run of it failed and it ran again"
    LOG_OUTAGE = "held up while the log was away"
    TAKEOVER = "held up by a takeover"
    PREEMPTED = "gave way to other work"
    WAITED_FOR_CAPACITY = "waited for room"
    WORKER_LEFT = "stopped as its worker was leaving"
    SUPERSEDED = "stopped as another run had ended it"
    ORDER_NOT_DONE = "a worker refused or did not answer an order"
    LEASE_LAPSED = "a worker was out of reach until its lease had lapsed"
    EXCEEDED_OBJECTIVE = "ran longer than its objective allows"
    ON_TIME = "in time"
    NOT_FINISHED = "not over in these lines"


# Cause of a delay by the cause of the stop that began it. What was cancelled is
# explained by the end of its job.
CAUSES_OF_STOPS = {
    StopCause.PREEMPTED_FOR_GUARANTEED: Cause.PREEMPTED,
    StopCause.PREEMPTED_FOR_URGENT: Cause.PREEMPTED,
    StopCause.GANG_MEMBER_FAILED: Cause.RUN_FAILED,
    StopCause.WORKER_LEAVING: Cause.WORKER_LEFT,
    StopCause.WORKER_HANGS: Cause.UNHEALTHY_WORKER,
    StopCause.START_NOT_CONFIRMED: Cause.ORDER_NOT_DONE,
    StopCause.SUPERSEDED: Cause.SUPERSEDED,
}


class Explanation(NamedTuple):
    """The lines relevant to one request, in order, and the cause of its outcome.

    `delays_ms` has the delay by each cause, in milliseconds.
    """

    lines: tuple[LogLine, ...]
    cause: Cause
    detail: str
    delays_ms: dict


def explain(job_id, lines):
    """Return the `Explanation` of the request `job_id` from `LogLine`s in any order."""
    aligned = align_clocks(lines)
    job_lines = [line for line in aligned if _mentions(line, job_id)]
    if not job_lines:
        return Explanation((), Cause.NOT_FOUND, "", {})
    begin_ms, end_ms = job_lines[0].at_ms, job_lines[-1].at_ms
    context = [
        line
        for line in aligned
        if line.message in (*ROLE_MESSAGES, *LOG_OUTAGE_MESSAGES)
        and begin_ms <= line.at_ms <= end_ms
    ]
    context = _deduplicate(context)
    hangs = _related_hangs(job_lines, aligned)
    relevant = sorted((*job_lines, *context, *hangs), key=lambda line: line.at_ms)
    cause, detail, delays_ms = _determine_cause(job_id, relevant)
    return Explanation(tuple(relevant), cause, detail, delays_ms)


def align_clocks(lines):
    """Return the lines sorted by one clock, that of the process with most shared lines.

    Shared lines that a process writes while it replays the stream after its start are
    left out: their times say nothing of its clock.
    """
    shared_times = {}
    replaying = set()
    for line in sorted(lines, key=lambda line: line.at_ms):
        if line.message == "started":
            replaying.add(line.process)
        elif line.message == "work stream read":
            replaying.discard(line.process)
        elif line.message in SHARED_MESSAGE_KEYS and line.process not in replaying:
            key = (line.message, line.fields.get(SHARED_MESSAGE_KEYS[line.message]))
            shared_times.setdefault(line.process, {}).setdefault(key, line.at_ms)
    offsets = _clock_offsets(shared_times)
    shifted = [
        line._replace(at_ms=line.at_ms - offsets.get(line.process, 0.0))
        for line in lines
    ]
    return sorted(shifted, key=lambda line: line.at_ms)


def _clock_offsets(shared_times):
    """Return {process: ms that its clock is ahead of the reference process}."""
    if not shared_times:
        return {}
    reference = shared_times[
        max(shared_times, key=lambda process: len(shared_times[process]))
    ]
    offsets = {}
    for process, process_times in shared_times.items():
        shared = [
            process_times[key] - reference[key]
            for key in process_times
            if key in reference
        ]
        offsets[process] = median(shared) if shared else 0.0
    return offsets


def _mentions(line, job_id):
    """Return whether a line has the job in its `job` or `units` field."""
    fields = line.fields
    if fields.get("job") == job_id:
        return True
    return any(unit and unit[0] == job_id for unit in fields.get("units", ()))


def _deduplicate(lines):
    """Keep one line of each claim, which every host writes, and all log outages."""
    kept = {}
    for line in lines:
        key = (line.message, line.fields.get("epoch"))
        if line.message in LOG_OUTAGE_MESSAGES:
            key = (line.message, line.process, line.at_ms)
        kept.setdefault(key, line)
    return list(kept.values())


def _related_hangs(job_lines, lines):
    """Return lines on workers that hung while the request was assigned to them."""
    assigned_ms = {}
    for line in job_lines:
        for worker in line.fields.get("workers", ()):
            assigned_ms.setdefault(worker, line.at_ms)
    return [
        line
        for line in lines
        if line.message == "worker hangs"
        and assigned_ms.get(line.fields.get("worker"), float("inf")) <= line.at_ms
        and line.at_ms <= job_lines[-1].at_ms
    ]


def _determine_cause(job_id, relevant):
    """Return (cause, detail, delays by cause in ms) from the relevant lines."""
    job_ends = [line for line in relevant if line.message == "job over"]
    launches = [line for line in relevant if line.message == "launch"]
    calls = [line for line in relevant if line.message == "call"]
    if not job_ends and not launches:
        return _cause_from_calls(calls)
    delays_ms, details = _measure_delays(job_id, relevant, calls, launches)
    if job_ends:
        fields = job_ends[-1].fields
        state = fields.get("state")
        if state == CANCELLED:
            return Cause.CANCELLED, "", delays_ms
        if state == FAILED:
            return (*_cause_from_failures(relevant), delays_ms)
        if fields.get("took_ms", 0) <= fields.get("objective_ms", 0):
            return Cause.ON_TIME, f"{fields.get('took_ms')} ms", delays_ms
    worst = max(delays_ms, key=delays_ms.get, default=None)
    if worst is not None:
        return worst, details[worst], delays_ms
    if job_ends:
        detail = f"estimate {job_ends[-1].fields.get('estimate_ms')} ms"
        return Cause.EXCEEDED_OBJECTIVE, detail, delays_ms
    return Cause.NOT_FINISHED, relevant[-1].message, delays_ms


def _cause_from_calls(calls):
    """Return (cause, detail, delays) of a request that was never launched."""
    if not calls:
        return Cause.NOT_FINISHED, "", {}
    codes = [line.fields.get("code") for line in calls]
    if CODE_OK in codes:
        return Cause.NOT_FINISHED, "accepted, never launched", {}
    if CODE_OUTCOME_UNKNOWN in codes:
        return Cause.OUTCOME_UNKNOWN, calls[-1].fields.get("reason", ""), {}
    last = calls[-1].fields
    return Cause.REFUSED, f"code {last.get('code')}: {last.get('reason', '')}", {}


def _cause_from_failures(relevant):
    """Return (cause, detail) of a failed job.

    If several runs failed, all on one worker, that worker is the cause.
    """
    worker_ids = [
        line.fields.get("worker")
        for line in relevant
        if line.message == "run ended" and line.fields.get("how") == FAILED
    ]
    worker_names = ", ".join(str(worker) for worker in worker_ids)
    if len(worker_ids) > 1 and len(set(worker_ids)) == 1:
        return Cause.UNHEALTHY_WORKER, worker_names
    return Cause.FAILED_EVERYWHERE, worker_names


def _measure_delays(job_id, relevant, calls, launches):
    """Return ({cause: ms}, {cause: detail}) of the delays before each launch.

    The first launch is measured from acceptance, and a later launch of a unit from its
    previous one; without an acceptance, the first line counts instead.
    """
    delays_ms, details = {}, {}

    def add_delay(cause, took_ms, detail):
        if took_ms >= MIN_DELAY_MS:
            delays_ms[cause] = delays_ms.get(cause, 0) + round(took_ms)
            details[cause] = detail

    accepted = [line for line in calls if line.fields.get("code") == CODE_OK]
    start_ms = (accepted or relevant)[0].at_ms
    if launches:
        waited_ms = launches[0].at_ms - start_ms
        cause, detail = _cause_of_interval(
            job_id, relevant, start_ms, launches[0].at_ms, ()
        )
        add_delay(cause, waited_ms, detail)
    last_launches = {}
    for line in launches:
        unit = tuple(line.fields.get("unit", ()))
        if unit in last_launches:
            earlier = last_launches[unit]
            worker_ids = earlier.fields.get("workers", ())
            cause, detail = _cause_of_interval(
                job_id, relevant, earlier.at_ms, line.at_ms, worker_ids
            )
            add_delay(cause, line.at_ms - earlier.at_ms, detail)
        last_launches[unit] = line
    return delays_ms, details


def _log_outage_ms(interval_lines, from_ms, to_ms):
    """Return how long the log was unreachable for the host that made the launch.

    The launch is the last line of the interval. Only outages at its process count: that
    one was acting then, though another may have acted before.
    """
    process = interval_lines[-1].process if interval_lines else ""
    outage_ms, outage_start_ms = 0.0, None
    for line in interval_lines:
        if line.process != process:
            continue
        if line.message == "log unreachable":
            outage_start_ms = line.at_ms
        elif line.message == "log reachable again":
            begin_ms = from_ms if outage_start_ms is None else outage_start_ms
            outage_ms += line.at_ms - begin_ms
            outage_start_ms = None
    if outage_start_ms is not None:
        outage_ms += to_ms - outage_start_ms
    return outage_ms


def _cause_of_interval(job_id, relevant, from_ms, to_ms, worker_ids):
    """Return (cause, detail) of the delay between two lines of a request.

    A log outage is the cause if it covers at least half of the time. `worker_ids` are
    the workers of the launch at the start of the interval, if there was one.
    """
    interval_lines = [line for line in relevant if from_ms < line.at_ms <= to_ms]
    for line in interval_lines:
        fields = line.fields
        if line.message == "preempted" and fields.get("job") != job_id:
            return Cause.PREEMPTED, f"to {fields.get('job')}"
        if line.message == "run ended" and fields.get("worker") in worker_ids:
            lapsed = fields.get("how") == "lapsed"
            cause = Cause.LEASE_LAPSED if lapsed else Cause.RUN_FAILED
            return cause, str(fields.get("worker"))
        if line.message == "worker hangs" and fields.get("worker") in worker_ids:
            return Cause.UNHEALTHY_WORKER, str(fields.get("worker"))
        if line.message == "order not done" and worker_ids:
            return (
                Cause.ORDER_NOT_DONE,
                f"{fields.get('worker')}: {fields.get('reason')}",
            )
        if line.message == "run stopped" and fields.get("cause") in CAUSES_OF_STOPS:
            return CAUSES_OF_STOPS[fields["cause"]], _describe_stop(fields)
    outage_ms = _log_outage_ms(interval_lines, from_ms, to_ms)
    if outage_ms * 2 >= to_ms - from_ms:
        return Cause.LOG_OUTAGE, f"{outage_ms:.0f} ms"
    role_lines = [line for line in interval_lines if line.message in ROLE_MESSAGES]
    if role_lines:
        epoch = role_lines[-1].fields.get("epoch")
        return Cause.TAKEOVER, f"epoch {epoch}"
    return Cause.WAITED_FOR_CAPACITY, ""


def _describe_stop(fields):
    """Return what was stopped and lost, from the fields of a `run stopped` line."""
    saved = "with" if fields.get("has_checkpoint") else "without"
    return (
        f"{fields['cause']}, at {fields.get('percent')}% after"
        f" {fields.get('ran_ms')} ms, {saved} a checkpoint"
    )
