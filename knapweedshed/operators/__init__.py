"""The library in which operators write configuration, as plain Python.

An operator's file builds organisations and ends with `publish_text(...)`:

    from knapweedshed.operators import guarantee, organisation, publish_text, shape
    held = [guarantee("lagos", shape(8))]
    print(publish_text(organisation("sleeves", ["lagos"], held)))
"""

from knapweedshed.operators.library import (
    guarantee,
    organisation,
    publish_text,
    removed,
    runner_service,
    shape,
    worker_service,
)

__all__ = [
    "guarantee",
    "organisation",
    "publish_text",
    "removed",
    "runner_service",
    "shape",
    "worker_service",
]
