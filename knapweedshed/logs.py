"""Structured logs: one JSON object a line, bounded, and never blocking a decision."""

import logging
import queue
import sys
import threading
from collections import Counter

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
LEVELS = ("debug", "info", "warning", "error")
QUEUED_LINES_COUNT = 2_000  # 1 MB at 500 bytes a line
RATE_WINDOW_S = 1.0
LINES_PER_KIND_COUNT = 50  # a second: twice what the crest of the users' days writes
CLOSE_LIMIT_S = 1.0


class BoundedHandler(logging.Handler):
    """Writes lines from a thread of its own; drops and counts what is too much.

    A reader that stops reading costs lines only. A kind of line (its message) that
    comes more often than `LINES_PER_KIND_COUNT` a second is cut, and the count of what
    was left out stands in the next line that says `lines left out`.
    """

    def __init__(self, stream):
        super().__init__()
        self._stream = stream
        self._lines = queue.Queue(QUEUED_LINES_COUNT)
        self._window_end = 0.0
        self._kinds = Counter()
        self._left_out = Counter()
        self._thread = threading.Thread(target=self._write, name="logs", daemon=True)
        self._thread.start()

    def emit(self, record):
        """Queue a line, or count that it was left out."""
        if record.created >= self._window_end:
            self._open_window(record)
        self._kinds[record.msg] += 1
        if self._kinds[record.msg] > LINES_PER_KIND_COUNT:
            self._left_out[record.msg] += 1
            return
        self._queue(record)

    def close(self):
        """Write what is queued, for a moment at most."""
        try:
            self._lines.put(None, timeout=CLOSE_LIMIT_S)
        except queue.Full:
            pass
        self._thread.join(timeout=CLOSE_LIMIT_S)
        super().close()

    def _open_window(self, record):
        self._window_end = record.created + RATE_WINDOW_S
        self._kinds.clear()
        if not self._left_out:
            return
        left_out = dict(self._left_out)
        self._left_out.clear()
        line = logging.makeLogRecord(
            {
                "name": record.name,
                "levelname": "WARNING",
                "levelno": logging.WARNING,
                "msg": "lines left out",
                "left_out": left_out,
            }
        )
        self._queue(line)

    def _queue(self, record):
        try:
            self._lines.put_nowait(self.format(record))
        except queue.Full:
            self._left_out[record.msg] += 1

    def _write(self):
        for line in iter(self._lines.get, None):
            try:
                self._stream.write(line + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                return


def create_logger(program, process_id, data_centre="", level="info", stream=None):
    """Return the process's logger; every line names program, process and place."""
    handler = BoundedHandler(stream or sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            _FIELDS,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": process_id, "data_centre": data_centre},
        )
    )
    logger = logging.getLogger(program)
    for old in logger.handlers:
        old.close()
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
    return logger


def create_silent_logger():
    """Return a logger that drops everything; for tests."""
    logger = logging.getLogger("knapweedshed.silent")
    logger.handlers = [logging.NullHandler()]
    logger.propagate = False
    return logger
