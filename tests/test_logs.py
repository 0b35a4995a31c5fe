"""Logging: rate-limited per message, and never blocking the caller."""

import io
import json
import os
import time
import unittest

from knapweedshed.logs import (
    MAX_LINES_PER_MESSAGE_COUNT,
    MAX_QUEUED_LINES_COUNT,
    create_logger,
)


class LogsTest(unittest.TestCase):
    """Lines as JSON objects, on a stream whose reader may stall."""

    def test_line_has_process_data_centre_and_extra_fields(self):
        stream = io.StringIO()
        logger = create_logger("test-line", "edge-1", "tunis", stream=stream)
        logger.info("launch", extra={"job": "a1"})
        logger.handlers[0].close()
        line = json.loads(stream.getvalue())
        self.assertEqual((line["process"], line["data_centre"]), ("edge-1", "tunis"))
        self.assertEqual((line["message"], line["job"]), ("launch", "a1"))

    def test_excess_lines_of_one_message_are_dropped_and_counted(self):
        stream = io.StringIO()
        logger = create_logger("test-storm", "edge-1", stream=stream)
        for _ in range(4 * MAX_LINES_PER_MESSAGE_COUNT):
            logger.info("storm")
        logger.info("other")
        time.sleep(1.05)
        logger.info("other")
        logger.handlers[0].close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        storm_lines = [line for line in lines if line["message"] == "storm"]
        self.assertEqual(len(storm_lines), MAX_LINES_PER_MESSAGE_COUNT)
        notices = [line for line in lines if line["message"] == "lines left out"]
        self.assertEqual(
            notices[0]["left_out"], {"storm": 3 * MAX_LINES_PER_MESSAGE_COUNT}
        )
        self.assertEqual(sum(line["message"] == "other" for line in lines), 2)

    def test_stalled_reader_does_not_block_the_logger(self):
        read_fd, write_fd = os.pipe()
        self.addCleanup(os.close, read_fd)
        stream = os.fdopen(write_fd, "w")
        logger = create_logger("test-stuck", "edge-1", stream=stream)
        started_s = time.monotonic()
        for number in range(2 * MAX_QUEUED_LINES_COUNT):
            logger.info("line %d", number, extra={"text": "x" * 200})
            logger.handlers[0]._line_counts.clear()
        self.assertLess(time.monotonic() - started_s, 5)


if __name__ == "__main__":
    unittest.main()
