"""A request's story from log lines: in order of cause, and what decided it."""

import contextlib
import io
import json
import os
import tempfile
import unittest

from knapweedshed.decisions.explanation import Cause, LogLine, explain
from knapweedshed.programs.client import main
from knapweedshed.status import ExitStatus

JOB = "5c0e7a21d94b36f8"
OTHER = "f" * 16
UNIT = [0, 0, -1]


def line(at_ms, message, process="h1", **fields):
    """Return a line."""
    return LogLine(at_ms, process, message, fields)


def accepted(at_ms, process="h1"):
    """Return the line of a call that was accepted."""
    return line(at_ms, "call", process, job=JOB, kind="submit", code=0, reason="")


def launch(at_ms, run=1, worker="w1", process="h1"):
    """Return the line of a launch."""
    return line(at_ms, "launch", process, job=JOB, unit=UNIT, run=run, workers=[worker])


def over(at_ms, state="completed", took_ms=9_000, objective_ms=3_000):
    """Return the line of a job's end."""
    return line(
        at_ms,
        "job over",
        job=JOB,
        state=state,
        took_ms=took_ms,
        objective_ms=objective_ms,
        estimate_ms=2_000,
    )


class OrderTest(unittest.TestCase):
    """Lines of hosts whose clocks differ."""

    def test_a_clock_that_is_ahead_is_set_back_by_shared_lines(self):
        lines = [
            line(1_000, "role claimed", epoch=1),
            line(6_000, "role claimed", "h2", epoch=1),
            accepted(7_000, "h2"),
            launch(2_300),
        ]
        story = explain(JOB, lines)
        self.assertEqual([item.message for item in story.lines], ["call", "launch"])

    def test_claims_that_a_host_reads_as_it_starts_say_nothing_of_its_clock(self):
        lines = [
            line(1_000, "role claimed", epoch=1),
            line(2_000, "role claimed", epoch=2),
            line(8_000, "started", "h2"),
            line(8_100, "role claimed", "h2", epoch=1),
            line(8_100, "role claimed", "h2", epoch=2),
            line(8_200, "work stream read", "h2"),
            line(9_000, "role claimed", epoch=3),
            line(9_010, "role claimed", "h2", epoch=3),
            accepted(9_100, "h2"),
            launch(9_200),
        ]
        story = explain(JOB, lines)
        gap_ms = story.lines[1].at_ms - story.lines[0].at_ms
        self.assertAlmostEqual(gap_ms, 110)


class CauseTest(unittest.TestCase):
    """The decision that counts."""

    def _cause(self, *lines):
        return explain(JOB, lines).cause

    def test_request_that_no_line_names(self):
        self.assertEqual(self._cause(line(0, "started")), Cause.NOT_FOUND)

    def test_refused(self):
        refused = line(0, "call", job=JOB, code=200, reason="the log is down")
        story = explain(JOB, [refused])
        self.assertEqual(story.cause, Cause.REFUSED)
        self.assertIn("the log is down", story.detail)

    def test_outcome_unknown(self):
        unknown = line(0, "call", job=JOB, code=400, reason="ask again")
        self.assertEqual(self._cause(unknown), Cause.OUTCOME_UNKNOWN)

    def test_failed_on_several_workers_or_on_one(self):
        def failed(worker):
            return line(500, "run ended", job=JOB, worker=worker, how="failed", run=1)

        end = over(900, "failed")
        one = (accepted(0), launch(10), failed("w1"), failed("w1"), end)
        self.assertEqual(self._cause(*one), Cause.UNHEALTHY_WORKER)
        several = (accepted(0), launch(10), failed("w1"), failed("w2"), end)
        self.assertEqual(self._cause(*several), Cause.FAILED_EVERYWHERE)

    def test_held_up_by_a_takeover(self):
        lines = (
            accepted(0),
            line(1_800, "role claimed", epoch=4, host="h2/1"),
            line(1_810, "acting", epoch=4, taken_up=3),
            launch(1_900),
            over(9_000),
        )
        self.assertEqual(self._cause(*lines), Cause.TAKEOVER)

    def test_held_up_while_the_log_was_away(self):
        lines = (
            accepted(0),
            line(300, "log unreachable", reason="HTTP status 503"),
            line(350, "log unreachable", "h2", reason="HTTP status 503"),
            line(4_900, "log reachable again", away_ms=4_600),
            line(4_950, "role claimed", epoch=4, host="h1/1"),
            launch(5_000),
            over(9_000),
        )
        self.assertEqual(self._cause(*lines), Cause.LOG_OUTAGE)

    def test_an_outage_at_another_host_does_not_explain_a_launch(self):
        lines = (
            accepted(0),
            line(300, "log unreachable", "h2", reason="HTTP status 503"),
            line(4_900, "log reachable again", "h2", away_ms=4_600),
            launch(5_000),
            over(9_000),
        )
        self.assertEqual(self._cause(*lines), Cause.WAITED_FOR_CAPACITY)

    def test_gave_way(self):
        lines = (
            accepted(0),
            launch(10),
            line(2_000, "preempted", job=OTHER, units=[[JOB, 0, 0, -1]]),
            launch(5_000, run=2),
            over(9_000),
        )
        story = explain(JOB, lines)
        self.assertEqual(story.cause, Cause.PREEMPTED)
        self.assertEqual(story.delays_ms, {Cause.PREEMPTED: 4_990})
        self.assertIn(OTHER, story.detail)

    def test_one_run_that_failed_says_little_of_its_worker(self):
        failed = line(900, "run ended", job=JOB, worker="w1", how="failed", run=1)
        lines = (accepted(0), launch(10), failed, launch(950, 2, "w2"), over(9_000))
        story = explain(JOB, lines)
        self.assertEqual(story.cause, Cause.RUN_FAILED)
        self.assertEqual(story.detail, "w1")

    def test_worker_that_hung(self):
        lines = (
            accepted(0),
            launch(10),
            line(2_500, "worker hangs", worker="w1"),
            line(2_600, "worker hangs", worker="w9"),
            launch(3_000, run=2, worker="w2"),
            over(9_000),
        )
        self.assertEqual(self._cause(*lines), Cause.UNHEALTHY_WORKER)

    def test_lease_that_lapsed(self):
        lapsed = line(7_000, "run ended", job=JOB, worker="w1", how="lapsed", run=1)
        lines = (accepted(0), launch(10), lapsed, launch(7_050, 2, "w2"), over(9_000))
        self.assertEqual(self._cause(*lines), Cause.LEASE_LAPSED)

    def test_waited_for_room(self):
        lines = (accepted(0), launch(4_000), over(9_000))
        self.assertEqual(self._cause(*lines), Cause.WAITED_FOR_CAPACITY)

    def test_the_longest_of_several_delays_counts(self):
        lines = (
            accepted(0),
            launch(400),
            line(900, "order not done", job=JOB, worker="w1", reason="room"),
            launch(4_000, run=2, worker="w2"),
            over(9_000),
        )
        story = explain(JOB, lines)
        self.assertEqual(story.cause, Cause.ORDER_NOT_DONE)
        self.assertEqual(
            set(story.delays_ms), {Cause.ORDER_NOT_DONE, Cause.WAITED_FOR_CAPACITY}
        )

    def test_ran_long_in_time_and_cancelled(self):
        begun = (accepted(0), launch(10))
        self.assertEqual(self._cause(*begun, over(9_000)), Cause.EXCEEDED_OBJECTIVE)
        in_time = over(2_000, took_ms=2_000)
        self.assertEqual(self._cause(*begun, in_time), Cause.ON_TIME)
        cancelled = over(2_000, "cancelled")
        self.assertEqual(self._cause(*begun, cancelled), Cause.CANCELLED)
        self.assertEqual(self._cause(*begun), Cause.NOT_FINISHED)


class CommandTest(unittest.TestCase):
    """`knapweedshed explain`."""

    def _run(self, content, *flags, job_id=JOB):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "host.log")
            with open(path, "w", encoding="utf-8") as file:
                file.write(content)
            printed, complained = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(printed):
                with contextlib.redirect_stderr(complained):
                    status = main(["explain", job_id, path, *flags])
        return status, printed.getvalue(), complained.getvalue()

    def _line(self, message, **fields):
        plain = {"time": "2026-12-04 10:00:00,100", "process": "h1"}
        return json.dumps({**plain, "message": message, **fields}) + "\n"

    def test_bad_lines_are_counted_and_passed_over(self):
        content = "not json\n{broken\n\n12.3 h1 | "
        content += self._line("call", job=JOB, code=200, reason="the log is down")
        status, printed, complained = self._run(content)
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertIn("cause: refused (code 200: the log is down)", printed)
        self.assertIn("2 lines could not be read", complained)

    def test_json(self):
        status, printed, _ = self._run(self._line("call", job=JOB, code=0), "--json")
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertEqual(json.loads(printed)["cause"], "not over in these lines")

    def test_an_id_of_digits_stays_text(self):
        for name in ("0000000000000012", "12e4567890123456"):
            content = self._line("call", job=name, code=200, reason="no")
            status, _, _ = self._run(content, job_id=name)
            self.assertEqual(status, ExitStatus.SUCCESS, name)

    def test_unknown_request_is_an_error(self):
        status, printed, _ = self._run(self._line("started"))
        self.assertEqual(status, ExitStatus.ERROR)
        self.assertIn("no line names it", printed)

    def test_missing_file_is_one_clear_line(self):
        complained = io.StringIO()
        with contextlib.redirect_stderr(complained):
            status = main(["explain", JOB, "no-such-file.log"])
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("no-such-file.log", complained.getvalue())


if __name__ == "__main__":
    unittest.main()
