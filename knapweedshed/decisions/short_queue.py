"""Queue of short requests that wait for a runner, with load shedding."""

from typing import NamedTuple

from sortedcontainers import SortedKeyList

from knapweedshed.models.configuration import URGENCY_RANK, Urgency


class ShortRequest(NamedTuple):
    """A request that waits for a runner.

    `share` is the weight of the organisation; `predicted_ms` is the predicted run time;
    `deadline_ms` is on the local clock. `virtual_finish` is set by `ShortQueue.push`.
    """

    request_id: str
    organisation: str
    share: int
    urgency: Urgency
    predicted_ms: int
    deadline_ms: int
    virtual_finish: float = 0.0

    @property
    def urgency_rank(self):
        """Rank of the urgency class; rank 0 is served first."""
        return URGENCY_RANK[self.urgency]


class ShortQueue:
    """Priority queue by urgency class, with weighted fair queueing within a class.

    A request's virtual finish time is its organisation's virtual time after serving it,
    which grows by predicted run time over share; so short requests are served first.
    Beyond `limit` waiting requests, the lowest class is shed first, and in it the
    request with the latest virtual finish time, whose organisation exceeds its share
    the most.
    """

    def __init__(self, limit):
        self._limit = limit
        self._waiting = SortedKeyList(key=_service_order)
        self._by_deadline = SortedKeyList(key=_deadline_order)
        self._by_id = {}
        self._virtual_time = 0.0
        self._last_virtual_finish = {}

    def __len__(self):
        return len(self._waiting)

    def set_limit(self, limit):
        """Set how many requests may wait; applies from the next `push`."""
        self._limit = limit

    def push(self, request):
        """Add a request; return the request that is shed, or None.

        The shed request may be the added one.
        """
        virtual_start = max(
            self._virtual_time, self._last_virtual_finish.get(request.organisation, 0.0)
        )
        virtual_finish = virtual_start + max(1, request.predicted_ms) / max(
            1, request.share
        )
        self._last_virtual_finish[request.organisation] = virtual_finish
        self._add(request._replace(virtual_finish=virtual_finish))
        if len(self._waiting) <= self._limit:
            return None
        shed = self._waiting[-1]
        self._remove(shed)
        return shed

    def requeue(self, request):
        """Return a popped request to the queue with its virtual finish time."""
        self._add(request)

    def pop(self):
        """Remove and return the next request, or None."""
        if not self._waiting:
            return None
        request = self._waiting[0]
        self._remove(request)
        self._virtual_time = max(self._virtual_time, request.virtual_finish)
        return request

    def discard(self, request_id):
        """Remove a waiting request; return it, or None if it is not waiting."""
        request = self._by_id.get(request_id)
        if request is not None:
            self._remove(request)
        return request

    def take_expired(self, now_ms):
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._by_deadline and self._by_deadline[0].deadline_ms <= now_ms:
            expired.append(self._by_deadline[0])
            self._remove(self._by_deadline[0])
        return expired

    def _add(self, request):
        self._waiting.add(request)
        self._by_deadline.add(request)
        self._by_id[request.request_id] = request

    def _remove(self, request):
        self._waiting.remove(request)
        self._by_deadline.remove(request)
        del self._by_id[request.request_id]


def _service_order(request):
    return (request.urgency_rank, request.virtual_finish, request.request_id)


def _deadline_order(request):
    return (request.deadline_ms, request.request_id)
