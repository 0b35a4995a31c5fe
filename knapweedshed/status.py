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


class ReviewStatus(IntEnum):
    """The exit status of `config review`, if it could review the file.

    `FINDINGS` are warnings and differences. `ERRORS` equals `ExitStatus.USAGE`: either
    says that the configuration must not be sent.
    """

    CLEAN = 0
    FINDINGS = 1
    ERRORS = 2
