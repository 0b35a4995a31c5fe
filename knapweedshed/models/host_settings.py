"""Settings of a host that serves multi-step jobs."""

from typing import NamedTuple


class HostSettings(NamedTuple):
    """Settings of one host; addresses are `ip:port`.

    `call_address` serves callers, `readiness_address` the platform's readiness checks.
    `grace_ms` is the time from a stop request to the end of the process, `lease_ms` the
    longest lease that workers grant, `early_ms` how long before its due time a job may
    start, and `log_keep_ms` how long the log retains a record. A record in the log has
    at most `log_record_bytes`, and the records of one append `log_append_bytes`
    together. `cores` is the processing power available to the host, in cores, and
    `link_mbps` the bandwidth of its link.
    """

    name: str
    data_centre: str
    call_address: str
    readiness_address: str
    grace_ms: int
    lease_ms: int
    early_ms: int
    log_keep_ms: int = 300_000
    log_record_bytes: int = 262_144
    log_append_bytes: int = 2_097_152
    cores: float = 1.0
    link_mbps: float = 1_000.0
