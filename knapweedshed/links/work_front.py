"""HTTP servers of a host: the API for multi-step jobs, readiness checks and metrics."""

import pykka

from knapweedshed.actors import tell
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.controllers.work_messages import CallReceived, ReadinessAsked
from knapweedshed.links.http_server import HttpResponse, HttpServer
from knapweedshed.models.calls import WorkReply
from knapweedshed.results import Result, ResultCode

CALL_THREADS = 24  # a call takes one for 10 ms, or for 3 s while the log is down
READINESS_THREADS = 2
METRICS_THREADS = 1
METRICS_PATH = "/metrics"
READINESS_TIMEOUT_MS = 500
REPLY_MARGIN_MS = 30  # for a reply to reach its caller before the deadline
MIN_REPLY_WAIT_MS = 200  # longer than the append of a call that comes late


class MetricsServer:
    """HTTP server that exposes metrics in the Prometheus text format."""

    def __init__(self, context, address):
        self._metrics = context.metrics
        self._server = HttpServer(
            (address,), self._handle, METRICS_THREADS, context.logger
        )

    def start(self):
        """Start serving."""
        self._server.start()

    def close(self):
        """Stop serving."""
        self._server.close()

    def _handle(self, request):
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        return HttpResponse(
            200, self._metrics.exposition_text(), (), "text/plain; version=0.0.4"
        )


class JobApiServer:
    """HTTP servers for callers of multi-step jobs and for readiness checks."""

    def __init__(self, context, codec, calls, jobs, addresses):
        self._context = context
        self._codec = codec
        self._calls = calls
        self._jobs = jobs
        self._not_ready = False
        api_address, readiness_address = addresses
        logger = context.logger
        self._server = HttpServer((api_address,), self._handle, CALL_THREADS, logger)
        self._readiness_server = HttpServer(
            (readiness_address,), self._handle_readiness, READINESS_THREADS, logger
        )

    def start(self):
        """Start serving."""
        self._readiness_server.start()
        self._server.start()

    def set_not_ready(self):
        """Answer readiness checks with 503 from now on."""
        self._not_ready = True

    def close(self):
        """Stop both servers after the responses in progress have been sent."""
        self._server.close()
        self._readiness_server.close()

    def _handle(self, request):
        now_ms = self._context.clock.now_ms()
        work_call = self._codec.decode(request, self._context.new_id(), now_ms)
        if work_call is None:
            return HttpResponse(404)
        reply = pykka.ThreadingFuture()
        tell(self._calls, CallReceived(work_call, reply))
        time_left_ms = work_call.deadline_ms - now_ms - REPLY_MARGIN_MS
        try:
            work_reply = reply.get(
                timeout=max(time_left_ms, MIN_REPLY_WAIT_MS) / MS_PER_SECOND
            )
        except pykka.Timeout:
            reason = "no answer in the caller's time; ask again with the same id"
            work_reply = WorkReply(Result(ResultCode.OUTCOME_UNKNOWN, reason))
        return self._codec.encode(work_reply)

    def _handle_readiness(self, request):
        if self._not_ready:
            return HttpResponse(503)
        reply = pykka.ThreadingFuture()
        tell(self._jobs, ReadinessAsked(reply))
        try:
            ready = reply.get(timeout=READINESS_TIMEOUT_MS / MS_PER_SECOND)
        except pykka.Timeout:
            ready = False
        return HttpResponse(200 if ready else 503)
