"""Abstract interfaces to the platform that runs multi-step jobs.

The log is the `LogService` of `links/platform.py`. An append must be atomic, and all
readers must see acknowledged records in the same order.
"""

from abc import ABC, abstractmethod


class WorkerClient(ABC):
    """Client of one worker.

    The worker must refuse every request whose fence is lower than the highest it has
    seen; refuse a run whose number is not higher than that of a run of the task that
    ended or was stopped there; and end runs that no lease covers. Without the first
    rule, two schedulers could run a task twice.
    """

    @abstractmethod
    def start(self, order, fence):
        """Start a run; return an `OrderOutcome`."""

    @abstractmethod
    def stop(self, order, fence):
        """Stop a run and refuse its number from now on; return an `OrderOutcome`."""

    @abstractmethod
    def hold(self, fence, deadline_ms, acknowledged_upto, wait_ms):
        """Raise the fence, renew leases and wait up to `wait_ms` for a run to end.

        Leases are renewed until `deadline_ms` on the worker's clock; 0 renews none.
        Return `HoldAnswer`, `Refused` (`fence`, `other incarnation`) or a failure.
        """

    @abstractmethod
    def close(self):
        """Close the connections."""


class ConfigurationFeed(ABC):
    """The service configuration that operators publish."""

    @abstractmethod
    def read(self, wait_ms):
        """Return a newer `ServiceConfiguration`, None if there is none, or a failure.

        Waits up to `wait_ms` for a change.
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


class ServicePlatform(ABC):
    """Creates the adapters of one platform."""

    @abstractmethod
    def settings(self):
        """Return this process's `HostSettings`; raises ValueError if invalid."""

    @abstractmethod
    def work_log(self):
        """Return a `LogService`."""

    @abstractmethod
    def worker(self, entry):
        """Return a `WorkerClient` for a `WorkerEntry`."""

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
