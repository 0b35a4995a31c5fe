"""What a host knows about whether it can reach the log.

A host that can't reach the log rejects submissions without an append, so that the
rejection is certain, and leaves the load balancer, so that callers reach other hosts.
"""

# A log that is down refuses within some ms; one that is cut off doesn't answer at all.
SILENT_FAILURE_MS = 250
FAILURE_VALIDITY_MS = 600  # how long a failed append shows that the log is silent
# A log that is 60 times slower than usual answers an append in 250 ms; a second append
# may wait for the first.
MIN_SILENCE_MS = 600
SILENCE_FACTOR = 3  # times the duration of the last append
# A standby host pauses for 400 ms between reads, a read waits up to 600 ms for records,
# and a slow log answers 250 ms later.
MAX_CONTACT_AGE_MS = 1_400


class LogReachability:
    """Combines the outcomes of a host's appends and reads; times in milliseconds."""

    def __init__(self):
        self._sent_ms = {}
        self._last_append_ms = 0
        self._append_succeeded_ms = -1
        self._read_ms = -1
        self._silent_failure_ms = -1

    def note_append_sent(self, record_id, now_ms):
        """Note that a record was given to the appender."""
        self._sent_ms[record_id] = now_ms

    def note_append_done(self, record_id, now_ms):
        """Note that the log has acknowledged a record."""
        self._append_succeeded_ms = now_ms
        sent_ms = self._sent_ms.pop(record_id, None)
        if sent_ms is not None:
            self._last_append_ms = now_ms - sent_ms

    def note_append_failed(self, record_id, now_ms):
        """Note that a record was refused or got no answer."""
        sent_ms = self._sent_ms.pop(record_id, now_ms)
        is_silent = now_ms - sent_ms >= SILENT_FAILURE_MS
        self._silent_failure_ms = now_ms if is_silent else -1

    def note_append_forgotten(self, record_id):
        """Note that nobody waits for a record any more."""
        self._sent_ms.pop(record_id, None)

    def note_read(self, now_ms):
        """Note that the log has answered a read."""
        self._read_ms = now_ms

    def is_reachable(self, now_ms):
        """Return whether the log has answered lately; False before the first read."""
        if self._read_ms < 0:
            return False
        return self.unanswered_ms(now_ms) <= MAX_CONTACT_AGE_MS

    def is_silent(self, now_ms):
        """Return whether an append that starts now would get no answer.

        A log that refuses at once is not silent: the next append may succeed.
        """
        oldest_ms = min(self._sent_ms.values(), default=now_ms)
        if now_ms - oldest_ms > max(
            MIN_SILENCE_MS, SILENCE_FACTOR * self._last_append_ms
        ):
            return True
        if self._silent_failure_ms <= max(self._read_ms, self._append_succeeded_ms):
            return False
        is_recent = now_ms - self._silent_failure_ms < FAILURE_VALIDITY_MS
        return is_recent or not self.is_reachable(now_ms)

    def unanswered_ms(self, now_ms):
        """Return the time since the log last answered a read or acknowledged."""
        return now_ms - max(self._read_ms, self._append_succeeded_ms)
