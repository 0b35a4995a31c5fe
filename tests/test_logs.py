"""Logs: bounded under load, and never blocking."""

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
    """One JSON object a line, on a stream that may be stuck."""

    def test_line_names_process_place_and_fields(self):
        stream = io.StringIO()
        logger = create_logger("test-line", "edge-1", "tunis", stream=stream)
        logger.info("launch", extra={"job": "a1"})
        logger.handlers[0].close()
        line = json.loads(stream.getvalue())
        self.assertEqual((line["process"], line["data_centre"]), ("edge-1", "tunis"))
        self.assertEqual((line["message"], line["job"]), ("launch", "a1"))

    def test_storm_of_one_kind_is_cut_and_counted(self):
        stream = io.StringIO()
        logger = create_logger("test-storm", "edge-1", stream=stream)
        for _ in range(4 * MAX_LINES_PER_MESSAGE_COUNT):
            logger.info("storm")
        logger.info("other")
        time.sleep(1.05)
        logger.info("other")
        logger.handlers[0].close()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        storms = [line for line in lines if line["message"] == "storm"]
        self.assertEqual(len(storms), MAX_LINES_PER_MESSAGE_COUNT)
        told = [line for line in lines if line["message"] == "lines left out"]
        self.assertEqual(
            told[0]["left_out"], {"storm": 3 * MAX_LINES_PER_MESSAGE_COUNT}
        )
        self.assertEqual(sum(line["message"] == "other" for line in lines), 2)

    def test_reader_that_stops_reading_blocks_nobody(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        stream = os.fdopen(writing, "w")
        logger = create_logger("test-stuck", "edge-1", stream=stream)
        begun = time.monotonic()
        for number in range(2 * MAX_QUEUED_LINES_COUNT):
            logger.info("line %d", number, extra={"text": "x" * 200})
            logger.handlers[0]._line_counts.clear()
        self.assertLess(time.monotonic() - begun, 5)


if __name__ == "__main__":
    unittest.main()
