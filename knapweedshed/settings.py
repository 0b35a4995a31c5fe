"""Settings of the daemons: flags override the environment, which overrides defaults."""

import ipaddress
import os
from typing import Any, NamedTuple

from knapweedshed.logs import LOG_LEVELS
from knapweedshed.models.overload import create_overload_policies

ENVIRONMENT_PREFIX = "KNAPWEEDSHED_"


class Setting(NamedTuple):
    """One setting: its name, the kind of its value, its default and its help text."""

    name: str
    kind: str
    default: Any
    help: str


class SettingsError(Exception):
    """Settings are invalid; `errors` has one line per error."""

    def __init__(self, errors):
        super().__init__("; ".join(errors))
        self.errors = tuple(errors)


class Settings(dict):
    """Validated settings by name; also available as attributes."""

    __getattr__ = dict.__getitem__


COMMON_SETTINGS = (
    Setting("data_centre", "name", None, "data centre that this process is in"),
    Setting("process_id", "text", "", "name in logs; default: program and port"),
    Setting("listen", "address", None, "ip:port to listen on"),
    Setting("advertise", "optional_address", "", "ip:port as others know it"),
    Setting("log", "url_address", None, "ip:port of the platform's log service"),
    Setting("hosts", "url_address", None, "ip:port of the platform's host list"),
    Setting("platform", "text", "http", "adapter to the platform, by registry name"),
    Setting("statsd", "optional_address", "", "ip:port of statsd; empty: none"),
    Setting("log_level", "level", "info", "debug, info, warning or error"),
    Setting("drain_ms", "milliseconds", 30_000, "longest graceful stop"),
    Setting(
        "schedulers",
        "places",
        (),
        "schedulers of every data centre: name=ip:port,name=ip:port",
    ),
)


def load_settings(specification, flags, environment=None):
    """Return validated Settings; raises SettingsError with one line per error."""
    environment = os.environ if environment is None else environment
    errors = []
    known = {setting.name for setting in specification}
    for name in sorted(set(flags) - known):
        errors.append(f"unknown flag --{name.replace('_', '-')}")
    values = Settings()
    for setting in specification:
        text = flags.get(setting.name)
        if text is None:
            text = environment.get(ENVIRONMENT_PREFIX + setting.name.upper())
        if text is None:
            text = setting.default
        flag = f"--{setting.name.replace('_', '-')}"
        if text is None:
            errors.append(f"{flag} is missing ({setting.help})")
            continue
        try:
            values[setting.name] = _PARSERS_BY_KIND[setting.kind](text)
        except ValueError as error:
            errors.append(f"{flag} {text!r}: {error}")
    if errors:
        raise SettingsError(errors)
    return values


def describe_settings(specification):
    """Return the help text, one line per setting."""
    lines = []
    for setting in specification:
        flag = f"--{setting.name.replace('_', '-')}"
        default = "" if setting.default in (None, "", ()) else f" [{setting.default}]"
        lines.append(f"  {flag:<18} {setting.help}{default}")
    return "\n".join(lines)


def parse_address(text):
    """Return (ip, port) of `ip:port`; raises ValueError if it is invalid."""
    host, separator, port = str(text).rpartition(":")
    if not separator:
        raise ValueError("expected ip:port")
    ipaddress.ip_address(host)
    if not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError("port must be from 1 to 65535")
    return host, int(port)


def _check_address(text):
    parse_address(text)
    return str(text)


def _check_optional_address(text):
    return _check_address(text) if text else ""


def _parse_text(text):
    return str(text)


def _check_name(text):
    name = str(text)
    if not name or not all(char.isalnum() or char in "-_" for char in name):
        raise ValueError("expected letters, digits, '-' and '_'")
    return name


def _parse_milliseconds(text):
    value = _parse_count(text)
    if value == 0:
        raise ValueError("must be more than 0 ms")
    return value


def _parse_count(text):
    if not str(text).isdigit():
        raise ValueError("expected a whole number")
    return int(text)


def _check_level(text):
    if text not in LOG_LEVELS:
        raise ValueError(f"expected one of {', '.join(LOG_LEVELS)}")
    return text


def _parse_names(text):
    items = text if isinstance(text, (tuple, list)) else str(text).split(",")
    return tuple(_check_name(item) for item in items)


def _parse_overload_policies(text):
    return create_overload_policies(_parse_names(text) if text else ())


def _parse_named_addresses(text):
    if not text:
        return ()
    items = text if isinstance(text, (tuple, list)) else str(text).split(",")
    addresses = []
    for item in items:
        name, separator, address = str(item).partition("=")
        if not separator:
            raise ValueError(f"{item!r}: expected data-centre=ip:port")
        addresses.append((_check_name(name), _check_address(address)))
    return tuple(addresses)


_PARSERS_BY_KIND = {
    "address": _check_address,
    "count": _parse_count,
    "level": _check_level,
    "milliseconds": _parse_milliseconds,
    "name": _check_name,
    "names": _parse_names,
    "optional_address": _check_optional_address,
    "overload_policies": _parse_overload_policies,
    "places": _parse_named_addresses,
    "text": _parse_text,
    "url_address": _check_address,
}
