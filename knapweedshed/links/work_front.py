"""Where callers hand whole jobs in, and where the platform asks for readiness."""

import pykka

from knapweedshed.actors import tell
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.controllers.work_messages import CallReceived, ReadyAsked
from knapweedshed.links.http_server import Answer, HttpServer
from knapweedshed.models.calls import WorkReply
from knapweedshed.results import Result, ResultCode

CALL_THREADS_COUNT = 24  # a call holds one for 10 ms, and for 3 s with the log away
READY_THREADS_COUNT = 2
METRICS_THREADS_COUNT = 1
METRICS_PATH = "/metrics"
READY_LIMIT_MS = 500
ANSWER_MARGIN_MS = 300  # for an answer to reach its caller before the deadline


class MetricsFront:
    """The HTTP server from which metrics are fetched."""

    def __init__(self, context, address):
        self._metrics = context.metrics
        self._server = HttpServer(
            (address,), self._answer, METRICS_THREADS_COUNT, context.logger
        )

    def start(self):
        """Start serving."""
        self._server.start()

    def close(self):
        """Stop serving."""
        self._server.close()

    def _answer(self, call):
        if call.path != METRICS_PATH:
            return Answer(404)
        return Answer(
            200, self._metrics.exposition_text(), (), "text/plain; version=0.0.4"
        )


class WorkFront:
    """The HTTP server of callers, and a second one for readiness."""

    def __init__(self, context, codec, calls, jobs, addresses):
        self._context = context
        self._codec = codec
        self._calls = calls
        self._jobs = jobs
        self._leaving = False
        front, ready = addresses
        logger = context.logger
        self._server = HttpServer((front,), self._answer, CALL_THREADS_COUNT, logger)
        self._ready = HttpServer((ready,), self._readiness, READY_THREADS_COUNT, logger)

    def start(self):
        """Start serving."""
        self._ready.start()
        self._server.start()

    def leave(self):
        """Say that this host is not ready."""
        self._leaving = True

    def close(self):
        """Stop serving, once what is in hand has been answered."""
        self._server.close()
        self._ready.close()

    def _answer(self, call):
        now_ms = self._context.clock.now_ms()
        work_call = self._codec.decode(call, self._context.new_id(), now_ms)
        if work_call is None:
            return Answer(404)
        reply = pykka.ThreadingFuture()
        tell(self._calls, CallReceived(work_call, reply))
        left_ms = work_call.deadline_ms - now_ms - ANSWER_MARGIN_MS
        try:
            found = reply.get(timeout=max(left_ms, ANSWER_MARGIN_MS) / MS_PER_SECOND)
        except pykka.Timeout:
            reason = "no answer in the caller's time; ask again with the same id"
            found = WorkReply(Result(ResultCode.OUTCOME_UNKNOWN, reason))
        return self._codec.encode(found)

    def _readiness(self, call):
        if self._leaving:
            return Answer(503)
        reply = pykka.ThreadingFuture()
        tell(self._jobs, ReadyAsked(reply))
        try:
            ready = reply.get(timeout=READY_LIMIT_MS / MS_PER_SECOND)
        except pykka.Timeout:
            ready = False
        return Answer(200 if ready else 503)
