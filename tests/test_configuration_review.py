"""Review of configuration files before they are published, without a network.

Each case guards against one fault of a file that the review passes over, or reports
without its place or with another severity.
"""

import copy
import json
import subprocess
import sys
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path

from hypothesis import given, settings

from knapweedshed.codecs import json_text
from knapweedshed.decisions.configuration import EMPTY_CONFIGURATION, check_entry
from knapweedshed.decisions.configuration_review.service_review import MIN_BODY_BYTES
from knapweedshed.links.configuration_review import ReviewInput
from knapweedshed.operators import guarantee, organisation, shape, worker_service
from knapweedshed.operators.review import OwnConfigurationReviewer
from knapweedshed.platform.callers import MAX_SPECIFICATION_BYTES
from knapweedshed.platform.configuration_review import FleetConfigurationReviewer
from knapweedshed.platform.feeds import decode_configuration
from knapweedshed.programs.client import ConfigurationCommands
from knapweedshed.results import Result, ResultCode
from knapweedshed.status import ExitStatus, ReviewStatus
from tests.test_fleet_platform import CONFIGURATION
from tests.test_malformed import VALUES

ROUTE = CONFIGURATION["routes"][0]
TENANT = CONFIGURATION["tenants"][0]
WORKERS = [
    {"service": "planner", "labels": [], "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 32}}
]
CLEAN = {**CONFIGURATION, "limits": {"max_body_bytes": 262_144}}
LIMITS = CLEAN["limits"]
ROUTE_2 = {**ROUTE, "name": "other", "path_prefix": "/other/"}
TENANT_2 = {"name": "two", "api_keys": ["k2"]}
KEY_OF_SAHEL = "the key also belongs to organisation 'sahel'"

PLATFORM_FAULTS = (  # changed top fields, severity, place, part of the message
    ({"routes": None}, "error", "routes", "missing"),
    ({"routes": [{**ROUTE, "host": 5}]}, "error", "routes[0].host", "expected text"),
    ({"routes": [{"name": "a"}]}, "error", "routes[0].service", "missing"),
    ({"routes": [{**ROUTE, "priority": -1}]}, "error", "routes[0].priority", "from 0"),
    ({"routes": [{**ROUTE, "public": "false"}]}, "error", "routes[0].public", "true"),
    ({"routes": [{**ROUTE, "slo_m": 1}]}, "warning", "routes[0].slo_m", "'slo_ms'"),
    ({"routes": [{**ROUTE, "name": ""}]}, "error", "routes[0].name", "empty"),
    (
        {"routes": [ROUTE, {**ROUTE_2, "name": "plans"}]},
        "error",
        "routes[1].name",
        "number 0",
    ),
    (
        {"routes": [ROUTE, ROUTE, {**ROUTE, "name": "late"}]},
        "warning",
        "routes[2].path_prefix",
        "no call matches it: 'plans'",
    ),
    (
        {"routes": [{**ROUTE, "path_prefix": "plans"}]},
        "warning",
        "routes[0].path_prefix",
        "no path starts with",
    ),
    (
        {"routes": [{**ROUTE, "service": "x"}]},
        "warning",
        "routes[0].service",
        "service 'x' has no worker",
    ),
    (
        {"routes": [{**ROUTE, "max_attempts": 0}]},
        "error",
        "routes[0].max_attempts",
        "0 attempts",
    ),
    (
        {"routes": [{**ROUTE, "slo_factor": 0, "slo_ms": 0}]},
        "error",
        "routes[0].slo_factor",
        "objective is 0",
    ),
    ({"tenants": [TENANT, TENANT]}, "error", "tenants[1].name", "number 0"),
    (
        {"tenants": [TENANT, {**TENANT_2, "api_keys": ["k2", "k1"]}]},
        "error",
        "tenants[1].api_keys[1]",
        KEY_OF_SAHEL,
    ),
    (
        {"tenants": [{**TENANT, "api_keys": ["a", "a"]}]},
        "error",
        "tenants[0].api_keys[1]",
        "api_keys[0]",
    ),
    (
        {"tenants": [{**TENANT, "api_keys": "secret"}]},
        "error",
        "tenants[0].api_keys",
        "expected a list",
    ),
    (
        {"tenants": [{**TENANT, "api_keys": []}]},
        "warning",
        "tenants[0].guaranteed.gpu",
        "nobody can use",
    ),
    (
        {"tenants": [{**TENANT, "guaranteed": {"gpu": 33}}]},
        "error",
        "tenants",
        "33 accelerators are guaranteed, but the workers have 32",
    ),
    ({"limits": {"max_body_bytes": 4_000}}, "error", "limits.max_body_bytes", "4096"),
    (
        {"limits": {"header_timeout_ms": 20_000}},
        "error",
        "limits.header_timeout_ms",
        "15000 ms",
    ),
    ({"limits": {"idle_timeout_ms": -1}}, "error", "limits.idle_timeout_ms", "from 0"),
)
PLATFORM_DIFFERENCES = (
    ({"tenants": []}, "tenants", "organisation 'sahel' is gone: 1 key"),
    ({"tenants": [TENANT, TENANT_2]}, "tenants[1]", "'two' is new"),
    (
        {"tenants": [{**TENANT, "api_keys": ["k3"]}]},
        "tenants[0].api_keys",
        "1 key of 'sahel' removed",
    ),
    (
        {"tenants": [{**TENANT, "guaranteed": {"gpu": 8}}]},
        "tenants[0].guaranteed.gpu",
        "32 -> 8",
    ),
    ({"routes": [ROUTE, ROUTE_2]}, "routes[1]", "queue 'other' is new"),
    ({"routes": []}, "routes", "queue 'plans' is gone: callers of n.example/plans/"),
    (
        {"routes": [{**ROUTE, "service": "x"}]},
        "routes[0].service",
        "from service 'planner' to 'x'",
    ),
    (
        {"routes": [{**ROUTE, "priority": 0}]},
        "routes[0].priority",
        "'plans': 1 -> 0: jobs submitted from then on rank by it",
    ),
    (
        {"routes": [{**ROUTE, "public": True}]},
        "routes[0].public",
        "callers without a key get access",
    ),
    (
        {"limits": {**LIMITS, "max_body_bytes": 9_000}},
        "limits.max_body_bytes",
        "262144 -> 9000",
    ),
)

SERVICE = worker_service("plan", "plan-loading", shape(accelerators=8))
NAME, PART = organisation(
    "acme", ["tunis"], [guarantee("tunis", shape(accelerators=8))], [SERVICE]
)
OWN_WORKERS = [{"data_centre": "tunis", "rack": "r1", "accelerators": 8}]
HUGE = {**SERVICE, "name": "huge", "shape": shape(accelerators=16)}
IN_RACK = {**SERVICE, "shape": shape(accelerators=8, members=2, adjacency="rack")}
OWN_FAULTS = (  # changed fields of the part, severity, place, part of the message
    ({"share": 0}, "error", "parts.acme.share", "expected a whole number"),
    ({"shares": 2}, "error", "parts.acme.shares", "unknown field"),
    ({"data_centres": []}, "error", "parts.acme.data_centres", "list of names"),
    (
        {"services": [SERVICE, {**SERVICE, "name": "b", "kind": "x"}]},
        "error",
        "parts.acme.services[1]",
        "kind",
    ),
    (
        {"services": [SERVICE, SERVICE]},
        "error",
        "parts.acme.services[1].name",
        "number 0",
    ),
    (
        {"guarantees": [guarantee("x", shape())]},
        "error",
        "parts.acme.guarantees[0]",
        "data centre 'x'",
    ),
    (
        {"services": []},
        "warning",
        "parts.acme.guarantees",
        "the guarantee in tunis covers no service",
    ),
    (
        {"services": [SERVICE, HUGE]},
        "warning",
        "parts.acme.services[1].shape",
        "no data centre",
    ),
    (
        {"quota_accelerators": 4},
        "error",
        "parts.acme.services[0].shape",
        "8 accelerators are above the organisation's quota of 4",
    ),
    (
        {"services": [{**SERVICE, "deadline_ms": 5}]},
        "warning",
        "parts.acme.services[0].deadline_ms",
        "below the run time",
    ),
    (
        {"guarantees": [guarantee("tunis", shape(accelerators=8), 2)]},
        "error",
        "parts",
        "doesn't fit",
    ),
    ({"data_centres": ["tunis", "b"]}, "error", "parts.acme.data_centres", "edited"),
    ({"share": 3}, "difference", "parts.acme.share", "1 -> 3"),
    ({"services": []}, "difference", "parts.acme.services", "service 'plan' is gone"),
    (
        {"services": [{**SERVICE, "urgency": "urgent"}]},
        "difference",
        "parts.acme.services[0].urgency",
        "normal -> urgent",
    ),
)


def own_entry(part):
    """Return an entry with one part."""
    return {"schema": 1, "parts": {NAME: part}}


class ReviewTest(unittest.TestCase):
    """Findings on files with one fault, and on those without."""

    def review_platform(self, content, in_force=None):
        return self.rows(
            FleetConfigurationReviewer(), ReviewInput(content, in_force, WORKERS)
        )

    def review_own(self, entry, in_force=None):
        in_force = in_force or own_entry(PART)
        return self.rows(
            OwnConfigurationReviewer(), ReviewInput(entry, in_force, OWN_WORKERS)
        )

    def rows(self, reviewer, files):
        return [
            (str(item.severity), reviewer.format_place(item.place), item.message)
            for item in reviewer.review(files)
        ]

    def check_has(self, rows, severity, place, text):
        found = [m for s, p, m in rows if (s, p) == (severity, place)]
        self.assertTrue(any(text in message for message in found), rows)

    def test_clean_files_have_no_findings(self):
        self.assertEqual(self.review_platform(CLEAN, CLEAN), [])
        self.assertEqual(self.review_own(own_entry(PART)), [])

    def test_faults_of_the_platform_configuration(self):
        for changed, *expected in PLATFORM_FAULTS:
            with self.subTest(changed=changed):
                self.check_has(self.review_platform({**CLEAN, **changed}), *expected)

    def test_differences_of_the_platform_configuration(self):
        for changed, place, text in PLATFORM_DIFFERENCES:
            with self.subTest(changed=changed):
                rows = self.review_platform({**CLEAN, **changed, "version": 8}, CLEAN)
                self.check_has(rows, "difference", place, text)

    def test_faults_and_differences_of_an_own_entry(self):
        for changed, *expected in OWN_FAULTS:
            with self.subTest(changed=changed):
                self.check_has(
                    self.review_own(own_entry({**PART, **changed})), *expected
                )

    def test_service_that_nobody_knows_is_an_error(self):
        changed = {**CLEAN, "version": 8, "routes": [{**ROUTE, "service": "x"}]}
        rows = self.review_platform(changed, CLEAN)
        self.check_has(rows, "error", "routes[0].service", "unknown service 'x'")

    def test_version_that_hosts_would_ignore_is_an_error(self):
        rows = self.review_platform({**CLEAN, "tenants": []}, CLEAN)
        self.check_has(rows, "error", "version", "not above 7")

    @settings(max_examples=60, deadline=None)
    @given(VALUES)
    def test_what_hosts_cannot_read_is_an_error(self, value):
        """Puts values of odd types into each field that hosts decode."""
        for key in CLEAN:
            self.check_unreadable((key,), value)
        for key in ROUTE:
            self.check_unreadable(("routes", 0, key), value)
        for key in TENANT:
            self.check_unreadable(("tenants", 0, key), value)

    @settings(max_examples=60, deadline=None)
    @given(VALUES)
    def test_what_entry_hosts_refuse_is_an_error(self, value):
        """Puts values of odd types into each field of an own entry."""
        for key in PART:
            self.check_refused(own_entry({**PART, key: value}))
            self.check_refused(own_entry({**PART, key: [value]}))
        for key in SERVICE:
            self.check_refused(
                own_entry({**PART, "services": [{**SERVICE, key: value}]})
            )

    def check_refused(self, entry):
        result, _ = check_entry(EMPTY_CONFIGURATION, {**entry, "base": {NAME: -1}})
        if not result.ok:
            severities = [row[0] for row in self.review_own(entry)]
            self.assertIn("error", severities, entry)

    def test_smallest_body_limit_holds_the_largest_description(self):
        step = {"est_ms": 3_600_000, "cpu": 64_000, "mem_mb": 131_072, "gpu": 8}
        body = {"spec": "x" * MAX_SPECIFICATION_BYTES, "steps": [step]}
        self.assertLessEqual(len(json_text.dumps(body)), MIN_BODY_BYTES)

    def check_unreadable(self, path, value):
        content = copy.deepcopy(CLEAN)
        target = content
        for part in path[:-1]:
            target = target[part]
        target[path[-1]] = value
        try:
            decode_configuration(content)
        except json_text.DECODE_ERRORS:
            severities = [row[0] for row in self.review_platform(content)]
            self.assertIn("error", severities, (path, value))

    def test_messages_have_no_keys(self):
        secret = {**TENANT, "api_keys": ["s3cret", "s3cret"]}
        other = {**TENANT_2, "api_keys": ["s3cret"]}
        content = {**CLEAN, "version": 8, "tenants": [secret, other]}
        self.assertNotIn("s3cret", str(self.review_platform(content, CLEAN)))

    def test_listing_of_organisations_is_a_version_in_force(self):
        listing = [
            {
                **{
                    k: v for k, v in PART.items() if k not in ("guarantees", "services")
                },
                "_": "Organisation",
                "name": NAME,
            }
        ]
        rows = self.review_own(own_entry(PART), listing)
        self.check_has(rows, "difference", "parts.acme.services[0]", "is new")

    def test_gang_of_one_rack_needs_a_rack_with_room(self):
        racks = [{**OWN_WORKERS[0], "rack": rack} for rack in ("r1", "r2")]
        anywhere = {**IN_RACK, "name": "any", "shape": shape(8, members=2)}
        entry = own_entry(
            {**PART, "services": [SERVICE, IN_RACK | {"name": "rack"}, anywhere]}
        )
        rows = self.rows(OwnConfigurationReviewer(), ReviewInput(entry, None, racks))
        self.assertEqual([row[1] for row in rows], ["parts.acme.services[1].shape"])

    def test_changed_guarantee_is_one_difference(self):
        for part, text in (
            ([], "8 -> 0 accelerators"),
            ([guarantee("tunis", shape(4), 2)], "other shapes"),
        ):
            rows = self.review_own(own_entry({**PART, "guarantees": part}))
            messages = [row[2] for row in rows if row[0] == "difference"]
            self.assertEqual(len(messages), 1, messages)
            self.assertIn(text, messages[0])

    def test_removed_organisation_loses_access(self):
        rows = self.review_own(own_entry(None))
        self.check_has(rows, "difference", "parts.acme", "its callers lose access")


class FakeEntryClient:
    """Answers requests from a map of paths; a `Result` for others."""

    def __init__(self, rows_by_path):
        self._rows_by_path = rows_by_path

    def request_json(self, method, path):
        """Return the rows of a path."""
        if path not in self._rows_by_path:
            return Result(ResultCode.LOG_UNAVAILABLE, "no entry answered")
        return 200, {"rows": self._rows_by_path[path]}


class CommandTest(unittest.TestCase):
    """Output and exit status of the command."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def write(self, name, content):
        path = Path(self.folder.name) / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

    def run_review(self, *arguments):
        command = [sys.executable, "-m", "knapweedshed", "config"]
        done = subprocess.run(
            [*command, "review", *arguments], capture_output=True, timeout=60
        )
        return done.returncode, done.stdout.decode(), done.stderr.decode()

    def test_statuses_and_output(self):
        clean = self.write("clean.json", CLEAN)
        changed = self.write("changed.json", {**CLEAN, "version": 8, "tenants": []})
        broken = self.write("broken.json", {**CLEAN, "version": -1})
        arguments = ["--kind", "platform", "--against", clean]
        status, text, errors = self.run_review(clean, *arguments)
        self.assertEqual((status, text), (ReviewStatus.CLEAN, ""), errors)
        status, text, errors = self.run_review(changed, *arguments)
        self.assertEqual(status, ReviewStatus.FINDINGS, errors)
        self.assertTrue(text.startswith("difference  tenants  "), text)
        status, text, errors = self.run_review(broken, *arguments, "--json")
        self.assertEqual(status, ReviewStatus.ERRORS, errors)
        self.assertEqual(json.loads(text)[0]["place"], "version")

    def review_in_force(self, rows_by_path):
        """Return (status, output) of a review with an entry host's answers."""
        commands = ConfigurationCommands(FakeEntryClient(rows_by_path))
        path = self.write("entry.json", own_entry(PART))
        with redirect_stdout(StringIO()) as output, redirect_stderr(StringIO()):
            return commands.review(path, in_force=True), output.getvalue()

    def test_version_in_force_is_taken_from_an_entry_host(self):
        rows_by_path = {"/v1/organisations": [], "/v1/listings/workers": OWN_WORKERS}
        status, text = self.review_in_force(rows_by_path)
        self.assertEqual(status, ReviewStatus.FINDINGS)
        self.assertIn("organisation 'acme' is new", text)

    def test_unreachable_entry_hosts_have_a_status_of_their_own(self):
        self.assertEqual(self.review_in_force({}), (ExitStatus.NOT_RUN, ""))

    def test_file_that_cannot_be_reviewed_has_the_status_of_errors(self):
        failing = self.write("failing.py", "raise RuntimeError('a')")
        not_json = self.write("text.json", "{")
        for path in (failing, not_json, "/nowhere.json"):
            status, text, errors = self.run_review(path)
            self.assertEqual((status, text), (2, ""), errors)
            self.assertTrue(errors.startswith("knapweedshed: "), errors)
