"""`knapweedshed`: command line client for callers and operators."""

import os
import runpy
import sys
import uuid
from contextlib import redirect_stdout
from io import StringIO

import fire
from fire.decorators import SetParseFns
from tqdm import tqdm

from knapweedshed import __version__
from knapweedshed.clock import MS_PER_SECOND, create_clock
from knapweedshed.codecs import json_text
from knapweedshed.links.configuration_review import ReviewInput
from knapweedshed.links.entry_client import EntryClient, JobSubmission
from knapweedshed.programs.explain_command import print_explanation
from knapweedshed.programs.review_command import load_json_file, print_review
from knapweedshed.results import Result, ResultCode, is_final, is_not_run
from knapweedshed.settings import parse_address
from knapweedshed.status import ExitStatus, ReviewStatus

ENTRIES_ENV_VARIABLE = "KNAPWEEDSHED_ENTRIES"
DEFAULT_ENTRIES = "127.0.0.1:21000"
DEFAULT_WAIT_SECONDS = 600
IN_FORCE_PATHS = {"in_force": "/v1/organisations", "workers": "/v1/listings/workers"}
EXIT_STATUSES = (ExitStatus, ReviewStatus)


class Client:
    """Submit jobs, follow their state, and publish configuration.

    Args:
        entries: addresses of entry hosts, ip:port separated by commas; tried in
            order. KNAPWEEDSHED_ENTRIES in the environment sets the default.
    """

    def __init__(self, entries=""):
        entry_addresses = entries or os.environ.get(
            ENTRIES_ENV_VARIABLE, DEFAULT_ENTRIES
        )
        addresses = (
            entry_addresses
            if isinstance(entry_addresses, (tuple, list))
            else entry_addresses.split(",")
        )
        for address in addresses:
            parse_address(address)
        self._clock = create_clock()
        self._client = EntryClient(self._clock, addresses)
        self.config = ConfigurationCommands(self._client)

    def submit(
        self,
        organisation,
        service,
        file,
        key="",
        members=0,
        limit=DEFAULT_WAIT_SECONDS,
        output="",
        detach=False,
    ):
        """Submit FILE as the input of a service, and write the answer.

        Args:
            organisation: organisation that the job belongs to.
            service: name of one of its services.
            file: path of the input; - for standard input.
            key: idempotency key; generated if omitted.
            members: size of the gang; 0 for the service's default.
            limit: longest time to wait for the end, in seconds.
            output: path for the answer; standard output if omitted.
            detach: print the job's id after submission and don't wait for the end.
        """
        body = _read_input(file)
        key = key or f"{self._clock.wall_ms() // MS_PER_SECOND}-{uuid.uuid4().hex}"
        submission = JobSubmission(organisation, service, key, body, members)
        limit_ms = int(limit * MS_PER_SECOND)
        if detach:
            end_ms = self._clock.now_ms() + limit_ms
            answered = self._client.submit(submission, end_ms, wait=False)
            print(answered.job_id or f"{answered.code.name}: {answered.reason}")
            return _exit_status_of(answered.code, accept_pending=True)
        with _ProgressReporter() as progress:
            answered = self._client.run(submission, limit_ms, progress.show)
        return _write_answer(answered, output)

    def wait(self, job, limit=DEFAULT_WAIT_SECONDS, output=""):
        """Wait up to `limit` seconds for a job to end, and write its answer."""
        with _ProgressReporter() as progress:
            answered = self._client.wait(job, int(limit * MS_PER_SECOND), progress.show)
        return _write_answer(answered, output)

    def cancel(self, job):
        """Request the cancellation of a job; `wait` shows whether it was cancelled."""
        answered = self._client.cancel(job)
        print(f"{answered.code.name} {answered.reason}".strip())
        return _exit_status_of(answered.code, accept_pending=True)

    def jobs(self, json=False):
        """List the jobs of the reachable data centres."""
        return _print_listing(self._client, "/v1/listings/jobs", json)

    def workers(self, json=False):
        """List the workers of the reachable data centres."""
        return _print_listing(self._client, "/v1/listings/workers", json)

    def organisations(self, json=False):
        """List the organisations of the configuration in force."""
        return _print_listing(self._client, "/v1/organisations", json)

    @SetParseFns(request=str)
    def explain(self, request, *files, json=False):
        """Print the outcome of a request and its cause, from the log lines of hosts.

        Args:
            request: job id, as the caller knows it.
            files: log files of one or more hosts; - for standard input.
            json: print the explanation as one JSON object.
        """
        return print_explanation(request, files or ("-",), json)

    def state(self):
        """Print the state dump of an entry as JSON."""
        return _print_json(self._client.request_json("GET", "/v1/state"))


class ConfigurationCommands:
    """Print, check and publish configuration entries, and list past decisions."""

    def __init__(self, client):
        self._client = client

    def print(self, file):
        """Run the Python FILE, and print its entry with the versions it is based on."""
        entry = _load_configuration_entry(file)
        if "base" not in entry:
            response = self._client.request_json("GET", "/v1/configuration")
            if isinstance(response, Result):
                return _print_failure(response)
            versions = response[1]["versions"]
            entry["base"] = {name: versions.get(name, -1) for name in entry["parts"]}
        print(json_text.dumps(entry))
        return ExitStatus.SUCCESS

    def check(self, file):
        """Validate the entry in FILE without publishing it."""
        return self._post_entry(file, "/v1/configuration/check")

    @SetParseFns(file=str, against=str, workers=str)
    def review(
        self, file, kind="own", against="", workers="", in_force=False, json=False
    ):
        """Print faults of a configuration FILE and what it changes, without sending it.

        Args:
            file: the entry (Python or JSON), or the platform's configuration (JSON).
            kind: own, or platform for the platform's configuration.
            against: file with the version in force.
            workers: file with the list of workers.
            in_force: ask an entry host for the version in force and the workers;
                only with the kind own. Files given take precedence.
            json: print the findings as a JSON list.
        """
        if in_force and kind != "own":
            raise ValueError("--in-force: expected --kind own")
        compared = {
            "in_force": load_json_file(_read_input, against),
            "workers": load_json_file(_read_input, workers),
        }
        if in_force:
            for name, path in IN_FORCE_PATHS.items():
                if compared[name] is not None:
                    continue
                response = self._client.request_json("GET", path)
                if isinstance(response, Result) or "rows" not in response[1]:
                    print(f"{path}: no answer: {response}", file=sys.stderr)
                    return ExitStatus.NOT_RUN
                compared[name] = response[1]["rows"]
        content = load_json_file(_read_configuration, file)
        return print_review(kind, ReviewInput(content, **compared), json)

    def publish(self, file):
        """Publish the entry in FILE, and print whether it was accepted."""
        return self._post_entry(file, "/v1/configuration")

    def history(self, json=False):
        """List the decisions on the latest entries."""
        return _print_listing(self._client, "/v1/configuration/history", json)

    def _post_entry(self, file, path):
        entry = _load_configuration_entry(file)
        if "base" not in entry:
            reason = "the entry has no base; generate it with `config print`"
            return _print_failure(Result(ResultCode.BAD_REQUEST, reason))
        response = self._client.request_json(
            "POST", path, json_text.dumps(entry).encode()
        )
        if isinstance(response, Result):
            return _print_failure(response)
        decision = response[1]
        code = ResultCode(decision["code"])
        print(f"{code.name} {decision.get('reason', '')}".strip())
        return _exit_status_of(code)


class _ProgressReporter:
    """Reports progress: a progress bar on a terminal, otherwise one line per change."""

    def __init__(self):
        self._progress_bar = None
        self._last_line = ""

    def __enter__(self):
        if sys.stderr.isatty():
            self._progress_bar = tqdm(total=None, unit="poll", leave=False)
        return self

    def __exit__(self, *exception):
        if self._progress_bar is not None:
            self._progress_bar.close()

    def show(self, answered):
        """Show the state of the job."""
        line = f"{answered.job_id} {answered.code.name} {answered.reason}".strip()
        if self._progress_bar is not None:
            self._progress_bar.set_description(line[:60])
            self._progress_bar.update()
        elif line != self._last_line:
            print(line, file=sys.stderr, flush=True)
        self._last_line = line


def main(argv=None):
    """Run one command and return its exit status."""
    arguments = sys.argv[1:] if argv is None else argv
    if "--version" in arguments:
        print(f"knapweedshed {__version__}")
        return ExitStatus.SUCCESS
    try:
        status = fire.Fire(
            Client, command=arguments, name="knapweedshed", serialize=_hide_exit_status
        )
    except (ValueError, OSError) as error:
        print(f"knapweedshed: {error}", file=sys.stderr)
        return ExitStatus.USAGE
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    return status if isinstance(status, EXIT_STATUSES) else ExitStatus.SUCCESS


def _hide_exit_status(value):
    """Return the value that fire prints: nothing for an exit status."""
    return None if isinstance(value, EXIT_STATUSES) else value


def _read_input(file):
    if file == "-":
        return sys.stdin.buffer.read()
    with open(file, "rb") as file_object:
        return file_object.read()


def _read_configuration(file):
    """Return the text of a file, or what a Python file prints.

    Raises OSError if it can't be read, and ValueError if the Python file fails.
    """
    if not str(file).endswith(".py"):
        return _read_input(file).decode("utf-8", "replace")
    printed = StringIO()
    try:
        with redirect_stdout(printed):
            runpy.run_path(file, run_name="__main__")
    except (Exception, SystemExit) as error:
        raise ValueError(f"{file}: {error!r}") from error
    return printed.getvalue()


def _load_configuration_entry(file):
    """Return the entry in a JSON file, or the one that a Python file prints.

    Raises ValueError if it is not an entry, and OSError if it can't be read.
    """
    entry = json_text.loads(_read_configuration(file))
    if not isinstance(entry, dict) or not isinstance(entry.get("parts"), dict):
        raise ValueError(f"{file}: expected one entry with parts")
    return entry


def _write_answer(answered, output):
    """Write the answer of a job, or print why it has none; return the exit status."""
    if answered.code != ResultCode.OK:
        name = answered.code.name
        print(f"{name} {answered.job_id} {answered.reason}".strip(), file=sys.stderr)
        return _exit_status_of(answered.code)
    if output:
        with open(output, "wb") as output_file:
            output_file.write(answered.body)
    else:
        sys.stdout.buffer.write(answered.body)
        sys.stdout.buffer.flush()
    return ExitStatus.SUCCESS


def _print_listing(client, path, as_json):
    response = client.request_json("GET", path)
    if isinstance(response, Result):
        return _print_failure(response)
    rows = response[1].get("rows", [])
    if as_json:
        print(json_text.dumps(rows))
        return ExitStatus.SUCCESS
    for row in rows:
        printed_fields = {key: value for key, value in row.items() if key != "_"}
        print(
            "  ".join(
                f"{key}={_summarise_value(value)}"
                for key, value in printed_fields.items()
            )
        )
    return ExitStatus.SUCCESS


def _summarise_value(value):
    if isinstance(value, (dict, list)):
        return f"<{len(value)}>"
    return value


def _print_json(response):
    if isinstance(response, Result):
        return _print_failure(response)
    print(json_text.dumps(response[1]))
    return ExitStatus.SUCCESS


def _print_failure(result):
    print(f"{result.code.name} {result.reason}", file=sys.stderr)
    return _exit_status_of(result.code)


def _exit_status_of(code, accept_pending=False):
    """Return the `ExitStatus` of a result code.

    `accept_pending` counts a job that has not ended as a success.
    """
    if code == ResultCode.OK or (accept_pending and not is_final(code)):
        return ExitStatus.SUCCESS
    if not is_final(code):
        return ExitStatus.TIMEOUT
    if is_not_run(code):
        return ExitStatus.NOT_RUN
    if code in (ResultCode.OUTCOME_UNKNOWN, ResultCode.ANSWER_LOST):
        return ExitStatus.OUTCOME_UNKNOWN
    return ExitStatus.ERROR
