"""The filters of calls about whole jobs, in the order of the chain."""

from knapweedshed.filters.base import Filter
from knapweedshed.models.calls import CallKind, WorkReply
from knapweedshed.results import Result, ResultCode

JOB_ID_CHARACTERS = 16  # the users' platform names jobs by 16 hexadecimal digits
HEXADECIMAL = frozenset("0123456789abcdef")
RETRY_NOT_READY_MS = 500  # about the time in which a joiner reads its configuration


def refuse(code, reason, retry_after_ms=0):
    """Return a reply that ends a call."""
    return WorkReply(Result(code, reason), retry_after_ms=retry_after_ms)


class QueueFilter(Filter):
    """Finds the queue that a call names, in the configuration in force."""

    def __init__(self, configuration):
        """`configuration` returns the `ServiceConfiguration` in force."""
        self._configuration = configuration

    def enter(self, request):
        """Add the queue, and the job id that follows its prefix."""
        configuration = self._configuration()
        if configuration.version < 0:
            return refuse(
                ResultCode.NOT_READY,
                "no configuration is in force here",
                RETRY_NOT_READY_MS,
            )
        queue = configuration.queue_for(request.host, request.path)
        if queue is None:
            return refuse(ResultCode.UNKNOWN_SERVICE, "no queue has this path")
        job_id = request.path[len(queue.prefix) :]
        return request._replace(queue=queue, job_id=job_id)


class KeyFilter(Filter):
    """Finds the organisation whose key a call carries."""

    def __init__(self, configuration):
        """`configuration` returns the `ServiceConfiguration` in force."""
        self._configuration = configuration

    def enter(self, request):
        """Add the organisation; refuse an unknown key."""
        organisation = self._configuration().owner_of_key(request.key)
        if not organisation and not request.queue.public:
            return refuse(ResultCode.UNKNOWN_KEY, "no organisation has this key")
        return request._replace(organisation=organisation)


class JobFilter(Filter):
    """Refuses what names no job, or describes none that could be run."""

    def __init__(self, configuration):
        """`configuration` returns the `ServiceConfiguration` in force."""
        self._configuration = configuration

    def enter(self, request):
        """Return the call, or a reply that says what is wrong with it."""
        if request.kind == CallKind.COUNT or not request.job_id:
            return request._replace(kind=CallKind.COUNT)
        job_id = request.job_id
        if len(job_id) != JOB_ID_CHARACTERS or not set(job_id) <= HEXADECIMAL:
            return refuse(ResultCode.BAD_REQUEST, "a job id has 16 hexadecimal digits")
        if request.kind != CallKind.SUBMIT:
            return request
        if request.body_bytes > self._configuration().max_body_bytes:
            return refuse(ResultCode.BODY_TOO_LARGE, "the body is too large")
        if request.draft is None:
            return refuse(ResultCode.BAD_REQUEST, request.fault)
        return request


class LogFilter(Filter):
    """Writes the one line that says what became of a call."""

    def __init__(self, clock, logger, metrics):
        self._clock = clock
        self._logger = logger
        self._metrics = metrics

    def leave(self, request, reply):
        """Count the reply; log what changed something or was refused."""
        took_ms = self._clock.now_ms() - request.received_ms
        self._metrics.count(f"calls.{request.kind}.{int(reply.result.code)}")
        self._metrics.timing(f"calls.{request.kind}", took_ms)
        if request.kind in (CallKind.SUBMIT, CallKind.CANCEL):
            self._logger.info(
                "call",
                extra={
                    "job": request.job_id or request.path,
                    "kind": str(request.kind),
                    "code": int(reply.result.code),
                    "reason": reply.result.reason,
                    "took_ms": took_ms,
                },
            )
        return reply
