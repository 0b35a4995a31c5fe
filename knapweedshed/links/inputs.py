"""Fetches job inputs that were put into the log in chunks."""

from collections import OrderedDict
from functools import singledispatchmethod

from knapweedshed.actors import Actor, tell
from knapweedshed.codecs import json_text
from knapweedshed.controllers.messages import InputAsked, InputFetched
from knapweedshed.digests import digest_of
from knapweedshed.models.outcomes import FAILURE_TYPES

CACHE_BYTES = 64 * 1024 * 1024
READ_LIMIT = 20


class InputsLink(Actor):
    """Reads inputs from the log, checks their digest, and keeps the latest few."""

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
    def asked(self, message: InputAsked):
        """Fetch one input."""
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
        self._keep(job.job_id, body)
        return body, ""

    def _read_chunks(self, job):
        """Collect chunks by index: second copies may stand between them."""
        reference = job.input
        chunks = {}
        offset = reference.first_offset
        while len(chunks) < reference.chunks:
            page = self._log.read(reference.stream, offset, READ_LIMIT, 0)
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

    def _keep(self, job_id, body):
        self._cache[job_id] = body
        size = sum(len(item) for item in self._cache.values())
        while size > CACHE_BYTES and len(self._cache) > 1:
            _, dropped = self._cache.popitem(last=False)
            size -= len(dropped)
