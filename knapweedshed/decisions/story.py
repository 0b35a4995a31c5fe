"""One request's story from the log lines of several processes, and what decided it.

Clocks of hosts differ by seconds. Lines that every host writes about the same record of
the platform's log (a claim of the scheduler's role, a configuration) tell by how much.
"""

from enum import StrEnum
from statistics import median
from typing import NamedTuple

SHARED_LINES = {"role claimed": "epoch", "configuration in force": "version"}
ROLE_LINES = ("role claimed", "acting", "not acting any more")
LOG_LINES = ("log unreachable", "log reachable again")
LEAST_DELAY_MS = 250  # shorter waits decide nothing: half of the shortest objective
CODE_OK = 0
CODE_UNKNOWN = 400
COMPLETED, FAILED, CANCELLED = "completed", "failed", "cancelled"


class Line(NamedTuple):
    """One line of a process's log; `at_ms` is by that process's clock."""

    at_ms: float
    process: str
    message: str
    fields: dict


class Cause(StrEnum):
    """What decided how a request came out."""

    NOT_NAMED = "no line names it"
    REFUSED = "refused"
    OUTCOME_UNKNOWN = "the log did not say whether it took it"
    CANCELLED = "cancelled by its caller"
    FAILS_EVERYWHERE = "failed on every worker that ran it"
    SICK_WORKER = "lost to a worker that fails or hangs"
    RUN_FAILED = "a run of it failed and it ran again"
    LOG_AWAY = "held up while the log was away"
    TAKEOVER = "held up by a takeover"
    PREEMPTED = "gave way to other work"
    WAITED = "waited for room"
    ORDER_LOST = "a worker refused or did not answer an order"
    LAPSED = "a worker was out of reach until its lease had lapsed"
    RAN_LONG = "ran longer than its objective allows"
    IN_TIME = "in time"
    NOT_OVER = "not over in these lines"


class Story(NamedTuple):
    """The lines about one request in order, and the decision that counts.

    `delays_ms` has what each cause cost, where several did.
    """

    lines: tuple[Line, ...]
    cause: Cause
    detail: str
    delays_ms: dict


def explain(job_id, lines):
    """Return the `Story` of a request."""
    aligned = align(lines)
    own = [line for line in aligned if _names(line, job_id)]
    if not own:
        return Story((), Cause.NOT_NAMED, "", {})
    begin_ms, end_ms = own[0].at_ms, own[-1].at_ms
    around = [
        line
        for line in aligned
        if line.message in (*ROLE_LINES, *LOG_LINES)
        and begin_ms <= line.at_ms <= end_ms
    ]
    around = _once(around)
    hanging = _hangs_of(own, aligned)
    told = sorted((*own, *around, *hanging), key=lambda line: line.at_ms)
    cause, detail, delays_ms = _judge(job_id, told)
    return Story(tuple(told), cause, detail, delays_ms)


def align(lines):
    """Return the lines sorted by one clock, that of the process with most marks."""
    marks = {}
    reading = set()
    for line in sorted(lines, key=lambda line: line.at_ms):
        if line.message == "started":
            reading.add(line.process)
        elif line.message == "work stream read":
            reading.discard(line.process)
        elif line.message in SHARED_LINES and line.process not in reading:
            key = (line.message, line.fields.get(SHARED_LINES[line.message]))
            marks.setdefault(line.process, {}).setdefault(key, line.at_ms)
    offsets = _offsets(marks)
    moved = [
        line._replace(at_ms=line.at_ms - offsets.get(line.process, 0.0))
        for line in lines
    ]
    return sorted(moved, key=lambda line: line.at_ms)


def _offsets(marks):
    if not marks:
        return {}
    reference = marks[max(marks, key=lambda process: len(marks[process]))]
    offsets = {}
    for process, own in marks.items():
        shared = [own[key] - reference[key] for key in own if key in reference]
        offsets[process] = median(shared) if shared else 0.0
    return offsets


def _names(line, job_id):
    fields = line.fields
    if fields.get("job") == job_id:
        return True
    return any(unit and unit[0] == job_id for unit in fields.get("units", ()))


def _once(lines):
    """Keep one line of each claim, which every host writes, and each host's losses."""
    kept = {}
    for line in lines:
        key = (line.message, line.fields.get("epoch"))
        if line.message in LOG_LINES:
            key = (line.message, line.process, line.at_ms)
        kept.setdefault(key, line)
    return list(kept.values())


def _hangs_of(own, lines):
    """Return the lines that leave out a worker while the request was there."""
    there = {}
    for line in own:
        for worker in line.fields.get("workers", ()):
            there.setdefault(worker, line.at_ms)
    return [
        line
        for line in lines
        if line.message == "worker hangs"
        and there.get(line.fields.get("worker"), float("inf")) <= line.at_ms
        and line.at_ms <= own[-1].at_ms
    ]


def _judge(job_id, told):
    over = [line for line in told if line.message == "job over"]
    launches = [line for line in told if line.message == "launch"]
    calls = [line for line in told if line.message == "call"]
    if not over and not launches:
        return _judge_calls(calls)
    delays_ms, details = _delays(job_id, told, calls, launches)
    if over:
        fields = over[-1].fields
        state = fields.get("state")
        if state == CANCELLED:
            return Cause.CANCELLED, "", delays_ms
        if state == FAILED:
            return (*_judge_failures(told), delays_ms)
        if fields.get("took_ms", 0) <= fields.get("objective_ms", 0):
            return Cause.IN_TIME, f"{fields.get('took_ms')} ms", delays_ms
    worst = max(delays_ms, key=delays_ms.get, default=None)
    if worst is not None:
        return worst, details[worst], delays_ms
    if over:
        detail = f"estimate {over[-1].fields.get('estimate_ms')} ms"
        return Cause.RAN_LONG, detail, delays_ms
    return Cause.NOT_OVER, told[-1].message, delays_ms


def _judge_calls(calls):
    if not calls:
        return Cause.NOT_OVER, "", {}
    codes = [line.fields.get("code") for line in calls]
    if CODE_OK in codes:
        return Cause.NOT_OVER, "accepted, never launched", {}
    if CODE_UNKNOWN in codes:
        return Cause.OUTCOME_UNKNOWN, calls[-1].fields.get("reason", ""), {}
    last = calls[-1].fields
    return Cause.REFUSED, f"code {last.get('code')}: {last.get('reason', '')}", {}


def _judge_failures(told):
    workers = [
        line.fields.get("worker")
        for line in told
        if line.message == "run ended" and line.fields.get("how") == FAILED
    ]
    named = ", ".join(str(worker) for worker in workers)
    if len(workers) > 1 and len(set(workers)) == 1:
        return Cause.SICK_WORKER, named
    return Cause.FAILS_EVERYWHERE, named


def _delays(job_id, told, calls, launches):
    """Return ({cause: ms}, {cause: detail}) of what kept the request from its end."""
    delays_ms, details = {}, {}

    def add(cause, took_ms, detail):
        if took_ms >= LEAST_DELAY_MS:
            delays_ms[cause] = delays_ms.get(cause, 0) + round(took_ms)
            details[cause] = detail

    accepted = [line for line in calls if line.fields.get("code") == CODE_OK]
    began_ms = (accepted or told)[0].at_ms
    if launches:
        waited_ms = launches[0].at_ms - began_ms
        cause, detail = _why(job_id, told, began_ms, launches[0].at_ms, ())
        add(cause, waited_ms, detail)
    before = {}
    for line in launches:
        unit = tuple(line.fields.get("unit", ()))
        if unit in before:
            earlier = before[unit]
            workers = earlier.fields.get("workers", ())
            cause, detail = _why(job_id, told, earlier.at_ms, line.at_ms, workers)
            add(cause, line.at_ms - earlier.at_ms, detail)
        before[unit] = line
    return delays_ms, details


def _log_away_ms(between, from_ms, to_ms):
    """Return how long the log was away from the host that launched at the end.

    The launch is the last line; its process acted then, as another may have before.
    """
    process = between[-1].process if between else ""
    away_ms, lost_ms = 0.0, None
    for line in between:
        if line.process != process:
            continue
        if line.message == "log unreachable":
            lost_ms = line.at_ms
        elif line.message == "log reachable again":
            begin_ms = from_ms if lost_ms is None else lost_ms
            away_ms += line.at_ms - begin_ms
            lost_ms = None
    if lost_ms is not None:
        away_ms += to_ms - lost_ms
    return away_ms


def _why(job_id, told, from_ms, to_ms, workers):
    """Return (cause, detail) of the time between two lines of a request."""
    between = [line for line in told if from_ms < line.at_ms <= to_ms]
    for line in between:
        fields = line.fields
        if line.message == "preempted" and fields.get("job") != job_id:
            return Cause.PREEMPTED, f"to {fields.get('job')}"
        if line.message == "run ended" and fields.get("worker") in workers:
            lapsed = fields.get("how") == "lapsed"
            cause = Cause.LAPSED if lapsed else Cause.RUN_FAILED
            return cause, str(fields.get("worker"))
        if line.message == "worker hangs" and fields.get("worker") in workers:
            return Cause.SICK_WORKER, str(fields.get("worker"))
        if line.message == "order not done" and workers:
            return Cause.ORDER_LOST, f"{fields.get('worker')}: {fields.get('reason')}"
    away_ms = _log_away_ms(between, from_ms, to_ms)
    if away_ms * 2 >= to_ms - from_ms:
        return Cause.LOG_AWAY, f"{away_ms:.0f} ms"
    roles = [line for line in between if line.message in ROLE_LINES]
    if roles:
        epoch = roles[-1].fields.get("epoch")
        return Cause.TAKEOVER, f"epoch {epoch}"
    return Cause.WAITED, ""
