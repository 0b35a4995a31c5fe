"""Configuration of Oyelaran Sleeve & Label Works: previews, proofs and mockups."""

from knapweedshed.operators import (
    guarantee,
    organisation,
    publish_text,
    runner_service,
    shape,
    worker_service,
)

DATA_CENTRES = ["tunis", "monastir"]

SERVICES = [
    runner_service("shrink-preview", "preview-shrink", urgency="normal", run_ms=300),
    worker_service(
        "proof-sheet",
        "make-proof",
        shape(accelerators=2),
        urgency="normal",
        idempotent=False,
        run_ms=1_000,
    ),
    worker_service(
        "mockup-batch",
        "make-mockups",
        shape(accelerators=4, members=2),
        urgency="batch",
        can_checkpoint=True,
        run_ms=4_000,
    ),
]

BREWERIES = organisation(
    "oyelaran-breweries",
    DATA_CENTRES,
    [guarantee(data_centre, shape(accelerators=4), 2) for data_centre in DATA_CENTRES],
    SERVICES,
    share=2,
)
WATER = organisation(
    "oyelaran-water",
    DATA_CENTRES,
    [guarantee(data_centre, shape(accelerators=2)) for data_centre in DATA_CENTRES],
    SERVICES,
)

if __name__ == "__main__":
    print(publish_text(BREWERIES, WATER, author="oyelaran"))
