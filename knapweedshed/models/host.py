"""The settings of a host that serves whole jobs."""

from typing import NamedTuple


class HostSettings(NamedTuple):
    """Addresses are `ip:port`; times in milliseconds.

    `lease_ms` is the longest lease that workers grant, `grace_ms` the time between
    the wish to stop and the end, `early_ms` how early a due job may start, and
    `log_keep_ms` how long the log keeps a record. `cores` is
    the host's processor, in cores.
    """

    name: str
    data_centre: str
    front: str
    ready: str
    grace_ms: int
    lease_ms: int
    early_ms: int
    log_keep_ms: int = 300_000
    cores: float = 1.0
