"""The filters of calls for multi-step jobs."""

from knapweedshed.decisions.job_limits import find_fault
from knapweedshed.filters.base import Filter
from knapweedshed.models.calls import CallKind, WorkReply
from knapweedshed.results import Result, ResultCode

JOB_ID_DIGITS = 16  # hexadecimal; the `fleet` platform's format of job ids
HEXADECIMAL_DIGITS = frozenset("0123456789abcdef")
RETRY_AFTER_NOT_READY_MS = 500  # a new host reads its configuration in about that time


def refused_reply(code, reason, retry_after_ms=0):
    """Return a reply that rejects a call."""
    return WorkReply(Result(code, reason), retry_after_ms=retry_after_ms)


class QueueFilter(Filter):
    """Looks up the queue of a call in the configuration in force."""

    def __init__(self, get_configuration):
        """`get_configuration` returns the `ServiceConfiguration` in force."""
        self._get_configuration = get_configuration

    def enter(self, request):
        """Set the queue, and the job id, which follows the path prefix of the queue."""
        configuration = self._get_configuration()
        if configuration.version < 0:
            return refused_reply(
                ResultCode.NOT_READY,
                "no configuration is in force here",
                RETRY_AFTER_NOT_READY_MS,
            )
        queue = configuration.queue_for(request.host, request.path)
        if queue is None:
            return refused_reply(ResultCode.UNKNOWN_SERVICE, "no queue has this path")
        job_id = request.path[len(queue.path_prefix) :]
        return request._replace(queue=queue, job_id=job_id)


class ApiKeyFilter(Filter):
    """Looks up the organisation that the API key of a call belongs to."""

    def __init__(self, get_configuration):
        """`get_configuration` returns the `ServiceConfiguration` in force."""
        self._get_configuration = get_configuration

    def enter(self, request):
        """Set the organisation, or reject an unknown key unless the queue is public."""
        organisation = self._get_configuration().organisation_of_api_key(
            request.api_key
        )
        if not organisation and not request.queue.public:
            return refused_reply(ResultCode.UNKNOWN_KEY, "no organisation has this key")
        return request._replace(organisation=organisation)


class JobValidationFilter(Filter):
    """Rejects invalid job ids and job descriptions."""

    def __init__(self, get_configuration):
        """`get_configuration` returns the `ServiceConfiguration` in force."""
        self._get_configuration = get_configuration

    def enter(self, request):
        """Return the call, or a reply with the error.

        A call without a job id asks for the number of waiting jobs.
        """
        if request.kind == CallKind.COUNT or not request.job_id:
            return request._replace(kind=CallKind.COUNT)
        job_id = request.job_id
        if len(job_id) != JOB_ID_DIGITS or not set(job_id) <= HEXADECIMAL_DIGITS:
            return refused_reply(
                ResultCode.BAD_REQUEST, "a job id has 16 hexadecimal digits"
            )
        if request.kind != CallKind.SUBMIT:
            return request
        if request.body_bytes > self._get_configuration().max_body_bytes:
            return refused_reply(ResultCode.BODY_TOO_LARGE, "the body is too large")
        if request.draft is None:
            return refused_reply(ResultCode.BAD_REQUEST, request.body_error)
        fault = find_fault(request.draft)
        if fault:
            return refused_reply(ResultCode.BAD_REQUEST, fault)
        return request


class CallLogFilter(Filter):
    """Logs and counts the outcome of each call."""

    def __init__(self, clock, logger, metrics):
        self._clock = clock
        self._logger = logger
        self._metrics = metrics

    def leave(self, request, reply):
        """Count the reply; log the outcome of submissions and cancellations."""
        took_ms = self._clock.now_ms() - request.received_ms
        self._metrics.count(f"calls.{request.kind}.{int(reply.result.code)}")
        self._metrics.timing(f"calls.{request.kind}", took_ms)
        if request.kind in (CallKind.SUBMIT, CallKind.CANCEL):
            fields = {
                "job": request.job_id or request.path,
                "kind": str(request.kind),
                "code": int(reply.result.code),
                "reason": reply.result.reason,
                "took_ms": took_ms,
            }
            if reply.log_state is not None:
                fields["log_offset"] = reply.log_state.offset
                fields["log_age_ms"] = reply.log_state.age_ms
            self._logger.info("call", extra=fields)
        return reply
