"""Encoding and applying of the work stream, shared by the controllers that use it."""

from typing import Any, NamedTuple

from knapweedshed.codecs import json_text
from knapweedshed.decisions.record_parts import halve_record

RECORD_ID_BYTES = 64  # reserved beside the record's own text


def encode_in_parts(record, max_bytes):
    """Return [(part, text)] of a record; a text is None if its part can't fit.

    Parts with their ids have at most `max_bytes` in the log.
    """
    text = json_text.dumps(record)
    if len(text) + RECORD_ID_BYTES <= max_bytes:
        return [(record, text)]
    halves = halve_record(record)
    if not halves:
        return [(record, None)]
    return [part for half in halves for part in encode_in_parts(half, max_bytes)]


class AppliedRecord(NamedTuple):
    """A record after it was applied to a ledger, and the ids of the jobs it changed."""

    record_id: str
    record: Any
    changed_job_ids: list[str]


def apply_records(context, ledger, page):
    """Apply the records of a page to a ledger; yield an `AppliedRecord` after each.

    A record that can't be decoded or applied is logged and skipped; every reader of the
    same release skips the same records. After a gap the ledger begins again.
    """
    if page.is_gap:
        ledger.begin_at(page.first_retained)
    for stored in page.records:
        had_begun = ledger.has_begun
        try:
            record = json_text.loads_message(stored.body)
            changed = ledger.apply(stored.offset, record)
        except json_text.DECODE_ERRORS as error:
            context.logger.error(
                "record unreadable",
                extra={
                    "offset": stored.offset,
                    "reason": str(error)[: json_text.MAX_REASON_CHARS],
                },
            )
            continue
        if ledger.has_begun and not had_begun:
            context.logger.info(
                "log begun",
                extra={"offset": stored.offset, "epoch": ledger.epoch},
            )
        yield AppliedRecord(stored.record_id, record, changed)
    if page.caught_up:
        ledger.note_caught_up()
