"""The jobs of a data centre that have not ended, and those that ended lately."""

from knapweedshed.decisions.entries import Entry
from knapweedshed.decisions.ledger import KEPT_ENDED


class JobBook:
    """Owned by one controller; keeps entries, and the places that wait for them."""

    def __init__(self):
        self._entries = {}
        self._claims = {}
        self._closed = {}
        self._direct = set()

    @property
    def entries(self):
        """Return the entries by job id."""
        return self._entries

    @property
    def claims(self):
        """Return the places that wait for a job, by job id."""
        return self._claims

    @property
    def closed(self):
        """Return what became of jobs that ended lately, by job id."""
        return self._closed

    @property
    def direct(self):
        """Return the ids of jobs that were taken without the log."""
        return self._direct

    def know_closed(self, closed):
        """Take over what a ledger knows of ended jobs."""
        self._closed = closed

    def open(self, opened, now_ms):
        """Take a job in, unless it is known."""
        job_id = opened.job.job_id
        if job_id not in self._entries and job_id not in self._closed:
            direct = job_id in self._direct
            self._entries[job_id] = Entry(opened, now_ms, opened.attempt, direct=direct)

    def change(self, opened):
        """Take in what the ledger says of a job; return its entry, or None."""
        entry = self._entries.get(opened.job.job_id)
        if entry is None:
            return None
        number = entry.number if entry.placements else max(entry.number, opened.attempt)
        return self.update(entry, opened=opened, number=number)

    def update(self, entry, **fields):
        """Replace an entry by one with other fields; return it."""
        entry = entry._replace(**fields)
        self._entries[entry.job.job_id] = entry
        return entry

    def intent_won(self, intent, now_ms):
        """Note that an attempt's intent is the first in the log."""
        entry = self._entries.get(intent.job_id)
        if entry is not None:
            opened = entry.opened._replace(intent=intent)
            self.update(entry, opened=opened, intent_ms=now_ms)

    def drop(self, job_id):
        """Forget a job; return its entry, or None."""
        self._claims.pop(job_id, None)
        return self._entries.pop(job_id, None)

    def close(self, ended):
        """Remember an ended job for a while, in place of its entry."""
        self.drop(ended.job_id)
        self._direct.discard(ended.job_id)
        self.remember(ended)

    def remember(self, ended):
        """Keep what became of a job."""
        self._closed[ended.job_id] = ended
        if len(self._closed) > KEPT_ENDED:
            del self._closed[next(iter(self._closed))]

    def waiting(self):
        """Return the entries that have no places."""
        return [entry for entry in self._entries.values() if not entry.placements]

    def over_limit(self, configuration):
        """Return [(entry, reason)] of what an organisation has waiting too many."""
        by_owner = {}
        for entry in self.waiting():
            by_owner.setdefault(entry.job.organisation, []).append(entry)
        over = []
        for name, entries in by_owner.items():
            organisation = configuration.organisation(name)
            if organisation is None or len(entries) <= organisation.max_waiting:
                continue
            entries.sort(key=lambda entry: entry.since_ms)
            reason = f"{name!r} has more than {organisation.max_waiting} waiting"
            over.extend(
                (entry, reason)
                for entry in entries[organisation.max_waiting :]
                if entry.opened.intent is None and not entry.retries
            )
        return over

    def stand_down(self):
        """Forget all places: another scheduler acts."""
        for entry in list(self._entries.values()):
            self.update(entry, placements=(), stopping=False)
        self._claims = {}
