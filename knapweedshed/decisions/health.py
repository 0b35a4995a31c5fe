"""Which workers and runners are left out because they fail what they are given."""

from typing import NamedTuple

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 5_000
LONGEST_EJECTION_MS = 120_000
MOST_EJECTED_SHARE = 0.5


class Record(NamedTuple):
    """What is known of one host's work."""

    failures: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0
    probing: bool = False


class Health:
    """Ejects a host after consecutive failures, and probes it back.

    An ejected host is given one piece of work when its time is over; success brings it
    back, a failure doubles the time. At most half of the hosts are left out at once.
    """

    def __init__(self):
        self._records = {}

    def succeeded(self, name):
        """Note that work on `name` succeeded."""
        self._records.pop(name, None)

    def failed(self, name, now_ms):
        """Note that work on `name` failed."""
        record = self._records.get(name, Record())
        failures = record.failures + 1
        record = record._replace(failures=failures, probing=False)
        if failures >= FAILURES_TO_EJECT:
            length_ms = FIRST_EJECTION_MS << min(record.ejections, 10)
            record = record._replace(
                ejections=record.ejections + 1,
                ejected_until_ms=now_ms + min(length_ms, LONGEST_EJECTION_MS),
            )
        self._records[name] = record

    def probe_started(self, name):
        """Note that an ejected host was given its one piece of work."""
        record = self._records.get(name)
        if record is not None and record.ejected_until_ms:
            self._records[name] = record._replace(probing=True)

    def usable(self, names, now_ms):
        """Return the names that may be given work now."""
        names = list(names)
        out = [name for name in names if self._is_out(name, now_ms)]
        most = int(len(names) * MOST_EJECTED_SHARE)
        if len(out) > most:
            out.sort(key=lambda name: -self._records[name].ejected_until_ms)
            out = out[:most]
        left_out = set(out)
        return [name for name in names if name not in left_out]

    def dump(self):
        """Return the records of hosts that failed lately."""
        return {name: record._asdict() for name, record in self._records.items()}

    def _is_out(self, name, now_ms):
        record = self._records.get(name)
        if record is None or not record.ejected_until_ms:
            return False
        return now_ms < record.ejected_until_ms or record.probing
