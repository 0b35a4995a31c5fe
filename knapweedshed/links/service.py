"""Abstract interfaces to the platform that runs multi-step jobs.

The log is the `LogService` of `links/platform.py`. An append must be atomic, and all
readers must see acknowledged records in the same order.
"""

from abc import ABC, abstractmethod
from typing import NamedTuple


class WorkerCall(NamedTuple):
    """An HTTP POST request to a worker; `headers` are (name, value) pairs."""

    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class WorkerCodec(ABC):
    """Encodes the requests to workers and decodes their responses.

    A worker must refuse every request whose fence is lower than the highest it has
    seen; refuse a run whose number is not higher than that of a run of the task that
    ended or was stopped there; and end runs that no lease covers. Without the first
    rule, two schedulers could run a task twice.

    The decoders take the `Response` to a call, `NotSent` or `NoAnswer`.
    """

    @abstractmethod
    def encode_hold(self, entry, request):
        """Return the `WorkerCall` of a `HoldRequest`.

        A hold raises the fence, renews leases until `deadline_ms` on the worker's
        clock (0 renews none), and waits up to `wait_ms` for a run to end.
        """

    @abstractmethod
    def decode_hold(self, result):
        """Return `HoldAnswer` or a failure.

        `Refused` has the reason `fence` or `other incarnation`.
        """

    @abstractmethod
    def encode_order(self, entry, order, fence):
        """Return the `WorkerCall` of a `StartRun` or a `StopRun`.

        A stop also refuses its run from now on, if it arrives later.
        """

    @abstractmethod
    def decode_order(self, result):
        """Return the `OrderOutcome` of an order."""


class ConfigurationFeed(ABC):
    """What operators publish: the service configuration, and evacuations."""

    @property
    @abstractmethod
    def evacuated_data_centres(self):
        """Return the names as of the last successful read.

        None before the first complete read. After a failure the names stay as they
        were. Names that aren't data centres of the deployment are left out.
        """

    @abstractmethod
    def read(self, wait_ms):
        """Return a newer `ServiceConfiguration`, None if there is none, or a failure.

        Waits up to `wait_ms` for a change. A read without a failure returns all that
        was published before it was sent.
        """

    @abstractmethod
    def close(self):
        """Close the connections."""


class WorkerFeed(ABC):
    """The platform's list of workers; it may be out of date."""

    @abstractmethod
    def read(self):
        """Return a tuple of all `WorkerEntry`s, or a failure."""

    @abstractmethod
    def close(self):
        """Close the connections."""


class CallerCodec(ABC):
    """Decodes callers' HTTP requests and encodes the replies."""

    @abstractmethod
    def decode(self, request, call_id, now_ms):
        """Return the `WorkCall` in an `HttpRequest`, or None if it holds none."""

    @abstractmethod
    def encode(self, reply):
        """Return the `HttpResponse` for a `WorkReply`."""

    @abstractmethod
    def find_api_key(self, headers):
        """Return the API key in a request's headers, looked up by name, or ""."""


class ServicePlatform(ABC):
    """Creates the adapters of one platform."""

    @abstractmethod
    def settings(self):
        """Return this process's `HostSettings`; raises ValueError if invalid."""

    @abstractmethod
    def work_log(self):
        """Return a `LogService`."""

    @abstractmethod
    def worker_codec(self):
        """Return the `WorkerCodec`."""

    @abstractmethod
    def configuration_feed(self):
        """Return a `ConfigurationFeed`."""

    @abstractmethod
    def worker_feed(self):
        """Return a `WorkerFeed`."""

    @abstractmethod
    def caller_codec(self):
        """Return the `CallerCodec`."""


_platforms = {}


def register_service_platform(name, factory):
    """Register a platform factory under the name used in settings."""
    _platforms[name] = factory


def create_service_platform(name, clock, logger):
    """Return the platform registered as `name`; raises ValueError if there is none."""
    factory = _platforms.get(name)
    if factory is None:
        known = ", ".join(sorted(_platforms))
        raise ValueError(f"--platform {name!r}: expected one of {known}")
    return factory(clock, logger)
