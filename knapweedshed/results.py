"""Result codes, and the value that combines one with its reason."""

from enum import IntEnum
from typing import NamedTuple


class ResultCode(IntEnum):
    """The outcome of a request or job; docs/RESULT_CODES.md describes each code."""

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
    CAPACITY_SHORT = 209

    FAILED = 300
    STOPPED = 301

    OUTCOME_UNKNOWN = 400
    ANSWER_LOST = 401
    NO_RESPONSE = 402

    INTERNAL = 500


_NOT_RUN_FIRST = 100
_NOT_RUN_LAST = 299


class Result(NamedTuple):
    """An outcome as a value; errors are returned as results, not raised."""

    code: ResultCode
    reason: str = ""

    @property
    def ok(self):
        """Whether the work is done and its answer is complete."""
        return self.code == ResultCode.OK


OK = Result(ResultCode.OK)


def is_not_run(code):
    """Return whether `code` guarantees that the work did not run."""
    return _NOT_RUN_FIRST <= code <= _NOT_RUN_LAST


def is_final(code):
    """Return whether `code` is final: the outcome will not change."""
    return code not in (
        ResultCode.PENDING,
        ResultCode.ACCEPTED,
        ResultCode.NO_RESPONSE,
    )
