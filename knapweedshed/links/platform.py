"""Abstract interfaces to the external systems.

To support another platform, add a module that registers an adapter with
`register_platform`. Docstrings say what the scheduler can no longer guarantee if a
system is weaker than described.
"""

from abc import ABC, abstractmethod


class LogService(ABC):
    """The platform's append-only log."""

    @abstractmethod
    def append(self, stream, records):
        """Append `LogRecord`s in order; return the first offset (int) or a failure.

        All readers must see the records in the same order: the first acceptance, intent
        and end of a job win, and all processes must agree on the configuration. After
        `NoAnswer`, all, some or none of the records may have been appended.
        """

    @abstractmethod
    def read(self, stream, from_offset, limit, wait_ms):
        """Wait up to `wait_ms` for a record; return a `LogPage` or a failure."""

    @abstractmethod
    def close(self):
        """Close the connections."""


class HostList(ABC):
    """The platform's list of hosts; it may be out of date."""

    @abstractmethod
    def hosts(self, data_centre, role):
        """Return the `HostListing` of a role in a data centre, or a failure.

        An entry that can't be used must not hide the others. A platform that can't
        filter may return more; the caller ignores the rest.
        """

    @abstractmethod
    def close(self):
        """Close the connections."""


class WorkerService(ABC):
    """Client of one worker.

    A worker must give three guarantees: a lease id is granted at most once, ever, and
    by one incarnation; all commands under an expired or freed lease are refused; and a
    refused command had no effect. Without them, a task could run twice, a gang could
    run in part, or a task could run although its attempt was reported as not run. Such
    a worker can run idempotent work only.
    """

    @abstractmethod
    def grant(self, lease_id, labels, accelerators, term_ms):
        """Lease accelerators; return `Granted` or a failure."""

    @abstractmethod
    def start(self, lease_id, program, body, held, checkpoint):
        """Load a task under a lease; return `Done` or a failure.

        A held task waits for `release` before it runs.
        """

    @abstractmethod
    def release(self, lease_id):
        """Let a held task run; return `Done` or a failure. May be repeated."""

    @abstractmethod
    def stop(self, lease_id, checkpoint):
        """Stop the task, after a checkpoint if `checkpoint`.

        Return `Done`, whose `detail` is the checkpoint's token, or a failure.
        """

    @abstractmethod
    def free(self, lease_id):
        """End the lease and its task, drop its answer; return `Freed` or a failure.

        A lease id that is freed before it was granted can't be granted later. The
        lease's previous state and the incarnation that reports it can prove that the
        task did not run.
        """

    @abstractmethod
    def sync(self, renewals, term_ms, known_version, wait_ms):
        """Renew leases for `term_ms`; return a `WorkerReport` or a failure.

        Wait up to `wait_ms` for a version other than `known_version`.
        """

    @abstractmethod
    def answer(self, lease_id, from_byte):
        """Return an `AnswerPart` from `from_byte` to the end, or a failure."""

    @abstractmethod
    def close(self):
        """Close the connections."""


class RunnerService(ABC):
    """Client of one runner.

    A refused call must not have run: its caller is told that the work did not run.
    """

    @abstractmethod
    def call(self, request_id, program, body, time_left_ms):
        """Run short idempotent work; return `RunnerAnswer` or a failure."""

    @abstractmethod
    def close(self):
        """Close the connections."""


class Platform(ABC):
    """Creates the adapters of one platform; addresses are `ip:port`."""

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
    """Register a platform factory under the name used in settings."""
    _platforms[name] = factory


def create_platform(name, clock):
    """Return the platform registered as `name`; raises ValueError if there is none."""
    factory = _platforms.get(name)
    if factory is None:
        known = ", ".join(sorted(_platforms))
        raise ValueError(f"--platform {name!r}: expected one of {known}")
    return factory(clock)
