"""Inputs of the example work, made from a seed, and the answers they must have."""

import random
from typing import NamedTuple

from knapweedshed.standins import tasks

CART_ITEMS = 12
DRAWERS_LARGE = 60_000


class Example(NamedTuple):
    """One piece of work and its right answer."""

    organisation: str
    service: str
    body: bytes
    expected: bytes
    members: int = 0


def examples(seed=1):
    """Return a mixed list of both deployments' work."""
    rng = random.Random(seed)
    items = []
    for index in range(24):
        who = rng.choice(("chariot-planning", "chariot-catering"))
        items.append(_example(who, "cart-check", "check-cart", _cart(rng, index)))
    for index in range(6):
        body = _plan(rng, index)
        items.append(_example("chariot-planning", "loading-plan", "plan-loading", body))
    for rows in (200, 5_000, DRAWERS_LARGE):
        body = _sweep(rng, rows)
        items.append(
            _example("chariot-catering", "shelf-life-sweep", "sweep-shelf-life", body)
        )
    for index in range(12):
        who = rng.choice(("oyelaran-breweries", "oyelaran-water"))
        body = _preview(rng, index)
        items.append(_example(who, "shrink-preview", "preview-shrink", body))
    for index in range(8):
        body = _proof(rng, index)
        items.append(_example("oyelaran-water", "proof-sheet", "make-proof", body))
    for index in range(4):
        body = _mockups(rng, index)
        items.append(
            _example("oyelaran-breweries", "mockup-batch", "make-mockups", body)
        )
    return items


def _example(organisation, service, program, body):
    return Example(organisation, service, body, tasks.run_program(program, body))


def _timed(run_ms, lines):
    return "\n".join([f"#run_ms={run_ms}", *lines, ""]).encode()


def _cart(rng, index):
    lines = []
    for item in range(CART_ITEMS):
        expected = rng.randrange(1, 40)
        loaded = expected if rng.random() < 0.9 else expected - 1
        lines.append(f"cart{index}-item{item},{expected},{loaded}")
    return _timed(rng.randrange(30, 150), lines)


def _plan(rng, index):
    flights = [f"flight,TU{index}{n},{rng.randrange(20, 60)}" for n in range(8)]
    carts = [f"cart,cart-{index}-{n},{rng.randrange(1, 6)}" for n in range(80)]
    return _timed(rng.randrange(1_000, 4_000), flights + carts)


def _sweep(rng, rows):
    lines = [f"drawer-{n},item-{n % 97},{rng.randrange(-2, 30)}" for n in range(rows)]
    return _timed(rng.randrange(500, 2_500), lines)


def _preview(rng, index):
    lines = [
        f"label-{index}-{n},{rng.randrange(40, 90)},{rng.randrange(10, 30)}"
        for n in range(20)
    ]
    return _timed(rng.randrange(50, 400), lines)


def _proof(rng, index):
    lines = [f"sleeve {index} line {n} {rng.getrandbits(64):x}" for n in range(200)]
    return _timed(rng.randrange(300, 1_500), lines)


def _mockups(rng, index):
    lines = [f"mockup {index} {n} {rng.getrandbits(256):x}" for n in range(400)]
    return _timed(rng.randrange(1_000, 3_000), lines)
