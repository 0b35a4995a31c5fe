"""Configuration folded from the entries of a log, with the same result in all readers.

An entry has a new part, or None to remove it, for each organisation that it changes. It
is accepted if its base has the current version of each of these organisations.
An unknown schema version stops the fold at that entry, which is never skipped.
"""

from typing import Any, NamedTuple

from knapweedshed.decisions.operator_entries import EntryError, parse_organisation
from knapweedshed.digests import stable_hash
from knapweedshed.models.configuration import SCHEMA_VERSION, Configuration
from knapweedshed.results import OK, Result, ResultCode

MAX_HISTORY_DECISIONS = 256


class Decision(NamedTuple):
    """Result of one entry: whether it was accepted, and if not, why.

    `parts` are the names of the organisations that the entry changes.
    """

    offset: int
    entry_id: str
    result: Result
    author: str = ""
    parts: tuple[str, ...] = ()


def digest_of_organisations(organisations):
    """Return the digest of the organisations of a configuration."""
    return f"{stable_hash(repr(organisations)):016x}"


EMPTY_CONFIGURATION = Configuration(digest=digest_of_organisations(()))


class ConfigurationFold(NamedTuple):
    """Configuration in force and the latest decisions.

    `stopped` is the reason why the fold stopped, or empty.
    """

    configuration: Configuration = EMPTY_CONFIGURATION
    history: tuple[Decision, ...] = ()
    stopped: str = ""

    @property
    def through(self):
        """Highest offset that has been applied."""
        return self.configuration.offset

    def decision(self, entry_id):
        """Return the latest `Decision` on an entry, or None."""
        for decision in reversed(self.history):
            if decision.entry_id == entry_id:
                return decision
        return None


def apply_entry(fold, offset, entry):
    """Return the fold after applying the entry at `offset`.

    Offsets that have already been applied have no effect.
    """
    if fold.stopped or offset <= fold.through:
        return fold
    if not isinstance(entry, dict):
        return _record_decision(
            fold, offset, "", _refusal("the entry is not a JSON object")
        )
    if entry.get("schema") != SCHEMA_VERSION:
        reason = f"offset {offset}: schema {entry.get('schema')!r} is not known here"
        return fold._replace(stopped=reason)
    if "snapshot" in entry:
        return _advance_offset(fold, offset)
    entry_id = entry.get("id")
    if not isinstance(entry_id, str) or not entry_id:
        return _record_decision(fold, offset, "", _refusal("the entry has no id"))
    if fold.decision(entry_id) is not None:
        return _advance_offset(fold, offset)
    result, configuration = _evaluate(fold.configuration, offset, entry)
    fold = fold._replace(configuration=configuration)
    return _record_decision(fold, offset, entry_id, result, entry)


def adopt_snapshot(fold, configuration):
    """Return the fold after adopting a configuration snapshot.

    A snapshot that is no newer, or whose digest doesn't match, is ignored.
    """
    if configuration.offset <= fold.through:
        return fold
    if configuration.digest != digest_of_organisations(configuration.organisations):
        return fold
    return ConfigurationFold(configuration, fold.history, "")


def check_entry(configuration, entry):
    """Return (result, resulting configuration) of an entry without applying it."""
    return _evaluate(configuration, configuration.offset + 1, entry)


def _evaluate(configuration, offset, entry):
    """Return (result, resulting configuration) of an entry at `offset`."""
    parts = entry.get("parts")
    base = entry.get("base")
    if not isinstance(parts, dict) or not parts or not isinstance(base, dict):
        return _refusal("the entry needs maps 'parts' and 'base'"), configuration
    for name in sorted(parts):
        in_force = configuration.version_of(name)
        if base.get(name) != in_force:
            reason = (
                f"organisation {name!r}: based on version {base.get(name)},"
                f" but {in_force} is in force"
            )
            conflict = Result(ResultCode.CONFIGURATION_CONFLICT, reason)
            return conflict, configuration
    changed = {}
    for name, part in sorted(parts.items()):
        try:
            changed[name] = _parse_part(configuration, name, part)
        except EntryError as error:
            return _refusal(f"organisation {name!r}: {error}"), configuration
    return OK, _replace_parts(configuration, offset, changed)


def _parse_part(configuration, name, part):
    if part is None:
        return None
    organisation = parse_organisation(name, part)
    previous = configuration.organisation(name)
    if previous is not None and previous.data_centres != organisation.data_centres:
        raise EntryError(
            "data_centres can't be edited: keys have their homes there;"
            " make a new organisation and hand over"
        )
    return organisation


def _replace_parts(configuration, offset, changed):
    kept = [o for o in configuration.organisations if o.name not in changed]
    added = [part for part in changed.values() if part is not None]
    organisations = tuple(sorted([*kept, *added], key=lambda o: o.name))
    versions = {**dict(configuration.versions), **dict.fromkeys(changed, offset)}
    return Configuration(
        offset,
        organisations,
        tuple(sorted(versions.items())),
        digest_of_organisations(organisations),
    )


def _record_decision(fold, offset, entry_id, result, entry: Any = None):
    entry = entry or {}
    parts = entry.get("parts")
    names = tuple(sorted(parts)) if isinstance(parts, dict) else ()
    author = str(entry.get("author", ""))
    decision = Decision(offset, entry_id, result, author, names)
    history = (*fold.history, decision)[-MAX_HISTORY_DECISIONS:]
    return _advance_offset(fold._replace(history=history), offset)


def _advance_offset(fold, offset):
    return fold._replace(configuration=fold.configuration._replace(offset=offset))


def _refusal(reason):
    return Result(ResultCode.CONFIGURATION_REFUSED, reason)
