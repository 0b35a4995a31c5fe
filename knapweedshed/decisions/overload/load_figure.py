"""Load of the services while work waits longer than callers accept.

The acting host publishes it, and the hosts that callers reach decide by it alone.
"""

import math
from collections import deque
from types import MappingProxyType

from knapweedshed.decisions.free_capacity import priced_cores
from knapweedshed.models.work_records import PriorityLoad

RATE_WINDOW_MS = 5_000  # several runs of the shortest work; a wave lasts 13 s
MIN_RATE_WINDOW_MS = 2_000  # over less, a rate depends on the ends of a few runs
MIN_REPORT_PERIOD_MS = 500
SHORTAGE_REPORT_PERIOD_MS = 2_000  # readers ignore a figure after 3 s
MIN_CHANGE_RATIO = 0.1
MAX_PLAUSIBLE = 1e12  # core-seconds or milliseconds; above any deployment's
MAX_LOADS_COUNT = 1_000  # services times priorities
UNKNOWN_START_MS = -1
# Work that runs is finished at this rate at least. Nothing of a burst ends before its
# first runs do, and the ends of the time before say little; the slowest workers known
# have a speed of 0.6.
MIN_RUNNING_SPEED = 0.5
MS_PER_SECOND = 1_000


class FinishRates:
    """The core-seconds that each service finishes per second, by priority."""

    def __init__(self, now_ms):
        self._since_ms = now_ms
        self._ends = deque()

    def note_end(self, service, priority, core_s, now_ms):
        """Take the end of a run that was done."""
        self._ends.append((now_ms, (service, priority), core_s))

    def per_second(self, now_ms):
        """Return {(service, priority): rate}; {} until enough was measured."""
        while self._ends and self._ends[0][0] <= now_ms - RATE_WINDOW_MS:
            self._ends.popleft()
        window_ms = min(RATE_WINDOW_MS, now_ms - self._since_ms)
        if window_ms < MIN_RATE_WINDOW_MS:
            return {}
        rates = {}
        for _, key, core_s in self._ends:
            rates[key] = rates.get(key, 0.0) + core_s * MS_PER_SECOND / window_ms
        return rates


def running_cores(ledger, runs):
    """Return {(service, priority): priced cores in use by work that will end}."""
    cores = {}
    for unit, unit_run in runs.items():
        progress = ledger.jobs.get(unit.job_id)
        if progress is None or unit_run.ending:
            continue
        job = progress.job
        step = job.steps[unit.step]
        if not step.lasting:
            key = (job.service, job.priority)
            used = priced_cores(step.need) * len(unit_run.workers_by_task)
            cores[key] = cores.get(key, 0.0) + used
    return cores


def measure_loads(waiting_steps, rates, services, now_ms, running=MappingProxyType({})):
    """Return a `PriorityLoad` for each priority of `services` that has work.

    A new job starts after the work of its own and of higher priorities that waits and
    can still end within three times its objective. What is left to it is the rate of
    its service less what work of higher priorities takes, or what `running_cores` of
    its own and lower priorities finish if that is more. Long-running work has no end
    that could be waited for.
    """
    waiting_core_s = {}
    for waiting in waiting_steps:
        key = (waiting.service, waiting.priority)
        if waiting.step.lasting:
            continue
        if now_ms + waiting.critical_path_ms <= waiting.late_limit_ms:
            waiting_core_s[key] = waiting_core_s.get(
                key, 0.0
            ) + waiting.work_core_s * len(waiting.units)
    loads = []
    for service in sorted(services):
        keys = sorted({key for key in (*waiting_core_s, *rates) if key[0] == service})
        ahead_core_s = 0.0
        for index, key in enumerate(keys):
            # Subtracting the higher rates from the total leaves a rounding error, and
            # with it a time to start of years where none is known.
            rate = sum(rates.get(lower, 0.0) for lower in keys[index:])
            if rate > 0:
                in_use = sum(running.get(lower, 0.0) for lower in keys[index:])
                rate = max(rate, MIN_RUNNING_SPEED * in_use)
            ahead_core_s += waiting_core_s.get(key, 0.0)
            loads.append(
                PriorityLoad(
                    *key,
                    round(waiting_core_s.get(key, 0.0), 1),
                    round(rates.get(key, 0.0), 1),
                    _start_in_ms(ahead_core_s, rate),
                )
            )
    return tuple(loads)


def _start_in_ms(ahead_core_s, rate):
    if ahead_core_s <= 0:
        return 0
    if rate <= 0:
        return UNKNOWN_START_MS
    return min(int(ahead_core_s / rate * MS_PER_SECOND), int(MAX_PLAUSIBLE))


class ReportSchedule:
    """Decides when a figure is published; none is while there is no shortage."""

    def __init__(self):
        self._published = ()
        self._published_ms = None

    def is_open(self, now_ms):
        """Return whether a figure may be published now."""
        if self._published_ms is None:
            return True
        return now_ms - self._published_ms >= MIN_REPORT_PERIOD_MS

    def take_due(self, loads, now_ms):
        """Return the loads to publish now, or None; () ends a shortage."""
        if not self.is_open(now_ms) or not (loads or self._published):
            return None
        is_old = (
            self._published_ms is None
            or now_ms - self._published_ms >= SHORTAGE_REPORT_PERIOD_MS
        )
        if not is_old and not _has_changed(self._published, loads):
            return None
        self._published, self._published_ms = loads, now_ms
        return loads


def _has_changed(before, loads):
    """Return whether a figure differs by more than `MIN_CHANGE_RATIO`."""
    if [load[:2] for load in before] != [load[:2] for load in loads]:
        return True
    return any(
        abs(new - old) > MIN_CHANGE_RATIO * abs(old)
        for load_before, load in zip(before, loads, strict=True)
        for old, new in zip(load_before[2:], load[2:], strict=True)
    )


def check_loads(loads):
    """Raise ValueError if the loads of a record are malformed or implausible."""
    if not isinstance(loads, tuple) or len(loads) > MAX_LOADS_COUNT:
        raise ValueError("expected a list of loads")
    for load in loads:
        if not isinstance(load, PriorityLoad) or not isinstance(load.service, str):
            raise ValueError("expected a load with its service")
        for value in load[1:]:
            is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
            if not is_number or not math.isfinite(value):
                raise ValueError("expected numbers in a load")
            if not UNKNOWN_START_MS <= value <= MAX_PLAUSIBLE:
                raise ValueError(f"implausible load: {value}")
