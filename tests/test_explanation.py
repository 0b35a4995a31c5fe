"""The explanation of a request from log lines: its order of events and its cause."""

import contextlib
import io
import json
import os
import tempfile
import unittest

from knapweedshed.decisions.explanation import Cause, LogLine, explain
from knapweedshed.programs.client import main
from knapweedshed.status import ExitStatus

JOB_ID = "5c0e7a21d94b36f8"
OTHER_JOB_ID = "f" * 16
UNIT = [0, 0, -1]


def log_line(at_ms, message, process="h1", **fields):
    """Return a log line."""
    return LogLine(at_ms, process, message, fields)


def accepted(at_ms, process="h1"):
    """Return the log line of an accepted call."""
    return log_line(
        at_ms, "call", process, job=JOB_ID, kind="submit", code=0, reason=""
    )


def launch(at_ms, run=1, worker="w1", process="h1"):
    """Return the log line of a launch."""
    return log_line(
        at_ms, "launch", process, job=JOB_ID, unit=UNIT, run=run, workers=[worker]
    )


def job_over(at_ms, state="completed", took_ms=9_000, objective_ms=3_000):
    """Return the log line of a job's end."""
    return log_line(
        at_ms,
        "job over",
        job=JOB_ID,
        state=state,
        took_ms=took_ms,
        objective_ms=objective_ms,
        estimate_ms=2_000,
    )


class ClockAlignmentTest(unittest.TestCase):
    """Order of log lines from hosts whose clocks differ."""

    def test_clock_offsets_are_corrected_by_lines_that_hosts_share(self):
        lines = [
            log_line(1_000, "role claimed", epoch=1),
            log_line(6_000, "role claimed", "h2", epoch=1),
            accepted(7_000, "h2"),
            launch(2_300),
        ]
        explanation = explain(JOB_ID, lines)
        self.assertEqual(
            [item.message for item in explanation.lines], ["call", "launch"]
        )

    def test_claims_read_during_startup_are_not_used_for_clock_offsets(self):
        lines = [
            log_line(1_000, "role claimed", epoch=1),
            log_line(2_000, "role claimed", epoch=2),
            log_line(8_000, "started", "h2"),
            log_line(8_100, "role claimed", "h2", epoch=1),
            log_line(8_100, "role claimed", "h2", epoch=2),
            log_line(8_200, "work stream read", "h2"),
            log_line(9_000, "role claimed", epoch=3),
            log_line(9_010, "role claimed", "h2", epoch=3),
            accepted(9_100, "h2"),
            launch(9_200),
        ]
        explanation = explain(JOB_ID, lines)
        gap_ms = explanation.lines[1].at_ms - explanation.lines[0].at_ms
        self.assertAlmostEqual(gap_ms, 110)


class CauseTest(unittest.TestCase):
    """The event that decided the outcome or caused the longest delay."""

    def _cause(self, *lines):
        return explain(JOB_ID, lines).cause

    def test_request_without_a_log_line(self):
        self.assertEqual(self._cause(log_line(0, "started")), Cause.NOT_FOUND)

    def test_refused(self):
        refused = log_line(0, "call", job=JOB_ID, code=200, reason="the log is down")
        explanation = explain(JOB_ID, [refused])
        self.assertEqual(explanation.cause, Cause.REFUSED)
        self.assertIn("the log is down", explanation.detail)

    def test_outcome_unknown(self):
        unknown = log_line(0, "call", job=JOB_ID, code=400, reason="ask again")
        self.assertEqual(self._cause(unknown), Cause.OUTCOME_UNKNOWN)

    def test_failed_on_several_workers_or_on_one(self):
        def failed(worker):
            return log_line(
                500, "run ended", job=JOB_ID, worker=worker, how="failed", run=1
            )

        end = job_over(900, "failed")
        one = (accepted(0), launch(10), failed("w1"), failed("w1"), end)
        self.assertEqual(self._cause(*one), Cause.UNHEALTHY_WORKER)
        several = (accepted(0), launch(10), failed("w1"), failed("w2"), end)
        self.assertEqual(self._cause(*several), Cause.FAILED_EVERYWHERE)

    def test_delayed_by_a_takeover(self):
        lines = (
            accepted(0),
            log_line(1_800, "role claimed", epoch=4, host="h2/1"),
            log_line(1_810, "acting", epoch=4, taken_up=3),
            launch(1_900),
            job_over(9_000),
        )
        self.assertEqual(self._cause(*lines), Cause.TAKEOVER)

    def test_delayed_by_a_log_outage(self):
        lines = (
            accepted(0),
            log_line(300, "log unreachable", reason="HTTP status 503"),
            log_line(350, "log unreachable", "h2", reason="HTTP status 503"),
            log_line(4_900, "log reachable again", away_ms=4_600),
            log_line(4_950, "role claimed", epoch=4, host="h1/1"),
            launch(5_000),
            job_over(9_000),
        )
        self.assertEqual(self._cause(*lines), Cause.LOG_OUTAGE)

    def test_outage_at_another_host_does_not_explain_a_late_launch(self):
        lines = (
            accepted(0),
            log_line(300, "log unreachable", "h2", reason="HTTP status 503"),
            log_line(4_900, "log reachable again", "h2", away_ms=4_600),
            launch(5_000),
            job_over(9_000),
        )
        self.assertEqual(self._cause(*lines), Cause.WAITED_FOR_CAPACITY)

    def test_preempted(self):
        lines = (
            accepted(0),
            launch(10),
            log_line(2_000, "preempted", job=OTHER_JOB_ID, units=[[JOB_ID, 0, 0, -1]]),
            launch(5_000, run=2),
            job_over(9_000),
        )
        explanation = explain(JOB_ID, lines)
        self.assertEqual(explanation.cause, Cause.PREEMPTED)
        self.assertEqual(explanation.delays_ms, {Cause.PREEMPTED: 4_990})
        self.assertIn(OTHER_JOB_ID, explanation.detail)

    def test_stop_with_its_cause_and_what_it_lost(self):
        lines = (
            accepted(0),
            launch(10),
            log_line(
                2_000,
                "run stopped",
                job=JOB_ID,
                cause="worker leaving",
                percent=40.0,
                ran_ms=1_990,
                has_checkpoint=True,
            ),
            launch(5_000, run=2),
            job_over(9_000),
        )
        explanation = explain(JOB_ID, lines)
        self.assertEqual(explanation.cause, Cause.WORKER_LEFT)
        self.assertIn("40.0% after 1990 ms, with a checkpoint", explanation.detail)

    def test_one_failed_run_does_not_make_its_worker_unhealthy(self):
        failed = log_line(
            900, "run ended", job=JOB_ID, worker="w1", how="failed", run=1
        )
        lines = (
            accepted(0),
            launch(10),
            failed,
            launch(950, 2, "w2"),
            job_over(9_000),
        )
        explanation = explain(JOB_ID, lines)
        self.assertEqual(explanation.cause, Cause.RUN_FAILED)
        self.assertEqual(explanation.detail, "w1")

    def test_hung_worker(self):
        lines = (
            accepted(0),
            launch(10),
            log_line(2_500, "worker hangs", worker="w1"),
            log_line(2_600, "worker hangs", worker="w9"),
            launch(3_000, run=2, worker="w2"),
            job_over(9_000),
        )
        self.assertEqual(self._cause(*lines), Cause.UNHEALTHY_WORKER)

    def test_lapsed_lease(self):
        lapsed = log_line(
            7_000, "run ended", job=JOB_ID, worker="w1", how="lapsed", run=1
        )
        lines = (
            accepted(0),
            launch(10),
            lapsed,
            launch(7_050, 2, "w2"),
            job_over(9_000),
        )
        self.assertEqual(self._cause(*lines), Cause.LEASE_LAPSED)

    def test_waited_for_capacity(self):
        lines = (accepted(0), launch(4_000), job_over(9_000))
        self.assertEqual(self._cause(*lines), Cause.WAITED_FOR_CAPACITY)

    def test_longest_of_several_delays_is_the_cause(self):
        lines = (
            accepted(0),
            launch(400),
            log_line(900, "order not done", job=JOB_ID, worker="w1", reason="room"),
            launch(4_000, run=2, worker="w2"),
            job_over(9_000),
        )
        explanation = explain(JOB_ID, lines)
        self.assertEqual(explanation.cause, Cause.ORDER_NOT_DONE)
        self.assertEqual(
            set(explanation.delays_ms),
            {Cause.ORDER_NOT_DONE, Cause.WAITED_FOR_CAPACITY},
        )

    def test_exceeded_objective_on_time_and_cancelled(self):
        started = (accepted(0), launch(10))
        self.assertEqual(
            self._cause(*started, job_over(9_000)), Cause.EXCEEDED_OBJECTIVE
        )
        on_time = job_over(2_000, took_ms=2_000)
        self.assertEqual(self._cause(*started, on_time), Cause.ON_TIME)
        cancelled = job_over(2_000, "cancelled")
        self.assertEqual(self._cause(*started, cancelled), Cause.CANCELLED)
        self.assertEqual(self._cause(*started), Cause.NOT_FINISHED)


class CommandTest(unittest.TestCase):
    """The command `knapweedshed explain`."""

    def _run(self, content, *flags, job_id=JOB_ID):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "host.log")
            with open(path, "w", encoding="utf-8") as file:
                file.write(content)
            output, errors = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(output):
                with contextlib.redirect_stderr(errors):
                    status = main(["explain", job_id, path, *flags])
        return status, output.getvalue(), errors.getvalue()

    def _line(self, message, **fields):
        common = {"time": "2026-12-04 10:00:00,100", "process": "h1"}
        return json.dumps({**common, "message": message, **fields}) + "\n"

    def test_unreadable_lines_are_counted_and_skipped(self):
        content = "not json\n{broken\n\n12.3 h1 | "
        content += self._line("call", job=JOB_ID, code=200, reason="the log is down")
        status, output, errors = self._run(content)
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertIn("cause: refused (code 200: the log is down)", output)
        self.assertIn("2 lines could not be read", errors)

    def test_json_output(self):
        status, output, _ = self._run(self._line("call", job=JOB_ID, code=0), "--json")
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertEqual(json.loads(output)["cause"], "not over in these lines")

    def test_job_id_of_digits_is_not_parsed_as_a_number(self):
        for name in ("0000000000000012", "12e4567890123456"):
            content = self._line("call", job=name, code=200, reason="no")
            status, _, _ = self._run(content, job_id=name)
            self.assertEqual(status, ExitStatus.SUCCESS, name)

    def test_unknown_request_exits_with_an_error(self):
        status, output, _ = self._run(self._line("started"))
        self.assertEqual(status, ExitStatus.ERROR)
        self.assertIn("no line names it", output)

    def test_missing_file_is_named_in_the_error(self):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            status = main(["explain", JOB_ID, "no-such-file.log"])
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertIn("no-such-file.log", errors.getvalue())


if __name__ == "__main__":
    unittest.main()
