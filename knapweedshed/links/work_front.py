"""HTTP servers of a host: the API for multi-step jobs, readiness checks and metrics."""

from functools import singledispatchmethod
from typing import Any, NamedTuple

import pykka

from knapweedshed.actors import Actor, stop, tell
from knapweedshed.clock import MS_PER_SECOND
from knapweedshed.controllers.work_messages import (
    CallReceived,
    ReadinessAsked,
    ServiceConfigurationUpdated,
)
from knapweedshed.links.connection_guard import Listener, ListenerConfiguration
from knapweedshed.links.http_server import HttpResponse, HttpServer, json_response
from knapweedshed.models.calls import WorkReply
from knapweedshed.results import Result, ResultCode

CALL_THREADS = 24  # a call takes one for 10 ms, or for 3 s while the log is down
READINESS_THREADS = 2
METRICS_THREADS = 1
METRICS_PATH = "/metrics"
READINESS_TIMEOUT_MS = 500
REPLY_MARGIN_MS = 30  # for a reply to reach its caller before the deadline
MIN_REPLY_WAIT_MS = 200  # longer than the append of a call that comes late
# A decoded body may take 30 times its size, so larger ones are decoded one by one, and
# by one thread: each thread's allocator keeps memory that it has used. A crowd left a
# host at 60 to 62 MB with 24 threads, at 45 to 50 MB with one.
LARGE_BODY_BYTES = 16_384
DECODE_TIMEOUT_MS = 3_000  # the deadline of a call without one
DECODE_RETRY_AFTER_S = 1


class MetricsServer:
    """HTTP server that exposes metrics in the Prometheus text format."""

    def __init__(self, context, address, limits):
        self._metrics = context.metrics
        self._server = HttpServer(
            (address,),
            self._handle,
            METRICS_THREADS,
            context.logger,
            Listener("metrics", limits, metrics=context.metrics, clock=context.clock),
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


class ListenerConfigurationRelay(Actor):
    """Passes the size of a body and the API keys in force to a server's listener."""

    def __init__(self, context, server):
        super().__init__(context)
        self._server = server
        self._version = -1

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def update_configuration(self, message: ServiceConfigurationUpdated):
        """Pass on a configuration that is newer than the last one."""
        configuration = message.configuration
        if configuration.version <= self._version:
            return
        self._version = configuration.version
        api_keys = frozenset(
            key
            for organisation in configuration.organisations
            for key in organisation.api_keys
        )
        self._server.tell(ListenerConfiguration(configuration.max_body_bytes, api_keys))


class DecodeBody(NamedTuple):
    """Message to decode a request; `reply` is set to a `WorkCall`, None or an error."""

    request: Any
    call_id: str
    now_ms: int
    reply: Any


class BodyDecoder(Actor):
    """Decodes requests with large bodies, one at a time."""

    def __init__(self, context, codec):
        super().__init__(context)
        self._codec = codec

    @singledispatchmethod
    def receive(self, message):
        """Handle a message by its type."""
        super().receive(message)

    @receive.register
    def decode(self, message: DecodeBody):
        """Decode a request; the thread that waits for it raises an error again."""
        try:
            call = self._codec.decode(message.request, message.call_id, message.now_ms)
        except Exception:
            message.reply.set_exception()
        else:
            message.reply.set(call)


class JobApiServer:
    """HTTP servers for callers of multi-step jobs and for readiness checks."""

    def __init__(self, context, codec, calls, jobs, addresses, limits):
        """`addresses` and `limits` are those of (callers, readiness checks)."""
        self._context = context
        self._codec = codec
        self._calls = calls
        self._jobs = jobs
        self._not_ready = False
        api_address, readiness_address = addresses
        callers_limits, readiness_limits = limits
        self._body_decoder = BodyDecoder.start(context, codec)
        self._server = HttpServer(
            (api_address,),
            self._handle,
            CALL_THREADS,
            context.logger,
            Listener(
                "callers",
                callers_limits,
                codec.find_api_key,
                context.metrics,
                context.clock,
            ),
        )
        self._readiness_server = HttpServer(
            (readiness_address,),
            self._handle_readiness,
            READINESS_THREADS,
            context.logger,
            Listener(
                "readiness",
                readiness_limits,
                metrics=context.metrics,
                clock=context.clock,
            ),
        )
        self._relay = ListenerConfigurationRelay.start(context, self._server)

    @property
    def configuration_receiver(self):
        """The actor that is told `ServiceConfigurationUpdated`."""
        return self._relay

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
        stop(self._relay)
        stop(self._body_decoder)

    def _handle(self, request):
        now_ms = self._context.clock.now_ms()
        try:
            work_call = self._decode(request, now_ms)
        except pykka.Timeout:
            self._context.metrics.count("connections.callers.refused.decoder")
            return _decoder_busy_response()
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

    def _decode(self, request, now_ms):
        call_id = self._context.new_id()
        if len(request.body) <= LARGE_BODY_BYTES:
            return self._codec.decode(request, call_id, now_ms)
        reply = pykka.ThreadingFuture()
        tell(self._body_decoder, DecodeBody(request, call_id, now_ms, reply))
        return reply.get(timeout=DECODE_TIMEOUT_MS / MS_PER_SECOND)

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


def _decoder_busy_response():
    """Return a refusal: no call was decoded, so none has run."""
    code = int(ResultCode.OVERLOADED)
    headers = (
        ("X-Result-Code", str(code)),
        ("Retry-After", str(DECODE_RETRY_AFTER_S)),
    )
    return json_response({"code": code, "error": "too many large bodies"}, 503, headers)
