"""Exit statuses of every program."""

from enum import IntEnum


class ExitStatus(IntEnum):
    """What a program's end means to the shell."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    NOT_RUN = 3
    OUTCOME_UNKNOWN = 4
    TIMEOUT = 5
    INTERRUPTED = 130
