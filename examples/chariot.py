"""Configuration of Coopérative Chariot du Sahel: cart planning and checks."""

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
    runner_service("cart-check", "check-cart", urgency="urgent", run_ms=100),
    worker_service(
        "loading-plan",
        "plan-loading",
        shape(accelerators=8),
        idempotent=False,
        can_checkpoint=True,
        run_ms=3_000,
    ),
    worker_service(
        "shelf-life-sweep", "sweep-shelf-life", shape(2), urgency="batch", run_ms=2_000
    ),
]

PLANNERS = organisation(
    "chariot-planning",
    DATA_CENTRES,
    [guarantee(data_centre, shape(accelerators=8)) for data_centre in DATA_CENTRES],
    SERVICES,
    share=3,
)
CATERING = organisation(
    "chariot-catering",
    DATA_CENTRES,
    [guarantee(data_centre, shape(accelerators=4)) for data_centre in DATA_CENTRES],
    SERVICES,
)

if __name__ == "__main__":
    print(publish_text(PLANNERS, CATERING, author="chariot"))
