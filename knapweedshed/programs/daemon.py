"""Common parts of all daemons: flags, settings, logs, signals and exit status."""

import argparse
import os
import select
import signal
import sys
from abc import ABC, abstractmethod

from knapweedshed import __version__
from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_context
from knapweedshed.logs import create_logger
from knapweedshed.metrics import create_metrics
from knapweedshed.settings import SettingsError, describe_settings, load_settings
from knapweedshed.status import ExitStatus

MAX_WAKE_BYTES = 4_096


class Daemon(ABC):
    """The actors of one process, from start to graceful stop."""

    @abstractmethod
    def start(self):
        """Start the actors."""

    @abstractmethod
    def close(self):
        """Stop gracefully: finish accepted work, then stop the actors."""

    @abstractmethod
    def dump(self):
        """Return the state of the process as JSON-compatible values."""


def run_daemon(program, description, specification, create_daemon, argv=None):
    """Run a daemon until SIGTERM or SIGINT; return its exit status.

    `create_daemon` takes the program's name and its settings, and returns
    (daemon, logger) or raises SettingsError; `daemon_factory` returns one for a
    `Daemon` class.

    SIGUSR1 writes the state dump to standard output. A second SIGTERM or SIGINT exits
    without a graceful stop.
    """
    arguments = sys.argv[1:] if argv is None else argv
    if "--version" in arguments:
        print(f"{program} {__version__}")
        return ExitStatus.SUCCESS
    if "--help" in arguments or "-h" in arguments:
        print(_help_text(program, description, specification))
        return ExitStatus.SUCCESS
    flags = parse_flags(program, specification, arguments)
    signal_handler = SignalHandler()
    signal_handler.start()
    try:
        settings = load_settings(specification, flags)
        daemon, logger = create_daemon(program, settings)
    except SettingsError as error:
        for message in error.errors:
            print(f"{program}: {message}", file=sys.stderr)
        return ExitStatus.USAGE
    return _run_until_stopped(daemon, logger, signal_handler)


def daemon_factory(daemon_class):
    """Return a `create_daemon` function for `run_daemon` from a `Daemon` class."""
    return lambda program, settings: _build_daemon(program, settings, daemon_class)


def _build_daemon(program, settings, daemon_class):
    register_all()
    process_id = settings.process_id or f"{program}@{settings.listen}"
    logger = create_logger(
        program, process_id, settings.data_centre, settings.log_level
    )
    metrics = create_metrics(settings.statsd, program)
    context = create_context(settings, logger, metrics, process_id)
    try:
        return daemon_class(context), logger
    except (OSError, ValueError) as error:
        raise SettingsError([f"--listen {settings.listen}: {error}"]) from error


def _run_until_stopped(daemon, logger, signal_handler):
    """Run a daemon until a stop is requested; write state dumps on request."""
    if signal_handler.stopping:
        logger.info("stop requested before the daemon was started")
        return ExitStatus.SUCCESS
    daemon.start()
    logger.info("started")
    while not signal_handler.stopping:
        if signal_handler.wait_for_signal():
            print(json_text.dumps(daemon.dump()), flush=True)
    logger.info("stopping")
    daemon.close()
    logger.info("stopped")
    return ExitStatus.SUCCESS


def parse_flags(program, specification, arguments):
    """Return the flags by setting name, unknown ones included.

    Fire, which the client uses, imports asyncio and with it a TLS library: 6 MB of each
    host.
    """
    parser = argparse.ArgumentParser(program, add_help=False, allow_abbrev=False)
    for setting in specification:
        flag = setting.name.replace("_", "-")
        parser.add_argument(f"--{flag}", f"--{setting.name}", dest=setting.name)
    known, unknown = parser.parse_known_args(arguments)
    flags = {name: text for name, text in vars(known).items() if text is not None}
    for argument in unknown:
        flags[argument.lstrip("-").partition("=")[0].replace("-", "_")] = argument
    return flags


class SignalHandler:
    """Records the requests that signals make.

    Installed before the daemon is built, so that an early SIGTERM is a graceful stop.
    The kernel may deliver a signal to any thread, above all after a pause of the
    process, and only the main thread runs handlers: it waits on a pipe, which every
    signal writes to.
    """

    def __init__(self):
        self._stop_requested = False
        self._dump_requested = False
        self._reader, self._writer = os.pipe()

    @property
    def stopping(self):
        """Whether a stop was requested."""
        return self._stop_requested

    def start(self):
        """Install the signal handlers."""
        for descriptor in (self._reader, self._writer):
            os.set_blocking(descriptor, False)
        signal.set_wakeup_fd(self._writer, warn_on_full_buffer=False)
        signal.signal(signal.SIGTERM, self._handle_stop)
        signal.signal(signal.SIGINT, self._handle_stop)
        signal.signal(signal.SIGUSR1, self._handle_dump_request)

    def wait_for_signal(self):
        """Wait for a signal; return whether it requested a state dump."""
        select.select([self._reader], [], [])
        os.read(self._reader, MAX_WAKE_BYTES)
        dump_requested, self._dump_requested = self._dump_requested, False
        return dump_requested

    def _handle_stop(self, signum, frame):
        if self._stop_requested:
            os._exit(ExitStatus.INTERRUPTED)
        self._stop_requested = True

    def _handle_dump_request(self, signum, frame):
        self._dump_requested = True


def _help_text(program, description, specification):
    return "\n".join(
        [
            f"{program}: {description}",
            "",
            f"Usage: {program} --flag value ...",
            "",
            "Each flag can also be set as KNAPWEEDSHED_<NAME> in the environment;",
            "a flag takes precedence over the environment.",
            "",
            describe_settings(specification),
            "",
            "Signals: SIGTERM drains and stops, a second one stops immediately;",
            "SIGUSR1 writes the state dump to standard output.",
        ]
    )
