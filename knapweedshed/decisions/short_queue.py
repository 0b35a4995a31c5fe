"""Short requests that wait for a runner: who is next, and who is shed."""

from typing import NamedTuple

from sortedcontainers import SortedKeyList

from knapweedshed.models.configuration import URGENCY_RANK, Urgency


class ShortRequest(NamedTuple):
    """A request that waits for a runner."""

    request_id: str
    organisation: str
    share: int
    urgency: Urgency
    predicted_ms: int
    deadline_ms: int
    tag: float = 0.0

    @property
    def rank(self):
        """The class's rank; 0 is served first."""
        return URGENCY_RANK[self.urgency]


class ShortQueue:
    """Urgent first; within a class, fair by share and short work first.

    Each request's tag is where its organisation's virtual time stands after it: cost
    over share. When the queue is full, the lowest class is shed first, and in it the
    request with the highest tag: the one whose organisation is most over its share.
    """

    def __init__(self, most):
        self._most = most
        self._waiting = SortedKeyList(key=_order)
        self._deadlines = SortedKeyList(key=_deadline)
        self._by_id = {}
        self._virtual = 0.0
        self._spent = {}

    def __len__(self):
        return len(self._waiting)

    def set_most(self, most):
        """Set how many requests may wait from the next one on."""
        self._most = most

    def push(self, request):
        """Add a request; return the request that is shed for it, or None."""
        spent = max(self._virtual, self._spent.get(request.organisation, 0.0))
        tag = spent + max(1, request.predicted_ms) / max(1, request.share)
        self._spent[request.organisation] = tag
        self._add(request._replace(tag=tag))
        if len(self._waiting) <= self._most:
            return None
        shed = self._waiting[-1]
        self._remove(shed)
        return shed

    def push_back(self, request):
        """Put a request back that was popped, with the tag it had."""
        self._add(request)

    def pop(self):
        """Return the next request, or None."""
        if not self._waiting:
            return None
        request = self._waiting[0]
        self._remove(request)
        self._virtual = max(self._virtual, request.tag)
        return request

    def discard(self, request_id):
        """Remove a request, if it waits; return it or None."""
        request = self._by_id.get(request_id)
        if request is not None:
            self._remove(request)
        return request

    def expired(self, now_ms):
        """Remove and return the requests whose deadline has passed."""
        late = []
        while self._deadlines and self._deadlines[0].deadline_ms <= now_ms:
            late.append(self._deadlines[0])
            self._remove(self._deadlines[0])
        return late

    def _add(self, request):
        self._waiting.add(request)
        self._deadlines.add(request)
        self._by_id[request.request_id] = request

    def _remove(self, request):
        self._waiting.remove(request)
        self._deadlines.remove(request)
        del self._by_id[request.request_id]


def _order(request):
    return (request.rank, request.tag, request.request_id)


def _deadline(request):
    return (request.deadline_ms, request.request_id)
