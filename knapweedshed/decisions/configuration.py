"""Configuration as a fold over the log, the same in every reader.

An entry is accepted if its base names the version in force of each part that it
changes. A schema that a reader doesn't know stops its fold; it never skips.
"""

from typing import Any, NamedTuple

from knapweedshed.decisions.operator_entries import EntryError, parse_organisation
from knapweedshed.digests import stable_hash
from knapweedshed.models.configuration import SCHEMA_VERSION, Configuration
from knapweedshed.results import OK, Result, ResultCode

HISTORY_LENGTH = 256


class Decision(NamedTuple):
    """What became of one entry."""

    offset: int
    entry_id: str
    result: Result
    author: str = ""
    parts: tuple[str, ...] = ()


def digest_of(organisations):
    """Return the digest of a configuration's content."""
    return f"{stable_hash(repr(organisations)):016x}"


NOTHING = Configuration(digest=digest_of(()))


class Fold(NamedTuple):
    """The configuration in force, what was decided, and why reading stopped."""

    configuration: Configuration = NOTHING
    history: tuple[Decision, ...] = ()
    stopped: str = ""

    @property
    def through(self):
        """The highest offset that this fold has taken in."""
        return self.configuration.offset

    def decision(self, entry_id):
        """Return the `Decision` on an entry, or None."""
        for decision in reversed(self.history):
            if decision.entry_id == entry_id:
                return decision
        return None


def apply(fold, offset, plain):
    """Return the fold after the record at `offset`; older offsets change nothing."""
    if fold.stopped or offset <= fold.through:
        return fold
    if not isinstance(plain, dict):
        return _decide(fold, offset, "", _refused("the entry is not a JSON object"))
    if plain.get("schema") != SCHEMA_VERSION:
        reason = f"offset {offset}: schema {plain.get('schema')!r} is not known here"
        return fold._replace(stopped=reason)
    if "snapshot" in plain:
        return _advance(fold, offset)
    entry_id = plain.get("id")
    if not isinstance(entry_id, str) or not entry_id:
        return _decide(fold, offset, "", _refused("the entry has no id"))
    if fold.decision(entry_id) is not None:
        return _advance(fold, offset)
    result, configuration = _accept(fold.configuration, offset, plain)
    fold = fold._replace(configuration=configuration)
    return _decide(fold, offset, entry_id, result, plain)


def adopt(fold, configuration):
    """Return the fold with a held configuration, adopted upward only."""
    if configuration.offset <= fold.through:
        return fold
    if configuration.digest != digest_of(configuration.organisations):
        return fold
    return Fold(configuration, fold.history, "")


def check_entry(configuration, plain):
    """Return (result, configuration after) that an entry would bring about."""
    return _accept(configuration, configuration.offset + 1, plain)


def _accept(configuration, offset, plain):
    parts = plain.get("parts")
    base = plain.get("base")
    if not isinstance(parts, dict) or not parts or not isinstance(base, dict):
        return _refused("the entry needs maps 'parts' and 'base'"), configuration
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
            changed[name] = _changed_part(configuration, name, part)
        except EntryError as error:
            return _refused(f"organisation {name!r}: {error}"), configuration
    return OK, _with_parts(configuration, offset, changed)


def _changed_part(configuration, name, part):
    if part is None:
        return None
    organisation = parse_organisation(name, part)
    before = configuration.organisation(name)
    if before is not None and before.data_centres != organisation.data_centres:
        raise EntryError(
            "data_centres can't be edited: keys have their homes there;"
            " make a new organisation and hand over"
        )
    return organisation


def _with_parts(configuration, offset, changed):
    kept = [o for o in configuration.organisations if o.name not in changed]
    added = [part for part in changed.values() if part is not None]
    organisations = tuple(sorted([*kept, *added], key=lambda o: o.name))
    versions = {**dict(configuration.versions), **dict.fromkeys(changed, offset)}
    return Configuration(
        offset,
        organisations,
        tuple(sorted(versions.items())),
        digest_of(organisations),
    )


def _decide(fold, offset, entry_id, result, plain: Any = None):
    plain = plain or {}
    parts = plain.get("parts")
    names = tuple(sorted(parts)) if isinstance(parts, dict) else ()
    author = str(plain.get("author", ""))
    decision = Decision(offset, entry_id, result, author, names)
    history = (*fold.history, decision)[-HISTORY_LENGTH:]
    return _advance(fold._replace(history=history), offset)


def _advance(fold, offset):
    return fold._replace(configuration=fold.configuration._replace(offset=offset))


def _refused(reason):
    return Result(ResultCode.CONFIGURATION_REFUSED, reason)
