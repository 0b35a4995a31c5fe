"""`knapweedshed explain`: reads log lines of several processes, prints one story."""

import os
import sys
from datetime import datetime

from tqdm import tqdm

from knapweedshed.codecs import json_text
from knapweedshed.decisions.explanation import LogLine, explain
from knapweedshed.status import ExitStatus

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
MS_PER_SECOND = 1_000
HIDDEN_FIELDS = ("time", "level", "name", "message", "process", "data_centre")


def print_story(job_id, files, as_json=False):
    """Print the story of a request; return an `ExitStatus`."""
    lines, bad = read_lines(files)
    story = explain(job_id, lines)
    if as_json:
        print(json_text.dumps(_plain(story, bad)))
    else:
        for line in story.lines:
            print(_shown(line, story.lines[0].at_ms))
        _print_verdict(story)
    if bad:
        print(f"{bad} lines could not be read", file=sys.stderr)
    return ExitStatus.SUCCESS if story.lines else ExitStatus.ERROR


def read_lines(files):
    """Return (`LogLine`s, how many could not be read); "-" is standard input."""
    lines, bad = [], 0
    for path in files:
        for written in _texts(path):
            line = _parsed(written)
            if line is not None:
                lines.append(line)
            elif written.strip():
                bad += 1
    return lines, bad


def _texts(path):
    if path == "-":
        yield from sys.stdin
        return
    size = os.path.getsize(path)
    shown = sys.stderr.isatty()
    with open(path, encoding="utf-8", errors="replace") as file:
        with tqdm(total=size, unit="B", unit_scale=True, disable=not shown) as bar:
            for written in file:
                bar.update(len(written))
                yield written


def _parsed(written):
    """Return the `LogLine` of a text; whatever precedes its brace is skipped."""
    try:
        plain = json_text.loads(written[written.index("{") :])
        at_ms = datetime.strptime(plain["time"], TIME_FORMAT).timestamp()
        return LogLine(at_ms * MS_PER_SECOND, plain["process"], plain["message"], plain)
    except (json_text.TextError, ValueError, KeyError, TypeError):
        return None


def _shown(line, begin_ms):
    fields = "  ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS
    )
    return f"{line.at_ms - begin_ms:>8.0f} ms  {line.process}  {line.message}  {fields}"


def _print_verdict(story):
    detail = f" ({story.detail})" if story.detail else ""
    print(f"cause: {story.cause}{detail}")
    for cause, took_ms in sorted(story.delays_ms.items(), key=lambda item: -item[1]):
        print(f"  {took_ms} ms: {cause}")


def _plain(story, bad):
    return {
        "cause": str(story.cause),
        "detail": story.detail,
        "delays_ms": {str(cause): ms for cause, ms in story.delays_ms.items()},
        "lines": [line.fields for line in story.lines],
        "unreadable_lines": bad,
    }
