"""Example inputs, generated from a seed, and their expected answers."""

import random
from typing import NamedTuple

from knapweedshed.standins import tasks

ITEMS_PER_CART = 12
LARGE_SWEEP_ROWS = 60_000


class Example(NamedTuple):
    """One input and its expected answer."""

    organisation: str
    service: str
    body: bytes
    expected: bytes
    members: int = 0


def generate_examples(seed=1):
    """Return `Example`s for every service of Chariot and Oyelaran."""
    rng = random.Random(seed)
    examples = []
    for index in range(24):
        organisation = rng.choice(("chariot-planning", "chariot-catering"))
        examples.append(
            _create_example(
                organisation, "cart-check", "check-cart", _cart_input(rng, index)
            )
        )
    for index in range(6):
        body = _loading_plan_input(rng, index)
        examples.append(
            _create_example("chariot-planning", "loading-plan", "plan-loading", body)
        )
    for row_count in (200, 5_000, LARGE_SWEEP_ROWS):
        body = _shelf_life_input(rng, row_count)
        examples.append(
            _create_example(
                "chariot-catering", "shelf-life-sweep", "sweep-shelf-life", body
            )
        )
    for index in range(12):
        organisation = rng.choice(("oyelaran-breweries", "oyelaran-water"))
        body = _shrink_preview_input(rng, index)
        examples.append(
            _create_example(organisation, "shrink-preview", "preview-shrink", body)
        )
    for index in range(8):
        body = _proof_sheet_input(rng, index)
        examples.append(
            _create_example("oyelaran-water", "proof-sheet", "make-proof", body)
        )
    for index in range(4):
        body = _mockup_batch_input(rng, index)
        examples.append(
            _create_example("oyelaran-breweries", "mockup-batch", "make-mockups", body)
        )
    return examples


def _create_example(organisation, service, program, body):
    return Example(organisation, service, body, tasks.run_program(program, body))


def _encode_input(run_ms, lines):
    return "\n".join([f"#run_ms={run_ms}", *lines, ""]).encode()


def _cart_input(rng, index):
    lines = []
    for item in range(ITEMS_PER_CART):
        expected = rng.randrange(1, 40)
        loaded = expected if rng.random() < 0.9 else expected - 1
        lines.append(f"cart{index}-item{item},{expected},{loaded}")
    return _encode_input(rng.randrange(30, 150), lines)


def _loading_plan_input(rng, index):
    flights = [f"flight,TU{index}{n},{rng.randrange(20, 60)}" for n in range(8)]
    carts = [f"cart,cart-{index}-{n},{rng.randrange(1, 6)}" for n in range(80)]
    return _encode_input(rng.randrange(1_000, 4_000), flights + carts)


def _shelf_life_input(rng, row_count):
    lines = [
        f"drawer-{n},item-{n % 97},{rng.randrange(-2, 30)}" for n in range(row_count)
    ]
    return _encode_input(rng.randrange(500, 2_500), lines)


def _shrink_preview_input(rng, index):
    lines = [
        f"label-{index}-{n},{rng.randrange(40, 90)},{rng.randrange(10, 30)}"
        for n in range(20)
    ]
    return _encode_input(rng.randrange(50, 400), lines)


def _proof_sheet_input(rng, index):
    lines = [f"sleeve {index} line {n} {rng.getrandbits(64):x}" for n in range(200)]
    return _encode_input(rng.randrange(300, 1_500), lines)


def _mockup_batch_input(rng, index):
    lines = [f"mockup {index} {n} {rng.getrandbits(256):x}" for n in range(400)]
    return _encode_input(rng.randrange(1_000, 3_000), lines)
