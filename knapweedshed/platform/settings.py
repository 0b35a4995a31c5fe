"""Decodes the platform's settings file (YAML) to `HostSettings`."""

import yaml

from knapweedshed.models.host_settings import HostSettings
from knapweedshed.settings import parse_address

MS_PER_SECOND = 1_000
BYTES_PER_MB = 1 << 20
LOG_LIMIT_SETTINGS = {
    "record_bytes": "log_record_bytes",
    "call_bytes": "log_append_bytes",
}
OPTIONAL_BOUNDS = {  # name in the file: (name in `HostSettings`, factor to its unit)
    "save_s": ("save_ms", MS_PER_SECOND),
    "restore_ms": ("restore_ms", 1),
    "stop_ms": ("stop_ms", 1),
    "evac_ms": ("evacuation_ms", 1),
}
OPTIONAL_LIMITS = {
    "memory_mb": ("memory_bytes", BYTES_PER_MB),
    "max_fds": ("max_descriptors", 1),
}
MIN_LOG_LIMIT_BYTES = 16_384  # a job with a description of 4,000 bytes, and its state


def load_settings_file(path):
    """Return (`HostSettings`, store address); raises ValueError for an invalid file."""
    try:
        with open(path, encoding="utf-8") as file:
            fields = yaml.safe_load(file)
    except OSError as error:
        raise ValueError(f"settings file {path}: {error.strerror}") from error
    except yaml.YAMLError as error:
        raise ValueError(f"settings file {path}: invalid YAML: {error}") from error
    return decode_settings(fields)


def decode_settings(fields):
    """Return (`HostSettings`, store address); raises ValueError naming the setting."""
    limits = {}
    if isinstance(fields, dict) and "limits" in fields:
        cpu_share = _number(fields, "limits", "cpu_share")
        limits["cores"] = cpu_share * _number(fields, "limits", "cores")
        if fields["limits"].get("link_mbps") is not None:
            limits["link_mbps"] = _number(fields, "limits", "link_mbps")
        limits.update(_optional_numbers(fields, "limits", OPTIONAL_LIMITS))
    if isinstance(fields, dict) and isinstance(fields.get("bounds"), dict):
        limits.update(_optional_numbers(fields, "bounds", OPTIONAL_BOUNDS))
    if isinstance(fields, dict) and isinstance(fields.get("zones"), dict):
        limits["data_centres"] = tuple(str(name) for name in fields["zones"])
    platform_fields = fields.get("platform") if isinstance(fields, dict) else None
    for name, setting in LOG_LIMIT_SETTINGS.items():
        if isinstance(platform_fields, dict) and platform_fields.get(name) is not None:
            limits[setting] = _size_bytes(fields, "platform", name)
    settings = HostSettings(
        name=_text(fields, "node"),
        data_centre=_text(fields, "zone"),
        call_address=_address(fields, "listen", "front"),
        readiness_address=_address(fields, "listen", "ready"),
        grace_ms=int(_number(fields, "bounds", "grace_s") * MS_PER_SECOND),
        lease_ms=int(_number(fields, "bounds", "hold_max_ms")),
        early_ms=int(_number(fields, "bounds", "early_ms")),
        log_keep_ms=int(_number(fields, "platform", "keep_s") * MS_PER_SECOND),
        **limits,
    )
    return settings, _address(fields, "platform", "addr")


def _lookup(fields, *names):
    value = fields
    for name in names:
        if not isinstance(value, dict) or name not in value:
            raise ValueError(f"settings file: {'.'.join(names)} is missing")
        value = value[name]
    return value


def _text(fields, *names):
    return str(_lookup(fields, *names))


def _number(fields, *names):
    value = _lookup(fields, *names)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value < 0:
        raise ValueError(f"settings file: {'.'.join(names)}: expected a number")
    return value


def _optional_numbers(fields, section, names):
    """Return {setting: whole number} of those of `names` that the section has."""
    return {
        setting: int(_number(fields, section, name) * factor)
        for name, (setting, factor) in names.items()
        if fields[section].get(name) is not None
    }


def _size_bytes(fields, *names):
    value = int(_number(fields, *names))
    if value < MIN_LOG_LIMIT_BYTES:
        raise ValueError(
            f"settings file: {'.'.join(names)}: expected {MIN_LOG_LIMIT_BYTES} or more,"
            f" got {value}"
        )
    return value


def _address(fields, *names):
    address = _text(fields, *names)
    try:
        parse_address(address)
    except ValueError as error:
        raise ValueError(f"settings file: {'.'.join(names)}: {error}") from error
    return address
