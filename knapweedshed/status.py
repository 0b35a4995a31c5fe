"""Exit statuses of all programs."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """The exit status of a program."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    NOT_RUN = 3
    OUTCOME_UNKNOWN = 4
    TIMEOUT = 5
    INTERRUPTED = 130
