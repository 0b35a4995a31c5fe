"""Table of a data centre's open jobs and its recently ended jobs."""

from knapweedshed.decisions.entries import JobEntry
from knapweedshed.decisions.ledger import MAX_ENDED_JOBS


class JobTable:
    """Open jobs, placements being reclaimed for them, and recently ended jobs.

    As in the ledger, a closed job is one that has ended. Owned by a single controller;
    not thread-safe.
    """

    def __init__(self):
        self._entries = {}
        self._pending_reclaims = {}
        self._closed = {}
        self._direct = set()

    @property
    def entries(self):
        """`JobEntry` of each open job, by job id."""
        return self._entries

    @property
    def pending_reclaims(self):
        """Placements being reclaimed for a waiting job, by job id."""
        return self._pending_reclaims

    @property
    def closed(self):
        """`JobEnded` of recently ended jobs, by job id."""
        return self._closed

    @property
    def direct(self):
        """Ids of jobs that were accepted without the log."""
        return self._direct

    def set_closed(self, closed):
        """Replace the recently ended jobs with those of the ledger."""
        self._closed = closed

    def open(self, open_job, now_ms):
        """Add an `OpenJob`, unless it is already open or ended."""
        job_id = open_job.job.job_id
        if job_id not in self._entries and job_id not in self._closed:
            direct = job_id in self._direct
            self._entries[job_id] = JobEntry(
                open_job, now_ms, open_job.attempt, direct=direct
            )

    def update_from_ledger(self, open_job):
        """Update the entry of an `OpenJob` from the ledger; return it, or None.

        The attempt number never decreases, and stays as it is while the job is placed.
        """
        entry = self._entries.get(open_job.job.job_id)
        if entry is None:
            return None
        number = (
            entry.number if entry.placements else max(entry.number, open_job.attempt)
        )
        return self.update(entry, open_job=open_job, number=number)

    def update(self, entry, **fields):
        """Replace fields of an entry; return the new entry."""
        entry = entry._replace(**fields)
        self._entries[entry.job.job_id] = entry
        return entry

    def record_intent(self, intent, now_ms):
        """Record that an intent was accepted: the first in the log for its attempt."""
        entry = self._entries.get(intent.job_id)
        if entry is not None:
            open_job = entry.open_job._replace(intent=intent)
            self.update(entry, open_job=open_job, intent_ms=now_ms)

    def remove(self, job_id):
        """Remove an open job and its pending reclaim; return its entry, or None."""
        self._pending_reclaims.pop(job_id, None)
        return self._entries.pop(job_id, None)

    def close(self, ended):
        """Move a job from the open to the recently ended jobs."""
        self.remove(ended.job_id)
        self._direct.discard(ended.job_id)
        self.record_ended(ended)

    def record_ended(self, ended):
        """Record an ended job, dropping the oldest beyond `MAX_ENDED_JOBS`."""
        self._closed[ended.job_id] = ended
        if len(self._closed) > MAX_ENDED_JOBS:
            del self._closed[next(iter(self._closed))]

    def waiting(self):
        """Return the entries that have no placements."""
        return [entry for entry in self._entries.values() if not entry.placements]

    def over_waiting_limit(self, configuration):
        """Return [(entry, reason)] for jobs beyond an organisation's `max_waiting`.

        The newest are chosen; jobs with an intent or a retry are never chosen.
        """
        by_organisation = {}
        for entry in self.waiting():
            by_organisation.setdefault(entry.job.organisation, []).append(entry)
        excess = []
        for name, entries in by_organisation.items():
            organisation = configuration.organisation(name)
            if organisation is None or len(entries) <= organisation.max_waiting:
                continue
            entries.sort(key=lambda entry: entry.waiting_since_ms)
            reason = f"{name!r} has more than {organisation.max_waiting} waiting"
            excess.extend(
                (entry, reason)
                for entry in entries[organisation.max_waiting :]
                if entry.open_job.intent is None and not entry.retries
            )
        return excess

    def clear_placements(self):
        """Remove placements and pending reclaims, when another scheduler takes over."""
        for entry in list(self._entries.values()):
            self.update(entry, placements=(), stopping=False)
        self._pending_reclaims = {}
