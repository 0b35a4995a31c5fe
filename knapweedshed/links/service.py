"""What we ask of the platform that runs whole jobs, as abstract base classes.

The log is the `LogService` of `links/platform.py`: its appends are all or nothing, and
what it has acknowledged is read alike by all, in one order.
"""

from abc import ABC, abstractmethod


class WorkerCalls(ABC):
    """One worker.

    Needed of it: it does nothing for a fence lower than the highest it has seen; it
    refuses a run that is not higher than one that ended or was stopped there; it ends
    what no lease covers. Without the first, two schedulers could run a task twice.
    """

    @abstractmethod
    def start(self, order, fence):
        """Start a run; return an `OrderOutcome`."""

    @abstractmethod
    def stop(self, order, fence):
        """Stop a run and bar its number; return an `OrderOutcome`."""

    @abstractmethod
    def hold(self, fence, deadline_ms, ends_upto, wait_ms):
        """Raise the fence, renew up to `deadline_ms` (0: not), wait for an end.

        Return `HoldAnswer`, `Refused` (`fence`, `other incarnation`) or a failure.
        """

    @abstractmethod
    def close(self):
        """Close connections."""


class ConfigurationFeed(ABC):
    """What operators publish."""

    @abstractmethod
    def read(self, wait_ms):
        """Return a newer `ServiceConfiguration`, None, or a failure."""

    @abstractmethod
    def close(self):
        """Close connections."""


class WorkerFeed(ABC):
    """The platform's list of workers, which lags."""

    @abstractmethod
    def read(self):
        """Return all `WorkerEntry`s as a tuple, or a failure."""

    @abstractmethod
    def close(self):
        """Close connections."""


class CallerCodec(ABC):
    """How callers' calls and our replies are written."""

    @abstractmethod
    def decode(self, call, call_id, now_ms):
        """Return the `WorkCall` in an HTTP `Call`, or None if it is none."""

    @abstractmethod
    def encode(self, reply):
        """Return the HTTP `Answer` for a `WorkReply`."""


class ServicePlatform(ABC):
    """Makes the adapters of one platform."""

    @abstractmethod
    def settings(self):
        """Return this process's `HostSettings`; raises ValueError with the fault."""

    @abstractmethod
    def work_log(self):
        """Return a `LogService`."""

    @abstractmethod
    def worker(self, entry):
        """Return `WorkerCalls` for a `WorkerEntry`."""

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
    """Make a platform known under the name used in settings."""
    _platforms[name] = factory


def create_service_platform(name, clock, logger):
    """Return the platform called `name`; raises ValueError."""
    factory = _platforms.get(name)
    if factory is None:
        known = ", ".join(sorted(_platforms))
        raise ValueError(f"--platform {name!r}: expected one of {known}")
    return factory(clock, logger)
