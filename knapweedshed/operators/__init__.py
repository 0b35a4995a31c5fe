"""The library with which operators write configuration as plain Python.

An operator's script builds organisations and prints the text to publish:

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
