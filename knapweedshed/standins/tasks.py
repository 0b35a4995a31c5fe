"""Programs that the stand-in workers and runners run on real input.

Every input may begin with a line `#run_ms=N`, which sets how long the task takes.
"""

import csv
import io
import re

from knapweedshed.digests import digest_of

DEFAULT_RUN_MS = 50
_RUN_MS_PATTERN = re.compile(rb"^#run_ms=(\d+)\s*\n")
_FAIL_MARK = b"#fail"


class TaskError(Exception):
    """The input can't be worked on; the text goes back to the caller."""


def run_ms_of(body):
    """Return how long the task takes, in milliseconds on a worker of speed 1."""
    match = _RUN_MS_PATTERN.match(body[:64])
    return int(match.group(1)) if match else DEFAULT_RUN_MS


def run_program(program, body):
    """Return the answer bytes of `program`; raises TaskError."""
    function = PROGRAMS.get(program)
    if function is None:
        raise TaskError(f"unknown program {program!r}")
    content = _RUN_MS_PATTERN.sub(b"", body, count=1)
    if content.startswith(_FAIL_MARK):
        raise TaskError("the input asks to fail")
    return function(content)


def check_cart(content):
    """Return a verdict for one trolley: `item,expected,loaded` rows."""
    faults = []
    for row in _rows(content, 3):
        if row[1] != row[2]:
            faults.append(f"{row[0]}: expected {row[1]}, loaded {row[2]}")
    verdict = "seal" if not faults else "hold"
    return "\n".join([verdict, *faults, ""]).encode()


def plan_loading(content):
    """Assign carts to flights: rows `flight,name,capacity` and `cart,name,size`."""
    capacity = {}
    carts = []
    for kind, name, amount in _rows(content, 3):
        if kind == "flight":
            capacity[name] = _number(amount)
        else:
            carts.append((-_number(amount), name))
    lines = []
    for negative_size, name in sorted(carts):
        flight = _roomiest(capacity)
        if flight is None or capacity[flight] < -negative_size:
            lines.append(f"{name},unassigned")
            continue
        capacity[flight] += negative_size
        lines.append(f"{name},{flight}")
    return "\n".join([*sorted(lines), ""]).encode()


def sweep_shelf_life(content):
    """Return the expired drawers: rows `drawer,item,days_left`."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    count = 0
    for row in _rows(content, 3):
        count += 1
        if _number(row[2]) <= 0:
            writer.writerow(row)
    output.write(f"total,{count}\n")
    return output.getvalue().encode()


def preview_shrink(content):
    """Return an SVG preview: rows `label,width,height`."""
    parts = ['<svg xmlns="http://www.w3.org/2000/svg">']
    top = 0
    for label, width, height in _rows(content, 3):
        parts.append(
            f'<rect y="{top}" width="{_number(width)}" height="{_number(height)}"/>'
            f'<text y="{top}">{label}</text>'
        )
        top += _number(height)
    parts.append("</svg>")
    return "\n".join(parts).encode()


def make_proof(content):
    """Return a proof sheet: the design, line-numbered, under its own digest."""
    lines = content.decode("utf-8", "replace").splitlines()
    numbered = [f"{index + 1:06d} {line}" for index, line in enumerate(lines)]
    return "\n".join([f"proof {digest_of(content)}", *numbered, ""]).encode()


def make_mockups(content):
    """Return one mockup per design row, each several times its input's size."""
    parts = [
        f"mockup {digest_of(line)} ".encode() + line * 4
        for line in content.splitlines()
    ]
    return b"\n".join([*parts, b""])


def _roomiest(capacity):
    return max(sorted(capacity), key=capacity.get, default=None)


def _rows(content, width):
    reader = csv.reader(io.StringIO(content.decode("utf-8", "replace")))
    for number, row in enumerate(reader, start=1):
        if not row:
            continue
        if len(row) != width:
            raise TaskError(f"line {number}: expected {width} columns, got {len(row)}")
        yield row


def _number(text):
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
