"""Fetches job inputs that are stored in the log in chunks."""

from collections import OrderedDict
from functools import singledispatchmethod

from knapweedshed.actors import Actor, tell
from knapweedshed.codecs import json_text
from knapweedshed.controllers.messages import FetchInput, InputFetched
from knapweedshed.digests import digest_of
from knapweedshed.models.outcomes import FAILURE_TYPES

MAX_CACHE_BYTES = 64 * 1024 * 1024
MAX_PAGE_RECORDS = 20


class InputsLink(Actor):
    """Reads inputs from the log, checks their digest and caches recently used ones."""

    def __init__(self, context, log):
        super().__init__(context)
        self._log = log
        self._cache = OrderedDict()

    def on_stop(self):
        """Close the connection."""
        self._log.close()

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def fetch(self, message: FetchInput):
        """Fetch one input; send it or the reason of the failure to the receiver."""
        job = message.job
        body, reason = self._fetch(job)
        tell(message.receiver, InputFetched(job.job_id, body, reason))

    def _fetch(self, job):
        reference = job.input
        if not reference.chunks:
            return reference.inline, ""
        if job.job_id in self._cache:
            self._cache.move_to_end(job.job_id)
            return self._cache[job.job_id], ""
        chunks, reason = self._read_chunks(job)
        if reason:
            return None, reason
        body = b"".join(chunks[index] for index in range(reference.chunks))
        if digest_of(body) != reference.digest:
            return None, "the input's digest doesn't match"
        self._cache_input(job.job_id, body)
        return body, ""

    def _read_chunks(self, job):
        """Return ({index: chunk}, "") or ({}, reason of the failure).

        The chunks are keyed by index because the log may hold some of them twice.
        """
        reference = job.input
        chunks = {}
        offset = reference.first_offset
        while len(chunks) < reference.chunks:
            page = self._log.read(reference.stream, offset, MAX_PAGE_RECORDS, 0)
            if isinstance(page, FAILURE_TYPES):
                return {}, page.reason
            if not page.records:
                return {}, "the input's chunks are not in the log"
            for record in page.records:
                chunk = json_text.loads_message(record.body)
                if chunk.job_id == job.job_id:
                    chunks[chunk.index] = chunk.data
            offset = page.next_offset
        return chunks, ""

    def _cache_input(self, job_id, body):
        self._cache[job_id] = body
        cached_bytes = sum(len(cached) for cached in self._cache.values())
        while cached_bytes > MAX_CACHE_BYTES and len(self._cache) > 1:
            _, dropped = self._cache.popitem(last=False)
            cached_bytes -= len(dropped)
