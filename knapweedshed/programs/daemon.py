"""What every daemon does alike: flags, settings, logs, signals, exit status."""

import os
import signal
import sys
import threading
from abc import ABC, abstractmethod

import fire

from knapweedshed import __version__
from knapweedshed.codecs import json_text
from knapweedshed.codecs.catalogue import register_all
from knapweedshed.context import create_context
from knapweedshed.logs import create_logger
from knapweedshed.metrics import create_metrics
from knapweedshed.settings import SettingsError, describe_settings, load_settings
from knapweedshed.status import ExitStatus


class Daemon(ABC):
    """A program's actors, built by its factory."""

    @abstractmethod
    def start(self):
        """Start the actors."""

    @abstractmethod
    def close(self):
        """Stop gracefully: finish what was accepted, then stop the actors."""

    @abstractmethod
    def dump(self):
        """Return the process's state as plain values."""


def run_daemon(program, summary, specification, create, argv=None):
    """Run a daemon until SIGTERM or SIGINT; return its exit status.

    `create` takes the program's name and its settings, and returns (daemon, logger);
    `build_from` makes one from a `Daemon` class.

    SIGUSR1 writes the state dump to standard output. A second SIGTERM leaves at once.
    """
    arguments = sys.argv[1:] if argv is None else argv
    if "--version" in arguments:
        print(f"{program} {__version__}")
        return ExitStatus.SUCCESS
    if "--help" in arguments or "-h" in arguments:
        print(_help_text(program, summary, specification))
        return ExitStatus.SUCCESS
    flags = {}

    def read_flags(**given):
        flags.update(given)

    fire.Fire(read_flags, command=arguments, name=program)
    signals = Signals()
    signals.start()
    try:
        settings = load_settings(specification, flags)
        daemon, logger = create(program, settings)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{program}: {fault}", file=sys.stderr)
        return ExitStatus.USAGE
    return _serve(daemon, logger, signals)


def build_from(daemon_class):
    """Return a `create` for `run_daemon` that builds a `Daemon` class's context."""
    return lambda program, settings: _build(program, settings, daemon_class)


def _build(program, settings, create):
    register_all()
    process_id = settings.process_id or f"{program}@{settings.listen}"
    logger = create_logger(
        program, process_id, settings.data_centre, settings.log_level
    )
    metrics = create_metrics(settings.statsd, program)
    context = create_context(settings, logger, metrics, process_id)
    try:
        return create(context), logger
    except (OSError, ValueError) as error:
        raise SettingsError([f"--listen {settings.listen}: {error}"]) from error


def _serve(daemon, logger, signals):
    if signals.stopping:
        logger.info("stopped before the start")
        return ExitStatus.SUCCESS
    daemon.start()
    logger.info("started")
    while not signals.stopping:
        if signals.wait_for_dump():
            print(json_text.dumps(daemon.dump()), flush=True)
    logger.info("stopping")
    daemon.close()
    logger.info("stopped")
    return ExitStatus.SUCCESS


class Signals:
    """What this process was asked for by signals, from before it is built."""

    def __init__(self):
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._dump_asked = threading.Event()

    @property
    def stopping(self):
        """Whether the process was asked to stop."""
        return self._stopping.is_set()

    def start(self):
        """Take signals from now on."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGUSR1, self._on_dump)

    def wait_for_dump(self):
        """Wait for a signal; return whether it asked for a dump."""
        self._wake.wait()
        self._wake.clear()
        asked = self._dump_asked.is_set()
        self._dump_asked.clear()
        return asked

    def _on_stop(self, signum, frame):
        if self._stopping.is_set():
            os._exit(ExitStatus.INTERRUPTED)
        self._stopping.set()
        self._wake.set()

    def _on_dump(self, signum, frame):
        self._dump_asked.set()
        self._wake.set()


def _help_text(program, summary, specification):
    return "\n".join(
        [
            f"{program}: {summary}",
            "",
            f"Usage: {program} --flag value ...",
            "",
            "Each flag can be given as KNAPWEEDSHED_<NAME> in the environment too;",
            "a flag goes before the environment.",
            "",
            describe_settings(specification),
            "",
            "Signals: SIGTERM drains and stops, a second one stops at once;",
            "SIGUSR1 writes the state dump to standard output.",
        ]
    )
