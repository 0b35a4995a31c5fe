"""By which epoch to read a log that has dropped its first records.

The first records that are left don't tell the epoch in force: the claim of the acting
host may be gone, and a record of a replaced host may be written late. Whoever applied
them by a wrong epoch would drop ends that all others apply, and run their tasks again.

A heartbeat says how far its writer had read the log, and the writer's epoch was in
force at that offset. So the first heartbeat whose writer had read past the dropped
records proves the epoch there, and the claims before it tell the earlier ones.
"""

from typing import NamedTuple

from knapweedshed.models.work_records import ActingBeat, ActingClaimed

OFFSET_UNKNOWN = -1


class LogBeginning(NamedTuple):
    """The epoch in force before the first record left, and the records since.

    `acting_host` is "" unless the epoch is still in force. `records` has (offset,
    record) of all that was read so far.
    """

    epoch: int
    acting_host: str
    records: tuple


class BeginningSearch:
    """Keeps the records from `first_offset` on until their epochs are known."""

    def __init__(self, first_offset):
        self._first_offset = first_offset
        self._records = []
        self._max_epoch = 0
        self._has_caught_up = False

    @property
    def next_epoch(self):
        """Return the lowest epoch that may be unclaimed, by what was read so far."""
        return self._max_epoch + 1

    def note_caught_up(self):
        """Note that the whole log has been read: no host acts, as far as it shows."""
        self._has_caught_up = True

    def add(self, offset, record):
        """Add the next record; return the `LogBeginning` once it is known, or None."""
        self._records.append((offset, record))
        beginning = None
        if isinstance(record, ActingBeat):
            beginning = self._begin_by_heartbeat(offset, record)
        elif isinstance(record, ActingClaimed):
            beginning = self._begin_by_claim(record)
        self._max_epoch = max(self._max_epoch, getattr(record, "epoch", 0))
        return beginning

    def _begin_by_heartbeat(self, offset, heartbeat):
        """Return the beginning that a heartbeat proves, or None if it proves nothing.

        A heartbeat of an earlier release doesn't say how far its writer had read.
        """
        read_offset = heartbeat.read_offset
        if read_offset == OFFSET_UNKNOWN:
            read_offset = offset
        if read_offset < self._first_offset - 1:
            return None
        earlier = [record for at, record in self._records if at <= read_offset]
        epoch, host = heartbeat.epoch, heartbeat.host
        claim_index = _find_claim(earlier, epoch)
        if claim_index is not None and earlier[claim_index].host != host:
            claim_index = None
        while claim_index is not None:
            epoch, host = epoch - 1, ""
            earlier = earlier[:claim_index]
            claim_index = _find_claim(earlier, epoch)
        return LogBeginning(epoch, host, tuple(self._records))

    def _begin_by_claim(self, claim):
        """Return the beginning of a log without any heartbeat, at a live claim.

        There is no acting host whose ends a reader could miss.
        """
        if not self._has_caught_up or claim.epoch <= self._max_epoch:
            return None
        return LogBeginning(claim.epoch - 1, "", tuple(self._records))


def _find_claim(records, epoch):
    """Return the index of the claim that began an epoch, or None if it is gone.

    A claim after other records of its epoch came too late to be valid.
    """
    for index, record in enumerate(records):
        if getattr(record, "epoch", None) == epoch:
            return index if isinstance(record, ActingClaimed) else None
    return None
