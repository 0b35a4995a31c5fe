"""What we ask of the outside systems, as abstract base classes.

Another front end to the platform is one new module that registers an adapter with
`register_platform`. Each method says which promise of ours needs its guarantee, so
that a weaker system shows as a weaker promise.
"""

from abc import ABC, abstractmethod


class LogService(ABC):
    """The platform's append-only log."""

    @abstractmethod
    def append(self, stream, records):
        """Append `LogRecord`s in order; return the first offset (int) or a failure.

        Needed by promises 5 and 8: one order that all readers see alike. A lost
        answer (`NoAnswer`) may have appended all, some or none.
        """

    @abstractmethod
    def read(self, stream, from_offset, limit, wait_ms):
        """Return a `LogPage`, waiting up to `wait_ms` for the first record."""

    @abstractmethod
    def close(self):
        """Close connections."""


class HostList(ABC):
    """The platform's lagging list of hosts."""

    @abstractmethod
    def hosts(self, data_centre, role):
        """Return a tuple of the `Host`s of a role in a data centre, or a failure.

        A platform that can't choose may return more; what is not asked for is ignored.
        """

    @abstractmethod
    def close(self):
        """Close connections."""


class WorkerService(ABC):
    """One worker.

    Promises 2, 4 and 5 need: a lease id is granted at most once, ever, by one
    incarnation; a lapsed or freed lease refuses every later command; a refusal means
    that nothing was done. A worker without these can carry idempotent work only.
    """

    @abstractmethod
    def grant(self, lease_id, labels, accelerators, term_ms):
        """Lease accelerators; return `Granted` or a failure."""

    @abstractmethod
    def start(self, lease_id, program, body, held, checkpoint):
        """Load a task under a lease; a held one waits for `release`."""

    @abstractmethod
    def release(self, lease_id):
        """Let a held task run. Repeating it is harmless."""

    @abstractmethod
    def stop(self, lease_id, checkpoint):
        """Stop the task, after a checkpoint if asked; `Done.detail` is its token."""

    @abstractmethod
    def free(self, lease_id):
        """End the lease, its task and its answer; return `Freed` or a failure.

        Freeing a lease id that was never granted bars it from being granted later.
        Promise 4 needs the state before, and the incarnation that vouches for it.
        """

    @abstractmethod
    def sync(self, renewals, term_ms, known_version, wait_ms):
        """Renew leases and return a `WorkerReport` once its version differs."""

    @abstractmethod
    def answer(self, lease_id, from_byte):
        """Return `AnswerPart` from `from_byte` to the end, or a failure."""

    @abstractmethod
    def close(self):
        """Close connections."""


class RunnerService(ABC):
    """One runner. A refusal means that the call was not run (promise 4)."""

    @abstractmethod
    def call(self, request_id, program, body, time_left_ms):
        """Run short idempotent work; return `RunnerAnswer` or a failure."""

    @abstractmethod
    def close(self):
        """Close connections."""


class Platform(ABC):
    """Makes the adapters of one platform; addresses are `ip:port`."""

    @abstractmethod
    def log_service(self, address):
        """Return a `LogService`."""

    @abstractmethod
    def host_list(self, address):
        """Return a `HostList`."""

    @abstractmethod
    def worker(self, address):
        """Return a `WorkerService`."""

    @abstractmethod
    def runner(self, address):
        """Return a `RunnerService`."""


_platforms = {}


def register_platform(name, factory):
    """Make a platform adapter known under the name used in settings."""
    _platforms[name] = factory


def create_platform(name, clock):
    """Return the platform adapter called `name`; raises ValueError."""
    factory = _platforms.get(name)
    if factory is None:
        known = ", ".join(sorted(_platforms))
        raise ValueError(f"--platform {name!r}: expected one of {known}")
    return factory(clock)
