"""Structured logging: one JSON object per line; rate-limited and non-blocking."""

import logging
import queue
import sys
import threading
from collections import Counter

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
LOG_LEVELS = ("debug", "info", "warning", "error")
MAX_QUEUED_LINES_COUNT = 2_000  # 1 MB at 500 bytes per line
RATE_WINDOW_S = 1.0
MAX_LINES_PER_MESSAGE_COUNT = 50  # per second; twice the rate at peak load
CLOSE_TIMEOUT_S = 1.0


class RateLimitedHandler(logging.Handler):
    """Writes lines in its own thread; drops and counts lines over the limits.

    If the reader of the stream stops reading, lines are dropped but no caller blocks.
    Each message text is logged at most `MAX_LINES_PER_MESSAGE_COUNT` times per second;
    the next `lines left out` line reports how many were dropped.
    """

    def __init__(self, stream):
        super().__init__()
        self._stream = stream
        self._lines = queue.Queue(MAX_QUEUED_LINES_COUNT)
        self._window_end = 0.0
        self._line_counts = Counter()
        self._dropped_counts = Counter()
        self._thread = threading.Thread(
            target=self._write_lines, name="logs", daemon=True
        )
        self._thread.start()

    def emit(self, record):
        """Queue a line, or drop and count it."""
        if record.created >= self._window_end:
            self._start_window(record)
        self._line_counts[record.msg] += 1
        if self._line_counts[record.msg] > MAX_LINES_PER_MESSAGE_COUNT:
            self._dropped_counts[record.msg] += 1
            return
        self._enqueue(record)

    def close(self):
        """Write the queued lines, within about twice `CLOSE_TIMEOUT_S`."""
        try:
            self._lines.put(None, timeout=CLOSE_TIMEOUT_S)
        except queue.Full:
            pass
        self._thread.join(timeout=CLOSE_TIMEOUT_S)
        super().close()

    def _start_window(self, record):
        self._window_end = record.created + RATE_WINDOW_S
        self._line_counts.clear()
        if not self._dropped_counts:
            return
        left_out = dict(self._dropped_counts)
        self._dropped_counts.clear()
        line = logging.makeLogRecord(
            {
                "name": record.name,
                "levelname": "WARNING",
                "levelno": logging.WARNING,
                "msg": "lines left out",
                "left_out": left_out,
            }
        )
        self._enqueue(line)

    def _enqueue(self, record):
        try:
            self._lines.put_nowait(self.format(record))
        except queue.Full:
            self._dropped_counts[record.msg] += 1

    def _write_lines(self):
        for line in iter(self._lines.get, None):
            try:
                self._stream.write(line + "\n")
                self._stream.flush()
            except (OSError, ValueError):
                return


def create_logger(program, process_id, data_centre="", level="info", stream=None):
    """Return the process's logger; lines name program, process and data centre."""
    handler = RateLimitedHandler(stream or sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            _FIELDS,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": process_id, "data_centre": data_centre},
        )
    )
    logger = logging.getLogger(program)
    for previous_handler in logger.handlers:
        previous_handler.close()
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
    return logger


def create_silent_logger():
    """Return a logger for tests that drops all lines."""
    logger = logging.getLogger("knapweedshed.silent")
    logger.handlers = [logging.NullHandler()]
    logger.propagate = False
    return logger
