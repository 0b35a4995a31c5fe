"""Ejection of workers and runners whose work keeps failing (outlier ejection)."""

from typing import NamedTuple

FAILURES_TO_EJECT = 3
INITIAL_EJECTION_MS = 5_000
MAX_EJECTION_MS = 120_000
MAX_EJECTED_FRACTION = 0.5  # of the hosts given to `usable`


class HealthRecord(NamedTuple):
    """Failures and ejections of one host; times in milliseconds."""

    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    probing: bool = False


class HealthTracker:
    """Ejects a host after consecutive failures, and readmits it after a probe.

    When the ejection time is over, the host is given one task or request as a probe.
    Success readmits the host; failure ejects it again for twice the time, up to
    `MAX_EJECTION_MS`. At most `MAX_EJECTED_FRACTION` of the hosts are excluded at once.
    """

    def __init__(self):
        self._records = {}

    def record_success(self, name):
        """Record a success on host `name`."""
        self._records.pop(name, None)

    def record_failure(self, name, now_ms):
        """Record a failure on host `name`.

        `FAILURES_TO_EJECT` failures without a success between them eject the host, and
        so does each further one.
        """
        record = self._records.get(name, HealthRecord())
        failures = record.failures + 1
        record = record._replace(failures=failures, probing=False)
        if failures >= FAILURES_TO_EJECT:
            ejection_ms = INITIAL_EJECTION_MS << min(record.ejections, 10)
            record = record._replace(
                ejections=record.ejections + 1,
                ejected_until_ms=now_ms + min(ejection_ms, MAX_EJECTION_MS),
            )
        self._records[name] = record

    def record_assignment(self, name):
        """Record that a host was given work; for an ejected host it is the probe."""
        record = self._records.get(name)
        if record is not None and record.ejected_until_ms:
            self._records[name] = record._replace(probing=True)

    def usable(self, names, now_ms):
        """Return the hosts of `names` that may be given work now."""
        names = list(names)
        ejected = [name for name in names if self._is_ejected(name, now_ms)]
        max_ejected = int(len(names) * MAX_EJECTED_FRACTION)
        if len(ejected) > max_ejected:
            ejected.sort(key=lambda name: -self._records[name].ejected_until_ms)
            ejected = ejected[:max_ejected]
        excluded = set(ejected)
        return [name for name in names if name not in excluded]

    def dump(self):
        """Return the records of hosts with failures since their last success."""
        return {name: record._asdict() for name, record in self._records.items()}

    def _is_ejected(self, name, now_ms):
        record = self._records.get(name)
        if record is None or not record.ejected_until_ms:
            return False
        return now_ms < record.ejected_until_ms or record.probing
