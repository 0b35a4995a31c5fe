"""Decoding of the work stream, shared by the controllers that apply its records."""

from knapweedshed.codecs import json_text


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
