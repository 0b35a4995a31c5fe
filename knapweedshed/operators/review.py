"""Reviewer of entries of the product's own configuration."""

from knapweedshed.codecs.catalogue import register_all
from knapweedshed.codecs.json_text import DECODE_ERRORS, message_from_plain
from knapweedshed.decisions.configuration_review.findings import format_place
from knapweedshed.decisions.configuration_review.own_differences import (
    entry_differences,
)
from knapweedshed.decisions.configuration_review.own_review import (
    OwnReviewContext,
    WorkerSize,
    review_entry,
)
from knapweedshed.decisions.operator_entries import parse_organisation
from knapweedshed.links.configuration_review import ConfigurationReviewer
from knapweedshed.models.configuration import Organisation


class OwnConfigurationReviewer(ConfigurationReviewer):
    """Reviews an entry against the listings of organisations and workers.

    The version in force is the listing of organisations, or an entry with all of them.
    """

    def review(self, files):
        """Return the `Finding`s; see the base class."""
        try:
            context = OwnReviewContext(
                _decode_in_force(files.in_force), _decode_workers(files.workers)
            )
        except DECODE_ERRORS as caught:
            raise ValueError(f"version in force or workers: {caught!r}"[:300]) from None
        changed, findings = review_entry(files.content, context)
        if context.in_force is not None:
            findings += entry_differences(changed, context.in_force)
        return findings

    def format_place(self, place):
        """Return the place; files use the names of the model."""
        return format_place(place)


def _decode_in_force(content):
    if content is None:
        return None
    if isinstance(content, dict):
        return tuple(
            parse_organisation(name, part)
            for name, part in content["parts"].items()
            if part is not None
        )
    register_all()
    organisations = tuple(message_from_plain(row) for row in content)
    if not all(isinstance(item, Organisation) for item in organisations):
        raise TypeError("expected a list of organisations")
    return organisations


def _decode_workers(content):
    if content is None:
        return None
    return tuple(
        WorkerSize(row["data_centre"], row["rack"], int(row["accelerators"]))
        for row in content
    )
