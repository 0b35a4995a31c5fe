"""`knapweedshed config review`: reviews a configuration file without publishing it."""

from knapweedshed import platform as fleet_platform  # noqa: F401 - registers a reviewer
from knapweedshed.codecs import json_text
from knapweedshed.decisions.configuration_review.findings import Severity
from knapweedshed.links.configuration_review import (
    create_reviewer,
    register_reviewer,
)
from knapweedshed.operators.review import OwnConfigurationReviewer
from knapweedshed.status import ReviewStatus

register_reviewer("own", OwnConfigurationReviewer)


def print_review(kind, files, as_json=False):
    """Print the findings on a `ReviewInput`; return a `ReviewStatus`.

    Raises ValueError if the kind is unknown or a file to compare with is invalid.
    """
    reviewer = create_reviewer(kind)
    rows = [
        {
            "severity": str(finding.severity),
            "place": reviewer.format_place(finding.place),
            "message": finding.message,
        }
        for finding in reviewer.review(files)
    ]
    if as_json:
        print(json_text.dumps(rows))
    else:
        for row in rows:
            print(f"{row['severity']}  {row['place'] or '-'}  {row['message']}")
    if any(row["severity"] == Severity.ERROR for row in rows):
        return ReviewStatus.ERRORS
    return ReviewStatus.FINDINGS if rows else ReviewStatus.CLEAN


def load_json_file(read_input, path):
    """Return the content of a JSON file, or None without a path.

    `read_input` returns the bytes of a path. Raises OSError, or ValueError if it is not
    JSON.
    """
    if not path:
        return None
    try:
        return json_text.loads(read_input(path))
    except json_text.TextError as error:
        raise ValueError(f"{path}: {error}") from error
