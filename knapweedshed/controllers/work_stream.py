"""Encoding and decoding of the work stream, shared by the controllers that use it."""

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


def decode_records(context, page):
    """Yield (offset, record id, record) for each record of a page.

    A record that can't be decoded is logged and skipped; every reader of the same
    release skips the same records.
    """
    for stored in page.records:
        try:
            record = json_text.loads_message(stored.body)
        except json_text.TextError as error:
            context.logger.error(
                "record unreadable",
                extra={"offset": stored.offset, "reason": str(error)},
            )
            continue
        yield stored.offset, stored.record_id, record
