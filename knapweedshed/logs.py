"""Structured logs: one JSON object a line on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
LEVELS = ("debug", "info", "warning", "error")


def create_logger(program, process_id, data_centre="", level="info", stream=None):
    """Return the process's logger; every line names program, process and place."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            _FIELDS,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"process": process_id, "data_centre": data_centre},
        )
    )
    logger = logging.getLogger(program)
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
