"""Programs that stand-in workers and runners run on real input.

An input may begin with a line `#run_ms=N`: the run time in milliseconds at speed 1.
"""

import csv
import io
import re

from knapweedshed.digests import digest_of

DEFAULT_RUN_MS = 50
_RUN_MS_PATTERN = re.compile(rb"^#run_ms=(\d+)\s*\n")
_FAIL_PREFIX = b"#fail"


class TaskError(Exception):
    """The program can't process the input; the message is returned to the caller."""


def parse_run_ms(body):
    """Return the run time that an input sets, in milliseconds at speed 1."""
    match = _RUN_MS_PATTERN.match(body[:64])
    return int(match.group(1)) if match else DEFAULT_RUN_MS


def run_program(program, body):
    """Return the answer of `program` as bytes; raises TaskError."""
    function = PROGRAMS.get(program)
    if function is None:
        raise TaskError(f"unknown program {program!r}")
    content = _RUN_MS_PATTERN.sub(b"", body, count=1)
    if content.startswith(_FAIL_PREFIX):
        raise TaskError("the input asks to fail")
    return function(content)


def check_cart(content):
    """Return `seal` or `hold` for one cart: rows `item,expected,loaded`."""
    mismatches = []
    for row in _parse_rows(content, 3):
        if row[1] != row[2]:
            mismatches.append(f"{row[0]}: expected {row[1]}, loaded {row[2]}")
    verdict = "seal" if not mismatches else "hold"
    return "\n".join([verdict, *mismatches, ""]).encode()


def plan_loading(content):
    """Assign carts to flights: rows `flight,name,capacity` and `cart,name,size`."""
    capacity = {}
    carts = []
    for kind, name, amount in _parse_rows(content, 3):
        if kind == "flight":
            capacity[name] = _parse_int(amount)
        else:
            carts.append((-_parse_int(amount), name))
    lines = []
    for negative_size, name in sorted(carts):
        flight = _flight_with_most_capacity(capacity)
        if flight is None or capacity[flight] < -negative_size:
            lines.append(f"{name},unassigned")
            continue
        capacity[flight] += negative_size
        lines.append(f"{name},{flight}")
    return "\n".join([*sorted(lines), ""]).encode()


def sweep_shelf_life(content):
    """Return the expired drawers and the row count: rows `drawer,item,days_left`."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    count = 0
    for row in _parse_rows(content, 3):
        count += 1
        if _parse_int(row[2]) <= 0:
            writer.writerow(row)
    output.write(f"total,{count}\n")
    return output.getvalue().encode()


def preview_shrink(content):
    """Return an SVG preview: rows `label,width,height`."""
    parts = ['<svg xmlns="http://www.w3.org/2000/svg">']
    top = 0
    for label, width, height in _parse_rows(content, 3):
        parts.append(
            f'<rect y="{top}" width="{_parse_int(width)}"'
            f' height="{_parse_int(height)}"/>'
            f'<text y="{top}">{label}</text>'
        )
        top += _parse_int(height)
    parts.append("</svg>")
    return "\n".join(parts).encode()


def make_proof(content):
    """Return a proof sheet: the digest of the design, then its numbered lines."""
    lines = content.decode("utf-8", "replace").splitlines()
    numbered = [f"{index + 1:06d} {line}" for index, line in enumerate(lines)]
    return "\n".join([f"proof {digest_of(content)}", *numbered, ""]).encode()


def make_mockups(content):
    """Return one mockup per design row, each more than 4 times the size of its row."""
    parts = [
        f"mockup {digest_of(line)} ".encode() + line * 4
        for line in content.splitlines()
    ]
    return b"\n".join([*parts, b""])


def _flight_with_most_capacity(capacity):
    return max(sorted(capacity), key=capacity.get, default=None)


def _parse_rows(content, column_count):
    """Yield the CSV rows of `content`; raises TaskError at a wrong column count."""
    reader = csv.reader(io.StringIO(content.decode("utf-8", "replace")))
    for number, row in enumerate(reader, start=1):
        if not row:
            continue
        if len(row) != column_count:
            raise TaskError(
                f"line {number}: expected {column_count} columns, got {len(row)}"
            )
        yield row


def _parse_int(text):
    try:
        return int(text)
    except ValueError as error:
        raise TaskError(f"{text!r} is not a whole number") from error


PROGRAMS = {
    "check-cart": check_cart,
    "plan-loading": plan_loading,
    "sweep-shelf-life": sweep_shelf_life,
    "preview-shrink": preview_shrink,
    "make-proof": make_proof,
    "make-mockups": make_mockups,
}
