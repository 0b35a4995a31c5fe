"""Splits records of the work stream that are too large for the log.

The parts of a record together change a reader's state as the whole record does.
"""

from knapweedshed.models.work_records import (
    RunsLaunched,
    SpeedsLearned,
    TasksEnded,
    WorkSnapshot,
)

# A job's record leaves the other half of a record to the parts of its snapshots.
JOB_RECORD_SHARE = 0.5
_LIST_FIELDS = {
    RunsLaunched: ("launches",),
    SpeedsLearned: ("speeds",),
    TasksEnded: ("ends",),
    WorkSnapshot: ("done", "done_ranges", "failed", "saved", "launched"),
}


def max_job_record_bytes(max_record_bytes):
    """Return how large the record of a job may be, in bytes."""
    return int(max_record_bytes * JOB_RECORD_SHARE)


def halve_record(record):
    """Return two records with half of the items each, or () if there are fewer than 2.

    Each item stays whole: a launch has all members of its gang.
    """
    fields = _LIST_FIELDS.get(type(record), ())
    items = [(name, item) for name in fields for item in getattr(record, name)]
    if len(items) < 2:
        return ()
    middle = len(items) // 2
    return tuple(
        record._replace(
            **{
                name: tuple(item for field, item in half if field == name)
                for name in fields
            }
        )
        for half in (items[:middle], items[middle:])
    )
