"""Numbered result codes, and the sentinel value that carries one with its reason."""

from enum import IntEnum
from typing import NamedTuple


class ResultCode(IntEnum):
    """What became of a request or a job; docs/RESULT_CODES.md has the table."""

    OK = 0
    PENDING = 1
    ACCEPTED = 2

    BAD_REQUEST = 100
    UNKNOWN_ORGANISATION = 101
    UNKNOWN_SERVICE = 102
    BODY_TOO_LARGE = 103
    SHAPE_IMPOSSIBLE = 104
    KEY_CONFLICT = 105
    KEY_TOO_OLD = 106
    NOT_FOUND = 107
    CONFIGURATION_REFUSED = 108
    CONFIGURATION_CONFLICT = 109
    UNKNOWN_KEY = 110

    EXPIRED = 200
    CANCELLED = 201
    OVERLOADED = 202
    LIMIT_EXCEEDED = 203
    HOME_UNREACHABLE = 204
    LOG_UNAVAILABLE = 205
    LEAVING = 206
    NO_RUNNER = 207
    NOT_READY = 208

    FAILED = 300
    STOPPED = 301

    OUTCOME_UNKNOWN = 400
    ANSWER_LOST = 401
    NO_RESPONSE = 402

    INTERNAL = 500


_NOT_RUN_FIRST = 100
_NOT_RUN_LAST = 299


class Result(NamedTuple):
    """An outcome as a value; errors travel as results, not as exceptions."""

    code: ResultCode
    reason: str = ""

    @property
    def ok(self):
        """Whether the work is done and its answer is whole."""
        return self.code == ResultCode.OK


OK = Result(ResultCode.OK)


def says_not_run(code):
    """Return whether `code` states that the work was not run."""
    return _NOT_RUN_FIRST <= code <= _NOT_RUN_LAST


def is_final(code):
    """Return whether `code` ends a job: nothing later changes it."""
    return code not in (
        ResultCode.PENDING,
        ResultCode.ACCEPTED,
        ResultCode.NO_RESPONSE,
    )
