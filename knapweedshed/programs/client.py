"""`knapweedshed`: the command line of callers and operators."""

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
from knapweedshed.links.entry_client import EntryClient, JobSubmission
from knapweedshed.programs.explain_command import print_story
from knapweedshed.results import Result, ResultCode, is_final, is_not_run
from knapweedshed.settings import parse_address
from knapweedshed.status import ExitStatus

ENTRIES_VARIABLE = "KNAPWEEDSHED_ENTRIES"
DEFAULT_ENTRIES = "127.0.0.1:21000"
DEFAULT_LIMIT_SECONDS = 600


class Client:
    """Submit work, follow it, and publish configuration.

    Args:
        entries: entry hosts, ip:port separated by commas; tried in order.
            KNAPWEEDSHED_ENTRIES in the environment does the same.
    """

    def __init__(self, entries=""):
        given = entries or os.environ.get(ENTRIES_VARIABLE, DEFAULT_ENTRIES)
        addresses = given if isinstance(given, (tuple, list)) else given.split(",")
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
        limit=DEFAULT_LIMIT_SECONDS,
        output="",
        detach=False,
    ):
        """Submit FILE as the input of a service, and write its answer.

        Args:
            organisation: whose work it is.
            service: which of its services.
            file: path of the input; - reads standard input.
            key: idempotency key; made up where it is left out.
            members: size of the gang, where it isn't the service's.
            limit: seconds to wait for the end.
            output: path for the answer; standard output where it is left out.
            detach: only submit, and print the job's id.
        """
        body = _read(file)
        key = key or f"{self._clock.wall_ms() // MS_PER_SECOND}-{uuid.uuid4().hex}"
        work = JobSubmission(organisation, service, key, body, members)
        limit_ms = int(limit * MS_PER_SECOND)
        if detach:
            end_ms = self._clock.now_ms() + limit_ms
            answered = self._client.submit(work, end_ms, wait=False)
            print(answered.job_id or f"{answered.code.name}: {answered.reason}")
            return _status_of(answered.code, detached=True)
        with _Progress() as progress:
            answered = self._client.run(work, limit_ms, progress.show)
        return _finish(answered, output)

    def wait(self, job, limit=DEFAULT_LIMIT_SECONDS, output=""):
        """Wait for a job's end, and write its answer."""
        with _Progress() as progress:
            answered = self._client.wait(job, int(limit * MS_PER_SECOND), progress.show)
        return _finish(answered, output)

    def cancel(self, job):
        """Ask for a job to be cancelled; `wait` tells what became of it."""
        answered = self._client.cancel(job)
        print(f"{answered.code.name} {answered.reason}".strip())
        return _status_of(answered.code, detached=True)

    def jobs(self, json=False):
        """List the jobs that the data centres in reach know."""
        return _list(self._client, "/v1/listings/jobs", json)

    def workers(self, json=False):
        """List the workers of the data centres in reach."""
        return _list(self._client, "/v1/listings/workers", json)

    def organisations(self, json=False):
        """List the organisations in force."""
        return _list(self._client, "/v1/organisations", json)

    @SetParseFns(request=str)
    def explain(self, request, *files, json=False):
        """Tell what became of a request, and why, from the hosts' log lines.

        Args:
            request: the caller's id of the job.
            files: logs of any number of hosts; - reads standard input.
            json: print one JSON object.
        """
        return print_story(request, files or ("-",), json)

    def state(self):
        """Print an entry's state dump as JSON."""
        return _print_json(self._client.request_json("GET", "/v1/state"))


class ConfigurationCommands:
    """Print, check and publish configuration, and see what was decided."""

    def __init__(self, client):
        self._client = client

    def print(self, file):
        """Run an operator's Python FILE, and print its entry with its base."""
        entry = _load_entry(file)
        if "base" not in entry:
            answer = self._client.request_json("GET", "/v1/configuration")
            if isinstance(answer, Result):
                return _fail(answer)
            versions = answer[1]["versions"]
            entry["base"] = {name: versions.get(name, -1) for name in entry["parts"]}
        print(json_text.dumps(entry))
        return ExitStatus.SUCCESS

    def check(self, file):
        """Say what would become of the entry in FILE, and change nothing."""
        return self._send(file, "/v1/configuration/check")

    def publish(self, file):
        """Publish the entry in FILE, and say what was decided on it."""
        return self._send(file, "/v1/configuration")

    def history(self, json=False):
        """List what was decided on the latest entries."""
        return _list(self._client, "/v1/configuration/history", json)

    def _send(self, file, path):
        entry = _load_entry(file)
        if "base" not in entry:
            reason = "the entry has no base; make it with `config print`"
            return _fail(Result(ResultCode.BAD_REQUEST, reason))
        answer = self._client.request_json(
            "POST", path, json_text.dumps(entry).encode()
        )
        if isinstance(answer, Result):
            return _fail(answer)
        row = answer[1]
        code = ResultCode(row["code"])
        print(f"{code.name} {row.get('reason', '')}".strip())
        return _status_of(code)


class _Progress:
    """A moving line on a terminal, plain lines elsewhere."""

    def __init__(self):
        self._bar = None
        self._last = ""

    def __enter__(self):
        if sys.stderr.isatty():
            self._bar = tqdm(total=None, unit="poll", leave=False)
        return self

    def __exit__(self, *exception):
        if self._bar is not None:
            self._bar.close()

    def show(self, answered):
        """Show how the job stands."""
        line = f"{answered.job_id} {answered.code.name} {answered.reason}".strip()
        if self._bar is not None:
            self._bar.set_description(line[:60])
            self._bar.update()
        elif line != self._last:
            print(line, file=sys.stderr, flush=True)
        self._last = line


def main(argv=None):
    """Run one command and return its exit status."""
    arguments = sys.argv[1:] if argv is None else argv
    if "--version" in arguments:
        print(f"knapweedshed {__version__}")
        return ExitStatus.SUCCESS
    try:
        status = fire.Fire(
            Client, command=arguments, name="knapweedshed", serialize=_silent
        )
    except (ValueError, OSError) as error:
        print(f"knapweedshed: {error}", file=sys.stderr)
        return ExitStatus.USAGE
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED
    return status if isinstance(status, ExitStatus) else ExitStatus.SUCCESS


def _silent(value):
    return None if isinstance(value, ExitStatus) else value


def _read(file):
    if file == "-":
        return sys.stdin.buffer.read()
    with open(file, "rb") as source:
        return source.read()


def _load_entry(file):
    if str(file).endswith(".py"):
        printed = StringIO()
        with redirect_stdout(printed):
            runpy.run_path(file, run_name="__main__")
        content = printed.getvalue()
    else:
        content = _read(file).decode("utf-8", "replace")
    entry = json_text.loads(content)
    if not isinstance(entry, dict) or not isinstance(entry.get("parts"), dict):
        raise ValueError(f"{file}: expected one entry with parts")
    return entry


def _finish(answered, output):
    if answered.code != ResultCode.OK:
        name = answered.code.name
        print(f"{name} {answered.job_id} {answered.reason}".strip(), file=sys.stderr)
        return _status_of(answered.code)
    if output:
        with open(output, "wb") as target:
            target.write(answered.body)
    else:
        sys.stdout.buffer.write(answered.body)
        sys.stdout.buffer.flush()
    return ExitStatus.SUCCESS


def _list(client, path, as_json):
    answer = client.request_json("GET", path)
    if isinstance(answer, Result):
        return _fail(answer)
    rows = answer[1].get("rows", [])
    if as_json:
        print(json_text.dumps(rows))
        return ExitStatus.SUCCESS
    for row in rows:
        plain = {key: value for key, value in row.items() if key != "_"}
        print("  ".join(f"{key}={_short(value)}" for key, value in plain.items()))
    return ExitStatus.SUCCESS


def _short(value):
    if isinstance(value, (dict, list)):
        return f"<{len(value)}>"
    return value


def _print_json(answer):
    if isinstance(answer, Result):
        return _fail(answer)
    print(json_text.dumps(answer[1]))
    return ExitStatus.SUCCESS


def _fail(result):
    print(f"{result.code.name} {result.reason}", file=sys.stderr)
    return _status_of(result.code)


def _status_of(code, detached=False):
    if code == ResultCode.OK or (detached and not is_final(code)):
        return ExitStatus.SUCCESS
    if not is_final(code):
        return ExitStatus.TIMEOUT
    if is_not_run(code):
        return ExitStatus.NOT_RUN
    if code in (ResultCode.OUTCOME_UNKNOWN, ResultCode.ANSWER_LOST):
        return ExitStatus.OUTCOME_UNKNOWN
    return ExitStatus.ERROR
