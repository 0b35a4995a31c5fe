"""`knapweedshed explain`: explains a request from log lines of several processes."""

import os
import sys
from datetime import datetime

from tqdm import tqdm

from knapweedshed.codecs import json_text
from knapweedshed.decisions.explanation import LogLine, explain
from knapweedshed.status import ExitStatus

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
MS_PER_SECOND = 1_000
UNPRINTED_FIELDS = ("time", "level", "name", "message", "process", "data_centre")


def print_explanation(job_id, files, as_json=False):
    """Print the log lines of a request and its cause; return an `ExitStatus`."""
    lines, unreadable_count = read_lines(files)
    explanation = explain(job_id, lines)
    if as_json:
        print(json_text.dumps(_to_plain_values(explanation, unreadable_count)))
    else:
        for line in explanation.lines:
            print(_format_line(line, explanation.lines[0].at_ms))
        _print_cause(explanation)
    if unreadable_count:
        print(f"{unreadable_count} lines could not be read", file=sys.stderr)
    return ExitStatus.SUCCESS if explanation.lines else ExitStatus.ERROR


def read_lines(files):
    """Return (`LogLine`s, number of unreadable lines); "-" is standard input.

    Raises OSError if a file can't be read.
    """
    lines, unreadable_count = [], 0
    for path in files:
        for raw_line in _read_raw_lines(path):
            line = _parse_line(raw_line)
            if line is not None:
                lines.append(line)
            elif raw_line.strip():
                unreadable_count += 1
    return lines, unreadable_count


def _read_raw_lines(path):
    """Yield the raw lines of a file, with a progress bar on a terminal."""
    if path == "-":
        yield from sys.stdin
        return
    size = os.path.getsize(path)
    is_terminal = sys.stderr.isatty()
    with open(path, encoding="utf-8", errors="replace") as file:
        with tqdm(
            total=size, unit="B", unit_scale=True, disable=not is_terminal
        ) as progress_bar:
            for raw_line in file:
                progress_bar.update(len(raw_line))
                yield raw_line


def _parse_line(raw_line):
    """Return the `LogLine` of a raw line, or None if it is unreadable.

    Text before the first brace is skipped.
    """
    try:
        fields = json_text.loads(raw_line[raw_line.index("{") :])
        at_ms = datetime.strptime(fields["time"], TIME_FORMAT).timestamp()
        return LogLine(
            at_ms * MS_PER_SECOND, fields["process"], fields["message"], fields
        )
    except (json_text.TextError, ValueError, KeyError, TypeError):
        return None


def _format_line(line, start_ms):
    fields = "  ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in UNPRINTED_FIELDS
    )
    return f"{line.at_ms - start_ms:>8.0f} ms  {line.process}  {line.message}  {fields}"


def _print_cause(explanation):
    detail = f" ({explanation.detail})" if explanation.detail else ""
    print(f"cause: {explanation.cause}{detail}")
    for cause, took_ms in sorted(
        explanation.delays_ms.items(), key=lambda item: -item[1]
    ):
        print(f"  {took_ms} ms: {cause}")


def _to_plain_values(explanation, unreadable_count):
    return {
        "cause": str(explanation.cause),
        "detail": explanation.detail,
        "delays_ms": {str(cause): ms for cause, ms in explanation.delays_ms.items()},
        "lines": [line.fields for line in explanation.lines],
        "unreadable_lines": unreadable_count,
    }
