"""The platform's settings file (YAML) as `HostSettings`."""

import yaml

from knapweedshed.models.host_settings import HostSettings
from knapweedshed.settings import parse_address

MS_PER_SECOND = 1_000


def load_file(path):
    """Return (`HostSettings`, store address); raises ValueError with the fault."""
    try:
        with open(path, encoding="utf-8") as file:
            plain = yaml.safe_load(file)
    except OSError as error:
        raise ValueError(f"settings file {path}: {error.strerror}") from error
    except yaml.YAMLError as error:
        raise ValueError(f"settings file {path}: not YAML: {error}") from error
    return decode_settings(plain)


def decode_settings(plain):
    """Return (`HostSettings`, store address); raises ValueError with the fault."""
    cores = 1.0
    if isinstance(plain, dict) and "limits" in plain:
        share = _number(plain, "limits", "cpu_share")
        cores = share * _number(plain, "limits", "cores")
    settings = HostSettings(
        name=_text(plain, "node"),
        data_centre=_text(plain, "zone"),
        call_address=_address(plain, "listen", "front"),
        readiness_address=_address(plain, "listen", "ready"),
        grace_ms=int(_number(plain, "bounds", "grace_s") * MS_PER_SECOND),
        lease_ms=int(_number(plain, "bounds", "hold_max_ms")),
        early_ms=int(_number(plain, "bounds", "early_ms")),
        log_keep_ms=int(_number(plain, "platform", "keep_s") * MS_PER_SECOND),
        cores=cores,
    )
    return settings, _address(plain, "platform", "addr")


def _value(plain, *names):
    found = plain
    for name in names:
        if not isinstance(found, dict) or name not in found:
            raise ValueError(f"settings file: {'.'.join(names)} is missing")
        found = found[name]
    return found


def _text(plain, *names):
    return str(_value(plain, *names))


def _number(plain, *names):
    value = _value(plain, *names)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ValueError(f"settings file: {'.'.join(names)}: expected a number")
    return value


def _address(plain, *names):
    text = _text(plain, *names)
    try:
        parse_address(text)
    except ValueError as error:
        raise ValueError(f"settings file: {'.'.join(names)}: {error}") from error
    return text
